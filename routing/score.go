package routing

import "math/rand/v2"

// LeastWait prefers targets on which new work starts soonest.
type LeastWait struct{}

// Score implements Scorer.
func (LeastWait) Score(_ Request, c Candidate) float64 {
	return 1 / (1 + float64(c.InFlight))
}

// Best picks the highest score; equal ones by chance.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(_ Request, scored []Scored, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(scored); i++ {
		switch {
		case scored[i].Score > scored[best].Score:
			best, ties = i, 1
		case scored[i].Score == scored[best].Score:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// Default returns the scheduler that daemons use.
func Default() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}, SameVersion{}, Share{}},
		Scorers: []Weighted{{LeastWait{}, 1}},
		Picker:  Best{},
	}
}
