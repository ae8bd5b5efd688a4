package admission

import "time"

// retryBudget is a token bucket for retries of lost attempts. Retries within the
// budget are granted before new work. Retries over the budget queue with new work
// and are promoted as they age. After the loss of a place, retries thus don't
// overload the remaining targets and are not starved by new work.
type retryBudget struct {
	burst      float64
	rate       float64 // tokens per second
	tokens     float64
	refilledAt time.Time
}

func newRetryBudget(s Settings) retryBudget {
	return retryBudget{burst: float64(s.RetryBurst), rate: s.RetryRate, tokens: float64(s.RetryBurst)}
}

// allow consumes a token and returns true, or returns false if none is left.
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
