package routing

// Healthy prefers targets that answered fewer requests with failures of their own.
type Healthy struct{}

// Score implements Scorer.
func (Healthy) Score(_ *Request, c *Candidate) float64 { return 1 - c.Failing }
