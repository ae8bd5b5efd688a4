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

// world is a small site of targets around one machine. Every choice comes from
// choose, so a world is as random as its source and replays from its seed.
// Messages may be late, crossed, doubled or lost; grants are never lost, since
// the shell answers each Route.
type world struct {
	choose  func(n int) int // in [0, n)
	machine *Machine
	mutate  *mutant
	now     time.Time
	targets []*worldTarget
	conns   map[int64]*worldConn
	pending []Input
	tags    int

	tokens  []string
	granted map[int64]bool // attempt to whether it ended
	final   *Finish
	err     error
}

type worldTarget struct {
	name        string
	dead        bool
	paused      bool
	incarnation uint64
	streams     map[int64]*worldStream
}

type worldStream struct {
	base   int64
	tokens []string // from base on
	last   string   // tag of the newest token
	done   bool
}

type worldConn struct {
	attempt int64
	target  *worldTarget
	stream  *worldStream
	next    int64 // position
	silent  bool
	doneOut bool
}

const (
	worldTargets = 4
	worldTokens  = 6
	worldSteps   = 160
	calmSteps    = 4000
	startTag     = "start"
)

func newWorld(choose func(int) int, mutate *mutant) *world {
	w := &world{choose: choose, mutate: mutate, now: time.Unix(1000, 0), conns: make(map[int64]*worldConn), granted: make(map[int64]bool)}
	for i := range worldTargets {
		w.targets = append(w.targets, &worldTarget{name: fmt.Sprint("t", i), incarnation: 1, streams: make(map[int64]*worldStream)})
	}
	objectives := []configuration.Objective{latency, resources}
	s := Setup{Settings: DefaultSettings(), Objective: objectives[choose(2)], MaxTokens: worldTokens, FirstAttempt: 1 << attemptBits}
	if choose(3) == 0 {
		s.Held, s.Cursor = w.earlier()
	}
	w.tokens = append(w.tokens, s.Held...)
	w.machine = NewMachine(s)
	return w
}

// earlier runs the beginning of the answer for another daemon.
func (w *world) earlier() ([]string, Cursor) {
	const attempt = 7
	t := w.targets[0]
	s := &worldStream{last: startTag}
	t.streams[attempt] = s
	for range 1 + w.choose(worldTokens) {
		w.decode(s)
	}
	held := s.tokens[:1+w.choose(len(s.tokens))]
	return append([]string(nil), held...), Cursor{Held: int64(len(held)), Target: t.name, Version: "1", Attempt: attempt}
}

// decode draws the next token of a stream: its own tag, then the tag before.
func (w *world) decode(s *worldStream) {
	if s.base+int64(len(s.tokens)) >= worldTokens {
		s.done = true
		return
	}
	w.tags++
	tag := fmt.Sprint(w.tags)
	s.tokens = append(s.tokens, tag+"."+s.last)
	s.last = tag
}

// run lets the world go wild, then calm, and returns what broke.
func (w *world) run() error {
	w.carryOut(w.machine.Start(w.now))
	for i := 0; i < worldSteps && w.err == nil && w.final == nil; i++ {
		w.wild()
	}
	for _, t := range w.targets {
		t.dead, t.paused = false, false
	}
	for i := 0; i < calmSteps && w.err == nil && w.final == nil; i++ {
		w.calm()
	}
	for len(w.pending) > 0 && w.err == nil {
		w.deliver(0)
	}
	if w.err == nil {
		w.err = w.verdict()
	}
	return w.err
}

func (w *world) verdict() error {
	if w.final == nil {
		return errors.New("no final answer")
	}
	for a, ended := range w.granted {
		if !ended {
			return errors.Errorf("permit of attempt %d forgotten", a)
		}
	}
	if w.final.Err == nil && len(w.tokens) != worldTokens {
		return errors.Errorf("whole answer has %d tokens", len(w.tokens))
	}
	last := startTag
	for i, t := range w.tokens {
		own, before, _ := strings.Cut(t, ".")
		if before != last {
			return errors.Errorf("token %d is of another generation", i)
		}
		last = own
	}
	return nil
}

func (w *world) wild() {
	t := w.targets[w.choose(len(w.targets))]
	switch w.choose(21) {
	case 0:
		w.kill(t)
	case 1:
		t.dead = false
	case 2:
		t.paused = true
	case 3, 4:
		t.paused = false
	case 5:
		if c := w.anyConn(); c != nil {
			c.silent = true
		}
	case 6:
		w.lose()
	case 7:
		w.double()
	case 20:
		w.now = w.now.Add(time.Duration(w.choose(10)) * time.Second)
		w.step(Woken{})
	case 8, 9:
		w.now = w.now.Add(time.Duration(w.choose(400)) * time.Millisecond)
		w.step(Tick{})
	default:
		w.work()
		w.work()
		if len(w.pending) > 0 {
			w.deliver(w.choose(len(w.pending)))
		}
	}
}

func (w *world) calm() {
	w.work()
	if len(w.pending) > 0 {
		w.deliver(0)
	}
	w.now = w.now.Add(10 * time.Millisecond)
	w.step(Tick{})
}

func (w *world) kill(t *worldTarget) {
	t.dead, t.paused = true, false
	t.incarnation++
	t.streams = make(map[int64]*worldStream)
	for id := int64(0); id <= w.machine.connection; id++ {
		if c := w.conns[id]; c != nil && c.target == t {
			w.pending = append(w.pending, Broken{c.attempt, id, BreakLost})
			delete(w.conns, id)
		}
	}
}

// anyConn returns an open connection, chosen without the order of the map.
func (w *world) anyConn() *worldConn { return w.conns[int64(w.choose(int(w.machine.connection)+1))] }

func (w *world) lose() {
	if len(w.pending) == 0 {
		return
	}
	i := w.choose(len(w.pending))
	switch w.pending[i].(type) {
	case Routed, RouteFailed:
		return
	}
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
}

func (w *world) double() {
	if len(w.pending) == 0 {
		return
	}
	in := w.pending[w.choose(len(w.pending))]
	switch in.(type) {
	case Routed, RouteFailed:
		return
	}
	w.pending = append(w.pending, in)
}

// work lets one connection's target decode and send.
func (w *world) work() {
	id := int64(w.choose(int(w.machine.connection) + 1))
	c := w.conns[id]
	if c == nil || c.target.dead || c.target.paused {
		return
	}
	if w.choose(2) == 0 {
		w.decode(c.stream)
	}
	if c.silent || c.doneOut {
		return
	}
	e := target.StreamEvent{Kind: target.KeepAliveEvent, Position: c.next}
	switch at := c.next - c.stream.base; {
	case at < int64(len(c.stream.tokens)):
		e.Kind, e.Text = target.TokenEvent, c.stream.tokens[at]
		c.next++
	case c.stream.done:
		e.Kind, c.doneOut = target.DoneEvent, true
	}
	w.pending = append(w.pending, Received{c.attempt, id, e})
}

func (w *world) deliver(i int) {
	in := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	if r, ok := in.(Routed); ok {
		if _, twice := w.granted[r.Attempt]; twice {
			w.err = errors.Errorf("attempt %d routed twice", r.Attempt)
		}
		w.granted[r.Attempt] = false
	}
	w.step(in)
}

func (w *world) step(in Input) {
	if w.mutate == nil {
		w.carryOut(w.machine.Step(w.now, in))
		return
	}
	w.carryOut(w.mutate.step(w.machine, w.now, in))
}

func (w *world) carryOut(ds []Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case Route:
			w.route(d)
		case Open:
			w.open(d)
		case Attach:
			w.attach(d)
		case Probe:
			w.probe(d)
		case End:
			w.end(d)
		case Emit:
			if d.Position != int64(len(w.tokens)) {
				w.err = errors.Errorf("position %d emitted where %d was next", d.Position, len(w.tokens))
			}
			w.tokens = append(w.tokens, d.Text)
		case Finish:
			if w.final != nil {
				w.err = errors.New("two final answers")
			}
			w.final = &d
		}
	}
}

func (w *world) route(d Route) {
	if d.Target != "" {
		w.pending = append(w.pending, Routed{d.Attempt, d.Target, d.Version, 0})
		return
	}
	var free []*worldTarget
	for _, t := range w.targets {
		if !strings.Contains(strings.Join(d.Exclude, ",")+",", t.name+",") {
			free = append(free, t)
		}
	}
	if len(free) == 0 || w.choose(8) == 0 {
		w.pending = append(w.pending, RouteFailed{d.Attempt, failure.New(failure.NoTarget, failure.NotRun, "route", "", "none")})
		return
	}
	version := "1"
	if w.choose(10) == 0 {
		version = "2"
	}
	w.pending = append(w.pending, Routed{d.Attempt, free[w.choose(len(free))].name, version, 0})
}

func (w *world) targetOf(attempt int64) *worldTarget {
	name := w.machine.setup.Cursor.Target
	if a := w.machine.find(attempt); a != nil {
		name = a.target
	}
	for _, t := range w.targets {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (w *world) open(d Open) {
	t := w.targetOf(d.Attempt)
	switch {
	case t.dead:
		w.pending = append(w.pending, Broken{d.Attempt, d.Connection, BreakNotSent})
		return
	case w.choose(8) == 0:
		w.pending = append(w.pending, Broken{d.Attempt, d.Connection, BreakRefused})
		return
	}
	s := &worldStream{base: int64(len(d.Forced)), last: startTag}
	if n := len(d.Forced); n > 0 {
		s.last, _, _ = strings.Cut(d.Forced[n-1], ".")
	}
	t.streams[d.Attempt] = s
	w.conns[d.Connection] = &worldConn{attempt: d.Attempt, target: t, stream: s, next: s.base}
}

func (w *world) attach(d Attach) {
	t := w.targetOf(d.Attempt)
	s := t.streams[d.Attempt]
	switch {
	case t.dead:
		w.pending = append(w.pending, Broken{d.Attempt, d.Connection, BreakNotSent})
	case s == nil || d.From < s.base:
		w.pending = append(w.pending, NoStream{d.Attempt, d.Connection})
	default:
		w.conns[d.Connection] = &worldConn{attempt: d.Attempt, target: t, stream: s, next: d.From}
	}
}

func (w *world) probe(d Probe) {
	t := w.targetOf(d.Attempt)
	if t.paused {
		return
	}
	w.pending = append(w.pending, Probed{d.Attempt, d.Connection, !t.dead, t.incarnation})
}

func (w *world) end(d End) {
	ended, granted := w.granted[d.Attempt]
	if ended || !granted {
		w.err = errors.Errorf("attempt %d ended twice or before its grant", d.Attempt)
	}
	w.granted[d.Attempt] = true
}
