package routing

import "math/rand/v2"

// Share is what the EvenLoad picker knows of one target.
type Share struct {
	Load float64 // expected requests per slot at this moment, running and waiting
	Rate float64 // requests that the target completes per unit of time when all its slots are in use
}

// EvenLoad picks a target at random, so that the requests that all daemons send within the
// age of the information make the targets equally loaded: it fills them up to a common
// level, like water, and the probability of a target is its part of the fill. With few
// requests within that age, it picks the targets with the lowest load; the more there
// are, the closer the probabilities are to the targets' parts of the total rate. Daemons
// with the same outdated view therefore don't all pick the same target.
type EvenLoad struct {
	// Arrivals is the number of requests of all daemons within the age of the information,
	// this one included, in units of Share.Rate.
	Arrivals float64
}

// Pick returns the index of a target, or -1 if all rates are 0. It consumes one random
// number.
func (e EvenLoad) Pick(targets []Share, random *rand.Rand) int {
	level := e.level(targets)
	point := random.Float64() * e.Arrivals
	picked := -1
	for i := range targets {
		part := targets[i].Rate * (level - targets[i].Load)
		if part <= 0 {
			continue
		}
		picked = i
		if point -= part; point < 0 {
			break
		}
	}
	return picked
}

// level returns the load per slot up to which Arrivals fill the targets.
func (e EvenLoad) level(targets []Share) float64 {
	filled := func(limit float64) (level float64, n int) {
		sum, rates := e.Arrivals, 0.0
		for _, t := range targets {
			if t.Rate > 0 && t.Load < limit {
				sum, rates, n = sum+t.Rate*t.Load, rates+t.Rate, n+1
			}
		}
		if rates == 0 {
			return 0, 0
		}
		return sum / rates, n
	}
	// The level of all targets is too high or right. Without those above it, it falls; it
	// ends where no further target is above it.
	level, n := filled(maxLoad)
	for {
		next, left := filled(level)
		if left == 0 || left == n {
			return level
		}
		level, n = next, left
	}
}

// maxLoad is above the load per slot of any target.
const maxLoad = 1e9
