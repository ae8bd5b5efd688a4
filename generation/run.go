package generation

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// Grant is a permit to run one attempt on a target.
type Grant struct {
	Target      string
	Model       string
	Version     string
	Incarnation uint64
	Engine      target.Engine
	// Release gives the permit back. ended tells that the attempt is known to
	// have ended; otherwise the permit stays taken until the target's end.
	Release func(ended bool)
}

// Router grants targets. Route blocks until there is a grant or a final refusal.
type Router interface {
	Route(ctx context.Context, r Request, held int64, exclude []string, version string) (Grant, *failure.Error)
	// Lost tells that a request lost a target.
	Lost(request, target string)
}

// tickPeriod is how often a run looks at the time.
const tickPeriod = 50 * time.Millisecond

// inputQueueLen bounds inputs that wait for the machine; readers wait then.
const inputQueueLen = 64

// run carries out one machine's decisions.
type run struct {
	request Request
	router  Router
	events  *event.Recorder
	answer  *Answer
	machine *Machine
	inputs  chan Input
	ctx     context.Context
	wg      sync.WaitGroup

	grants  map[int64]Grant
	streams map[int64]context.CancelFunc
	done    bool
}

// Run drives a generation to its end and fills answer. It returns when the
// answer is final and every permit is handed on.
func Run(ctx context.Context, s Settings, r Request, router Router, events *event.Recorder, answer *Answer) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := &run{
		request: r, router: router, events: events, answer: answer,
		machine: NewMachine(s, r.Held, r.Cursor.Version, r.Cursor.Attempt+1),
		inputs:  make(chan Input, inputQueueLen), ctx: ctx,
		grants: make(map[int64]Grant), streams: make(map[int64]context.CancelFunc),
	}
	events.Record(event.GenerationStarted, r.ID, event.F("held", strconv.Itoa(len(r.Held))))
	g.loop()
	cancel()
	g.wg.Wait()
	g.releaseAll()
}

func (g *run) loop() {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	g.carryOut(g.machine.Start(time.Now()))
	for !g.done {
		select {
		case in := <-g.inputs:
			g.learn(in)
		case <-tick.C:
			g.carryOut(g.machine.Step(time.Now(), Tick{}))
		case <-g.ctx.Done():
			g.answer.finish(failure.New(failure.Canceled, failure.Ran, "generate", "", "canceled"))
			return
		}
	}
}

func (g *run) learn(in Input) {
	if r, ok := in.(granted); ok {
		g.grants[r.Attempt] = r.grant
		in = r.Routed
	}
	g.carryOut(g.machine.Step(time.Now(), in))
}

// granted is Routed together with the permit, which the machine must not see.
type granted struct {
	Routed
	grant Grant
}

func (g *run) carryOut(ds []Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case Route:
			g.spawn(func() { g.route(d) })
		case Open:
			g.open(d)
		case Attach:
			g.attach(d)
		case Probe:
			g.probe(d)
		case Abandon:
			g.abandon(d)
		case Emit:
			g.emit(d)
		case Drop:
			g.events.Record(event.StaleTokenDropped, g.request.ID, event.F("attempt", strconv.FormatInt(d.Attempt, 10)))
		case Finish:
			g.finish(d)
		}
	}
}

func (g *run) spawn(fn func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		fn()
	}()
}

func (g *run) tell(in Input) bool {
	select {
	case g.inputs <- in:
		return true
	case <-g.ctx.Done():
		return false
	}
}

func (g *run) route(d Route) {
	grant, err := g.router.Route(g.ctx, g.request, int64(len(d.Exclude)), d.Exclude, d.Version)
	if err != nil {
		g.tell(RouteFailed{d.Attempt, err})
		return
	}
	in := granted{Routed{d.Attempt, grant.Target, grant.Version, grant.Incarnation}, grant}
	if !g.tell(in) {
		grant.Release(true)
	}
}

func (g *run) open(d Open) {
	grant := g.grants[d.Attempt]
	req := target.GenerateRequest{
		Stream: target.StreamID{Request: g.request.ID, Attempt: d.Attempt},
		Model:  grant.Model, Version: grant.Version, Prompt: g.request.Prompt,
		Forced: append([]string(nil), d.Forced...), Seed: g.request.Seed,
		MaxTokens: g.request.MaxTokens, Priority: g.request.Priority, Workspace: g.request.Workspace,
	}
	g.events.Record(event.AttemptStarted, g.request.ID, event.F("target", grant.Target), event.F("attempt", strconv.FormatInt(d.Attempt, 10)))
	g.read(d.Attempt, func(ctx context.Context) (target.Stream, error) { return grant.Engine.Generate(ctx, req) })
}

func (g *run) attach(d Attach) {
	grant := g.grants[d.Attempt]
	id := target.StreamID{Request: g.request.ID, Attempt: d.Attempt}
	g.read(d.Attempt, func(ctx context.Context) (target.Stream, error) { return grant.Engine.Attach(ctx, id, d.From) })
}

// read replaces the attempt's connection and passes its events to the machine.
func (g *run) read(attempt int64, open func(context.Context) (target.Stream, error)) {
	if stop := g.streams[attempt]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(g.ctx)
	g.streams[attempt] = stop
	g.spawn(func() {
		s, err := open(ctx)
		if err != nil {
			g.readFailed(ctx, attempt, err)
			return
		}
		defer func() { _ = s.Close() }()
		for {
			e, err := s.Next()
			if err != nil {
				g.readFailed(ctx, attempt, err)
				return
			}
			if ctx.Err() != nil || !g.tell(Received{attempt, e}) {
				return
			}
		}
	})
}

func (g *run) readFailed(ctx context.Context, attempt int64, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, target.ErrNoStream) {
		g.tell(NoStream{attempt})
		return
	}
	g.tell(Broken{attempt, err})
}

func (g *run) probe(d Probe) {
	grant := g.grants[d.Attempt]
	g.spawn(func() {
		inc, err := grant.Engine.Probe(g.ctx)
		g.events.Record(event.TargetProbed, g.request.ID, event.F("target", grant.Target), event.F("alive", strconv.FormatBool(err == nil)))
		g.tell(Probed{d.Attempt, err == nil, inc})
	})
}

func (g *run) abandon(d Abandon) {
	if stop := g.streams[d.Attempt]; stop != nil {
		stop()
		delete(g.streams, d.Attempt)
	}
	grant, ok := g.grants[d.Attempt]
	if !ok {
		return
	}
	delete(g.grants, d.Attempt)
	if d.Blame {
		g.router.Lost(g.request.ID, grant.Target)
		g.events.Record(event.TargetLost, g.request.ID, event.F("target", grant.Target))
	}
	go leave(grant, target.StreamID{Request: g.request.ID, Attempt: d.Attempt})
}

// leave cancels an attempt and gives its permit back as far as its end is known.
func leave(grant Grant, id target.StreamID) {
	err := grant.Engine.Cancel(context.Background(), id)
	grant.Release(err == nil || errors.Is(err, target.ErrNoStream))
}

func (g *run) emit(d Emit) {
	grant := g.grants[g.machine.attempt]
	g.answer.add(d.Text, Cursor{
		Held: d.Position + 1, Target: grant.Target, Version: grant.Version,
		Attempt: g.machine.attempt, Incarnation: grant.Incarnation,
	})
	if d.Resumed > 0 {
		g.events.Record(event.GenerationResumed, g.request.ID, event.F("target", grant.Target),
			event.F("position", strconv.FormatInt(d.Position, 10)), event.F("resume_ms", strconv.FormatInt(d.Resumed.Milliseconds(), 10)))
	}
}

func (g *run) finish(d Finish) {
	g.done = true
	g.answer.finish(d.Err)
	if d.Err != nil {
		g.events.Record(event.GenerationStopped, g.request.ID, event.F("code", string(d.Err.Code)),
			event.F("step", d.Err.Step), event.F("peer", d.Err.Peer))
		return
	}
	if grant, ok := g.grants[g.machine.attempt]; ok {
		delete(g.grants, g.machine.attempt)
		grant.Release(true)
	}
	g.events.Record(event.GenerationDone, g.request.ID, event.F("tokens", strconv.Itoa(len(g.machine.Tokens()))))
}

func (g *run) releaseAll() {
	for attempt, grant := range g.grants {
		go leave(grant, target.StreamID{Request: g.request.ID, Attempt: attempt})
	}
}
