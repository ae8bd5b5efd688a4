package membership

import "time"

// Evidence that decides whether a daemon is cut off.
const (
	// platformMaxAge is how long an answer of the platform counts.
	platformMaxAge = 4 * time.Second
	// attemptWindow is the number of newest attempts to reach peers that count.
	attemptWindow = 8
	// minAttempts is the number of attempts needed for a verdict.
	minAttempts = 4
	// attemptMaxAge is how long an attempt counts.
	attemptMaxAge = 10 * time.Second
	// pauseLimit is the time between two ticks after which the daemon must
	// have been paused.
	pauseLimit = 3 * ProbePeriod
)

type contactAttempt struct {
	at time.Time
	ok bool
}

// connectivity keeps the newest evidence of contact with the platform and with peers.
type connectivity struct {
	lastPlatformAnswer time.Time
	lastTick           time.Time
	attempts           []contactAttempt
	resumed            bool // paused, and nothing was heard since
}

func (r *connectivity) recordPlatformAnswer(at time.Time) {
	if at.After(r.lastPlatformAnswer) {
		r.lastPlatformAnswer = at
		r.resumed = false
	}
}

func (r *connectivity) recordAttempt(now time.Time, ok bool) {
	r.attempts = append(r.attempts, contactAttempt{now, ok})
	if len(r.attempts) > attemptWindow {
		r.attempts = r.attempts[1:]
	}
	if ok {
		r.resumed = false
	}
}

// detectPause finds that this daemon was paused: what it knew is old.
func (r *connectivity) detectPause(now time.Time) {
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > pauseLimit {
		r.resumed = true
		r.attempts = nil
	}
	r.lastTick = now
}

// recentAttempts returns the fresh attempts, and how many of them reached a peer.
func (r *connectivity) recentAttempts(now time.Time) (total, succeeded int) {
	for _, a := range r.attempts {
		if now.Sub(a.at) <= attemptMaxAge {
			total++
			if a.ok {
				succeeded++
			}
		}
	}
	return total, succeeded
}

// updateIsolation decides whether this daemon is cut off from the platform and
// from most peers.
func (m *Machine) updateIsolation(now time.Time) {
	wasIsolated := m.isolated
	m.isolated = m.shouldIsolate(now)
	if m.isolated != wasIsolated {
		m.revision++
	}
	switch {
	case m.isolated && !wasIsolated:
		m.addDecision(Changed{m.self.ID, Isolated})
	case wasIsolated && !m.isolated:
		m.addDecision(Changed{m.self.ID, Rejoined})
	}
}

func (m *Machine) shouldIsolate(now time.Time) bool {
	if len(m.ids) == 0 {
		return false // nobody to be cut off from
	}
	if m.connectivity.resumed {
		return true
	}
	if now.Sub(m.connectivity.lastPlatformAnswer) <= platformMaxAge {
		return false
	}
	total, succeeded := m.connectivity.recentAttempts(now)
	const half = 2
	if m.suspectCount()*half > len(m.ids)+1 {
		return true
	}
	switch {
	case total < minAttempts:
		return m.isolated && succeeded == 0 // no verdict yet: stay as it is
	case m.isolated:
		return succeeded*half <= total
	}
	return succeeded*half < total
}

// suspectCount returns the number of daemons that were heard of once and are not
// reached now.
func (m *Machine) suspectCount() int {
	n := 0
	for _, r := range m.members {
		if r.rumor.Suspect && r.rumor.Incarnation != 0 {
			n++
		}
	}
	return n
}
