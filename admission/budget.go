package admission

import "time"

// budget is a token bucket for attempts after a loss. Those within it go ahead
// of new work; the others wait with it and move up as they age, so that a lost
// place neither floods the targets that are left nor starves its own answers.
type budget struct {
	burst  float64
	rate   float64 // tokens a second
	tokens float64
	at     time.Time
}

func newBudget(s Settings) budget {
	return budget{burst: float64(s.RetryBurst), rate: s.RetryRate, tokens: float64(s.RetryBurst)}
}

func (b *budget) take(now time.Time) bool {
	if !b.at.IsZero() && now.After(b.at) {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
