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
	changed = s.statement.Conditions != statement.Conditions
	s.statement = statement
	return changed
}

// RecordPeerStatement records a statement that another daemon received, see
// RecordStatement. One that repeats what is known changes nothing, not even its time:
// daemons that sent it to each other would make it ever younger.
func (f *Fleet) RecordPeerStatement(t Target, statement Statement) (changed bool) {
	return f.Statement(t.ID).Conditions != statement.Conditions && f.RecordStatement(t, statement)
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
// priority gets some again, and false if there is none.
func (f *Fleet) NextPermit(now time.Time, service string, priority int) (next time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services[service] {
		if s.throttled(now, priority) && (!ok || s.throttle.until.Before(next)) {
			next, ok = s.throttle.until, true
		}
	}
	return next, ok
}
