package fleet

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// delayPerRunning is added to the expected delay of a prompt for each request that runs on
// the target. A prefill delays the events of running requests by about a second. Only a part
// of that second is counted: otherwise prompts would wait long for a target without streams.
const delayPerRunning = 300 * time.Millisecond

// ActiveRequest is a request of this daemon on a target. Its methods may be called more
// than once and concurrently.
type ActiveRequest struct {
	fleet          *Fleet
	targetID       string
	demand         Demand
	prefillPending bool
	done           bool
	refused        bool
	idleTarget     bool // the target was idle, and the prompt is long enough to measure its prefill rate
	sentAt         time.Time
	expectedWait   time.Duration // for the first event, without the target's slowdown
}

// Demand is the load that a request puts on a target, in tokens. It is zero for a plain
// call.
type Demand struct {
	PrefillTokens int // to be prefilled before the first event
	MemoryTokens  int // prompt and output
}

// Begin adds a request to the load of a target, until Done is called on the result.
func (f *Fleet) Begin(now time.Time, id string, d Demand) *ActiveRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &ActiveRequest{fleet: f, targetID: id, demand: d, prefillPending: d.PrefillTokens > 0, sentAt: now}
	s := f.targets[id]
	if s == nil {
		r.done = true
		return r
	}
	running, prefillTokens, _ := s.totalLoad()
	r.expectedWait = prefillTime(prefillTokens+d.PrefillTokens, f.prefillRate(now, s.Service))
	r.idleTarget = running == 0 && prefillTokens == 0 && d.PrefillTokens >= minMeasuredPrompt
	s.running++
	s.prefillTokens += d.PrefillTokens
	s.memoryTokens += d.MemoryTokens
	f.signalLoadChanged()
	return r
}

// LoadChanged returns a channel that receives a value after this daemon's load changed.
// Further changes before the value is received cause no second value.
func (f *Fleet) LoadChanged() <-chan struct{} { return f.loadChanged }

func (f *Fleet) signalLoadChanged() {
	select {
	case f.loadChanged <- struct{}{}:
	default:
	}
}

// ReserveCopy adds the memory of a standby copy, in tokens, to the load of a target.
// The returned function subtracts it and may be called more than once.
func (f *Fleet) ReserveCopy(id string, tokens int) (release func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return func() {}
	}
	s.memoryTokens += tokens
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s := f.targets[id]; s != nil {
			s.memoryTokens = max(0, s.memoryTokens-tokens)
		}
	})
}

// MarkFirstEvent records the first event of a stream: its prompt is prefilled.
func (r *ActiveRequest) MarkFirstEvent(now time.Time) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if !r.prefillPending || r.done {
		return
	}
	r.prefillPending = false
	r.fleet.signalLoadChanged()
	if s := r.fleet.targets[r.targetID]; s != nil {
		s.prefillTokens = max(0, s.prefillTokens-r.demand.PrefillTokens)
		r.fleet.recordFirstEvent(now, s, r)
		if r.expectedWait > 0 {
			s.slowdown.add(now, float64(now.Sub(r.sentAt))/float64(r.expectedWait))
		}
	}
}

// MarkRefused records that the target did not run the request, so that its duration says
// nothing of the target's speed.
func (r *ActiveRequest) MarkRefused() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.refused = true
}

// Done subtracts the request from the load of its target. failed reports whether the
// request failed because of the target.
func (r *ActiveRequest) Done(now time.Time, failed bool) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	s := r.fleet.targets[r.targetID]
	if s == nil {
		return
	}
	r.fleet.signalLoadChanged()
	s.running = max(0, s.running-1)
	s.memoryTokens = max(0, s.memoryTokens-r.demand.MemoryTokens)
	if r.prefillPending {
		s.prefillTokens = max(0, s.prefillTokens-r.demand.PrefillTokens)
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureRate.add(now, outcome)
	if r.demand == (Demand{}) {
		if !failed && !r.refused {
			r.fleet.recordCall(now, s, now.Sub(r.sentAt))
		}
		s.callLatencyMillis.add(now, float64(now.Sub(r.sentAt))/float64(time.Millisecond))
	}
}

// TotalLoad returns the load of all daemons on a target, as far as this one knows it.
func (f *Fleet) TotalLoad(id string) (running, memoryTokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		running, _, memoryTokens = s.totalLoad()
	}
	return running, memoryTokens
}

// RunningOf returns the number of requests of a daemon on a target, as it reported; that of
// this daemon if the peer is empty.
func (f *Fleet) RunningOf(peer, id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	switch {
	case s == nil:
		return 0
	case peer == "":
		return s.running
	}
	return s.peerLoads[peer].Running
}

// OwnLoads returns the load of this daemon by target ID, without targets that have none.
func (f *Fleet) OwnLoads() map[string]DaemonLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make(map[string]DaemonLoad)
	for id, s := range f.targets {
		if s.running > 0 || s.memoryTokens > 0 {
			loads[id] = DaemonLoad{Running: s.running, PrefillTokens: s.prefillTokens, MemoryTokens: s.memoryTokens}
		}
	}
	return loads
}

// SetPeerLoads replaces the load of a peer by target ID. An empty map removes the peer.
// The cost grows with the number of targets that the peer uses, not with all targets.
func (f *Fleet) SetPeerLoads(peer string, loads map[string]DaemonLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.peerLoads[peer] {
		if s := f.targets[id]; s != nil {
			s.setPeerLoad(peer, DaemonLoad{})
		}
	}
	for id, load := range loads {
		if s := f.targets[id]; s != nil {
			s.setPeerLoad(peer, load)
		}
	}
	if len(loads) == 0 {
		delete(f.peerLoads, peer)
		return
	}
	f.peerLoads[peer] = loads
}

// ForgetPeers removes the loads of the peers that have ended.
func (f *Fleet) ForgetPeers(hasEnded func(peer string) bool) {
	f.mu.Lock()
	peers := slices.Collect(maps.Keys(f.peerLoads))
	f.mu.Unlock()
	for _, peer := range peers {
		if hasEnded(peer) {
			f.SetPeerLoads(peer, nil)
		}
	}
}

// setPeerLoad replaces the load of a peer on the target. A zero load removes it.
func (s *targetState) setPeerLoad(peer string, load DaemonLoad) {
	old := s.peerLoads[peer]
	s.peerTotal.Running += load.Running - old.Running
	s.peerTotal.PrefillTokens += load.PrefillTokens - old.PrefillTokens
	s.peerTotal.MemoryTokens += load.MemoryTokens - old.MemoryTokens
	if load == (DaemonLoad{}) {
		delete(s.peerLoads, peer)
		return
	}
	s.peerLoads[peer] = load
}

// expectedStartDelay returns the expected delay until the first event of a new request
// plus the delay that the request causes for the running ones. prefillTokens includes
// the tokens of the new request, and rate is prefillRate. If latencies of plain calls were observed, the result
// is based on these.
func (s *targetState) expectedStartDelay(now time.Time, prefillTokens, running int, rate float64) time.Duration {
	base := prefillTime(prefillTokens, rate) + time.Duration(running)*delayPerRunning
	if latency := s.callLatencyMillis.value(now, 0); latency > 0 {
		base = time.Duration(latency * float64(time.Millisecond))
	}
	return time.Duration(float64(base) * max(1, s.slowdown.value(now, 1)))
}

// estimate is an exponential moving average that expires without new samples.
type estimate struct {
	mean      float64
	updatedAt time.Time
}

// Parameters of an estimate.
const (
	// sampleWeight is the weight of a new sample; a few samples determine the mean.
	sampleWeight = 0.3
	// estimateMaxAge is how long an estimate is used without new samples. After that, a
	// target that was slow or failing is tried again.
	estimateMaxAge = 4 * time.Second
)

func (e *estimate) add(now time.Time, sample float64) {
	if e.updatedAt.IsZero() || now.Sub(e.updatedAt) > estimateMaxAge {
		e.mean = sample
	} else {
		e.mean += sampleWeight * (sample - e.mean)
	}
	e.updatedAt = now
}

// value returns the mean, or neutral if it has expired.
func (e *estimate) value(now time.Time, neutral float64) float64 {
	if e.updatedAt.IsZero() || now.Sub(e.updatedAt) > estimateMaxAge {
		return neutral
	}
	return e.mean
}
