package node

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Samples of a histogram, and the weight of recent ones.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// micros returns the registry's histogram of times in microseconds. Timers of
// go-metrics are not used: they start a goroutine that never ends.
func micros(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name+".micros", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}).(metrics.Histogram)
}

// pace measures the tokens that one caller is sent. A nil pace measures nothing.
type pace struct {
	first, between metrics.Histogram
	tokens         metrics.Counter
	last           time.Time
	started        bool
}

// newPace measures from now on. The first token of an answer that goes on here
// counts as one between tokens.
func newPace(r metrics.Registry, resumed bool) *pace {
	return &pace{
		first: micros(r, "generation.first_token"), between: micros(r, "generation.between_tokens"),
		tokens: metrics.GetOrRegisterCounter("generation.tokens", r), last: time.Now(), started: resumed,
	}
}

// sent takes tokens that were written together.
func (p *pace) sent(n int) {
	if p == nil || n == 0 {
		return
	}
	now := time.Now()
	h := p.between
	if !p.started {
		h, p.started = p.first, true
	}
	h.Update(now.Sub(p.last).Microseconds())
	p.tokens.Inc(int64(n))
	p.last = now
}
