package routing

import "time"

// startScale is the expected wait beyond which targets are rated alike, worst: no
// caller waits that long for a first event.
const startScale = 10 * time.Second

// SoonestStart prefers targets that would start the request sooner, in proportion
// to the wait.
type SoonestStart struct{}

// Score implements Scorer.
func (SoonestStart) Score(_ *Request, c *Candidate) float64 {
	return max(0, 1-float64(c.Start)/float64(startScale))
}
