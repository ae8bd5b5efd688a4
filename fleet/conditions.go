package fleet

import "time"

// Conditions are what a target states in its answers about the requests that it takes. They
// hold until the target states others or ends.
type Conditions struct {
	// RateLimited means that the target takes at most RequestsPerSecond from all daemons
	// together.
	RateLimited       bool    `msgpack:"l,omitempty"`
	RequestsPerSecond float64 `msgpack:"r,omitempty"`
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
