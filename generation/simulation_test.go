package generation

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// simulation connects one Machine to a few simulated targets. All random choices
// come from choose, so a run can be repeated from its seed. Messages may be
// delayed, reordered, duplicated or lost. The results of Route are never lost or
// duplicated, because the type run answers each Route exactly once.
type simulation struct {
	choose      func(n int) int // returns a number in [0, n)
	machine     *Machine
	mutant      *mutant // faulty variant of the machine; nil for none
	now         time.Time
	targets     []*simTarget
	connections map[int64]*simConnection
	pending     []Input
	tagCount    int

	tokens       []string
	attemptEnded map[int64]bool // by granted attempt: whether its End was seen
	finish       *Finish
	err          error
}

type simTarget struct {
	name        string
	dead        bool
	paused      bool
	incarnation uint64
	streams     map[int64]*simStream
}

type simStream struct {
	base    int64    // length of the forced prefix
	tokens  []string // from position base on
	lastTag string   // tag of the last token
	done    bool
}

type simConnection struct {
	attempt      int64
	target       *simTarget
	stream       *simStream
	nextPosition int64 // position of the next token to send
	silent       bool
	doneSent     bool
}

const (
	targetCount   = 4
	answerTokens  = 6
	faultSteps    = 160
	recoverySteps = 4000
	startTag      = "start"
)

func newSimulation(choose func(int) int, variant *mutant) *simulation {
	sim := &simulation{choose: choose, mutant: variant, now: time.Unix(1000, 0), connections: make(map[int64]*simConnection), attemptEnded: make(map[int64]bool)}
	for i := range targetCount {
		sim.targets = append(sim.targets, &simTarget{name: fmt.Sprint("t", i), incarnation: 1, streams: make(map[int64]*simStream)})
	}
	objectives := []configuration.Objective{latency, resources}
	s := Setup{Settings: DefaultSettings(), Objective: objectives[choose(2)], MaxTokens: answerTokens, FirstAttempt: 1 << attemptNumberBits}
	if choose(3) == 0 {
		s.Held, s.Cursor = sim.previousRun()
	}
	sim.tokens = append(sim.tokens, s.Held...)
	sim.machine = NewMachine(s)
	return sim
}

// previousRun starts the stream of a run at another daemon and returns the tokens
// and the cursor of a caller that has read a part of it.
func (sim *simulation) previousRun() ([]string, Cursor) {
	const attempt = 7
	t := sim.targets[0]
	s := &simStream{lastTag: startTag}
	t.streams[attempt] = s
	for range 1 + sim.choose(answerTokens) {
		sim.decode(s)
	}
	held := s.tokens[:1+sim.choose(len(s.tokens))]
	return append([]string(nil), held...), Cursor{Held: int64(len(held)), Target: t.name, Version: "1", Attempt: attempt}
}

// decode appends the next token of a stream: a new tag and the tag of the token
// before it.
func (sim *simulation) decode(s *simStream) {
	if s.base+int64(len(s.tokens)) >= answerTokens {
		s.done = true
		return
	}
	sim.tagCount++
	tag := fmt.Sprint(sim.tagCount)
	s.tokens = append(s.tokens, tag+"."+s.lastTag)
	s.lastTag = tag
}

// run executes faultSteps with faults, then recoverySteps without, and returns the
// first violation.
func (sim *simulation) run() error {
	sim.apply(sim.machine.Start(sim.now))
	for i := 0; i < faultSteps && sim.err == nil && sim.finish == nil; i++ {
		sim.faultStep()
	}
	for _, t := range sim.targets {
		t.dead, t.paused = false, false
	}
	for i := 0; i < recoverySteps && sim.err == nil && sim.finish == nil; i++ {
		sim.recoveryStep()
	}
	for len(sim.pending) > 0 && sim.err == nil {
		sim.deliver(0)
	}
	if sim.err == nil {
		sim.err = sim.check()
	}
	return sim.err
}

// check returns the first violation found at the end of a run: an answer without an
// end, an unreleased permit, or tokens that don't follow each other.
func (sim *simulation) check() error {
	if sim.finish == nil {
		return errors.New("the answer did not end within recoverySteps, want an end")
	}
	for a, ended := range sim.attemptEnded {
		if !ended {
			return errors.Errorf("permit of attempt %d was not released, want one End", a)
		}
	}
	if sim.finish.Err == nil && len(sim.tokens) != answerTokens {
		return errors.Errorf("complete answer has %d tokens, want answerTokens", len(sim.tokens))
	}
	lastTag := startTag
	for i, token := range sim.tokens {
		tag, previous, _ := strings.Cut(token, ".")
		if previous != lastTag {
			return errors.Errorf("token %d does not follow the token before it: the tags differ", i)
		}
		lastTag = tag
	}
	return nil
}

func (sim *simulation) faultStep() {
	t := sim.targets[sim.choose(len(sim.targets))]
	switch sim.choose(21) {
	case 0:
		sim.kill(t)
	case 1:
		t.dead = false
	case 2:
		t.paused = true
	case 3, 4:
		t.paused = false
	case 5:
		if c := sim.randomConn(); c != nil {
			c.silent = true
		}
	case 6:
		sim.loseMessage()
	case 7:
		sim.duplicateMessage()
	case 20:
		sim.now = sim.now.Add(time.Duration(sim.choose(10)) * time.Second)
		sim.step(Woken{})
	case 8, 9:
		sim.now = sim.now.Add(time.Duration(sim.choose(400)) * time.Millisecond)
		sim.step(Tick{})
	default:
		sim.serve()
		sim.serve()
		if len(sim.pending) > 0 {
			sim.deliver(sim.choose(len(sim.pending)))
		}
	}
}

func (sim *simulation) recoveryStep() {
	sim.serve()
	if len(sim.pending) > 0 {
		sim.deliver(0)
	}
	sim.now = sim.now.Add(10 * time.Millisecond)
	sim.step(Tick{})
}

func (sim *simulation) kill(t *simTarget) {
	t.dead, t.paused = true, false
	t.incarnation++
	t.streams = make(map[int64]*simStream)
	for id := int64(0); id <= sim.machine.lastConnection; id++ {
		if c := sim.connections[id]; c != nil && c.target == t {
			sim.pending = append(sim.pending, Broken{c.attempt, id, BreakLost})
			delete(sim.connections, id)
		}
	}
}

// randomConn returns an open connection or nil. It draws a connection number,
// because the iteration order of the map is not reproducible.
func (sim *simulation) randomConn() *simConnection {
	return sim.connections[int64(sim.choose(int(sim.machine.lastConnection)+1))]
}

func (sim *simulation) loseMessage() {
	if len(sim.pending) == 0 {
		return
	}
	i := sim.choose(len(sim.pending))
	switch sim.pending[i].(type) {
	case Routed, RouteFailed:
		return
	}
	sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
}

func (sim *simulation) duplicateMessage() {
	if len(sim.pending) == 0 {
		return
	}
	in := sim.pending[sim.choose(len(sim.pending))]
	switch in.(type) {
	case Routed, RouteFailed:
		return
	}
	sim.pending = append(sim.pending, in)
}

// serve lets the target of a random connection decode and send.
func (sim *simulation) serve() {
	id := int64(sim.choose(int(sim.machine.lastConnection) + 1))
	c := sim.connections[id]
	if c == nil || c.target.dead || c.target.paused {
		return
	}
	if sim.choose(2) == 0 {
		sim.decode(c.stream)
	}
	if c.silent || c.doneSent {
		return
	}
	e := target.StreamEvent{Kind: target.KeepAliveEvent, Position: c.nextPosition}
	switch index := c.nextPosition - c.stream.base; {
	case index < int64(len(c.stream.tokens)):
		e.Kind, e.Text = target.TokenEvent, c.stream.tokens[index]
		c.nextPosition++
	case c.stream.done:
		e.Kind, c.doneSent = target.DoneEvent, true
	}
	sim.pending = append(sim.pending, Received{c.attempt, id, e})
}

func (sim *simulation) deliver(i int) {
	in := sim.pending[i]
	sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
	if r, ok := in.(Routed); ok {
		if _, duplicate := sim.attemptEnded[r.Attempt]; duplicate {
			sim.err = errors.Errorf("attempt %d was routed twice, want once", r.Attempt)
		}
		sim.attemptEnded[r.Attempt] = false
	}
	sim.step(in)
}

func (sim *simulation) step(in Input) {
	if sim.mutant == nil {
		sim.apply(sim.machine.Step(sim.now, in))
		return
	}
	sim.apply(sim.mutant.step(sim.machine, sim.now, in))
}

func (sim *simulation) apply(ds []Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case Route:
			sim.route(d)
		case Open:
			sim.open(d)
		case Attach:
			sim.attach(d)
		case Probe:
			sim.probe(d)
		case End:
			sim.end(d)
		case Emit:
			if d.Position != int64(len(sim.tokens)) {
				sim.err = errors.Errorf("emitted position %d, want %d", d.Position, len(sim.tokens))
			}
			sim.tokens = append(sim.tokens, d.Text)
		case Finish:
			if sim.finish != nil {
				sim.err = errors.New("the answer ended twice, want once")
			}
			sim.finish = &d
		}
	}
}

func (sim *simulation) route(d Route) {
	if d.Target != "" {
		sim.pending = append(sim.pending, Routed{d.Attempt, d.Target, d.Version, 0})
		return
	}
	var free []*simTarget
	for _, t := range sim.targets {
		if !strings.Contains(strings.Join(d.Exclude, ",")+",", t.name+",") {
			free = append(free, t)
		}
	}
	if len(free) == 0 || sim.choose(8) == 0 {
		sim.pending = append(sim.pending, RouteFailed{d.Attempt, failure.New(failure.NoTarget, failure.NotRun, "route", "", "none")})
		return
	}
	version := "1"
	if sim.choose(10) == 0 {
		version = "2"
	}
	sim.pending = append(sim.pending, Routed{d.Attempt, free[sim.choose(len(free))].name, version, 0})
}

func (sim *simulation) targetOf(attempt int64) *simTarget {
	name := sim.machine.setup.Cursor.Target
	if a := sim.machine.findAttempt(attempt); a != nil {
		name = a.target
	}
	for _, t := range sim.targets {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (sim *simulation) open(d Open) {
	t := sim.targetOf(d.Attempt)
	switch {
	case t.dead:
		sim.pending = append(sim.pending, Broken{d.Attempt, d.Connection, BreakNotSent})
		return
	case sim.choose(8) == 0:
		sim.pending = append(sim.pending, Broken{d.Attempt, d.Connection, BreakRefused})
		return
	}
	s := &simStream{base: int64(len(d.Forced)), lastTag: startTag}
	if n := len(d.Forced); n > 0 {
		s.lastTag, _, _ = strings.Cut(d.Forced[n-1], ".")
	}
	t.streams[d.Attempt] = s
	sim.connections[d.Connection] = &simConnection{attempt: d.Attempt, target: t, stream: s, nextPosition: s.base}
}

func (sim *simulation) attach(d Attach) {
	t := sim.targetOf(d.Attempt)
	s := t.streams[d.Attempt]
	switch {
	case t.dead:
		sim.pending = append(sim.pending, Broken{d.Attempt, d.Connection, BreakNotSent})
	case s == nil || d.From < s.base:
		sim.pending = append(sim.pending, NoStream{d.Attempt, d.Connection})
	default:
		sim.connections[d.Connection] = &simConnection{attempt: d.Attempt, target: t, stream: s, nextPosition: d.From}
	}
}

func (sim *simulation) probe(d Probe) {
	t := sim.targetOf(d.Attempt)
	if t.paused {
		return
	}
	sim.pending = append(sim.pending, Probed{d.Attempt, d.Connection, !t.dead, t.incarnation})
}

func (sim *simulation) end(d End) {
	ended, known := sim.attemptEnded[d.Attempt]
	if ended || !known {
		sim.err = errors.Errorf("attempt %d ended twice or without a grant, want one End after its grant", d.Attempt)
	}
	sim.attemptEnded[d.Attempt] = true
}
