package routing

// LeastLoad prefers targets with a lower Candidate.Load.
type LeastLoad struct{}

// Score implements Scorer.
func (LeastLoad) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + c.Load()) }

// LeastInFlight prefers targets with fewer of this daemon's own requests. It
// needs no load reports.
type LeastInFlight struct{}

// Score implements Scorer.
func (LeastInFlight) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + float64(c.InFlight)) }
