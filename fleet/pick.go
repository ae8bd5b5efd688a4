package fleet

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/routing"
)

// What daemons know of each other's work.
const (
	// MaxFreshViewAge is the age up to which the view of the others' work shows what they
	// have just placed. A daemon that places long prompts no closer to each other
	// than this never meets on one target with others who see what it sees.
	MaxFreshViewAge = 15 * time.Millisecond
	// staleViewSampleSize is how many targets, drawn by chance, a request is placed among
	// where the view is older: among all, daemons that place at the same time, as
	// after the loss of a place, would all choose the one that looks idle. With four,
	// a copy gets into its run's place, where a fourth of all is, once in 256 times.
	staleViewSampleSize = 4
)

// SetStaleness tells how old the view of the other daemons' work may be.
func (f *Fleet) SetStaleness(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.staleness = d
}

// Criteria says what a request needs of a target.
type Criteria struct {
	Service string
	Exclude map[string]bool // targets that this request was sent to
	// Affinity, if not empty, ranks equally loaded targets alike on every daemon.
	Affinity string
	// PromptHolders holds the ids of targets that are known to hold the prompt.
	PromptHolders map[string]bool
	// AvoidPlaces are places to stay out of if any other has a target.
	AvoidPlaces []string
	// MemoryTokens is the memory that the request takes, in tokens, and Capacity what a
	// target of the service has; 0 for plain calls.
	MemoryTokens, CapacityTokens int
	// ForCopy tells that a target is wanted for a copy only: it reads nothing.
	ForCopy bool
}

// Pick returns the target that should take a request now.
func (f *Fleet) Pick(now time.Time, w Criteria) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.candidates(now, w, false)
	if len(candidates) == 0 {
		candidates = f.candidates(now, w, true)
	}
	request := &routing.Request{
		Exclude: w.Exclude, Affinity: w.Affinity, Blocks: promptAsOneBlock, AvoidPlaces: w.AvoidPlaces,
		System: configuration.NewSystem, FromPlace: f.place,
	}
	scheduler := routing.CallScheduler()
	switch {
	case w.ForCopy:
		scheduler = routing.CopyScheduler()
	case w.MemoryTokens > 0:
		scheduler = routing.PromptScheduler()
	}
	if f.staleness > MaxFreshViewAge && len(w.PromptHolders) == 0 {
		scheduler.Picker = routing.BestOfSample{Size: staleViewSampleSize}
	}
	c, err := scheduler.Pick(request, candidates, f.random)
	if err != nil {
		return Target{}, err
	}
	return f.targets[c.Target.Name].Target, nil
}

// candidates returns the targets of the wished service with what is known of
// them. Those whose entries are missing are left out unless missing is set.
func (f *Fleet) candidates(now time.Time, w Criteria, missing bool) []routing.Candidate {
	list := f.services[w.Service]
	out := make([]routing.Candidate, 0, len(list))
	for _, s := range list {
		if w.Exclude[s.ID] || s.missingSince.IsZero() == missing {
			continue
		}
		running, unread, memory := s.totalLoad()
		near := routing.SameRegion
		if s.Place == f.place {
			near = routing.SamePlace
		}
		out = append(out, routing.Candidate{
			Target:  configuration.Target{Name: s.ID, Address: s.Address, Place: s.Place, Permits: max(1, s.Slots)},
			Free:    true,
			Leaving: s.Leaving || s.terminated(now), Down: now.Before(s.suspectUntil) || now.Before(s.avoidUntil),
			InFlight: s.running, Estimated: float64(running), Slots: s.Slots, Near: near,
			Start: s.expectedStartDelay(now, unread+w.MemoryTokens, running), Failing: s.failureRate.value(now, 0),
			Filled: memoryUsage(memory+w.MemoryTokens, w.CapacityTokens),
		})
		if w.PromptHolders[s.ID] {
			out[len(out)-1].CachedBlocks = len(promptAsOneBlock)
		}
	}
	return out
}

// promptAsOneBlock stands for a prompt of which a cache holds all or nothing.
var promptAsOneBlock = []uint64{0}

// totalLoad returns the requests, unread prompt tokens and tokens in memory of all
// daemons.
func (s *targetState) totalLoad() (running, unread, memory int) {
	running, unread, memory = s.running, s.prefillTokens, s.memoryTokens
	for _, p := range s.peerLoads {
		running += p.Running
		unread += p.PrefillTokens
		memory += p.MemoryTokens
	}
	return running, unread, memory
}

// memoryUsage is the part of a target's memory that is in use, above 1 if there is not
// enough.
func memoryUsage(memory, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(memory) / float64(capacity)
}

// RankByHash returns the targets of a service that may get new work, those first that
// the hash of a key names first, alike on every daemon; most of them at most.
func (f *Fleet) RankByHash(now time.Time, service, key string, most int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Target
	for _, s := range f.services[service] {
		if s.state(now) == Ready {
			out = append(out, s.Target)
		}
	}
	rank := func(t Target) uint64 { return xxhash.Sum64String(key + "\x00" + t.ID) }
	sort.Slice(out, func(i, j int) bool { return rank(out[i]) > rank(out[j]) })
	return out[:min(most, len(out))]
}
