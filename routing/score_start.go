package routing

import "time"

// maxScoredDelay is the expected delay from which the score is 0: no caller waits that
// long for a first event.
const maxScoredDelay = 10 * time.Second

// EarliestStart prefers targets with a shorter Candidate.Start. The score falls linearly
// from 1 to 0 at maxScoredDelay.
type EarliestStart struct{}

// Score implements Scorer.
func (EarliestStart) Score(_ *Request, c *Candidate) float64 {
	return max(0, 1-float64(c.Start)/float64(maxScoredDelay))
}
