package routing

// Nearest prefers targets in the daemon's place, then those in its region.
type Nearest struct{}

// Score implements Scorer.
func (Nearest) Score(_ *Request, c *Candidate) float64 { return float64(c.Near) / float64(SamePlace) }
