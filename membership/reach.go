package membership

import "time"

// Evidence that decides whether a daemon is cut off.
const (
	// platformFresh is how long an answer of the platform counts.
	platformFresh = 4 * time.Second
	// reachWindow is the number of newest attempts to reach peers that count.
	reachWindow = 8
	// reachMin is the number of attempts needed for a verdict.
	reachMin = 4
	// reachFresh is how long an attempt counts.
	reachFresh = 10 * time.Second
	// pauseLimit is the time between two ticks after which the daemon must
	// have been paused.
	pauseLimit = 3 * ProbePeriod
)

type attempt struct {
	at time.Time
	ok bool
}

// reach keeps the newest evidence of contact with the platform and with peers.
type reach struct {
	platformAt time.Time
	lastTick   time.Time
	attempts   []attempt
	woken      bool // paused, and nothing was heard since
}

func (r *reach) platform(at time.Time) {
	if at.After(r.platformAt) {
		r.platformAt = at
		r.woken = false
	}
}

func (r *reach) contact(now time.Time, ok bool) {
	r.attempts = append(r.attempts, attempt{now, ok})
	if len(r.attempts) > reachWindow {
		r.attempts = r.attempts[1:]
	}
	if ok {
		r.woken = false
	}
}

// tick finds that this daemon was paused: what it knew is old.
func (r *reach) tick(now time.Time) {
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > pauseLimit {
		r.woken = true
		r.attempts = nil
	}
	r.lastTick = now
}

// counts returns the fresh attempts, and how many of them reached a peer.
func (r *reach) counts(now time.Time) (all, ok int) {
	for _, a := range r.attempts {
		if now.Sub(a.at) <= reachFresh {
			all++
			if a.ok {
				ok++
			}
		}
	}
	return all, ok
}

// judgeIsolation decides whether this daemon is cut off from the platform and
// from most peers.
func (m *Machine) judgeIsolation(now time.Time) {
	was := m.isolated
	m.isolated = m.cutOff(now)
	if m.isolated != was {
		m.revision++
	}
	switch {
	case m.isolated && !was:
		m.decide(Changed{m.self.ID, Isolated})
	case was && !m.isolated:
		m.decide(Changed{m.self.ID, Rejoined})
	}
}

func (m *Machine) cutOff(now time.Time) bool {
	if len(m.ids) == 0 {
		return false // nobody to be cut off from
	}
	if m.reach.woken {
		return true
	}
	if now.Sub(m.reach.platformAt) <= platformFresh {
		return false
	}
	all, ok := m.reach.counts(now)
	const half = 2
	if m.lost()*half > len(m.ids)+1 {
		return true
	}
	switch {
	case all < reachMin:
		return m.isolated && ok == 0 // no verdict yet: stay as it is
	case m.isolated:
		return ok*half <= all
	}
	return ok*half < all
}

// lost returns the number of daemons that were heard of once and are not
// reached now.
func (m *Machine) lost() int {
	n := 0
	for _, r := range m.members {
		if r.rumor.Suspect && r.rumor.Incarnation != 0 {
			n++
		}
	}
	return n
}
