package routing

// Nearest prefers targets of the same place, then of the same region.
type Nearest struct{}

// Score implements Scorer.
func (Nearest) Score(_ *Request, c *Candidate) float64 { return float64(c.Near) / float64(SamePlace) }
