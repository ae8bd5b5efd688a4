package routing

// ampleMemoryBelow is the fraction of a target's memory in use up to which the target
// gets the full score. Below it, engines don't preempt requests.
const ampleMemoryBelow = 0.75

// FreeMemory prefers targets with free memory for the request. The score is 1 up to
// ampleMemoryBelow and falls to 0 when the memory is full.
type FreeMemory struct{}

// Score implements Scorer.
func (FreeMemory) Score(_ *Request, c *Candidate) float64 {
	return min(1, max(0, (1-c.Filled)/(1-ampleMemoryBelow)))
}
