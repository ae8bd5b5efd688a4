package admission

import "time"

// retryBudget is a token bucket for attempts after a loss. Those within it go ahead
// of new work; the others wait with it and move up as they age, so that a lost
// place neither floods the targets that are left nor starves its own answers.
type retryBudget struct {
	burst      float64
	rate       float64 // tokens a second
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget(s Settings) retryBudget {
	return retryBudget{burst: float64(s.RetryBurst), rate: s.RetryRate, tokens: float64(s.RetryBurst)}
}

func (b *retryBudget) allow(now time.Time) bool {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
