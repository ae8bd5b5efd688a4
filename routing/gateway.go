package routing

// Weights of the scorers for plain HTTP requests. The start counts most; what a
// request prefers besides decides between targets that would start it alike.
const (
	startWeight      = 1
	otherPlaceWeight = 2
	affinityWeight   = 0.25
	// returnWeight makes a request that goes on after an event look for the target
	// that read its prompt before, which saves reading it again: a second or more.
	returnWeight = 1.5
	healthWeight = 1
	nearWeight   = 0.02
	// roomWeight makes room count as much as the start: a request that is preempted
	// is read anew.
	roomWeight = 1
)

// Prompts returns the scheduler for requests with long prompts: where they would
// start soonest, out of the places to stay out of.
func Prompts() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{
			{SoonestStart{}, startWeight}, {OtherPlace{}, otherPlaceWeight}, {Affinity{}, affinityWeight},
			{Healthy{}, healthWeight}, {Room{}, roomWeight},
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

// Returns returns the scheduler for requests with long prompts that a caller sends
// again to have an answer go on.
func Returns() Scheduler {
	s := Prompts()
	s.Scorers = append(s.Scorers, Weighted{Affinity{}, returnWeight})
	return s
}

// Calls returns the scheduler for plain calls: targets that don't fail, are
// little loaded and near.
func Calls() Scheduler {
	return Scheduler{
		Filters: []Filter{Available{}},
		Scorers: []Weighted{{LeastLoad{}, startWeight}, {Healthy{}, healthWeight}, {SoonestStart{}, startWeight}, {Nearest{}, nearWeight}},
		Picker:  Best{},
	}
}
