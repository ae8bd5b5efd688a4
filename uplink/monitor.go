// Package uplink decides from what is seen of single targets whether this daemon's own links
// to all of them are lost. A Monitor does no I/O and reads no clock. It is safe for
// concurrent use.
package uplink

import (
	"sync"
	"time"
)

const (
	// lossTargets is the number of targets that must fail, without an answer of any target
	// in between, until the links count as lost. If fewer targets are known, all must fail.
	lossTargets = 3
	// lossWindow is how long a failure counts.
	lossWindow = 3 * time.Second
	// restoreTargets is the number of targets that must answer on new connections, without a
	// failure in between, until the links count as restored; all if fewer are known.
	restoreTargets = 2
)

// Monitor holds what is seen of the targets on direct connections.
type Monitor struct {
	mu         sync.Mutex
	known      int // number of targets
	lost       bool
	failures   map[string]time.Time // by target id, since the last answer of any target
	restored   map[string]bool      // targets that answered on new connections since the last failure, while the links are lost
	answeredAt time.Time
}

// NewMonitor returns a monitor whose links count as sound.
func NewMonitor() *Monitor {
	return &Monitor{failures: make(map[string]time.Time), restored: make(map[string]bool)}
}

// SetKnown sets the number of known targets.
func (m *Monitor) SetKnown(targets int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known = targets
}

// Lost reports whether the links to all targets count as lost.
func (m *Monitor) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}

// AnsweredSince reports whether any target has answered at a time or later.
func (m *Monitor) AnsweredSince(t time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.answeredAt.Before(t)
}

// Answered records that bytes of a target arrived on a direct connection. Connections from
// before a loss may live on, so they show nothing while the links are lost.
func (m *Monitor) Answered(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredAt = now
	if !m.lost && len(m.failures) > 0 {
		clear(m.failures)
	}
}

// Failed records that a direct connection to a target can't be opened or broke, or that the
// target doesn't answer on it. It reports whether the links count as lost from now on.
func (m *Monitor) Failed(now time.Time, target string) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.restored)
	if m.lost {
		return false
	}
	m.failures[target] = now
	for id, at := range m.failures {
		if now.Sub(at) > lossWindow {
			delete(m.failures, id)
		}
	}
	m.lost = len(m.failures) >= min(lossTargets, max(1, m.known))
	return m.lost
}

// AnsweredNew records that a target answered on a direct connection that was opened to check
// the links. It reports whether the links count as restored from now on.
func (m *Monitor) AnsweredNew(now time.Time, target string) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredAt = now
	if !m.lost {
		return false
	}
	m.restored[target] = true
	if len(m.restored) < min(restoreTargets, max(1, m.known)) {
		return false
	}
	m.lost = false
	clear(m.failures)
	clear(m.restored)
	return true
}
