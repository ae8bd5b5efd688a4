package routing

// Weights of the scorers.
const (
	loadWeight   = 1
	prefixWeight = 1
	placeWeight  = 0.02
)

// Bounds of the imbalance that a cached prefix may cause.
const (
	imbalanceFactor = 1
	imbalanceSlack  = 0.125
)

// Default returns the scheduler that daemons use.
func Default() Scheduler {
	return Scheduler{
		Filters:  []Filter{Available{}, SameVersion{}, SameSystem{}},
		Balancer: BoundedLoad{imbalanceFactor, imbalanceSlack},
		Scorers:  []Weighted{{LeastLoad{}, loadWeight}, {CachedPrefix{}, prefixWeight}, {Nearest{}, placeWeight}},
		Picker:   Best{},
	}
}
