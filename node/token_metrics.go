package node

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Size and decay factor of a histogram's exponentially decaying sample.
const (
	histogramSampleSize  = 1028
	histogramSampleAlpha = 0.015
)

// microsHistogram returns the histogram name.micros of the registry, for times in
// microseconds. Timers of go-metrics are not used because they start a goroutine that
// never ends.
func microsHistogram(r metrics.Registry, name string) metrics.Histogram {
	return r.GetOrRegister(name+".micros", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramSampleAlpha))
	}).(metrics.Histogram)
}

// tokenMetrics measures the time to first token, the time between tokens and the
// number of tokens sent to one caller. A nil tokenMetrics measures nothing.
type tokenMetrics struct {
	firstToken, betweenTokens metrics.Histogram
	tokens                    metrics.Counter
	lastSent                  time.Time
	started                   bool // the next token is not the answer's first
}

// newTokenMetrics returns metrics that measure from now on. If the answer is resumed, the
// time to its first token here counts as a time between tokens.
func newTokenMetrics(r metrics.Registry, resumed bool) *tokenMetrics {
	return &tokenMetrics{
		firstToken: microsHistogram(r, "generation.first_token"), betweenTokens: microsHistogram(r, "generation.between_tokens"),
		tokens: metrics.GetOrRegisterCounter("generation.tokens", r), lastSent: time.Now(), started: resumed,
	}
}

// recordTokens records n tokens that were written together.
func (p *tokenMetrics) recordTokens(n int) {
	if p == nil || n == 0 {
		return
	}
	now := time.Now()
	h := p.betweenTokens
	if !p.started {
		h, p.started = p.firstToken, true
	}
	h.Update(now.Sub(p.lastSent).Microseconds())
	p.tokens.Inc(int64(n))
	p.lastSent = now
}
