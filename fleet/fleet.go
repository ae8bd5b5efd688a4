// Package fleet knows the targets that can be used now: those that registered,
// less those that leave, with what this daemon and its peers observe of each. It
// picks targets by the routing package. A Fleet is safe for concurrent use; every
// method takes the time, so that it can be driven by any clock.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"
)

// Target is one back end as it registered itself.
type Target struct {
	ID          string
	Service     string
	Address     string // IP:port
	Place       string
	Slots       int // requests that it runs at once
	Leaving     bool
	StartMillis int64 // Unix milliseconds of its start; 0 if not stated
}

// missingGrace is how long a target whose entry vanished together with many
// others, or after an outage of the store, stays in use if nothing else does:
// such entries are back within two seconds if their targets live.
const missingGrace = 2 * time.Second

// targetState is a target with what is known of it.
type targetState struct {
	Target
	replaced            bool      // another target registered at its address
	terminatedUntil     time.Time // until then its process is taken to have ended
	missingSince        time.Time // since when its entry is gone but may come back; zero if present
	suspectUntil        time.Time // until then it is taken for dead
	avoidUntil          time.Time // until then it gets no new work
	consecutiveRefusals int       // in a row
	running             int       // own requests
	prefillTokens       int       // prompt tokens of own requests without a first event
	memoryTokens        int       // tokens of own requests and copies there
	peerLoads           map[string]DaemonLoad
	slowdown            estimate      // of this target against what its kind should take
	failureRate         estimate      // share of answers that are the target's own failures
	callLatencyMillis   estimate      // of plain calls, in milliseconds
	lost                chan struct{} // closed when the target is suspected
	unusable            chan struct{} // closed when it is, or when it leaves or is gone
}

// DaemonLoad is the work of one daemon on one target.
type DaemonLoad struct {
	Running       int `msgpack:"r"`           // requests
	PrefillTokens int `msgpack:"u,omitempty"` // prompt tokens of those without a first event
	MemoryTokens  int `msgpack:"m,omitempty"` // tokens of requests and copies
}

// Fleet is the set of targets.
type Fleet struct {
	mu          sync.Mutex
	random      *rand.Rand
	staleness   time.Duration // age that what peers run may have
	place       string
	targets     map[string]*targetState
	services    map[string][]*targetState        // sorted by id
	peerLoads   map[string]map[string]DaemonLoad // what each peer runs, by target
	loadChanged chan struct{}                    // gets a value when this daemon's work changed
}

// New returns an empty fleet as seen from a place.
func New(place string, seed uint64) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, seed)), place: place,
		targets: make(map[string]*targetState), services: make(map[string][]*targetState),
		peerLoads: make(map[string]map[string]DaemonLoad), loadChanged: make(chan struct{}, 1),
	}
}

// Put takes the entry of a target, new or changed. An entry with another start
// time is another run of the target, which knows nothing of the one before.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	if s == nil || s.Address != t.Address {
		f.markReplaced(t)
	}
	switch {
	case s == nil:
		f.addToIndexes(newTargetState(t))
	case s.StartMillis != t.StartMillis || s.Address != t.Address:
		s.markLost()
		fresh := newTargetState(t)
		fresh.running, fresh.prefillTokens, fresh.memoryTokens = s.running, s.prefillTokens, s.memoryTokens // released by their holders
		f.removeFromIndexes(s)
		f.addToIndexes(fresh)
	default:
		f.removeFromIndexes(s) // its service may be another one now
		s.Target, s.missingSince, s.replaced, s.terminatedUntil = t, time.Time{}, false, time.Time{}
		f.addToIndexes(s)
		if t.Leaving {
			s.markUnusable()
		}
	}
}

// markReplaced takes the targets for gone whose address a newer one holds.
func (f *Fleet) markReplaced(t Target) {
	for _, s := range f.targets {
		if s.Address == t.Address && s.ID != t.ID && s.StartMillis <= t.StartMillis {
			s.replaced = true
			s.markLost()
		}
	}
}

func newTargetState(t Target) *targetState {
	return &targetState{Target: t, lost: make(chan struct{}), unusable: make(chan struct{}), peerLoads: make(map[string]DaemonLoad)}
}

// Remove takes note that a target's entry is gone. If it may come back, as after
// an outage of the store, the target stays in use for a while where no other
// target of its service is left.
func (f *Fleet) Remove(now time.Time, id string, mayReturn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return
	}
	if mayReturn {
		if s.missingSince.IsZero() {
			s.missingSince = now
		}
		return
	}
	f.drop(s)
}

// drop forgets a target; runs there go on, copies there are made elsewhere.
func (f *Fleet) drop(s *targetState) {
	s.markUnusable()
	f.removeFromIndexes(s)
}

// Expire drops targets whose entries did not come back, and returns their ids.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, s := range f.targets {
		if !s.missingSince.IsZero() && now.Sub(s.missingSince) > missingGrace {
			f.drop(s)
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// Has tells whether there is a target of this id.
func (f *Fleet) Has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[id] != nil
}

// Len returns the number of targets.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets)
}

// addToIndexes puts a target into the indexes.
func (f *Fleet) addToIndexes(s *targetState) {
	f.targets[s.ID] = s
	list := f.services[s.Service]
	f.services[s.Service] = slices.Insert(list, indexOfID(list, s.ID), s)
}

// removeFromIndexes takes a target out of the indexes.
func (f *Fleet) removeFromIndexes(s *targetState) {
	delete(f.targets, s.ID)
	list := f.services[s.Service]
	i := indexOfID(list, s.ID)
	f.services[s.Service] = slices.Delete(list, i, i+1)
}

// indexOfID is where the target of an id stands, or belongs, in a list by id.
func indexOfID(list []*targetState, id string) int {
	return sort.Search(len(list), func(i int) bool { return list[i].ID >= id })
}
