package routing

import "time"

// maxScoredDelay is the expected wait beyond which targets are rated alike, worst: no
// caller waits that long for a first event.
const maxScoredDelay = 10 * time.Second

// EarliestStart prefers targets that would start the request sooner, in proportion
// to the wait.
type EarliestStart struct{}

// Score implements Scorer.
func (EarliestStart) Score(_ *Request, c *Candidate) float64 {
	return max(0, 1-float64(c.Start)/float64(maxScoredDelay))
}
