// Package fleet tracks the registered targets, with what this daemon and its peers
// observe of each, and selects the target of a request with package routing. A Fleet
// is safe for concurrent use. Methods that depend on the time accept it as a
// parameter, so that tests can use a simulated clock.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/routing"
)

// Target is the registration entry of one back end.
type Target struct {
	ID          string
	Service     string
	Address     string // IP:port
	Place       string
	Slots       int // requests that it runs concurrently
	Leaving     bool
	StartMillis int64 // Unix time of its start in milliseconds; 0 if not stated
	Sequence    int64 // of its heartbeats since its start
	// SoftwareVersion is the version of its software, not of the model's weights. A
	// stream that one version began makes no sense when another continues it.
	SoftwareVersion string
}

// missingGrace is how long a target is kept after its entry disappeared, if the entry
// may return: an outage of the store lets many entries expire together. During this
// time the target is used only if its service has no other target. Live targets restore
// their entries within two seconds.
const missingGrace = 2 * time.Second

// targetState is a target with its observed state.
type targetState struct {
	Target
	replaced            bool          // another target registered at its address
	superseded          bool          // a new incarnation registered
	removed             bool          // the entry was removed without leaving
	terminatedUntil     time.Time     // its process is considered terminated until then
	missingSince        time.Time     // when its entry, which may return, disappeared; zero if present
	suspectUntil        time.Time     // it is considered failed until then
	suspectedAt         time.Time     // when the latest suspicion began
	accepts             bool          // it accepted connections when it was last suspected
	silentFor           time.Duration // from the beginning of the suspicion to its latest evidence
	avoidUntil          time.Time     // it gets no new work until then
	consecutiveRefusals int
	running             int                   // requests of this daemon
	prefillTokens       int                   // prompt tokens of this daemon's requests that have had no event
	memoryTokens        int                   // tokens of this daemon's requests and standby copies on it
	peerLoads           map[string]DaemonLoad // by peer
	peerTotal           DaemonLoad            // sum of peerLoads
	stated              statedLoad
	slowdown            estimate  // measured time to first event over the expected time
	failureRate         estimate  // fraction of answers that are the target's own failures
	callLatencyMillis   estimate  // of plain calls
	statement           Statement // latest conditions
	throttle            throttle
	leavingStated       bool          // the target stated to this daemon that it leaves
	relayedLeavingUntil time.Time     // another daemon reports that it leaves; zero if none did
	pausedUntil         time.Time     // the target asked this daemon for no requests until then
	lost                chan struct{} // closed when the target is declared failed
	unusable            chan struct{} // closed when lost is closed, or the target leaves or is removed
}

// DaemonLoad is the load of one daemon on one target.
type DaemonLoad struct {
	Running       int `msgpack:"r"`           // requests in progress
	PrefillTokens int `msgpack:"u,omitempty"` // prompt tokens of requests that have had no event
	MemoryTokens  int `msgpack:"m,omitempty"` // tokens of requests and standby copies
}

// Fleet is the set of targets.
type Fleet struct {
	mu          sync.Mutex
	random      *rand.Rand
	staleness   time.Duration // maximum age of peerLoads
	reportAge   time.Duration // maximum age of peerLoads with the time at reporters, see SetReportAge
	place       string        // of this daemon
	targets     map[string]*targetState
	services    map[string][]*targetState        // sorted by ID
	peerLoads   map[string]map[string]DaemonLoad // by peer, then target
	loadChanged chan struct{}                    // receives a value when this daemon's load changed
	// serviceLoads has the services whose targets state their load, by name.
	serviceLoads map[string]*serviceLoad
	// scratchTargets and scratchShares are reused by pickEven.
	scratchTargets []*targetState
	scratchShares  []routing.Share
}

// New returns an empty fleet for a daemon in a place. The seed is for the choice
// between equal targets and for jitter.
func New(place string, seed uint64) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, seed)), place: place,
		targets: make(map[string]*targetState), services: make(map[string][]*targetState),
		peerLoads: make(map[string]map[string]DaemonLoad), loadChanged: make(chan struct{}, 1),
		serviceLoads: make(map[string]*serviceLoad),
	}
}

// Put adds or updates the entry of a target. An entry with another start time or
// address belongs to a new incarnation, which starts without the state observed of the
// previous one.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[t.ID]; s == nil || s.Address != t.Address {
		f.markReplaced(t)
	}
	f.put(t)
}

// put is Put without the effect on other targets with the address.
func (f *Fleet) put(t Target) {
	s := f.targets[t.ID]
	switch {
	case s == nil:
		f.addToIndexes(newTargetState(t))
	case s.StartMillis != t.StartMillis || s.Address != t.Address:
		s.superseded = true
		s.markLost()
		restarted := newTargetState(t)
		restarted.running, restarted.prefillTokens, restarted.memoryTokens = s.running, s.prefillTokens, s.memoryTokens // each request and copy subtracts its part when it ends
		f.removeFromIndexes(s)
		f.addToIndexes(restarted)
	default:
		f.removeFromIndexes(s) // its service may have changed
		s.Target, s.missingSince, s.replaced, s.terminatedUntil = t, time.Time{}, false, time.Time{}
		f.addToIndexes(s)
		if t.Leaving {
			s.markUnusable()
		}
	}
}

// PutRestored adds or updates the entry of a target that a store holds which was restored
// from an older copy. An entry that is older than the known one changes nothing: the
// target has reported more since, such as that it is leaving, and writes it again. An
// unknown target may be one from before whose address another one has now, so its entry is
// no evidence against that one.
func (f *Fleet) PutRestored(t Target) {
	f.mu.Lock()
	s := f.targets[t.ID]
	if s == nil {
		f.put(t)
		f.mu.Unlock()
		return
	}
	older := t.StartMillis < s.StartMillis || t.StartMillis == s.StartMillis && t.Sequence < s.Sequence
	if older {
		s.missingSince = time.Time{}
	}
	f.mu.Unlock()
	if !older {
		f.Put(t)
	}
}

// markReplaced marks the other targets with the address of t as replaced, unless they
// started later than t.
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

// Remove handles the disappearance of a target's entry. If mayReturn is set, such as
// after a store outage, the target is kept for missingGrace and used only if its
// service has no other target.
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
	s.removed = !s.Leaving
	f.drop(s)
}

// drop removes a target. Its running requests continue; forwarders replace the standby
// copies on it.
func (f *Fleet) drop(s *targetState) {
	s.markUnusable()
	f.removeFromIndexes(s)
}

// Expire removes the targets whose entries did not return within missingGrace and
// returns their IDs.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var expired []string
	for id, s := range f.targets {
		if !s.missingSince.IsZero() && now.Sub(s.missingSince) > missingGrace {
			f.drop(s)
			expired = append(expired, id)
		}
	}
	sort.Strings(expired)
	return expired
}

// Has reports whether the fleet has a target with this ID.
func (f *Fleet) Has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[id] != nil
}

// SoftwareVersions returns the software versions of the registered targets of a service.
func (f *Fleet) SoftwareVersions(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []string
	for _, s := range f.services[service] {
		versions = append(versions, s.SoftwareVersion)
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// TargetsOf returns the ids of the registered targets of a service with a software version, sorted.
func (f *Fleet) TargetsOf(service, version string) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[service] {
		if s.SoftwareVersion == version {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// EarliestStarts returns, by the software versions of the registered targets of a service, the
// earliest time at which a target of the version started, in Unix milliseconds; 0 if a target
// does not state any.
func (f *Fleet) EarliestStarts(service string) map[string]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := make(map[string]int64)
	for _, s := range f.services[service] {
		if earliest, ok := starts[s.SoftwareVersion]; !ok || s.StartMillis < earliest {
			starts[s.SoftwareVersion] = s.StartMillis
		}
	}
	return starts
}

// HasVersion reports whether a service has a target of a version that filter allows and that
// neither leaves nor has terminated. It may get no new requests for a while.
func (f *Fleet) HasVersion(now time.Time, service string, filter func(version string) bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.services[service], func(s *targetState) bool {
		return filter(s.SoftwareVersion) && !s.isLeaving(now) && !s.terminated(now)
	})
}

// IsCurrent reports whether t is the registered incarnation of a target.
func (f *Fleet) IsCurrent(t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	return s != nil && s.StartMillis == t.StartMillis && s.Address == t.Address
}

// Len returns the number of targets.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets)
}

// addToIndexes inserts a target into targets and services.
func (f *Fleet) addToIndexes(s *targetState) {
	f.targets[s.ID] = s
	list := f.services[s.Service]
	f.services[s.Service] = slices.Insert(list, indexOfID(list, s.ID), s)
}

// removeFromIndexes deletes a target from targets and services.
func (f *Fleet) removeFromIndexes(s *targetState) {
	delete(f.targets, s.ID)
	list := f.services[s.Service]
	i := indexOfID(list, s.ID)
	f.services[s.Service] = slices.Delete(list, i, i+1)
}

// indexOfID returns the index of the target with an ID in a list sorted by ID, or the
// index at which to insert it.
func indexOfID(list []*targetState, id string) int {
	return sort.Search(len(list), func(i int) bool { return list[i].ID >= id })
}
