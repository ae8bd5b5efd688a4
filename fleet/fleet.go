// Package fleet knows the targets that can be used now: those that registered,
// less those that leave, with what this daemon and its peers observe of each. It
// picks targets by the routing package. A Fleet is safe for concurrent use; every
// method takes the time, so that it can be driven by any clock.
package fleet

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/routing"
)

// Target is one back end as it registered itself.
type Target struct {
	ID      string
	Service string
	Address string // IP:port
	Place   string
	Slots   int // requests that it runs at once
	Leaving bool
	Born    int64 // Unix milliseconds of its start; 0 if not stated
}

// Timing of suspicion and avoidance.
const (
	// SuspectFor is how long a target that fell silent or broke its connections
	// gets no new work unless it proves to be alive. Restarts take about a second.
	SuspectFor = 1500 * time.Millisecond
	// avoidBase and avoidMax bound how long a target that refused or was not
	// reached is left alone; the time doubles with each refusal in a row.
	avoidBase = 150 * time.Millisecond
	avoidMax  = 2 * time.Second
	// missingGrace is how long a target whose entry vanished together with many
	// others, or after an outage of the store, stays in use if nothing else does:
	// such entries are back within two seconds if their targets live.
	missingGrace = 2 * time.Second
)

// status is a target with what is known of it.
type status struct {
	Target
	replaced bool      // another target holds its address
	missing  time.Time // since when its entry is gone but may come back; zero if present
	suspect  time.Time // until then it is taken for dead
	avoid    time.Time // until then it gets no new work
	refusals int       // in a row
	running  int       // own requests
	unread   int       // prompt tokens of own requests without a first event
	memory   int       // tokens of own requests and copies there
	peers    map[string]Share
	pace     estimate      // of this target against what its kind should take
	failing  estimate      // share of answers that are the target's own failures
	latency  estimate      // of plain calls, in milliseconds
	lost     chan struct{} // closed when the target is suspected
	unfit    chan struct{} // closed when it is, or when it leaves or is gone
}

// Share is the work of one daemon on one target.
type Share struct {
	Running int `msgpack:"r"`           // requests
	Unread  int `msgpack:"u,omitempty"` // prompt tokens of those without a first event
	Memory  int `msgpack:"m,omitempty"` // tokens of requests and copies
}

// Fleet is the set of targets.
type Fleet struct {
	mu       sync.Mutex
	random   *rand.Rand
	place    string
	targets  map[string]*status
	services map[string][]*status // sorted by id
	changed  chan struct{}        // gets a value when this daemon's work changed
}

// New returns an empty fleet as seen from a place.
func New(place string, seed uint64) *Fleet {
	return &Fleet{
		random: rand.New(rand.NewPCG(seed, seed)), place: place,
		targets: make(map[string]*status), services: make(map[string][]*status), changed: make(chan struct{}, 1),
	}
}

// Put takes the entry of a target, new or changed. An entry with another start
// time is another run of the target, which knows nothing of the one before.
func (f *Fleet) Put(t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	if s == nil || s.Address != t.Address {
		f.replaceAt(t)
	}
	switch {
	case s == nil:
		f.targets[t.ID] = newStatus(t)
	case s.Born != t.Born || s.Address != t.Address:
		s.markLost()
		fresh := newStatus(t)
		fresh.running, fresh.unread, fresh.memory = s.running, s.unread, s.memory // released by their holders
		f.targets[t.ID] = fresh
	default:
		s.Target, s.missing, s.replaced = t, time.Time{}, false
		if t.Leaving {
			s.markUnfit()
		}
	}
	f.index()
}

// replaceAt takes the targets for gone whose address a newer one holds.
func (f *Fleet) replaceAt(t Target) {
	for _, s := range f.targets {
		if s.Address == t.Address && s.ID != t.ID && s.Born <= t.Born {
			s.replaced = true
			s.markLost()
		}
	}
}

// Replaced notes that this run of a target has ended and that another one, another
// target, or nobody holds its address. It returns whether that is news. A change of
// its entry makes it usable again.
func (f *Fleet) Replaced(t Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	if s == nil || s.Born != t.Born || s.replaced {
		return false
	}
	s.replaced = true
	s.markLost()
	return true
}

func newStatus(t Target) *status {
	return &status{Target: t, lost: make(chan struct{}), unfit: make(chan struct{}), peers: make(map[string]Share)}
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
		if s.missing.IsZero() {
			s.missing = now
		}
		return
	}
	s.markUnfit()
	delete(f.targets, id)
	f.index()
}

// Expire drops targets whose entries did not come back, and returns their ids.
func (f *Fleet) Expire(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for id, s := range f.targets {
		if !s.missing.IsZero() && now.Sub(s.missing) > missingGrace {
			delete(f.targets, id)
			out = append(out, id)
		}
	}
	if len(out) > 0 {
		f.index()
	}
	sort.Strings(out)
	return out
}

// IDs returns the ids of all targets, sorted.
func (f *Fleet) IDs() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]string, 0, len(f.targets))
	for id := range f.targets {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// Len returns the number of targets.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.targets)
}

func (f *Fleet) index() {
	f.services = make(map[string][]*status)
	for _, s := range f.targets {
		f.services[s.Service] = append(f.services[s.Service], s)
	}
	for _, list := range f.services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
}

// Wish says what a request needs of a target.
type Wish struct {
	Service string
	Exclude map[string]bool // targets that this request was sent to
	// Affinity, if not empty, ranks equally loaded targets alike on every daemon.
	Affinity string
	// Cached holds the ids of targets that are known to hold the prompt.
	Cached map[string]bool
	// OtherPlaces are places to stay out of if any other has a target.
	OtherPlaces []string
	// Need is the memory that the request takes, in tokens, and Capacity what a
	// target of the service has; 0 for plain calls.
	Need, Capacity int
	// Copy tells that a target is wanted for a copy only: it reads nothing.
	Copy bool
}

// Pick returns the target that should take a request now.
func (f *Fleet) Pick(now time.Time, w Wish) (Target, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := f.candidates(now, w, false)
	if len(candidates) == 0 {
		candidates = f.candidates(now, w, true)
	}
	request := &routing.Request{
		Exclude: w.Exclude, Affinity: w.Affinity, Blocks: wholePrompt, OtherPlaces: w.OtherPlaces,
		Pinned: configuration.NewSystem, FromPlace: f.place,
	}
	scheduler := routing.Calls()
	switch {
	case w.Copy:
		scheduler = routing.Copies()
	case w.Need > 0:
		scheduler = routing.Prompts()
	}
	c, err := scheduler.Pick(request, candidates, f.random)
	if err != nil {
		return Target{}, err
	}
	return f.targets[c.Target.Name].Target, nil
}

// candidates returns the targets of the wished service with what is known of
// them. Those whose entries are missing are left out unless missing is set.
func (f *Fleet) candidates(now time.Time, w Wish, missing bool) []routing.Candidate {
	list := f.services[w.Service]
	out := make([]routing.Candidate, 0, len(list))
	for _, s := range list {
		if w.Exclude[s.ID] || s.missing.IsZero() == missing {
			continue
		}
		running, unread, memory := s.load()
		near := routing.SameRegion
		if s.Place == f.place {
			near = routing.SamePlace
		}
		out = append(out, routing.Candidate{
			Target:  configuration.Target{Name: s.ID, Address: s.Address, Place: s.Place, Permits: max(1, s.Slots)},
			Free:    true,
			Leaving: s.Leaving || s.replaced, Down: now.Before(s.suspect) || now.Before(s.avoid),
			InFlight: s.running, Estimated: float64(running), Slots: s.Slots, Near: near,
			Start: s.expectedStart(now, unread, running), Failing: s.failing.value(now, 0),
			Filled: filled(memory+w.Need, w.Capacity),
		})
		if w.Cached[s.ID] {
			out[len(out)-1].CachedBlocks = len(wholePrompt)
		}
	}
	return out
}

// wholePrompt stands for a prompt of which a cache holds all or nothing.
var wholePrompt = []uint64{0}

// load returns the requests, unread prompt tokens and tokens in memory of all
// daemons.
func (s *status) load() (running, unread, memory int) {
	running, unread, memory = s.running, s.unread, s.memory
	for _, p := range s.peers {
		running += p.Running
		unread += p.Unread
		memory += p.Memory
	}
	return running, unread, memory
}

// filled is the part of a target's memory that is in use, above 1 if there is not
// enough.
func filled(memory, capacity int) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(memory) / float64(capacity)
}

// Lost returns a channel that is closed once the target is taken for dead.
func (f *Fleet) Lost(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		return s.lost
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// Suspect takes a target for dead until it answers or some time has passed. It
// returns false if it already was.
func (f *Fleet) Suspect(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return false
	}
	fresh := !now.Before(s.suspect)
	s.suspect = now.Add(SuspectFor)
	s.markLost()
	return fresh
}

func (s *status) markLost() {
	close(s.lost)
	s.lost = make(chan struct{})
	s.markUnfit()
}

func (s *status) markUnfit() {
	close(s.unfit)
	s.unfit = make(chan struct{})
}

// Unfit returns a channel that is closed once the target is not to be relied on
// for what comes: it is taken for dead, leaves, or is gone.
func (f *Fleet) Unfit(id string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil && !s.Leaving && !s.replaced {
		return s.unfit
	}
	closed := make(chan struct{})
	close(closed)
	return closed
}

// Refused notes that a target turned a request away or was not reached; it is
// left alone for a while that doubles with each time in a row.
func (f *Fleet) Refused(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return
	}
	wait := avoidMax
	if s.refusals < 4 {
		wait = avoidBase << s.refusals
	}
	s.refusals++
	jitter := 0.75 + 0.5*f.random.Float64()
	s.avoid = now.Add(time.Duration(float64(wait) * jitter))
}

// Alive notes that a target answered a probe. One that refused work is left alone
// as before.
func (f *Fleet) Alive(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		s.suspect = time.Time{}
	}
}

// Answered notes that a target answered a request: it lives and takes work.
func (f *Fleet) Answered(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		s.suspect, s.avoid, s.refusals = time.Time{}, time.Time{}, 0
	}
}

// SamePlace returns the other targets of t's service in its place that are not taken
// for dead: those that run something for this daemon, and up to some of the rest.
func (f *Fleet) SamePlace(now time.Time, t Target, some int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out, idle []Target
	for _, s := range f.services[t.Service] {
		switch {
		case s.ID == t.ID || s.Place != t.Place || s.replaced || now.Before(s.suspect):
		case s.running > 0 || s.memory > 0:
			out = append(out, s.Target)
		default:
			idle = append(idle, s.Target)
		}
	}
	f.random.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	return append(out, idle[:min(some, len(idle))]...)
}

// State tells whether a target may get new work now, and if not, why.
type State string

// States of a target.
const (
	Ready     State = "ready"
	Unknown   State = "unknown" // it has no entry, or another holds its address
	Leaving   State = "leaving"
	Suspected State = "suspected"
	Avoided   State = "avoided" // it refused lately
)

// State returns whether a target may get new work now.
func (f *Fleet) State(now time.Time, id string) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	switch {
	case s == nil || s.replaced:
		return Unknown
	case s.Leaving:
		return Leaving
	case now.Before(s.suspect):
		return Suspected
	case now.Before(s.avoid):
		return Avoided
	}
	return Ready
}

// Doubt takes a peer's word that a target seems dead. It gets no new work for a while;
// what runs there goes on. It returns the target if this daemon uses it, so that it
// finds out by itself.
func (f *Fleet) Doubt(now time.Time, id string) (t Target, used bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil || s.replaced || now.Before(s.suspect) {
		return Target{}, false
	}
	if s.running > 0 || s.memory > 0 {
		return s.Target, true
	}
	if until := now.Add(SuspectFor); s.avoid.Before(until) {
		s.avoid = until
	}
	return Target{}, false
}

// Nearest returns the targets of a service that may get new work, those first that
// the hash of a key names first, alike on every daemon; most of them at most.
func (f *Fleet) Nearest(now time.Time, service, key string, most int) []Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Target
	for _, s := range f.services[service] {
		if !s.Leaving && !s.replaced && !now.Before(s.suspect) && !now.Before(s.avoid) {
			out = append(out, s.Target)
		}
	}
	rank := func(t Target) uint64 { return xxhash.Sum64String(key + "\x00" + t.ID) }
	sort.Slice(out, func(i, j int) bool { return rank(out[i]) > rank(out[j]) })
	return out[:min(most, len(out))]
}
