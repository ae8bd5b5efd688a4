package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// received handles one stream event. Events that are not from the newest
// connection of the current or standby attempt are dropped.
func (m *Machine) received(now time.Time, in Received) []Decision {
	a := m.findAttempt(in.Attempt)
	if a == nil || !a.holdsTarget() || in.Connection != a.connection {
		return m.drop(in)
	}
	a.silence.observe(now)
	a.acked, a.restartedByWoken, m.mayHaveRun = true, false, true
	if a == m.standby {
		return m.standbyEvent(now, a, in)
	}
	out := m.clearSuspicion(a)
	switch in.Event.Kind {
	case target.TokenEvent:
		return append(out, m.receivedToken(now, a, in)...)
	case target.DoneEvent:
		return append(out, m.receivedDone(now, a, in.Event.Position)...)
	case target.ErrorEvent:
		return append(out, m.loseCurrent(now, EndStreamLost)...)
	}
	return out
}

// clearSuspicion ends the suspicion of the attempt's target, which has sent an
// event.
func (m *Machine) clearSuspicion(a *attempt) []Decision {
	if a.phase != probing {
		return nil
	}
	a.phase, a.connectionFailed = streaming, false
	return m.dropStandby()
}

func (m *Machine) dropStandby() []Decision {
	s := m.standby
	m.standby = nil
	if s == nil || !s.holdsTarget() {
		return nil
	}
	return []Decision{s.end(EndSuperseded)}
}

// standbyEvent handles an event of the standby. A token or the end of the stream makes
// the standby the current attempt.
func (m *Machine) standbyEvent(now time.Time, a *attempt, in Received) []Decision {
	switch in.Event.Kind {
	case target.TokenEvent, target.DoneEvent:
		out := m.promoteStandby(EndSilent)
		if in.Event.Kind == target.DoneEvent {
			return append(out, m.receivedDone(now, a, in.Event.Position)...)
		}
		return append(out, m.receivedToken(now, a, in)...)
	case target.ErrorEvent:
		return m.loseStandby(EndStreamLost)
	}
	return nil
}

// promoteStandby ends the current attempt with the cause and makes the standby the
// current attempt.
func (m *Machine) promoteStandby(cause EndCause) []Decision {
	m.exclude(m.current.target)
	out := m.endCurrent(cause)
	m.current, m.standby = m.standby, nil
	m.resuming = true
	if m.version == "" {
		m.version = m.current.version
	}
	return out
}

func (m *Machine) loseStandby(cause EndCause) []Decision {
	s := m.standby
	m.standby = nil
	m.exclude(s.target)
	m.mayHaveRun = m.mayHaveRun || cause != EndRefused
	return []Decision{s.end(cause)}
}

func (m *Machine) exclude(name string) {
	for _, t := range m.excluded {
		if t == name {
			return
		}
	}
	m.excluded = append(m.excluded, name)
}

func (m *Machine) receivedToken(now time.Time, a *attempt, in Received) []Decision {
	switch position := in.Event.Position; {
	case position < m.position():
		return m.drop(in)
	case position > m.position():
		// The connection skipped tokens, which the target still has.
		return append(m.drop(in), m.reattach(now, a)...)
	}
	out := m.dropStandby() // the standby's forced prefix lacks this token
	m.tokens = append(m.tokens, in.Event.Text)
	a.tokenCount++
	a.attachCount, a.lastTokenAt = 0, now
	e := Emit{Attempt: a.number, Position: in.Event.Position, Text: in.Event.Text, Version: m.version}
	if !m.lostAt.IsZero() && m.resuming {
		e.Resumed = now.Sub(m.lostAt)
	}
	m.lostAt, m.resuming = time.Time{}, false
	return append(out, e)
}

func (m *Machine) receivedDone(now time.Time, a *attempt, position int64) []Decision {
	switch {
	case position == m.position():
		return m.finish(EndCompleted, nil)
	case position > m.position():
		return m.reattach(now, a)
	}
	// The target's answer is shorter than the accepted tokens, so it is a different
	// answer.
	return m.loseCurrent(now, EndStreamLost)
}

// reattach attaches to the stream on a new connection, at most maxAttaches times
// between two tokens.
func (m *Machine) reattach(now time.Time, a *attempt) []Decision {
	if a.attachCount >= maxAttaches {
		return m.loseCurrent(now, EndStreamLost)
	}
	m.markLoss(a)
	return m.attach(now, a)
}

func (m *Machine) attach(now time.Time, a *attempt) []Decision {
	a.attachCount++
	a.phase, a.connectionFailed = streaming, false
	a.silence.restart(now)
	m.lastConnection++
	a.connection = m.lastConnection
	if a == m.current && !m.lostAt.IsZero() {
		m.resuming = true
	}
	return []Decision{Attach{Attempt: a.number, Connection: a.connection, From: m.position()}}
}

// markLoss records the time of the last event as the start of the caller's wait,
// unless a loss is already recorded.
func (m *Machine) markLoss(a *attempt) {
	if m.lostAt.IsZero() {
		m.lostAt = a.silence.lastEvent
	}
}
