package membership

import "time"

// Limits for deciding whether this daemon is isolated.
const (
	// platformMaxAge is how long an answer of the platform counts as contact.
	platformMaxAge = 4 * time.Second
	// attemptWindow is the number of most recent attempts to reach peers that are
	// kept.
	attemptWindow = 8
	// minAttempts is the number of recent attempts below which their success rate
	// is not used.
	minAttempts = 4
	// attemptMaxAge is the age beyond which an attempt is ignored.
	attemptMaxAge = 10 * time.Second
	// pauseLimit is the time between two ticks beyond which the daemon is assumed
	// to have been paused.
	pauseLimit = 3 * ProbePeriod
)

type contactAttempt struct {
	at time.Time
	ok bool
}

// connectivity tracks recent contact with the platform and with peers.
type connectivity struct {
	lastPlatformAnswer time.Time
	lastTick           time.Time
	attempts           []contactAttempt
	resumed            bool // the daemon was paused and has had no contact since
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

// detectPause detects that this daemon was paused, and then discards the recorded
// attempts, which are outdated.
func (r *connectivity) detectPause(now time.Time) {
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > pauseLimit {
		r.resumed = true
		r.attempts = nil
	}
	r.lastTick = now
}

// recentAttempts returns the number of attempts within attemptMaxAge, and how many
// of them reached a peer.
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

// updateIsolation updates whether this daemon is isolated, and reports a change.
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
		return false // there is no peer to lose contact with
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
		// Too few attempts for a success rate: keep the state, but end isolation as
		// soon as a peer was reached.
		return m.isolated && succeeded == 0
	case m.isolated:
		return succeeded*half <= total
	}
	return succeeded*half < total
}

// suspectCount returns the number of suspects whose incarnation is known.
func (m *Machine) suspectCount() int {
	n := 0
	for _, r := range m.members {
		if r.rumor.Suspect && r.rumor.Incarnation != 0 {
			n++
		}
	}
	return n
}
