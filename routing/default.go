package routing

// Weights of the scorers of Default.
const (
	loadWeight   = 1
	prefixWeight = 1
	placeWeight  = 0.02
)

// Parameters of BoundedLoad, which limits the imbalance that cached prefixes cause.
const (
	imbalanceFactor = 1
	imbalanceSlack  = 0.125
)

// Default returns the scheduler that package node uses. Package fleet uses those of
// PromptScheduler, CopyScheduler and CallScheduler.
func Default() Scheduler {
	return Scheduler{
		Filters:  []Filter{Available{}, SameVersion{}, SameSystem{}},
		Balancer: BoundedLoad{imbalanceFactor, imbalanceSlack},
		Scorers:  []Weighted{{LeastLoad{}, loadWeight}, {CachedPrefix{}, prefixWeight}, {Nearest{}, placeWeight}},
		Picker:   Best{},
	}
}
