package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// received takes one stream event. Only the newest connection of a live attempt
// counts.
func (m *Machine) received(now time.Time, in Received) []Decision {
	a := m.find(in.Attempt)
	if a == nil || !a.holds() || in.Connection != a.connection {
		return m.drop(in)
	}
	a.pulse.beat(now)
	a.acked, a.excused, m.ran = true, false, true
	if a == m.standby {
		return m.standbyEvent(now, a, in)
	}
	out := m.recovered(a)
	switch in.Event.Kind {
	case target.TokenEvent:
		return append(out, m.token(now, a, in)...)
	case target.DoneEvent:
		return append(out, m.done(now, a, in.Event.Position)...)
	case target.ErrorEvent:
		return append(out, m.lose(now, EndStreamLost)...)
	}
	return out
}

// recovered ends a suspicion: the target spoke.
func (m *Machine) recovered(a *attempt) []Decision {
	if a.phase != probing {
		return nil
	}
	a.phase, a.broken = streaming, false
	return m.dropStandby()
}

func (m *Machine) dropStandby() []Decision {
	s := m.standby
	m.standby = nil
	if s == nil || !s.holds() {
		return nil
	}
	return []Decision{s.end(EndSuperseded)}
}

// standbyEvent takes an event of the standby: its first token wins the race.
func (m *Machine) standbyEvent(now time.Time, a *attempt, in Received) []Decision {
	switch in.Event.Kind {
	case target.TokenEvent, target.DoneEvent:
		out := m.promote(EndSilent)
		if in.Event.Kind == target.DoneEvent {
			return append(out, m.done(now, a, in.Event.Position)...)
		}
		return append(out, m.token(now, a, in)...)
	case target.ErrorEvent:
		return m.loseStandby(EndStreamLost)
	}
	return nil
}

// promote makes the standby the current attempt.
func (m *Machine) promote(cause EndCause) []Decision {
	m.exclude(m.current.target)
	out := m.leave(cause)
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
	m.ran = m.ran || cause != EndRefused
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

func (m *Machine) token(now time.Time, a *attempt, in Received) []Decision {
	switch at := in.Event.Position; {
	case at < m.position():
		return m.drop(in)
	case at > m.position():
		// A gap on the connection: the target still holds what is missing.
		return append(m.drop(in), m.attachAgain(now, a)...)
	}
	out := m.dropStandby() // its forced prefix is no longer the whole answer
	m.tokens = append(m.tokens, in.Event.Text)
	a.tokens++
	a.attaches, a.tokenAt = 0, now
	e := Emit{Attempt: a.number, Position: in.Event.Position, Text: in.Event.Text, Version: m.version}
	if !m.lossAt.IsZero() && m.resuming {
		e.Resumed = now.Sub(m.lossAt)
	}
	m.lossAt, m.resuming = time.Time{}, false
	return append(out, e)
}

func (m *Machine) done(now time.Time, a *attempt, position int64) []Decision {
	switch {
	case position == m.position():
		return m.finish(EndCompleted, nil)
	case position > m.position():
		return m.attachAgain(now, a)
	}
	// The target's answer is shorter than what it was given: not the same one.
	return m.lose(now, EndStreamLost)
}

// attachAgain joins the stream on a new connection, a bounded number of times.
func (m *Machine) attachAgain(now time.Time, a *attempt) []Decision {
	if a.attaches >= maxAttaches {
		return m.lose(now, EndStreamLost)
	}
	m.loss(a)
	return m.attach(now, a)
}

func (m *Machine) attach(now time.Time, a *attempt) []Decision {
	a.attaches++
	a.phase, a.broken = streaming, false
	a.pulse.restart(now)
	m.connection++
	a.connection = m.connection
	if a == m.current && !m.lossAt.IsZero() {
		m.resuming = true
	}
	return []Decision{Attach{Attempt: a.number, Connection: a.connection, From: m.position()}}
}

// loss notes when the caller's wait began.
func (m *Machine) loss(a *attempt) {
	if m.lossAt.IsZero() {
		m.lossAt = a.pulse.heard
	}
}
