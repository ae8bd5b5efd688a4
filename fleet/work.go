package fleet

import (
	"sync"
	"time"
)

// Figures of a model engine that has nothing else to do, from which the time to
// a first event is estimated until observations correct it.
const (
	// prefillTokensPerMilli is the rate at which an idle engine reads prompts. It is
	// the rate of the engines in use today; pace corrects it for each target.
	prefillTokensPerMilli = 5.0
	// delayPerRunning is what a running request counts against a target that a prompt is
	// to be read at. Its events are held up while the prompt is read, for a second or
	// so; a part of that, so that prompts don't wait long to spare streams.
	delayPerRunning = 300 * time.Millisecond
)

// ActiveRequest is a request of this daemon on a target. Its methods may be called more
// than once and by several goroutines.
type ActiveRequest struct {
	fleet          *Fleet
	targetID       string
	demand         Demand
	prefillPending bool
	done           bool
	sentAt         time.Time
	expectedWait   time.Duration // for the first event, on an engine of ordinary speed
}

// Demand is what a request needs of a target, in tokens. A plain call needs none.
type Demand struct {
	PrefillTokens int // to be read before the first event
	MemoryTokens  int // prompt and output
}

// Begin counts a request on a target.
func (f *Fleet) Begin(now time.Time, id string, d Demand) *ActiveRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &ActiveRequest{fleet: f, targetID: id, demand: d, prefillPending: d.PrefillTokens > 0, sentAt: now}
	s := f.targets[id]
	if s == nil {
		w.done = true
		return w
	}
	_, unread, _ := s.totalLoad()
	w.expectedWait = prefillTime(unread + d.PrefillTokens)
	s.running++
	s.prefillTokens += d.PrefillTokens
	s.memoryTokens += d.MemoryTokens
	f.signalLoadChanged()
	return w
}

// LoadChanged returns a channel that gets a value after this daemon's work changed.
func (f *Fleet) LoadChanged() <-chan struct{} { return f.loadChanged }

func (f *Fleet) signalLoadChanged() {
	select {
	case f.loadChanged <- struct{}{}:
	default:
	}
}

// ReserveCopy counts a copy of so many tokens on a target; the returned function ends it
// and may be called more than once.
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

// MarkFirstEvent notes the first event of a stream.
func (w *ActiveRequest) MarkFirstEvent(now time.Time) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !w.prefillPending || w.done {
		return
	}
	w.prefillPending = false
	w.fleet.signalLoadChanged()
	if s := w.fleet.targets[w.targetID]; s != nil {
		s.prefillTokens = max(0, s.prefillTokens-w.demand.PrefillTokens)
		if w.expectedWait > 0 {
			s.slowdown.add(now, float64(now.Sub(w.sentAt))/float64(w.expectedWait))
		}
	}
}

// Done ends the request on the target. failed tells that the target itself
// answered with a failure.
func (w *ActiveRequest) Done(now time.Time, failed bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.done {
		return
	}
	w.done = true
	s := w.fleet.targets[w.targetID]
	if s == nil {
		return
	}
	w.fleet.signalLoadChanged()
	s.running = max(0, s.running-1)
	s.memoryTokens = max(0, s.memoryTokens-w.demand.MemoryTokens)
	if w.prefillPending {
		s.prefillTokens = max(0, s.prefillTokens-w.demand.PrefillTokens)
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failureRate.add(now, outcome)
	if w.demand == (Demand{}) {
		s.callLatencyMillis.add(now, float64(now.Sub(w.sentAt))/float64(time.Millisecond))
	}
}

// OwnLoads returns the work of this daemon by target, targets without any left out.
func (f *Fleet) OwnLoads() map[string]DaemonLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]DaemonLoad)
	for id, s := range f.targets {
		if s.running > 0 || s.memoryTokens > 0 {
			out[id] = DaemonLoad{Running: s.running, PrefillTokens: s.prefillTokens, MemoryTokens: s.memoryTokens}
		}
	}
	return out
}

// SetPeerLoads replaces what a peer runs. A peer that is gone is told as empty. It costs as
// much as the peer runs, not as there are targets.
func (f *Fleet) SetPeerLoads(peer string, shares map[string]DaemonLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.peerLoads[peer] {
		if s := f.targets[id]; s != nil {
			delete(s.peerLoads, peer)
		}
	}
	for id, share := range shares {
		if s := f.targets[id]; s != nil {
			s.peerLoads[peer] = share
		}
	}
	if len(shares) == 0 {
		delete(f.peerLoads, peer)
		return
	}
	f.peerLoads[peer] = shares
}

// prefillTime is the time in which an engine of ordinary speed reads tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMilli * float64(time.Millisecond))
}

// expectedStartDelay is how long a new request would wait for its start, its own tokens
// included in unread, and what it costs those that run. For plain calls it is the
// observed latency.
func (s *targetState) expectedStartDelay(now time.Time, unread, running int) time.Duration {
	base := prefillTime(unread) + time.Duration(running)*delayPerRunning
	if latency := s.callLatencyMillis.value(now, 0); latency > 0 {
		base = time.Duration(latency * float64(time.Millisecond))
	}
	return time.Duration(float64(base) * max(1, s.slowdown.value(now, 1)))
}

// estimate is a mean that follows new samples and is forgotten with time.
type estimate struct {
	mean      float64
	updatedAt time.Time
}

// Memory of an estimate.
const (
	// sampleWeight is the weight of a new sample: a few samples decide.
	sampleWeight = 0.3
	// estimateMaxAge is how long an estimate without new samples is believed, so that
	// a target that was slow or failing is tried again.
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

// value returns the mean, or neutral when there was no sample for a while.
func (e *estimate) value(now time.Time, neutral float64) float64 {
	if e.updatedAt.IsZero() || now.Sub(e.updatedAt) > estimateMaxAge {
		return neutral
	}
	return e.mean
}
