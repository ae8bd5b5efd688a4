package routing

import "slices"

// OutsideAvoidedPlaces prefers targets outside of the places that a request stays out of,
// such as the one whose loss a copy of its memory is meant to survive.
type OutsideAvoidedPlaces struct{}

// Score implements Scorer.
func (OutsideAvoidedPlaces) Score(r *Request, c *Candidate) float64 {
	if slices.Contains(r.AvoidPlaces, c.Target.Place) {
		return 0
	}
	return 1
}
