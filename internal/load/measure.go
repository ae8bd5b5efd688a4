package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/standin"
)

// Range of histograms in microseconds, and their precision in significant digits.
const (
	lowestMicros    = 1
	highestMicros   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// Quantiles summarizes a histogram. All values but Count are in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// Generations counts generations by result.
type Generations struct {
	Complete   int      `json:"whole"`
	Incomplete int      `json:"incomplete"` // truncated by a typed, final error after at least one token
	Refused    int      `json:"refused"`    // no token and a typed, final error
	Failed     int      `json:"failed"`     // neither complete nor ended by a typed, final error
	Wrong      int      `json:"wrong"`      // tokens missing, repeated or of another generation
	Moved      int      `json:"moved"`      // needed more than one attempt; counted in addition to the result
	Faults     []string `json:"faults,omitempty"`
}

// Confirmations counts confirmations by the outcome that the caller received.
type Confirmations struct {
	Ran     int `json:"ran"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
}

// meter collects the measurements of one phase. It is safe for concurrent use.
type meter struct {
	interruptionGap time.Duration

	mu             sync.Mutex
	generations    Generations
	confirmations  Confirmations
	tokens         int64
	codes          map[string]int             // errors by code
	outcomes       map[string]failure.Outcome // by idempotency key
	firstToken     *hdrhistogram.Histogram
	betweenTokens  *hdrhistogram.Histogram
	maxGap         *hdrhistogram.Histogram
	interruptions  *hdrhistogram.Histogram
	confirmLatency *hdrhistogram.Histogram
}

func newMeter(interruptionGap time.Duration) *meter {
	return &meter{
		interruptionGap: interruptionGap, codes: make(map[string]int), outcomes: make(map[string]failure.Outcome),
		firstToken: newHistogram(), betweenTokens: newHistogram(), maxGap: newHistogram(),
		interruptions: newHistogram(), confirmLatency: newHistogram(),
	}
}

// maxFaults is the maximum number of wrong answers described in Generations.Faults.
const maxFaults = 20

// recordGeneration records one generation from its send time, the arrival times of
// its tokens and its result.
func (m *meter) recordGeneration(req PlannedRequest, sent time.Time, tokenTimes []time.Time, a client.Answer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens += int64(len(a.Tokens))
	if a.Moves > 0 {
		m.generations.Moved++
	}
	m.recordTimes(sent, tokenTimes)
	m.classify(req, a.Tokens, err)
}

// recordTimes records the latency of the first token and the gaps between tokens.
func (m *meter) recordTimes(sent time.Time, tokenTimes []time.Time) {
	if len(tokenTimes) == 0 {
		return
	}
	record(m.firstToken, tokenTimes[0].Sub(sent))
	maxGap := time.Duration(0)
	for i := 1; i < len(tokenTimes); i++ {
		gap := tokenTimes[i].Sub(tokenTimes[i-1])
		record(m.betweenTokens, gap)
		maxGap = max(maxGap, gap)
		if gap > m.interruptionGap {
			record(m.interruptions, gap)
		}
	}
	record(m.maxGap, maxGap)
}

// classify counts one generation by its result. The tokens of an answer with an
// error are checked as well.
func (m *meter) classify(req PlannedRequest, tokens []string, err error) {
	g := &m.generations
	length := req.MaxTokens
	if err != nil {
		length = int64(len(tokens))
		m.codes[errorCode(err)]++
	}
	if fault := standin.CheckAnswer(req.Prompt, tokens, length); fault != nil {
		g.Wrong++
		if len(g.Faults) < maxFaults {
			g.Faults = append(g.Faults, req.ID+": "+fault.Error())
		}
		return
	}
	switch {
	case err == nil:
		g.Complete++
	case !isFinalTyped(err):
		g.Failed++
	case len(tokens) == 0:
		g.Refused++
	default:
		g.Incomplete++
	}
}

// errorCode returns the code of a typed error, or "untyped".
func errorCode(err error) string {
	var f *failure.Error
	if errors.As(err, &f) {
		return string(f.Code)
	}
	return "untyped"
}

// isFinalTyped reports whether err is a typed error other than UnknownOutcome, which
// leaves the result of the request open.
func isFinalTyped(err error) bool {
	var f *failure.Error
	return errors.As(err, &f) && f.Code != failure.UnknownOutcome
}

// recordConfirmation records the outcome of one confirmation. For a call that failed
// with a typed error, o is the outcome in the error.
func (m *meter) recordConfirmation(key string, latency time.Duration, o failure.Outcome, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.codes["confirm "+errorCode(err)]++
	}
	switch o {
	case failure.Ran:
		m.confirmations.Ran++
		record(m.confirmLatency, latency)
	case failure.NotRun:
		m.confirmations.NotRun++
	default:
		o = failure.Unknown
		m.confirmations.Unknown++
	}
	if key != "" {
		m.outcomes[key] = o
	}
}
