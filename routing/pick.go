package routing

import "math/rand/v2"

// Best picks the highest score, and a random one of equal scores.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scores []float64, random *rand.Rand) int {
	best, ties := 0, 1
	for i := 1; i < len(scores); i++ {
		switch {
		case scores[i] > scores[best]:
			best, ties = i, 1
		case scores[i] == scores[best]:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// BestOfSample picks the best of Size candidates drawn at random with replacement, so
// that daemons with the same view don't all pick the same target.
type BestOfSample struct{ Size int }

// Pick implements Picker.
func (p BestOfSample) Pick(scores []float64, random *rand.Rand) int {
	best := random.IntN(len(scores))
	for range p.Size - 1 {
		if i := random.IntN(len(scores)); scores[i] > scores[best] {
			best = i
		}
	}
	return best
}
