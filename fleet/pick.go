package fleet

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/routing"
)

// Parameters of placement by a view of the peers' loads that may be out of date.
const (
	// MaxFreshViewAge is the age up to which this daemon's view of the peers' loads is
	// expected to include their latest placements. If every daemon leaves at least this
	// time between two long prompts, daemons with the same view don't place them on the
	// same target.
	MaxFreshViewAge = 15 * time.Millisecond
	// staleViewSampleSize is how many randomly drawn targets are considered when the
	// view is older than MaxFreshViewAge. If all were considered, daemons that place
	// requests at the same time, such as after the loss of a place, would all choose
	// the one target that looks idle. The sample for a standby copy is drawn from the
	// targets in the least avoided places, see leastAvoided.
	staleViewSampleSize = 4
)

// SetStaleness sets the maximum age of the view of the peers' loads.
func (f *Fleet) SetStaleness(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.staleness = d
}

// Criteria describes what a request needs of a target.
type Criteria struct {
	Service string
	Exclude map[string]bool // IDs of targets to which this request was already sent
	// Priority of the request; 0 is the most urgent. See Fleet.Throttle.
	Priority int
	// Affinity, if not empty, is a key that ranks equally loaded targets in the same
	// order on every daemon.
	Affinity string
	// SoftwareVersion is the only software version that the target may have; nil for any.
	SoftwareVersion *string
	// VersionFilter reports whether a target may have a software version; nil allows all. It must
	// not call the Fleet.
	VersionFilter func(version string) bool
	// PromptHolders has the IDs of targets whose KV cache is known to hold the prompt.
	PromptHolders map[string]bool
	// AvoidPlaces are places to use only if no other place has a target. For a copy, a later
	// one in the list is avoided more.
	AvoidPlaces []string
	// MemoryTokens is the KV cache memory that the request needs, and CapacityTokens
	// the memory of a target of the service; both are 0 for plain calls.
	MemoryTokens, CapacityTokens int
	// ForCopy means that the target only stores a standby copy and prefills nothing.
	ForCopy bool
	// NeedsRoom means that the target must have a slot and memory free, as far as this
	// daemon knows. Without it, the request may have to wait in a queue.
	NeedsRoom bool
	// NeedsMemory restricts the choice to targets with memory for the request, as far as
	// this daemon knows. A slot need not be free.
	NeedsMemory bool
}

// allowsVersion reports whether a target with a software version meets the criteria.
func (c *Criteria) allowsVersion(version string) bool {
	return (c.SoftwareVersion == nil || *c.SoftwareVersion == version) && (c.VersionFilter == nil || c.VersionFilter(version))
}

// Pick returns the target to which a request should be sent. Targets whose entries are
// missing are considered only if the service has no other candidates, and targets that leave
// only by the word of another daemon if none else is usable. The error is
// routing.ErrNoTarget if none is usable.
func (f *Fleet) Pick(now time.Time, criteria Criteria) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, err := f.pick(now, criteria)
	if errors.Is(err, routing.ErrNoTarget) && f.distrustRelayedLeaving(now, criteria.Service) {
		t, err = f.pick(now, criteria)
	}
	return t, err
}

// distrustRelayedLeaving drops what other daemons reported of leaving targets if it leaves a
// service without any. It reports whether there was something to drop.
func (f *Fleet) distrustRelayedLeaving(now time.Time, service string) (dropped bool) {
	for _, s := range f.services[service] {
		if s.state(now) == Ready {
			return false
		}
	}
	for _, s := range f.services[service] {
		if now.Before(s.relayedLeavingUntil) {
			s.relayedLeavingUntil, dropped = now, true
		}
	}
	return dropped
}

func (f *Fleet) pick(now time.Time, criteria Criteria) (Target, error) {
	candidates := f.candidates(now, criteria, false)
	if len(candidates) == 0 {
		candidates = f.candidates(now, criteria, true)
	}
	request := &routing.Request{
		Exclude: criteria.Exclude, Affinity: criteria.Affinity, Blocks: promptAsOneBlock, AvoidPlaces: criteria.AvoidPlaces,
		System: configuration.NewSystem, FromPlace: f.place,
	}
	if criteria.MemoryTokens == 0 && !criteria.ForCopy && len(criteria.PromptHolders) == 0 {
		if load := f.statesLoad(now, criteria.Service); load != nil {
			return f.pickEven(now, load, request, candidates)
		}
	}
	scheduler := routing.CallScheduler()
	switch {
	case criteria.ForCopy:
		candidates = leastAvoided(request, candidates)
		scheduler = routing.CopyScheduler()
	case criteria.MemoryTokens > 0:
		scheduler = routing.PromptScheduler()
	}
	if f.staleness > MaxFreshViewAge && len(criteria.PromptHolders) == 0 {
		scheduler.Picker = routing.BestOfSample{Size: staleViewSampleSize}
	}
	if criteria.MemoryTokens > 0 && !criteria.ForCopy {
		if free := withFreeSlot(candidates); len(free) < len(candidates) {
			if c, err := scheduler.Pick(request, free, f.random); err == nil {
				return f.targets[c.Target.Name].Target, nil
			}
		}
	}
	c, err := scheduler.Pick(request, candidates, f.random)
	if err != nil {
		return Target{}, err
	}
	return f.targets[c.Target.Name].Target, nil
}

// leastAvoided returns the candidates for a standby copy in the least avoided places that have
// an available one. A score is not enough: if two of three places are avoided, a sample of four
// targets has none in the third place once in five times.
func leastAvoided(r *routing.Request, candidates []routing.Candidate) []routing.Candidate {
	rank := func(c *routing.Candidate) int {
		for i, place := range slices.Backward(r.AvoidPlaces) {
			if place == c.Target.Place {
				return i + 1
			}
		}
		return 0
	}
	least := len(r.AvoidPlaces) + 1
	for i := range candidates {
		if (routing.Available{}).Keep(r, &candidates[i]) {
			least = min(least, rank(&candidates[i]))
		}
	}
	return slices.DeleteFunc(candidates, func(c routing.Candidate) bool { return rank(&c) != least })
}

// withFreeSlot returns the candidates that have a slot free or state no number of slots. A
// stream in a queue waits for the end of another one, and if the daemon stops, it never begins.
func withFreeSlot(candidates []routing.Candidate) []routing.Candidate {
	isFull := func(c routing.Candidate) bool { return c.Slots > 0 && c.Estimated >= float64(c.Slots) }
	if !slices.ContainsFunc(candidates, isFull) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), isFull)
}

// MayRecover reports whether a target that meets the criteria is registered and gets no
// new work only for a while: it is suspected, avoided or throttled.
func (f *Fleet) MayRecover(now time.Time, criteria Criteria) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[criteria.Service] {
		state := s.state(now)
		if s.pausedUntil.Sub(now) > SuspectDuration {
			continue
		}
		forAWhile := state == Suspected || state == Avoided || state == Ready && s.throttled(now, criteria.Priority)
		if !criteria.Exclude[s.ID] && criteria.allowsVersion(s.SoftwareVersion) && forAWhile {
			return true
		}
	}
	return false
}

// candidates returns the targets of the service with their observed state. If missing
// is set, it returns those whose entries are missing, otherwise all others.
func (f *Fleet) candidates(now time.Time, criteria Criteria, missing bool) []routing.Candidate {
	list := f.services[criteria.Service]
	candidates, rate := make([]routing.Candidate, 0, len(list)), f.prefillRate(now, criteria.Service)
	for _, s := range list {
		if criteria.Exclude[s.ID] || s.missingSince.IsZero() == missing || !criteria.allowsVersion(s.SoftwareVersion) {
			continue
		}
		running, prefillTokens, memoryTokens := s.totalLoad()
		if criteria.NeedsRoom && !s.hasRoom(criteria.MemoryTokens, criteria.CapacityTokens) ||
			criteria.NeedsMemory && memoryUsage(memoryTokens+criteria.MemoryTokens, criteria.CapacityTokens) > 1 {
			continue
		}
		near := routing.SameRegion
		if s.Place == f.place {
			near = routing.SamePlace
		}
		candidates = append(candidates, routing.Candidate{
			Target:   configuration.Target{Name: s.ID, Address: s.Address, Place: s.Place, Permits: max(1, s.Slots)},
			Free:     true,
			Leaving:  s.isLeaving(now) || s.terminated(now),
			Down:     now.Before(s.suspectUntil) || now.Before(s.avoidUntil) || now.Before(s.pausedUntil) || s.throttled(now, criteria.Priority),
			InFlight: s.running, Estimated: float64(running), Slots: s.Slots, Near: near,
			Start: s.expectedStartDelay(now, prefillTokens+criteria.MemoryTokens, running, rate), Failing: s.failureRate.value(now, 0),
			Filled: memoryUsage(memoryTokens+criteria.MemoryTokens, criteria.CapacityTokens),
		})
		if criteria.PromptHolders[s.ID] {
			candidates[len(candidates)-1].CachedBlocks = len(promptAsOneBlock)
		}
	}
	return candidates
}

// hasRoom reports whether a target has a slot free, and memory for a request with so many
// tokens, by the loads of all daemons. What is not known is not lacking.
func (s *targetState) hasRoom(memoryTokens, capacityTokens int) bool {
	running, _, memory := s.totalLoad()
	return (s.Slots == 0 || running < s.Slots) && memoryUsage(memory+memoryTokens, capacityTokens) <= 1
}

// HasRoom reports whether a registered target has a slot free and memory for a request.
func (f *Fleet) HasRoom(id string, memoryTokens, capacityTokens int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	return s != nil && s.hasRoom(memoryTokens, capacityTokens)
}

// ServiceSize returns how many targets of a service are registered.
func (f *Fleet) ServiceSize(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.services[service])
}

// CountReady returns how many targets that are ready meet the criteria, at most most.
func (f *Fleet) CountReady(now time.Time, criteria Criteria, most int) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[criteria.Service] {
		if n >= most {
			break
		}
		isReady := s.state(now) == Ready && !s.throttled(now, criteria.Priority)
		hasRoom := !criteria.NeedsRoom || s.hasRoom(criteria.MemoryTokens, criteria.CapacityTokens)
		if isReady && hasRoom && !criteria.Exclude[s.ID] && criteria.allowsVersion(s.SoftwareVersion) {
			n++
		}
	}
	return n
}

// HoldSlot keeps a slot of a target that has room for a request, so that the requests of this
// daemon that look for room at the same time don't take the same one. It returns false if the
// target has no room or is unknown. The returned function ends the hold and may be called
// more than once.
func (f *Fleet) HoldSlot(id string, memoryTokens, capacityTokens int) (release func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil || !s.hasRoom(memoryTokens, capacityTokens) {
		return nil, false
	}
	s.running++
	s.memoryTokens += memoryTokens
	f.signalLoadChanged()
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s := f.targets[id]; s != nil {
			s.running = max(0, s.running-1)
			s.memoryTokens = max(0, s.memoryTokens-memoryTokens)
		}
	}), true
}

// promptAsOneBlock represents a prompt as a single block, because PromptHolders only
// has targets that hold the complete prompt.
var promptAsOneBlock = []uint64{0}

// totalLoad returns the load of all daemons: running requests, prompt tokens still to
// be prefilled and tokens in memory.
func (s *targetState) totalLoad() (running, prefillTokens, memoryTokens int) {
	return s.running + s.peerTotal.Running, s.prefillTokens + s.peerTotal.PrefillTokens, s.memoryTokens + s.peerTotal.MemoryTokens
}

// memoryUsage returns the fraction of a target's memory that is in use, above 1 if it
// exceeds the capacity. It is 0 if the capacity is not given.
func memoryUsage(memory, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(memory) / float64(capacity)
}

// RankByHash returns at most limit ready targets of a service, ordered by rendezvous
// hashing of a key. The order is the same on every daemon.
func (f *Fleet) RankByHash(now time.Time, service, key string, limit int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ready []Target
	for _, s := range f.services[service] {
		if s.state(now) == Ready {
			ready = append(ready, s.Target)
		}
	}
	rank := func(t Target) uint64 { return xxhash.Sum64String(key + "\x00" + t.ID) }
	sort.Slice(ready, func(i, j int) bool { return rank(ready[i]) > rank(ready[j]) })
	return ready[:min(limit, len(ready))]
}
