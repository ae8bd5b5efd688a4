package fleet

import (
	"sync"
	"time"
)

// Figures of a model engine that has nothing else to do, from which the time to
// a first event is estimated until observations correct it.
const (
	// readTokensPerMilli is the rate at which an idle engine reads prompts. It is
	// the rate of the engines in use today; pace corrects it for each target.
	readTokensPerMilli = 5.0
	// runningDelay is what a running request counts against a target that a prompt is
	// to be read at. Its events are held up while the prompt is read, for a second or
	// so; a part of that, so that prompts don't wait long to spare streams.
	runningDelay = 300 * time.Millisecond
)

// ActiveRequest is a request of this daemon on a target. Its methods may be called more
// than once and by several goroutines.
type ActiveRequest struct {
	f       *Fleet
	id      string
	demand  Demand
	unread  bool
	done    bool
	sent    time.Time
	waiting time.Duration // for the first event, on an engine of ordinary speed
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
	w := &ActiveRequest{f: f, id: id, demand: d, unread: d.PrefillTokens > 0, sent: now}
	s := f.targets[id]
	if s == nil {
		w.done = true
		return w
	}
	_, unread, _ := s.load()
	w.waiting = readTime(unread + d.PrefillTokens)
	s.running++
	s.unread += d.PrefillTokens
	s.memory += d.MemoryTokens
	f.workChanged()
	return w
}

// LoadChanged returns a channel that gets a value after this daemon's work changed.
func (f *Fleet) LoadChanged() <-chan struct{} { return f.changed }

func (f *Fleet) workChanged() {
	select {
	case f.changed <- struct{}{}:
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
	s.memory += tokens
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if s := f.targets[id]; s != nil {
			s.memory = max(0, s.memory-tokens)
		}
	})
}

// MarkFirstEvent notes the first event of a stream.
func (w *ActiveRequest) MarkFirstEvent(now time.Time) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.unread || w.done {
		return
	}
	w.unread = false
	w.f.workChanged()
	if s := w.f.targets[w.id]; s != nil {
		s.unread = max(0, s.unread-w.demand.PrefillTokens)
		if w.waiting > 0 {
			s.pace.add(now, float64(now.Sub(w.sent))/float64(w.waiting))
		}
	}
}

// Done ends the request on the target. failed tells that the target itself
// answered with a failure.
func (w *ActiveRequest) Done(now time.Time, failed bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.done {
		return
	}
	w.done = true
	s := w.f.targets[w.id]
	if s == nil {
		return
	}
	w.f.workChanged()
	s.running = max(0, s.running-1)
	s.memory = max(0, s.memory-w.demand.MemoryTokens)
	if w.unread {
		s.unread = max(0, s.unread-w.demand.PrefillTokens)
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failing.add(now, outcome)
	if w.demand == (Demand{}) {
		s.latency.add(now, float64(now.Sub(w.sent))/float64(time.Millisecond))
	}
}

// OwnLoads returns the work of this daemon by target, targets without any left out.
func (f *Fleet) OwnLoads() map[string]DaemonLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]DaemonLoad)
	for id, s := range f.targets {
		if s.running > 0 || s.memory > 0 {
			out[id] = DaemonLoad{Running: s.running, PrefillTokens: s.unread, MemoryTokens: s.memory}
		}
	}
	return out
}

// SetPeerLoads replaces what a peer runs. A peer that is gone is told as empty. It costs as
// much as the peer runs, not as there are targets.
func (f *Fleet) SetPeerLoads(peer string, shares map[string]DaemonLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.told[peer] {
		if s := f.targets[id]; s != nil {
			delete(s.peers, peer)
		}
	}
	for id, share := range shares {
		if s := f.targets[id]; s != nil {
			s.peers[peer] = share
		}
	}
	if len(shares) == 0 {
		delete(f.told, peer)
		return
	}
	f.told[peer] = shares
}

// readTime is the time in which an engine of ordinary speed reads tokens.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readTokensPerMilli * float64(time.Millisecond))
}

// expectedStart is how long a new request would wait for its start, its own tokens
// included in unread, and what it costs those that run. For plain calls it is the
// observed latency.
func (s *status) expectedStart(now time.Time, unread, running int) time.Duration {
	base := readTime(unread) + time.Duration(running)*runningDelay
	if latency := s.latency.value(now, 0); latency > 0 {
		base = time.Duration(latency * float64(time.Millisecond))
	}
	return time.Duration(float64(base) * max(1, s.pace.value(now, 1)))
}

// estimate is a mean that follows new samples and is forgotten with time.
type estimate struct {
	mean float64
	at   time.Time
}

// Memory of an estimate.
const (
	// sampleWeight is the weight of a new sample: a few samples decide.
	sampleWeight = 0.3
	// forgetAfter is how long an estimate without new samples is believed, so that
	// a target that was slow or failing is tried again.
	forgetAfter = 4 * time.Second
)

func (e *estimate) add(now time.Time, sample float64) {
	if e.at.IsZero() || now.Sub(e.at) > forgetAfter {
		e.mean = sample
	} else {
		e.mean += sampleWeight * (sample - e.mean)
	}
	e.at = now
}

// value returns the mean, or neutral when there was no sample for a while.
func (e *estimate) value(now time.Time, neutral float64) float64 {
	if e.at.IsZero() || now.Sub(e.at) > forgetAfter {
		return neutral
	}
	return e.mean
}
