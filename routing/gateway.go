package routing

import "time"

// Weights of the scorers for the requests of a gateway. One point is worth one second
// of expected delay.
const (
	startWeight        = float64(maxScoredDelay / time.Second)
	avoidedPlaceWeight = 20 // high, since a copy in its run's place is lost together with the run
	// affinityWeight is less than the weight of one running request, so that affinity
	// does not send a prompt to a busy target while another one is idle.
	affinityWeight = 0.25
	// cachedWeight is the value of a cached prompt: it saves a prefill, which takes a
	// second and delays the other streams of the target by as long.
	cachedWeight = 2
	healthWeight = 3
	// freeMemoryWeight is the cost of a preemption: the prompt of a preempted request is
	// prefilled again while its caller waits.
	freeMemoryWeight = 3

	// Weights for plain calls. Load and health come first; proximity decides only
	// between equal targets, because a network hop takes a millisecond.
	loadWeightCalls   = 1
	healthWeightCalls = 1
	placeWeightCalls  = 0.02
)

// PromptScheduler returns the scheduler for requests with long prompts. It prefers
// targets with the earliest expected start, outside of Request.AvoidPlaces.
func PromptScheduler() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{
			{EarliestStart{}, startWeight}, {OutsideAvoidedPlaces{}, avoidedPlaceWeight}, {Affinity{}, affinityWeight},
			{Healthy{}, healthWeight}, {FreeMemory{}, freeMemoryWeight}, {CachedPrefix{}, cachedWeight},
		},
		Picker: Best{},
	}
}

// CopyScheduler returns the scheduler for standby copies of a run's KV cache. It prefers
// targets outside of Request.AvoidPlaces that have free memory and on which a resumed
// run would start early.
func CopyScheduler() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{OutsideAvoidedPlaces{}, avoidedPlaceWeight}, {FreeMemory{}, freeMemoryWeight}, {EarliestStart{}, startWeight}, {Healthy{}, healthWeight}},
		Picker:  Best{},
	}
}

// CallScheduler returns the scheduler for plain calls. It prefers healthy, lightly
// loaded and near targets.
func CallScheduler() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{LeastLoad{}, loadWeightCalls}, {Healthy{}, healthWeightCalls}, {EarliestStart{}, startWeight}, {Nearest{}, placeWeightCalls}},
		Picker:  Best{},
	}
}
