package fleet

import (
	"time"
)

// Figures of a model engine that has nothing else to do, from which the time to
// a first event is estimated until observations correct it.
const (
	// readTokensPerMilli is the rate at which an idle engine reads prompts. It is
	// the rate of the engines in use today; pace corrects it for each target.
	readTokensPerMilli = 5.0
	// runningDelay is what each running request adds to the start of another.
	runningDelay = 20 * time.Millisecond
)

// Work is a request of this daemon on a target. Its methods may be called more
// than once and by several goroutines.
type Work struct {
	f       *Fleet
	id      string
	tokens  int
	unread  bool
	done    bool
	sent    time.Time
	waiting time.Duration // expected to the first event when it was sent
}

// Begin counts a request with a prompt of tokens, 0 for plain calls, on a target.
func (f *Fleet) Begin(now time.Time, id string, tokens int) *Work {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &Work{f: f, id: id, tokens: tokens, unread: tokens > 0, sent: now}
	if s := f.targets[id]; s != nil {
		running, unread := s.load()
		w.waiting = idealStart(unread+tokens, running)
		s.running++
		s.unread += tokens
	} else {
		w.done = true
	}
	return w
}

// Started notes the first event of a stream.
func (w *Work) Started(now time.Time) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if !w.unread || w.done {
		return
	}
	w.unread = false
	if s := w.f.targets[w.id]; s != nil {
		s.unread = max(0, s.unread-w.tokens)
		if w.waiting > 0 {
			s.pace.add(now, float64(now.Sub(w.sent))/float64(w.waiting))
		}
	}
}

// Done ends the request on the target. failed tells that the target itself
// answered with a failure.
func (w *Work) Done(now time.Time, failed bool) {
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
	s.running = max(0, s.running-1)
	if w.unread {
		s.unread = max(0, s.unread-w.tokens)
	}
	outcome := 0.0
	if failed {
		outcome = 1
	}
	s.failing.add(now, outcome)
	if w.tokens == 0 {
		s.latency.add(now, float64(now.Sub(w.sent))/float64(time.Millisecond))
	}
}

// Shares returns the work of this daemon by target, targets without any left out.
func (f *Fleet) Shares() map[string]Share {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Share)
	for id, s := range f.targets {
		if s.running > 0 {
			out[id] = Share{Running: s.running, Unread: s.unread}
		}
	}
	return out
}

// Told replaces what a peer runs. A peer that is gone is told as empty.
func (f *Fleet) Told(peer string, shares map[string]Share) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.targets {
		if share, ok := shares[id]; ok {
			s.peers[peer] = share
		} else {
			delete(s.peers, peer)
		}
	}
}

// idealStart is the time to the first event on an engine of ordinary speed.
func idealStart(unread, running int) time.Duration {
	read := time.Duration(float64(unread) / readTokensPerMilli * float64(time.Millisecond))
	return read + time.Duration(running)*runningDelay
}

// expectedStart is how long a new request would wait for its start, without its
// own prompt. For plain calls it is the observed latency.
func (s *status) expectedStart(now time.Time, unread, running int) time.Duration {
	base := idealStart(unread, running)
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
