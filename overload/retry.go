package overload

import "time"

// Parameters of Retry-After.
const (
	// minRetryAfter is the shortest delay. A target that is full stays so for about this long.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryShare is the largest part of the time left that a caller is asked to wait. Callers
	// ignore longer delays.
	maxRetryShare = 1.0 / 3
	// minSpread is the shortest range over which callers that are refused together return, as a
	// fraction of the delay.
	minSpread = 0.5
)

// retryAfter returns when a caller that is refused may try again: when the estimated wait has
// become useful, plus a random part of the time in which those that were refused before and are
// at least as urgent get room. A caller that has waited before returns earlier.
func (c *Controller) retryAfter(now time.Time, t *Ticket, d Decision, l Load, random func() float64) time.Duration {
	earliest := max(minRetryAfter, d.Wait+l.PrefillWait-time.Duration(refuseFrom*float64(d.Useful)))
	spread := time.Duration(minSpread * float64(earliest))
	if rate := c.startRate(l); rate > 0 {
		pending := 0.0
		for i := range t.level() + 1 {
			pending += c.refused.count(now, i) * float64(l.Daemons)
		}
		spread = max(spread, min(maxAhead, time.Duration(pending/rate*float64(time.Second))))
	}
	shorter := 1 + min(1, t.waited)
	earliest, spread = time.Duration(float64(earliest)/shorter), time.Duration(float64(spread)/shorter)
	if !t.request.Deadline.IsZero() {
		// What is cut to the limit is spread below it, otherwise all callers return at once.
		limit := time.Duration(maxRetryShare * float64(t.request.Deadline.Sub(now)))
		spread = min(spread, limit)
		earliest = max(0, min(earliest, limit-max(spread, time.Duration(minSpread*float64(limit)))))
		spread = min(max(spread, time.Duration(minSpread*float64(earliest))), limit-earliest)
	}
	return earliest + time.Duration(random()*float64(spread))
}
