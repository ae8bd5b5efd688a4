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

// Bounds of histograms, in microseconds, and their precision in digits.
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

// Quantiles is a histogram in milliseconds.
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

// Generations counts how generations ended.
type Generations struct {
	Complete   int      `json:"whole"`
	Incomplete int      `json:"incomplete"` // an honest, final end before the answer was whole
	Refused    int      `json:"refused"`    // no token, and a typed refusal
	Failed     int      `json:"failed"`     // no final end
	Wrong      int      `json:"wrong"`      // tokens missing, repeated or mixed
	Moved      int      `json:"moved"`      // went on at another daemon
	Faults     []string `json:"faults,omitempty"`
}

// Confirmations counts the outcomes that callers were told.
type Confirmations struct {
	Ran     int `json:"ran"`
	NotRun  int `json:"not_run"`
	Unknown int `json:"unknown"`
}

// meter collects one phase's measurements. It is safe for concurrent use.
type meter struct {
	interruptionGap time.Duration

	mu            sync.Mutex
	generations   Generations
	confirmations Confirmations
	tokens        int64
	codes         map[string]int
	outcomes      map[string]failure.Outcome // by key
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	maxGap        *hdrhistogram.Histogram
	interruptions *hdrhistogram.Histogram
	confirmation  *hdrhistogram.Histogram
}

func newMeter(interruption time.Duration) *meter {
	return &meter{
		interruptionGap: interruption, codes: make(map[string]int), outcomes: make(map[string]failure.Outcome),
		firstToken: newHistogram(), betweenTokens: newHistogram(), maxGap: newHistogram(),
		interruptions: newHistogram(), confirmation: newHistogram(),
	}
}

// maxFaults bounds the faults that are told in words.
const maxFaults = 20

// recordGeneration takes one generation: when it was sent, when each token came, and
// how it ended.
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

func errorCode(err error) string {
	var f *failure.Error
	if errors.As(err, &f) {
		return string(f.Code)
	}
	return "untyped"
}

// isFinalTyped tells whether err is a final, typed end.
func isFinalTyped(err error) bool {
	var f *failure.Error
	return errors.As(err, &f) && f.Code != failure.UnknownOutcome
}

// recordConfirmation takes the outcome of one confirmation. A call that failed with a
// typed error has the outcome that the error states.
func (m *meter) recordConfirmation(key string, latency time.Duration, o failure.Outcome, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.codes["confirm "+errorCode(err)]++
	}
	switch o {
	case failure.Ran:
		m.confirmations.Ran++
		record(m.confirmation, latency)
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
