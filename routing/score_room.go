package routing

// ampleMemoryBelow is the filled part of a target's memory up to which it counts as
// roomy: below it nothing is preempted.
const ampleMemoryBelow = 0.75

// FreeMemory prefers targets that have memory left for the request. All that are roomy
// are rated alike; those without room are rated worst.
type FreeMemory struct{}

// Score implements Scorer.
func (FreeMemory) Score(_ *Request, c *Candidate) float64 {
	return min(1, max(0, (1-c.Filled)/(1-ampleMemoryBelow)))
}
