package routing

// Room prefers targets with more memory left; those without room for the request
// are rated worst.
type Room struct{}

// Score implements Scorer.
func (Room) Score(_ *Request, c *Candidate) float64 { return max(0, 1-c.Filled) }
