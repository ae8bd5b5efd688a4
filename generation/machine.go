// Package generation keeps one streamed answer whole while targets fail under
// it: attempts, positions, resume, and retention for a caller that comes back.
//
// Machine is the pure decision logic: inputs and the time go in, decisions come
// out. Run is the shell that carries the decisions out.
package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/target"
)

// Settings bound one generation.
type Settings struct {
	// Silence is how long a stream may stay without any event before the
	// target is suspected.
	Silence jsontime.Duration `json:"silence" validate:"gt=0"`
	// ResumeDeadline is the longest time from a loss to a final answer.
	ResumeDeadline jsontime.Duration `json:"resume_deadline" validate:"gt=0"`
	// MaxTargetsLost is the number of targets a request may lose before it is
	// given up as a suspect.
	MaxTargetsLost int `json:"max_targets_lost" validate:"min=1"`
	// Retention is how long a finished or unwatched answer is kept.
	Retention jsontime.Duration `json:"retention" validate:"gt=0"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{
		Silence:        jsontime.Duration(time.Second),
		ResumeDeadline: jsontime.Duration(5 * time.Second),
		MaxTargetsLost: 3,
		Retention:      jsontime.Duration(30 * time.Second),
	}
}

// Request is one caller's wish.
type Request struct {
	ID        string
	Workspace string
	Service   string
	Prompt    string
	MaxTokens int64
	Seed      int64
	Priority  target.Priority
	Deadline  time.Duration // for the first token; 0 for the default
	Labels    map[string]string
	Held      []string // tokens that the caller holds already
	Cursor    Cursor   // where the caller's last event came from
	Objective configuration.Objective
}

// Input is something the machine learns.
type Input interface{ input() }

// Routed: the router granted a target for an attempt.
type Routed struct {
	Attempt     int64
	Target      string
	Version     string
	Incarnation uint64
}

// RouteFailed: no target within the deadline.
type RouteFailed struct {
	Attempt int64
	Err     *failure.Error
}

// Received is one event of an attempt's stream.
type Received struct {
	Attempt int64
	Event   target.StreamEvent
}

// Broken: the connection of an attempt failed or could not be opened.
type Broken struct {
	Attempt int64
	Err     error
}

// Probed is the answer of a probe on a new connection.
type Probed struct {
	Attempt     int64
	Alive       bool
	Incarnation uint64
}

// NoStream: the target lives but does not know the attempt's stream.
type NoStream struct{ Attempt int64 }

// Tick lets time pass.
type Tick struct{}

func (Routed) input()      {}
func (RouteFailed) input() {}
func (Received) input()    {}
func (Broken) input()      {}
func (Probed) input()      {}
func (NoStream) input()    {}
func (Tick) input()        {}

// Decision is something the shell must do.
type Decision interface{ decision() }

// Route asks for a target for an attempt.
type Route struct {
	Attempt int64
	Exclude []string
	Version string // model version to go on with; empty for any
}

// Open starts the attempt on its target with the forced prefix.
type Open struct {
	Attempt int64
	Forced  []string
}

// Attach joins the attempt's stream on a new connection.
type Attach struct {
	Attempt int64
	From    int64
}

// Probe asks the attempt's target on a new connection whether it lives.
type Probe struct{ Attempt int64 }

// Abandon leaves an attempt: cancel it, and keep its permit until its end is
// known.
type Abandon struct {
	Attempt int64
	Blame   bool // the target was lost under this request
}

// Emit passes a token on to the caller.
type Emit struct {
	Position int64
	Text     string
	Resumed  time.Duration // the caller's wait after a loss; 0 without one
}

// Drop counts a late, crossed or repeated token.
type Drop struct{ Attempt, Position int64 }

// Finish ends the answer. A nil Err means that it is whole.
type Finish struct{ Err *failure.Error }

func (Route) decision()   {}
func (Open) decision()    {}
func (Attach) decision()  {}
func (Probe) decision()   {}
func (Abandon) decision() {}
func (Emit) decision()    {}
func (Drop) decision()    {}
func (Finish) decision()  {}

// phase is the state of the current attempt.
type phase int

const (
	routing phase = iota
	streaming
	probing
	attaching
	finished
)

// Machine decides for one generation. It is not safe for concurrent use.
type Machine struct {
	settings    Settings
	phase       phase
	attempt     int64
	target      string
	version     string
	incarnation uint64
	tokens      []string
	lost        []string
	heard       time.Time
	lossAt      time.Time // zero while nothing is lost
}

// NewMachine returns a machine that continues after the tokens held.
// firstAttempt must be greater than any attempt that ran for this request.
func NewMachine(s Settings, held []string, version string, firstAttempt int64) *Machine {
	return &Machine{settings: s, tokens: append([]string(nil), held...), version: version, attempt: firstAttempt - 1}
}

// Tokens returns all accepted tokens. The caller must not change them.
func (m *Machine) Tokens() []string { return m.tokens }

// Start returns the first decisions.
func (m *Machine) Start(now time.Time) []Decision { return m.nextAttempt(now) }

// Step takes one input and returns what to do.
func (m *Machine) Step(now time.Time, in Input) []Decision {
	if m.phase == finished {
		return nil
	}
	switch in := in.(type) {
	case Routed:
		return m.routed(now, in)
	case RouteFailed:
		return m.routeFailed(in)
	case Received:
		return m.received(now, in)
	case Broken:
		return m.broken(now, in)
	case Probed:
		return m.probed(now, in)
	case NoStream:
		return m.noStream(now, in)
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) nextAttempt(now time.Time) []Decision {
	m.attempt++
	m.phase, m.heard, m.target = routing, now, ""
	return []Decision{Route{Attempt: m.attempt, Exclude: append([]string(nil), m.lost...), Version: m.version}}
}

func (m *Machine) routed(now time.Time, in Routed) []Decision {
	if in.Attempt != m.attempt || m.phase != routing {
		return nil
	}
	m.phase, m.heard = streaming, now
	m.target, m.version, m.incarnation = in.Target, in.Version, in.Incarnation
	return []Decision{Open{Attempt: m.attempt, Forced: m.tokens}}
}

func (m *Machine) routeFailed(in RouteFailed) []Decision {
	if in.Attempt != m.attempt {
		return nil
	}
	return m.finish(in.Err)
}

func (m *Machine) finish(err *failure.Error) []Decision {
	m.phase = finished
	return []Decision{Finish{Err: err}}
}

func (m *Machine) received(now time.Time, in Received) []Decision {
	if in.Attempt != m.attempt {
		return []Decision{Drop{in.Attempt, in.Event.Position}}
	}
	m.heard = now
	if m.phase == probing || m.phase == attaching {
		m.phase = streaming
	}
	switch in.Event.Kind {
	case target.TokenEvent:
		return m.token(now, in)
	case target.DoneEvent:
		if in.Event.Position != int64(len(m.tokens)) {
			return m.lose(now)
		}
		return m.finish(nil)
	case target.ErrorEvent:
		return m.lose(now)
	}
	return nil
}

func (m *Machine) token(now time.Time, in Received) []Decision {
	if in.Event.Position < int64(len(m.tokens)) {
		return []Decision{Drop{in.Attempt, in.Event.Position}}
	}
	if in.Event.Position > int64(len(m.tokens)) {
		// A gap on the stream itself: the engine still holds what is missing.
		return m.attach(now)
	}
	m.tokens = append(m.tokens, in.Event.Text)
	e := Emit{Position: in.Event.Position, Text: in.Event.Text}
	if !m.lossAt.IsZero() {
		e.Resumed = now.Sub(m.lossAt)
		m.lossAt = time.Time{}
	}
	return []Decision{e}
}

func (m *Machine) attach(now time.Time) []Decision {
	m.phase, m.heard = attaching, now
	return []Decision{Attach{Attempt: m.attempt, From: int64(len(m.tokens))}}
}

func (m *Machine) broken(now time.Time, in Broken) []Decision {
	if in.Attempt != m.attempt || m.phase == routing {
		return nil
	}
	return m.suspect(now)
}

// suspect probes the target on a new connection.
func (m *Machine) suspect(now time.Time) []Decision {
	if m.lossAt.IsZero() {
		m.lossAt = m.heard
	}
	if m.phase == probing {
		return nil
	}
	m.phase, m.heard = probing, now
	return []Decision{Probe{m.attempt}}
}

func (m *Machine) probed(now time.Time, in Probed) []Decision {
	if in.Attempt != m.attempt || m.phase != probing {
		return nil
	}
	if in.Alive && (m.incarnation == 0 || in.Incarnation == m.incarnation) {
		return m.attach(now)
	}
	return m.lose(now)
}

func (m *Machine) noStream(now time.Time, in NoStream) []Decision {
	if in.Attempt != m.attempt {
		return nil
	}
	return m.lose(now)
}

// lose gives the current target up and goes on elsewhere.
func (m *Machine) lose(now time.Time) []Decision {
	if m.lossAt.IsZero() {
		m.lossAt = now
	}
	out := []Decision{Abandon{Attempt: m.attempt, Blame: true}}
	m.lost = append(m.lost, m.target)
	if len(m.lost) >= m.settings.MaxTargetsLost {
		err := failure.New(failure.Quarantined, failure.Ran, "resume", m.target, "request lost %d targets", len(m.lost))
		return append(out, m.finish(err)...)
	}
	return append(out, m.nextAttempt(now)...)
}

func (m *Machine) tick(now time.Time) []Decision {
	if !m.lossAt.IsZero() && now.Sub(m.lossAt) > m.settings.ResumeDeadline.Std() {
		err := failure.New(failure.TargetLost, failure.Ran, "resume", m.target, "no target took the answer over in time").After(time.Second)
		return append([]Decision{Abandon{Attempt: m.attempt, Blame: true}}, m.finish(err)...)
	}
	silent := now.Sub(m.heard) > m.settings.Silence.Std()
	switch {
	case !silent || m.phase == routing:
		return nil
	case m.phase == streaming:
		return m.suspect(now)
	default:
		return m.lose(now)
	}
}
