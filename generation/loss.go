package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
)

func (m *Machine) broken(now time.Time, in Broken) []Decision {
	a := m.find(in.Attempt)
	if a == nil || !a.holds() || in.Connection != a.connection {
		return nil
	}
	opening := !a.acked && a.attaches == 0
	switch {
	case opening && (in.Cause == BreakRefused || in.Cause == BreakNotSent):
		return m.elsewhere(now, a, EndRefused)
	case a == m.standby:
		return m.loseStandby(EndStreamLost)
	}
	m.ran, a.broken = true, true
	return m.suspect(now)
}

// elsewhere leaves a target that did not run the attempt. That is no loss, but
// the answer's wait goes on.
func (m *Machine) elsewhere(now time.Time, a *attempt, cause EndCause) []Decision {
	m.exclude(a.target)
	if a == m.standby {
		return m.loseStandby(cause)
	}
	if m.standby != nil {
		return m.promote(cause)
	}
	return append(m.leave(cause), m.nextAttempt(now)...)
}

// standbyAfter is how long the probe of a target whose connection failed may
// take before a standby is asked for. Most answer at once; a request that
// crashed the target is then counted before it goes to the next one.
const standbyAfter = 50 * time.Millisecond

// suspect probes the target on a new connection. With latency first a standby
// is asked for meanwhile, at once if the connection is silent.
func (m *Machine) suspect(now time.Time) []Decision {
	a := m.current
	if a.phase == probing {
		return nil
	}
	m.loss(a)
	m.connection++
	a.phase, a.probe, a.probeAt = probing, m.connection, now
	out := []Decision{Probe{a.number, a.probe}}
	if a.broken {
		return out
	}
	return append(out, m.raceStandby()...)
}

// raceStandby asks for a second target while the current one is probed.
func (m *Machine) raceStandby() []Decision {
	if m.setup.Objective == configuration.ResourcesFirst || m.standby != nil || m.whole() {
		return nil
	}
	m.exclude(m.current.target)
	s, r := m.newAttempt()
	m.standby = s
	return []Decision{r}
}

func (m *Machine) probed(now time.Time, in Probed) []Decision {
	a := m.current
	if a == nil || in.Attempt != a.number || a.phase != probing || in.Connection != a.probe {
		return nil
	}
	switch {
	case !in.Alive && a.broken:
		return m.lose(now, EndDied)
	case !in.Alive:
		return m.lose(now, EndSilent)
	case a.incarnation != 0 && in.Incarnation != 0 && in.Incarnation != a.incarnation:
		return m.lose(now, EndDied)
	}
	if a.incarnation == 0 {
		a.incarnation = in.Incarnation
	}
	return m.attachAgain(now, a)
}

func (m *Machine) noStream(now time.Time, in NoStream) []Decision {
	a := m.find(in.Attempt)
	switch {
	case a == nil || !a.holds() || in.Connection != a.connection:
		return nil
	case a == m.standby:
		return m.loseStandby(EndStreamLost)
	}
	return m.lose(now, EndStreamLost)
}

// lose gives the current attempt up and goes on with the standby or elsewhere.
func (m *Machine) lose(now time.Time, cause EndCause) []Decision {
	a := m.current
	m.loss(a)
	m.resuming, m.ran = true, true
	if m.whole() {
		return m.finish(cause, nil)
	}
	m.exclude(a.target)
	if m.standby != nil {
		return m.promote(cause)
	}
	return append(m.leave(cause), m.nextAttempt(now)...)
}

// leave ends the current attempt.
func (m *Machine) leave(cause EndCause) []Decision {
	e := m.current.end(cause)
	m.lastTarget, m.current = m.current.target, nil
	return []Decision{e}
}

// woken begins every silence anew, but each only once, so that a daemon that is
// always late still finds out.
func (m *Machine) woken(now time.Time) {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.holds() && !a.excused {
			a.excused = true
			a.pulse.restart(now)
			a.probeAt, a.tokenAt = now, now
		}
	}
}

func (m *Machine) tick(now time.Time) []Decision {
	var out []Decision
	if s := m.standby; s != nil && s.holds() && s.pulse.silent(now, m.setup.Settings) {
		out = m.loseStandby(EndSilent)
	}
	return append(out, m.tickCurrent(now)...)
}

func (m *Machine) tickCurrent(now time.Time) []Decision {
	a, s := m.current, m.setup.Settings
	if m.late(now) && !m.underway() {
		return m.giveUp()
	}
	switch a.phase {
	case pausing:
		if now.Before(m.retryAt) {
			return nil
		}
		return []Decision{m.route(a)}
	case streaming:
		if a.pulse.silent(now, s) {
			return m.suspect(now)
		}
		if now.Sub(a.tokenAt) > s.StallLimit.Std() {
			return m.lose(now, EndStalled)
		}
	case probing:
		if now.Sub(a.probeAt) > s.ProbeTimeout.Std() {
			return m.lose(now, EndSilent)
		}
		if now.Sub(a.probeAt) >= standbyAfter && !m.late(now) {
			return m.raceStandby()
		}
	}
	return nil
}

// underway tells whether a target has taken the answer and is not suspected.
func (m *Machine) underway() bool {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.phase == streaming && a.acked {
			return true
		}
	}
	return false
}
