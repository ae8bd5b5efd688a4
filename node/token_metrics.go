package node

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Samples of a histogram, and the weight of recent ones.
const (
	histogramSampleSize  = 1028
	histogramSampleAlpha = 0.015
)

// microsHistogram returns the registry's histogram of times in microseconds. Timers of
// go-metrics are not used: they start a goroutine that never ends.
func microsHistogram(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name+".micros", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramSampleAlpha))
	}).(metrics.Histogram)
}

// tokenMetrics measures the tokens that one caller is sent. A nil pace measures nothing.
type tokenMetrics struct {
	first, between metrics.Histogram
	tokens         metrics.Counter
	lastSent       time.Time
	started        bool
}

// newTokenMetrics measures from now on. The first token of an answer that goes on here
// counts as one between tokens.
func newTokenMetrics(r metrics.Registry, resumed bool) *tokenMetrics {
	return &tokenMetrics{
		first: microsHistogram(r, "generation.first_token"), between: microsHistogram(r, "generation.between_tokens"),
		tokens: metrics.GetOrRegisterCounter("generation.tokens", r), lastSent: time.Now(), started: resumed,
	}
}

// recordTokens takes tokens that were written together.
func (p *tokenMetrics) recordTokens(n int) {
	if p == nil || n == 0 {
		return
	}
	now := time.Now()
	h := p.between
	if !p.started {
		h, p.started = p.first, true
	}
	h.Update(now.Sub(p.lastSent).Microseconds())
	p.tokens.Inc(int64(n))
	p.lastSent = now
}
