package routing

import "slices"

// OtherPlace prefers targets outside of the places that a request stays out of,
// such as the one whose loss a copy of its memory is meant to survive.
type OtherPlace struct{}

// Score implements Scorer.
func (OtherPlace) Score(r *Request, c *Candidate) float64 {
	if slices.Contains(r.OtherPlaces, c.Target.Place) {
		return 0
	}
	return 1
}
