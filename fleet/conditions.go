package fleet

import "time"

// Conditions are what a target states in its answers about the requests that it takes. They
// hold until the target states others or ends.
type Conditions struct {
	// RateLimited means that the target takes at most RequestsPerSecond from all daemons
	// together.
	RateLimited       bool    `msgpack:"l,omitempty"`
	RequestsPerSecond float64 `msgpack:"r,omitempty"`
	// Brittle means that the target fails if it has to refuse more than
	// MaxRefusalsPerSecond for want of room.
	Brittle              bool    `msgpack:"b,omitempty"`
	MaxRefusalsPerSecond float64 `msgpack:"f,omitempty"`
	// Leaving means that the target is about to end and wants no new requests. Its
	// incarnation doesn't take that back.
	Leaving bool `msgpack:"v,omitempty"`
}

// Statement is a target's statement of its conditions.
type Statement struct {
	Conditions
	At time.Time // when a daemon received it; zero if the target has stated none
}

// Statement returns the latest statement of a registered target.
func (f *Fleet) Statement(id string) Statement {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[id]; s != nil {
		return s.statement
	}
	return Statement{}
}

// RecordStatement records a statement of an incarnation of a target, unless a later one is
// known or the incarnation is no longer registered. It reports whether the conditions
// changed.
func (f *Fleet) RecordStatement(t Target, statement Statement) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	if s == nil || s.StartMillis != t.StartMillis || statement.At.Before(s.statement.At) {
		return false
	}
	statement.Leaving = statement.Leaving || s.statement.Leaving
	changed = s.statement.Conditions != statement.Conditions
	s.statement = statement
	if statement.Leaving && !s.leavingStated {
		s.leavingStated = true
		s.markUnusable()
	}
	return changed
}

// RecordPeerStatement records a statement that another daemon received, see
// RecordStatement. One that repeats what is known changes nothing, not even its time:
// daemons that sent it to each other would make it ever younger. That a target leaves holds
// for relayedLeavingDuration, unless the target states it to this daemon, too: a wrong
// statement must not empty a service.
func (f *Fleet) RecordPeerStatement(now time.Time, t Target, statement Statement) (changed bool) {
	if statement.Leaving {
		f.recordRelayedLeaving(now, t)
	}
	statement.Leaving = false
	known := f.Statement(t.ID).Conditions
	known.Leaving = false
	return known != statement.Conditions && f.RecordStatement(t, statement)
}

// relayedLeavingDuration is how long a target gets no requests because another daemon reports
// that it leaves. Targets end within it, or their entries say that they leave.
const relayedLeavingDuration = 15 * time.Second

func (f *Fleet) recordRelayedLeaving(now time.Time, t Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.targets[t.ID]; s != nil && s.StartMillis == t.StartMillis && s.relayedLeavingUntil.IsZero() {
		s.relayedLeavingUntil = now.Add(relayedLeavingDuration)
		s.markUnusable()
	}
}

// isLeaving reports whether the target gets no new requests because it leaves.
func (s *targetState) isLeaving(now time.Time) bool {
	return s.Leaving || s.leavingStated || now.Before(s.relayedLeavingUntil)
}

// Parameters of pauses.
const (
	// MaxPause bounds the pause that a target may ask for. A longer one is taken for a
	// mistake; after MaxPause, the next refusal prolongs it.
	MaxPause = 10 * time.Minute
	// pauseJitter is the fraction by which a pause is prolonged at random, so that daemons
	// don't return to a target at the same time.
	pauseJitter = 0.1
	// maxPauseJitter bounds that prolongation.
	maxPauseJitter = time.Second
)

// Pause records that an incarnation of a target refused a request and asks this daemon for no
// other one for a time. It reports whether that prolongs the pause. What the target states
// later doesn't shorten it.
func (f *Fleet) Pause(now time.Time, t Target, d time.Duration) (prolonged bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[t.ID]
	until := now.Add(min(d, MaxPause))
	if s == nil || s.StartMillis != t.StartMillis || !until.After(s.pausedUntil) {
		return false
	}
	jitter := min(maxPauseJitter, time.Duration(pauseJitter*float64(until.Sub(now))))
	s.pausedUntil = until.Add(time.Duration(f.random.Float64() * float64(jitter)))
	s.markUnusable()
	return true
}

// TargetStatement is a registered target with its latest statement.
type TargetStatement struct {
	Target
	Statement
}

// Constrained returns the targets that state conditions.
func (f *Fleet) Constrained() (out []TargetStatement) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.targets {
		if s.statement.Conditions != (Conditions{}) {
			out = append(out, TargetStatement{s.Target, s.statement})
		}
	}
	return out
}

// throttle keeps requests of a priority, and less urgent ones, from a target for a time.
type throttle struct {
	priority int
	until    time.Time
}

// Throttle records that no request of a priority or a less urgent one may be sent to a
// target before a time. Priority 0 is the most urgent.
func (f *Fleet) Throttle(now time.Time, id string, priority int, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil || s.throttled(now, priority) && s.throttle.until.After(until) {
		return
	}
	if now.Before(s.throttle.until) && s.throttle.priority < priority {
		return // a more urgent request was kept off, which says nothing of this time
	}
	s.throttle = throttle{priority, until}
}

// throttled reports whether requests of a priority are kept from the target.
func (s *targetState) throttled(now time.Time, priority int) bool {
	return priority >= s.throttle.priority && now.Before(s.throttle.until)
}

// NextPermit returns when the first of a service's targets that are kept from requests of a
// priority, or asked for a pause, gets some again, and false if there is none. only reports
// whether no other target of the service may get requests before.
func (f *Fleet) NextPermit(now time.Time, service string, priority int) (next time.Time, only, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	only = true
	for _, s := range f.services[service] {
		if s.isLeaving(now) || s.terminated(now) {
			continue
		}
		until := s.pausedUntil
		if s.throttled(now, priority) && s.throttle.until.After(until) {
			until = s.throttle.until
		}
		switch {
		case !until.After(now):
			only = false
		case !ok || until.Before(next):
			next, ok = until, true
		}
	}
	return next, only, ok
}

// MayRelayTo reports whether this daemon may open connections to a target for other daemons:
// their requests reach the target from here.
func (f *Fleet) MayRelayTo(now time.Time, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	return s != nil && !s.leavingStated && !now.Before(s.pausedUntil)
}
