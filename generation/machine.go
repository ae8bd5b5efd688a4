package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// Setup is how a machine is made. It decodes to itself by JSON.
type Setup struct {
	Settings  Settings
	Objective configuration.Objective
	MaxTokens int64 // longest answer; 0 when not known
	// Held are the tokens that the caller holds, Cursor where the last of them
	// came from.
	Held   []string
	Cursor Cursor
	// FirstAttempt numbers the first new attempt. No other attempt of the
	// request may have a number from FirstAttempt on, at any daemon.
	FirstAttempt int64
}

// Machine decides for one generation. It is not safe for concurrent use.
type Machine struct {
	setup      Setup
	tokens     []string
	version    string
	next       int64 // number of the next attempt
	connection int64 // number of the newest connection
	current    *attempt
	standby    *attempt // races with a suspected current one; nil without
	excluded   []string
	lastTarget string    // of the attempt before the current one
	lossAt     time.Time // zero while nothing is lost
	resuming   bool      // the loss made the answer move or attach again
	retryAt    time.Time // of a pausing attempt's next Route
	ran        bool      // a target may have run the request
	finished   bool
}

// NewMachine returns a machine that continues after the tokens held.
func NewMachine(s Setup) *Machine {
	return &Machine{
		setup: s, tokens: append([]string(nil), s.Held...), version: s.Cursor.Version,
		next: s.FirstAttempt, ran: len(s.Held) > 0,
	}
}

// Tokens returns all accepted tokens. The caller must not change them.
func (m *Machine) Tokens() []string { return m.tokens }

func (m *Machine) position() int64 { return int64(len(m.tokens)) }

// whole tells whether no further token can come.
func (m *Machine) whole() bool { return m.setup.MaxTokens > 0 && m.position() >= m.setup.MaxTokens }

// Start returns the first decisions. A caller that comes from another daemon
// first joins the stream that still runs for it.
func (m *Machine) Start(now time.Time) []Decision {
	if m.whole() {
		return m.finish(EndCompleted, nil)
	}
	c := m.setup.Cursor
	if c.Target == "" || c.Attempt == 0 {
		return m.nextAttempt(now)
	}
	m.lossAt, m.resuming = now, true
	m.current = &attempt{number: c.Attempt, target: c.Target, incarnation: c.Incarnation}
	return []Decision{Route{Attempt: c.Attempt, Target: c.Target, Version: m.version}}
}

// Step takes one input and returns what to do.
func (m *Machine) Step(now time.Time, in Input) []Decision {
	if m.finished {
		return m.afterFinish(in)
	}
	switch in := in.(type) {
	case Routed:
		return m.routed(now, in)
	case RouteFailed:
		return m.routeFailed(now, in)
	case Received:
		return m.received(now, in)
	case Broken:
		return m.broken(now, in)
	case Probed:
		return m.probed(now, in)
	case NoStream:
		return m.noStream(now, in)
	case Cancel:
		return m.finish(EndCanceled, in.Err)
	case TakenOver:
		err := failure.New(failure.Canceled, failure.Ran, "generate", in.By, "another daemon goes on with the answer")
		return m.finish(EndTakenOver, err)
	case Woken:
		m.woken(now)
	case Tick:
		return m.tick(now)
	}
	return nil
}

// afterFinish hands a late grant back.
func (m *Machine) afterFinish(in Input) []Decision {
	switch in := in.(type) {
	case Routed:
		return []Decision{End{Attempt: in.Attempt, Cause: EndSuperseded, Fresh: true}}
	case Received:
		return m.drop(in)
	}
	return nil
}

func (m *Machine) drop(in Received) []Decision {
	if in.Event.Kind != target.TokenEvent {
		return nil
	}
	return []Decision{Drop{in.Attempt, in.Event.Position}}
}

// find returns the live attempt with the number, or nil.
func (m *Machine) find(number int64) *attempt {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

// newAttempt returns an attempt and the Route that asks for its target.
func (m *Machine) newAttempt() (*attempt, Route) {
	a := &attempt{number: m.next}
	m.next++
	return a, m.route(a)
}

func (m *Machine) route(a *attempt) Route {
	a.phase = routing
	return Route{Attempt: a.number, Exclude: append([]string(nil), m.excluded...), Version: m.version}
}

func (m *Machine) nextAttempt(now time.Time) []Decision {
	if m.whole() {
		return m.finish(EndCompleted, nil)
	}
	if m.late(now) {
		return m.giveUp()
	}
	a, r := m.newAttempt()
	m.current = a
	return []Decision{r}
}

func (m *Machine) routed(now time.Time, in Routed) []Decision {
	a := m.find(in.Attempt)
	if a == nil || a.phase != routing {
		return []Decision{End{Attempt: in.Attempt, Cause: EndSuperseded, Fresh: true}}
	}
	joined := a.target != ""
	a.target, a.version = in.Target, in.Version
	if in.Incarnation != 0 {
		a.incarnation = in.Incarnation
	}
	a.phase, a.tokenAt = streaming, now
	a.pulse.restart(now)
	if a == m.current && m.version == "" {
		m.version = in.Version
	}
	if joined {
		return m.attach(now, a)
	}
	if m.version != "" && in.Version != "" && in.Version != m.version {
		// The router broke its word: going on here would mix two models.
		return m.elsewhere(now, a, EndRefused)
	}
	m.connection++
	a.connection = m.connection
	return []Decision{Open{Attempt: a.number, Connection: a.connection, Forced: append([]string(nil), m.tokens...)}}
}

func (m *Machine) routeFailed(now time.Time, in RouteFailed) []Decision {
	a := m.find(in.Attempt)
	switch {
	case a == nil || a.phase != routing:
		return nil
	case a == m.standby:
		m.standby = nil
		return nil
	case a.target != "": // the target to join is gone
		return m.nextAttempt(now)
	case final(in.Err) || m.lossAt.IsZero():
		return m.finish(EndCanceled, m.refusal(in.Err))
	case m.late(now):
		return m.giveUp()
	}
	a.phase = pausing
	m.retryAt = now.Add(m.setup.Settings.RoutePause.Std())
	// A target that was left may serve again, and may be the only one.
	m.excluded = nil
	return nil
}

// final tells whether asking for a target again is no use.
func final(err *failure.Error) bool {
	switch err.Code {
	case failure.NoTarget, failure.Overloaded, failure.DeadlinePast, failure.Internal, failure.UnknownResult:
		return false
	}
	return true
}

// refusal makes the outcome of a router's refusal true for the whole answer.
func (m *Machine) refusal(err *failure.Error) *failure.Error {
	if !m.ran {
		return err
	}
	e := *err
	e.Outcome = failure.Ran
	return &e
}

// late tells whether the time to find a new target is over.
func (m *Machine) late(now time.Time) bool {
	return !m.lossAt.IsZero() && now.Sub(m.lossAt) >= m.setup.Settings.ResumeDeadline.Std()
}

// comeBackAfter is told to callers of an answer that found no target in time.
const comeBackAfter = time.Second

func (m *Machine) giveUp() []Decision {
	peer := m.lastTarget
	if m.current != nil && m.current.target != "" {
		peer = m.current.target
	}
	err := failure.New(failure.TargetLost, failure.Ran, "resume", peer, "no target took the answer over in time")
	return m.finish(EndCanceled, err.After(comeBackAfter))
}

// finish ends every live attempt and the answer.
func (m *Machine) finish(cause EndCause, err *failure.Error) []Decision {
	var out []Decision
	if m.standby != nil && m.standby.holds() {
		out = append(out, m.standby.end(EndSuperseded))
	}
	if m.current != nil && m.current.holds() {
		out = append(out, m.current.end(cause))
	}
	m.finished, m.standby, m.current = true, nil, nil
	return append(out, Finish{Position: m.position(), Err: err})
}
