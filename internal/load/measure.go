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
	Whole      int      `json:"whole"`
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
	interruption time.Duration

	mu            sync.Mutex
	generations   Generations
	confirmations Confirmations
	tokens        int64
	codes         map[string]int
	outcomes      map[string]failure.Outcome // by key
	first         *hdrhistogram.Histogram
	between       *hdrhistogram.Histogram
	widest        *hdrhistogram.Histogram
	interrupted   *hdrhistogram.Histogram
	confirm       *hdrhistogram.Histogram
}

func newMeter(interruption time.Duration) *meter {
	return &meter{
		interruption: interruption, codes: make(map[string]int), outcomes: make(map[string]failure.Outcome),
		first: newHistogram(), between: newHistogram(), widest: newHistogram(),
		interrupted: newHistogram(), confirm: newHistogram(),
	}
}

// maxFaults bounds the faults that are told in words.
const maxFaults = 20

// answered takes one generation: when it was sent, when each token came, and
// how it ended.
func (m *meter) answered(i Item, sent time.Time, at []time.Time, a client.Answer, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens += int64(len(a.Tokens))
	if a.Moves > 0 {
		m.generations.Moved++
	}
	m.times(sent, at)
	m.judge(i, a.Tokens, err)
}

func (m *meter) times(sent time.Time, at []time.Time) {
	if len(at) == 0 {
		return
	}
	record(m.first, at[0].Sub(sent))
	widest := time.Duration(0)
	for i := 1; i < len(at); i++ {
		gap := at[i].Sub(at[i-1])
		record(m.between, gap)
		widest = max(widest, gap)
		if gap > m.interruption {
			record(m.interrupted, gap)
		}
	}
	record(m.widest, widest)
}

func (m *meter) judge(i Item, tokens []string, err error) {
	g := &m.generations
	length := i.MaxTokens
	if err != nil {
		length = int64(len(tokens))
		m.codes[code(err)]++
	}
	if fault := standin.CheckAnswer(i.Prompt, tokens, length); fault != nil {
		g.Wrong++
		if len(g.Faults) < maxFaults {
			g.Faults = append(g.Faults, i.ID+": "+fault.Error())
		}
		return
	}
	switch {
	case err == nil:
		g.Whole++
	case !typed(err):
		g.Failed++
	case len(tokens) == 0:
		g.Refused++
	default:
		g.Incomplete++
	}
}

func code(err error) string {
	var f *failure.Error
	if errors.As(err, &f) {
		return string(f.Code)
	}
	return "untyped"
}

// typed tells whether err is a final, typed end.
func typed(err error) bool {
	var f *failure.Error
	return errors.As(err, &f) && f.Code != failure.UnknownOutcome
}

// confirmed takes the outcome of one confirmation. A call that failed with a
// typed error has the outcome that the error states.
func (m *meter) confirmed(key string, took time.Duration, o failure.Outcome, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.codes["confirm "+code(err)]++
	}
	switch o {
	case failure.Ran:
		m.confirmations.Ran++
		record(m.confirm, took)
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
