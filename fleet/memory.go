package fleet

import (
	"slices"
	"time"

	"github.com/vanillaroad/vanillaroad/routing"
)

// Parameters of the choice by memory, see docs/design/target-memory.md.
const (
	// ownerShare is the part of a target's memory that its first daemon may fill although the
	// other daemons don't know of it yet. The second daemon may fill what is free beyond it.
	// Both parts of an empty target hold a request of 0.45 of the memory.
	ownerShare = 0.55
	// reservedShare is the part of a target's memory that stays free for its own daemons when
	// others use it: one large request.
	reservedShare = 0.4
	// sharedSampleSize is staleViewSampleSize for the choice among targets of other daemons. With 4,
	// daemons without room at their own targets more often chose the same one.
	sharedSampleSize = 2
	// restartShare is the part of its memory that is used of a target for restartTime after its
	// restart, if crashedShare of the memory of the previous incarnation was once in use and it
	// ended without leaving. Its requests have mostly ended when the new entry arrives.
	restartShare = 0.5
	crashedShare = 0.75
	restartTime  = 5 * time.Second
)

// placement is a request that the other daemons may not know of.
type placement struct {
	request *ActiveRequest
	at      time.Time
}

// SetDaemons sets this daemon's index in the list of daemons, which has the same order on
// every daemon, and their number. Without them, daemons don't divide the targets.
func (f *Fleet) SetDaemons(index, daemons int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemonIndex, f.daemons = index, daemons
}

// dividesTargets reports whether the reports of the other daemons are so old that daemons which
// choose at the same time need targets of their own.
func (f *Fleet) dividesTargets() bool { return f.daemons > 0 && f.staleness > MaxFreshViewAge }

// recentTime is the time for which a daemon's own placements count against its share of a
// target: until all daemons know of them, and until this one knows of all that were made
// before that.
func (f *Fleet) recentTime() time.Duration { return 2 * max(f.staleness, f.reportAge) }

// recordPlacement notes a request that the other daemons don't know of yet.
func (f *Fleet) recordPlacement(now time.Time, s *targetState, r *ActiveRequest) {
	if r.demand.MemoryTokens == 0 || !f.dividesTargets() {
		return
	}
	limit := f.recentTime()
	s.recent = slices.DeleteFunc(s.recent, func(p placement) bool { return now.Sub(p.at) > limit })
	s.recent = append(s.recent, placement{r, now})
}

// removePlacement drops a request that has ended.
func (s *targetState) removePlacement(r *ActiveRequest) {
	s.recent = slices.DeleteFunc(s.recent, func(p placement) bool { return p.request == r })
}

// recentTokens returns the memory of this daemon's requests that others may not know of.
func (f *Fleet) recentTokens(now time.Time, s *targetState) (sum int) {
	limit := f.recentTime()
	for _, p := range s.recent {
		if now.Sub(p.at) <= limit {
			sum += p.request.demand.MemoryTokens
		}
	}
	return sum
}

// usableMemory returns how much of a target's memory is used, which is less than capacity for
// a while after a crash with full memory.
func (s *targetState) usableMemory(now time.Time, capacity int) int {
	if s.crashedTokens == 0 || float64(s.crashedTokens) < crashedShare*float64(capacity) {
		return capacity
	}
	if s.restartSeen.IsZero() {
		s.restartSeen = now
	}
	if now.Sub(s.restartSeen) > restartTime {
		s.crashedTokens = 0
		return capacity
	}
	return int(restartShare * float64(capacity))
}

// mayFill reports whether this daemon may send a request to the target at index in the list of
// the service's targets, whatever the other daemons send meanwhile. free is the memory that is
// free apart from recent, the memory of this daemon's recent requests.
func (f *Fleet) mayFill(index, targets, tokens, recent, free, capacity int) bool {
	owners := ownerShare * float64(capacity)
	share := float64(free)
	switch {
	case f.daemons <= 1:
	case targets < f.daemons: // several daemons have a target in equal parts
		if f.daemonIndex%targets != index {
			return false
		}
		sharers := f.daemons / targets
		if index < f.daemons%targets {
			sharers++
		}
		share /= float64(sharers)
	case index%f.daemons == f.daemonIndex:
		share = min(share, owners)
	case (index+f.daemons/2)%f.daemons == f.daemonIndex:
		share -= owners
	default:
		return false
	}
	return float64(recent+tokens) <= share
}

// pickByMemory picks a target with room for the request; false if there is none, or the memory of
// the service's targets is not known. Targets with a free slot come first.
func (f *Fleet) pickByMemory(now time.Time, criteria *Criteria, scheduler routing.Scheduler, request *routing.Request, candidates []routing.Candidate) (Target, bool) {
	own, others := f.byMemory(now, criteria, candidates)
	spread := scheduler
	if f.dividesTargets() && len(criteria.PromptHolders) == 0 {
		spread.Picker = routing.BestOfSample{Size: sharedSampleSize}
	}
	for _, restrict := range []func([]routing.Candidate) []routing.Candidate{withFreeSlot, slices.Clone[[]routing.Candidate]} {
		if c, err := scheduler.Pick(request, restrict(own), f.random); err == nil {
			return f.targets[c.Target.Name].Target, true
		}
		for _, list := range others {
			if c, err := spread.Pick(request, restrict(list), f.random); err == nil {
				return f.targets[c.Target.Name].Target, true
			}
		}
	}
	return Target{}, false
}

// byMemory returns the candidates with room for a request: own has those that this daemon may fill
// without knowing what the others send meanwhile, and others has first those with much room, and
// then all.
func (f *Fleet) byMemory(now time.Time, criteria *Criteria, candidates []routing.Candidate) (own []routing.Candidate, others [2][]routing.Candidate) {
	if criteria.MemoryTokens <= 1 || criteria.CapacityTokens <= 0 || criteria.ForCopy {
		return nil, others
	}
	list, index := f.services[criteria.Service], 0
	for _, c := range candidates { // in the order of list
		for list[index].ID != c.Target.Name {
			index++
		}
		s := list[index]
		capacity := s.usableMemory(now, criteria.CapacityTokens)
		_, _, used := s.totalLoad()
		free := capacity - used
		if free < criteria.MemoryTokens {
			continue
		}
		others[1] = append(others[1], c)
		if !f.dividesTargets() {
			continue
		}
		recent := f.recentTokens(now, s)
		mayFill := f.mayFill(index, len(list), criteria.MemoryTokens, recent, free+recent, capacity)
		if mayFill && !slices.Contains(criteria.AvoidPlaces, c.Target.Place) {
			own = append(own, c)
		}
		if mayFill || free >= criteria.MemoryTokens+int(reservedShare*float64(capacity)) {
			others[0] = append(others[0], c)
		}
	}
	if len(criteria.PromptHolders) > 0 {
		own = nil // the holders of the prompt are preferred
	}
	return own, others
}
