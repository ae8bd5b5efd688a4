package routing

// SoonestStart prefers targets that would start the request sooner.
type SoonestStart struct{}

// Score implements Scorer.
func (SoonestStart) Score(_ *Request, c *Candidate) float64 { return 1 / (1 + c.Start.Seconds()) }
