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
	setup             Setup
	tokens            []string
	version           string
	nextAttemptNumber int64 // number of the next attempt
	lastConnection    int64 // number of the newest connection
	current           *attempt
	standby           *attempt // races with a suspected current one; nil without
	excluded          []string
	lastTarget        string    // of the attempt before the current one
	lostAt            time.Time // zero while nothing is lost
	resuming          bool      // the loss made the answer move or attach again
	retryAt           time.Time // of a pausing attempt's next Route
	mayHaveRun        bool      // a target may have run the request
	finished          bool
}

// NewMachine returns a machine that continues after the tokens held.
func NewMachine(s Setup) *Machine {
	return &Machine{
		setup: s, tokens: append([]string(nil), s.Held...), version: s.Cursor.Version,
		nextAttemptNumber: s.FirstAttempt, mayHaveRun: len(s.Held) > 0,
	}
}

// Tokens returns all accepted tokens. The caller must not change them.
func (m *Machine) Tokens() []string { return m.tokens }

func (m *Machine) position() int64 { return int64(len(m.tokens)) }

// complete tells whether no further token can come.
func (m *Machine) complete() bool { return m.setup.MaxTokens > 0 && m.position() >= m.setup.MaxTokens }

// Start returns the first decisions. A caller that comes from another daemon
// first joins the stream that still runs for it.
func (m *Machine) Start(now time.Time) []Decision {
	if m.complete() {
		return m.finish(EndCompleted, nil)
	}
	c := m.setup.Cursor
	if c.Target == "" || c.Attempt == 0 {
		return m.startAttempt(now)
	}
	m.lostAt, m.resuming = now, true
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

// findAttempt returns the live attempt with the number, or nil.
func (m *Machine) findAttempt(number int64) *attempt {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

// newAttempt returns an attempt and the Route that asks for its target.
func (m *Machine) newAttempt() (*attempt, Route) {
	a := &attempt{number: m.nextAttemptNumber}
	m.nextAttemptNumber++
	return a, m.route(a)
}

func (m *Machine) route(a *attempt) Route {
	a.phase = routing
	return Route{Attempt: a.number, Exclude: append([]string(nil), m.excluded...), Version: m.version}
}

func (m *Machine) startAttempt(now time.Time) []Decision {
	if m.complete() {
		return m.finish(EndCompleted, nil)
	}
	if m.resumeOverdue(now) {
		return m.giveUp()
	}
	a, r := m.newAttempt()
	m.current = a
	return []Decision{r}
}

func (m *Machine) routed(now time.Time, in Routed) []Decision {
	a := m.findAttempt(in.Attempt)
	if a == nil || a.phase != routing {
		return []Decision{End{Attempt: in.Attempt, Cause: EndSuperseded, Fresh: true}}
	}
	joining := a.target != ""
	a.target, a.version = in.Target, in.Version
	if in.Incarnation != 0 {
		a.incarnation = in.Incarnation
	}
	a.phase, a.lastTokenAt = streaming, now
	a.silence.restart(now)
	if a == m.current && m.version == "" {
		m.version = in.Version
	}
	if joining {
		return m.attach(now, a)
	}
	if m.version != "" && in.Version != "" && in.Version != m.version {
		// The router broke its word: going on here would mix two models.
		return m.tryAnotherTarget(now, a, EndRefused)
	}
	m.lastConnection++
	a.connection = m.lastConnection
	return []Decision{Open{Attempt: a.number, Connection: a.connection, Forced: append([]string(nil), m.tokens...)}}
}

func (m *Machine) routeFailed(now time.Time, in RouteFailed) []Decision {
	a := m.findAttempt(in.Attempt)
	switch {
	case a == nil || a.phase != routing:
		return nil
	case a == m.standby:
		m.standby = nil
		return nil
	case a.target != "": // the target to join is gone
		return m.startAttempt(now)
	case isPermanent(in.Err) || m.lostAt.IsZero():
		return m.finish(EndCanceled, m.refusal(in.Err))
	case m.resumeOverdue(now):
		return m.giveUp()
	}
	a.phase = pausing
	m.retryAt = now.Add(m.setup.Settings.RoutePause.Std())
	// A target that was left may serve again, and may be the only one.
	m.excluded = nil
	return nil
}

// isPermanent tells whether asking for a target again is no use.
func isPermanent(err *failure.Error) bool {
	switch err.Code {
	case failure.NoTarget, failure.Overloaded, failure.DeadlinePast, failure.Internal, failure.UnknownResult:
		return false
	}
	return true
}

// refusal makes the outcome of a router's refusal true for the whole answer.
func (m *Machine) refusal(err *failure.Error) *failure.Error {
	if !m.mayHaveRun {
		return err
	}
	e := *err
	e.Outcome = failure.Ran
	return &e
}

// resumeOverdue tells whether the time to find a new target is over.
func (m *Machine) resumeOverdue(now time.Time) bool {
	return !m.lostAt.IsZero() && now.Sub(m.lostAt) >= m.setup.Settings.ResumeDeadline.Std()
}

// lostTargetRetryAfter is told to callers of an answer that found no target in time.
const lostTargetRetryAfter = time.Second

func (m *Machine) giveUp() []Decision {
	peer := m.lastTarget
	if m.current != nil && m.current.target != "" {
		peer = m.current.target
	}
	err := failure.New(failure.TargetLost, failure.Ran, "resume", peer, "no target took the answer over in time")
	return m.finish(EndCanceled, err.After(lostTargetRetryAfter))
}

// finish ends every live attempt and the answer.
func (m *Machine) finish(cause EndCause, err *failure.Error) []Decision {
	var out []Decision
	if m.standby != nil && m.standby.holdsTarget() {
		out = append(out, m.standby.end(EndSuperseded))
	}
	if m.current != nil && m.current.holdsTarget() {
		out = append(out, m.current.end(cause))
	}
	m.finished, m.standby, m.current = true, nil, nil
	return append(out, Finish{Position: m.position(), Err: err})
}
