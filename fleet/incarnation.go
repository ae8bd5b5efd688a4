package fleet

import "time"

// Incarnation is one registered incarnation of a target. It stays valid after the entry
// of the target was replaced or removed. The zero Incarnation is unknown and never ends.
type Incarnation struct {
	Target Target
	fleet  *Fleet
	state  *targetState
}

// Incarnation returns the registered incarnation of a target, or the zero Incarnation if
// the target is unknown.
func (f *Fleet) Incarnation(id string) Incarnation {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.targets[id]
	if s == nil {
		return Incarnation{}
	}
	return Incarnation{Target: s.Target, fleet: f, state: s}
}

// Ended reports whether the incarnation is known to have ended unexpectedly: its process
// has terminated, another incarnation or target took its place, or its entry was removed
// although it was not leaving.
func (i Incarnation) Ended(now time.Time) bool {
	return i.check(func(s *targetState) bool { return s.removed || s.superseded || s.terminated(now) })
}

// Terminated reports whether the process of the incarnation is known to run no more. A
// target whose entry was removed may still run: it was cut off from the store, or it
// leaves without notice.
func (i Incarnation) Terminated(now time.Time) bool {
	return i.check(func(s *targetState) bool { return s.superseded || i.replaced() || s.terminated(now) })
}

// replaced reports whether another incarnation registered after the entry of this one was
// removed.
func (i Incarnation) replaced() bool {
	current := i.fleet.targets[i.Target.ID]
	return current != nil && (current.StartMillis != i.state.StartMillis || current.Address != i.state.Address)
}

func (i Incarnation) check(condition func(*targetState) bool) bool {
	if i.state == nil {
		return false
	}
	i.fleet.mu.Lock()
	defer i.fleet.mu.Unlock()
	return condition(i.state)
}
