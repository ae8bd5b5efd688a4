package routing

import "slices"

// OutsideAvoidedPlaces prefers targets outside of Request.AvoidPlaces, such as the place
// whose loss a standby copy must survive.
type OutsideAvoidedPlaces struct{}

// Score implements Scorer.
func (OutsideAvoidedPlaces) Score(r *Request, c *Candidate) float64 {
	if slices.Contains(r.AvoidPlaces, c.Target.Place) {
		return 0
	}
	return 1
}
