package routing

import "time"

// Weights of the scorers for plain HTTP requests. One point stands for one second
// of waiting for the start.
const (
	startWeight        = float64(maxScoredDelay / time.Second)
	avoidedPlaceWeight = 20 // a copy in the place of its run is next to useless
	// affinityWeight is less than what one running request counts, so that no target
	// gets a prompt for its hash while another one is idle.
	affinityWeight = 0.25
	// cachedWeight: where the prompt lies in a cache, reading it again is saved, which
	// takes a second and holds up the streams beside it for as long.
	cachedWeight = 2
	healthWeight = 3
	// roomWeight: a request that is preempted is read anew, and its caller waits.
	freeMemoryWeight = 3

	// Of plain calls: targets differ by their load and health; distance decides
	// between equals, as a hop takes a millisecond.
	loadWeightCalls   = 1
	healthWeightCalls = 1
	placeWeightCalls  = 0.02
)

// PromptScheduler returns the scheduler for requests with long prompts: where they would
// start soonest, out of the places to stay out of.
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

// CopyScheduler returns the scheduler for targets that are to hold a copy of a run's
// memory: out of the run's place, where there is room and a resumed run would not
// wait long.
func CopyScheduler() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{OutsideAvoidedPlaces{}, avoidedPlaceWeight}, {FreeMemory{}, freeMemoryWeight}, {EarliestStart{}, startWeight}, {Healthy{}, healthWeight}},
		Picker:  Best{},
	}
}

// CallScheduler returns the scheduler for plain calls: targets that don't fail, are
// little loaded and near.
func CallScheduler() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{LeastLoad{}, loadWeightCalls}, {Healthy{}, healthWeightCalls}, {EarliestStart{}, startWeight}, {Nearest{}, placeWeightCalls}},
		Picker:  Best{},
	}
}
