package routing

import "time"

// Weights of the scorers for plain HTTP requests. One point stands for one second
// of waiting for the start.
const (
	startWeight      = float64(startScale / time.Second)
	otherPlaceWeight = 20 // a copy in the place of its run is next to useless
	// affinityWeight is less than what one running request counts, so that no target
	// gets a prompt for its hash while another one is idle.
	affinityWeight = 0.25
	// cachedWeight: where the prompt lies in a cache, reading it again is saved, which
	// takes a second and holds up the streams beside it for as long.
	cachedWeight = 2
	healthWeight = 3
	// roomWeight: a request that is preempted is read anew, and its caller waits.
	roomWeight = 3

	// Of plain calls: targets differ by their load and health; distance decides
	// between equals, as a hop takes a millisecond.
	loadWeightCalls   = 1
	healthWeightCalls = 1
	nearWeight        = 0.02
)

// Prompts returns the scheduler for requests with long prompts: where they would
// start soonest, out of the places to stay out of.
func Prompts() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{
			{SoonestStart{}, startWeight}, {OtherPlace{}, otherPlaceWeight}, {Affinity{}, affinityWeight},
			{Healthy{}, healthWeight}, {Room{}, roomWeight}, {CachedPrefix{}, cachedWeight},
		},
		Picker: Best{},
	}
}

// Copies returns the scheduler for targets that are to hold a copy of a run's
// memory: out of the run's place, where there is room and a resumed run would not
// wait long.
func Copies() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{OtherPlace{}, otherPlaceWeight}, {Room{}, roomWeight}, {SoonestStart{}, startWeight}, {Healthy{}, healthWeight}},
		Picker:  Best{},
	}
}

// Calls returns the scheduler for plain calls: targets that don't fail, are
// little loaded and near.
func Calls() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{LeastLoad{}, loadWeightCalls}, {Healthy{}, healthWeightCalls}, {SoonestStart{}, startWeight}, {Nearest{}, nearWeight}},
		Picker:  Best{},
	}
}
