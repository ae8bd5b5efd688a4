package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// Setup is the initial state of a Machine. Traces store it as JSON.
type Setup struct {
	Settings  Settings
	Objective configuration.Objective
	MaxTokens int64 // maximum length of the answer; 0 for unknown
	// Held are the tokens that the caller holds. Cursor names the source of the
	// last of them.
	Held   []string
	Cursor Cursor
	// FirstAttempt is the number of the first new attempt. Later attempts count
	// up from it. No daemon may have used these numbers for the request before.
	FirstAttempt int64
}

// Machine is the state machine of one generation: it maps inputs and the time to
// decisions. It is not safe for concurrent use.
type Machine struct {
	setup             Setup
	tokens            []string // accepted tokens, including Setup.Held
	version           string   // model version of the answer; empty for unknown
	nextAttemptNumber int64
	lastConnection    int64 // number of the newest connection or probe
	current           *attempt
	standby           *attempt  // second attempt while the current one is suspected, or nil
	excluded          []string  // targets not to use for the next attempt
	lastTarget        string    // target of the attempt before the current one
	lostAt            time.Time // start of the caller's wait; zero without a loss
	resuming          bool      // since lostAt, the answer moved to another target or connection
	retryAt           time.Time // time of the next Route of a pausing attempt
	mayHaveRun        bool      // a target may have run the request
	finished          bool
}

// NewMachine returns a machine that continues the answer after s.Held.
func NewMachine(s Setup) *Machine {
	return &Machine{
		setup: s, tokens: append([]string(nil), s.Held...), version: s.Cursor.Version,
		nextAttemptNumber: s.FirstAttempt, mayHaveRun: len(s.Held) > 0,
	}
}

// Tokens returns all accepted tokens. The caller must not change them.
func (m *Machine) Tokens() []string { return m.tokens }

func (m *Machine) position() int64 { return int64(len(m.tokens)) }

// complete reports whether the answer has reached its maximum length.
func (m *Machine) complete() bool { return m.setup.MaxTokens > 0 && m.position() >= m.setup.MaxTokens }

// Start returns the first decisions. If the cursor names a stream, the machine
// first tries to join that stream.
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

// Step applies one input and returns the resulting decisions.
func (m *Machine) Step(now time.Time, in Input) []Decision {
	if m.finished {
		return m.afterFinish(in)
	}
	switch in := in.(type) {
	case Routed:
		return m.handleRouted(now, in)
	case RouteFailed:
		return m.handleRouteFailed(now, in)
	case Received:
		return m.handleReceived(now, in)
	case Broken:
		return m.handleBroken(now, in)
	case Probed:
		return m.handleProbed(now, in)
	case NoStream:
		return m.handleNoStream(now, in)
	case Cancel:
		return m.finish(EndCanceled, in.Err)
	case TakenOver:
		err := failure.New(failure.Canceled, failure.Ran, "generate", in.By, "another daemon goes on with the answer")
		return m.finish(EndTakenOver, err)
	case Woken:
		m.handleWoken(now)
	case Tick:
		return m.tick(now)
	}
	return nil
}

// afterFinish releases a grant and drops a token that arrive after the answer has
// ended.
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

// findAttempt returns the current or standby attempt with the number, or nil.
func (m *Machine) findAttempt(number int64) *attempt {
	for _, a := range []*attempt{m.current, m.standby} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

// newAttempt returns an attempt and the Route that requests its target.
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

func (m *Machine) handleRouted(now time.Time, in Routed) []Decision {
	a := m.findAttempt(in.Attempt)
	if a == nil || a.phase != routing {
		return []Decision{End{Attempt: in.Attempt, Cause: EndSuperseded, Fresh: true}}
	}
	joining := a.target != ""
	a.target, a.version = in.Target, in.Version
	if in.Incarnation != 0 {
		a.incarnation = in.Incarnation
	}
	a.phase, a.stallTimeoutStart = streaming, now
	a.silence.restart(now)
	if a == m.current && m.version == "" {
		m.version = in.Version
	}
	if joining {
		return m.attach(now, a)
	}
	if m.version != "" && in.Version != "" && in.Version != m.version {
		// The router ignored the requested version. Continuing on this target
		// would mix two model versions in one answer.
		return m.tryAnotherTarget(now, a, EndRefused)
	}
	m.lastConnection++
	a.connection = m.lastConnection
	return []Decision{Open{Attempt: a.number, Connection: a.connection, Forced: append([]string(nil), m.tokens...)}}
}

func (m *Machine) handleRouteFailed(now time.Time, in RouteFailed) []Decision {
	a := m.findAttempt(in.Attempt)
	switch {
	case a == nil || a.phase != routing:
		return nil
	case a == m.standby:
		m.standby, m.excluded = nil, nil // an excluded target may have recovered
		return nil
	case a.target != "": // the target of the stream to join is not available
		return m.startAttempt(now)
	case isPermanent(in.Err) || m.lostAt.IsZero():
		return m.finish(EndCanceled, m.refusal(in.Err))
	case m.resumeOverdue(now):
		return m.giveUp()
	}
	a.phase = pausing
	m.retryAt = now.Add(m.setup.Settings.RoutePause.Std())
	// An excluded target may have recovered, and it may be the only one.
	m.excluded = nil
	return nil
}

// isPermanent reports whether a retry of the Route would fail again.
func isPermanent(err *failure.Error) bool {
	switch err.Code {
	case failure.NoTarget, failure.Overloaded, failure.DeadlineExceeded, failure.Internal, failure.UnknownOutcome:
		return false
	}
	return true
}

// refusal returns the router's error with the outcome of the answer as a whole:
// Ran if any target may have run the request.
func (m *Machine) refusal(err *failure.Error) *failure.Error {
	if !m.mayHaveRun {
		return err
	}
	e := *err
	e.Outcome = failure.Ran
	return &e
}

// resumeOverdue reports whether the resume deadline has passed since the loss.
func (m *Machine) resumeOverdue(now time.Time) bool {
	return !m.lostAt.IsZero() && now.Sub(m.lostAt) >= m.setup.Settings.ResumeDeadline.Std()
}

// lostTargetRetryAfter is the retry delay sent to callers whose answer found no
// target before the resume deadline.
const lostTargetRetryAfter = time.Second

// giveUp ends the answer because no target continued it before the resume deadline.
func (m *Machine) giveUp() []Decision {
	peer := m.lastTarget
	if m.current != nil && m.current.target != "" {
		peer = m.current.target
	}
	err := failure.New(failure.TargetLost, failure.Ran, "resume", peer, "no target took the answer over in time")
	return m.finish(EndCanceled, err.WithRetryAfter(lostTargetRetryAfter))
}

// finish ends both attempts and the answer.
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
