package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
)

func (m *Machine) handleBroken(now time.Time, in Broken) []Decision {
	a := m.findAttempt(in.Attempt)
	if a == nil || !a.holdsTarget() || in.Connection != a.connection {
		return nil
	}
	opening := !a.receivedEvent && a.attachCount == 0
	switch {
	case opening && (in.Cause == BreakRefused || in.Cause == BreakNotSent):
		return m.tryAnotherTarget(now, a, EndRefused)
	case a == m.standby:
		return m.loseStandby(EndStreamLost)
	}
	m.mayHaveRun, a.connectionFailed = true, true
	return m.suspect(now)
}

// tryAnotherTarget ends an attempt that its target did not run. This does not
// count as a loss of the target, and it does not extend the resume deadline of an
// earlier loss.
func (m *Machine) tryAnotherTarget(now time.Time, a *attempt, cause EndCause) []Decision {
	m.exclude(a.target)
	if a == m.standby {
		return m.loseStandby(cause)
	}
	if m.standby != nil {
		return m.promoteStandby(cause)
	}
	return append(m.endCurrent(cause), m.startAttempt(now)...)
}

// standbyDelay is how long the probe of a target whose connection failed may take
// before a standby, an attempt on a second target, is requested. Most probes return
// at once. Because of the delay, a crash is reported against the request before the
// request runs on another target.
const standbyDelay = 50 * time.Millisecond

// suspect probes the current target on a new connection. If the connection is silent,
// suspect also requests a standby at once. If the connection failed, tickCurrent
// requests the standby after standbyDelay.
func (m *Machine) suspect(now time.Time) []Decision {
	a := m.current
	if a.phase == probing {
		return nil
	}
	m.markLoss(a)
	m.lastConnection++
	a.phase, a.probeConnection, a.probeTimeoutStart = probing, m.lastConnection, now
	out := []Decision{Probe{a.number, a.probeConnection}}
	if a.connectionFailed {
		return out
	}
	return append(out, m.requestStandby()...)
}

// requestStandby requests a second target for a standby attempt while the current
// target is probed, unless the objective is ResourcesFirst.
func (m *Machine) requestStandby() []Decision {
	if m.setup.Objective == configuration.ResourcesFirst || m.standby != nil || m.complete() {
		return nil
	}
	m.exclude(m.current.target)
	s, r := m.newAttempt()
	m.standby = s
	return []Decision{r}
}

func (m *Machine) handleProbed(now time.Time, in Probed) []Decision {
	a := m.current
	if a == nil || in.Attempt != a.number || a.phase != probing || in.Connection != a.probeConnection {
		return nil
	}
	switch {
	case !in.Alive && a.connectionFailed:
		return m.loseCurrent(now, EndDied)
	case !in.Alive:
		return m.loseCurrent(now, EndSilent)
	case a.incarnation != 0 && in.Incarnation != 0 && in.Incarnation != a.incarnation:
		return m.loseCurrent(now, EndDied)
	}
	if a.incarnation == 0 {
		a.incarnation = in.Incarnation
	}
	return m.reattach(now, a)
}

func (m *Machine) handleNoStream(now time.Time, in NoStream) []Decision {
	a := m.findAttempt(in.Attempt)
	switch {
	case a == nil || !a.holdsTarget() || in.Connection != a.connection:
		return nil
	case a == m.standby:
		return m.loseStandby(EndStreamLost)
	}
	return m.loseCurrent(now, EndStreamLost)
}

// loseCurrent ends the current attempt and continues with the standby or on
// another target.
func (m *Machine) loseCurrent(now time.Time, cause EndCause) []Decision {
	a := m.current
	m.markLoss(a)
	m.resuming, m.mayHaveRun = true, true
	if m.complete() {
		return m.finish(cause, nil)
	}
	m.exclude(a.target)
	if m.standby != nil {
		return m.promoteStandby(cause)
	}
	return append(m.endCurrent(cause), m.startAttempt(now)...)
}

// endCurrent removes the current attempt and returns its End.
func (m *Machine) endCurrent(cause EndCause) []Decision {
	e := m.current.end(cause)
	m.lastTarget, m.current = m.current.target, nil
	return []Decision{e}
}

// handleWoken restarts the silence and the timeouts of both attempts after this
// daemon was paused or overloaded. It does so only once between two events of an
// attempt, so that a daemon that is constantly overloaded still detects a silent
// target.
func (m *Machine) handleWoken(now time.Time) {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.holdsTarget() && !a.restartedByWoken {
			a.restartedByWoken = true
			a.silence.restart(now)
			a.probeTimeoutStart, a.stallTimeoutStart = now, now
		}
	}
}

func (m *Machine) tick(now time.Time) []Decision {
	var out []Decision
	if s := m.standby; s != nil && s.holdsTarget() && s.silence.exceeded(now, m.setup.Settings) {
		out = m.loseStandby(EndSilent)
	}
	return append(out, m.tickCurrent(now)...)
}

func (m *Machine) tickCurrent(now time.Time) []Decision {
	a, s := m.current, m.setup.Settings
	if m.resumeOverdue(now) && !m.established() {
		return m.giveUp()
	}
	switch a.phase {
	case pausing:
		if now.Before(m.retryAt) {
			return nil
		}
		return []Decision{m.route(a)}
	case streaming:
		if a.silence.exceeded(now, s) {
			return m.suspect(now)
		}
		if now.Sub(a.stallTimeoutStart) > s.StallLimit.Std() {
			return m.loseCurrent(now, EndStalled)
		}
	case probing:
		if now.Sub(a.probeTimeoutStart) > s.ProbeTimeout.Std() {
			return m.handleProbeTimeout(now)
		}
		if now.Sub(a.probeTimeoutStart) >= standbyDelay && !m.resumeOverdue(now) {
			return m.requestStandby()
		}
	}
	return nil
}

// handleProbeTimeout handles a probe that was not answered in time. If the connection of
// the attempt is only silent and no standby is granted, the attempt goes on, since its
// target may send the rest: it is probed again, and the standby is requested again.
func (m *Machine) handleProbeTimeout(now time.Time) []Decision {
	a := m.current
	granted := m.standby != nil && m.standby.holdsTarget()
	if a.connectionFailed || granted || m.setup.Objective == configuration.ResourcesFirst {
		return m.loseCurrent(now, EndSilent)
	}
	a.phase = streaming
	return m.suspect(now)
}

// established reports whether an attempt has received an event from its target and
// the target is not suspected.
func (m *Machine) established() bool {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.phase == streaming && a.receivedEvent {
			return true
		}
	}
	return false
}
