package generation

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
	"github.com/vanillaroad/vanillaroad/trace"
)

// Grant is a permit to run one attempt on a target.
type Grant struct {
	Target      string
	Model       string
	Version     string
	Incarnation uint64
	Engine      target.Engine
	// Release returns the permit. If ended is true, the attempt is known to have
	// ended. Otherwise the permit stays in use and the router keeps canceling the
	// attempt until its end is known.
	Release func(ended bool)
}

// Router grants permits to run attempts on targets.
type Router interface {
	// Route grants a permit on a target for the request. held is the number of
	// tokens that the answer already has. Targets in exclude are not used. A
	// non-empty version restricts the choice to targets with that model version.
	// Route blocks until there is a grant or a refusal.
	Route(ctx context.Context, r Request, held int64, exclude []string, version string) (Grant, *failure.Error)
	// ReportLoss reports that a target failed while it ran a request, so that the
	// router suspects the target.
	ReportLoss(request, target string)
}

// Joiner grants a permit on the target that already runs an attempt of the
// request.
type Joiner interface {
	Join(ctx context.Context, r Request, target string) (Grant, *failure.Error)
}

// Guard keeps requests that crash targets from running again.
type Guard interface {
	// Check returns why the request must not run, or nil. It may block.
	Check(ctx context.Context, r Request) *failure.Error
	// ReportCrash reports that a target failed while it ran an attempt of the
	// request. atStart reports whether the attempt had just started, that is, had
	// produced fewer than startTokenThreshold tokens.
	ReportCrash(r Request, target string, attempt int64, atStart bool)
	// ReportProgress reports that an attempt of the request has produced
	// startTokenThreshold tokens.
	ReportProgress(r Request)
	// ReportCompletion reports that the request's answer is complete.
	ReportCompletion(r Request)
}

// Deps are the parts of the daemon that runs depend on. Trace may be nil.
type Deps struct {
	Router Router
	Joiner Joiner
	Guard  Guard
	Peers  Peers
	Events *event.Recorder
	Trace  *trace.Recorder
	Self   string // this daemon's peer address
}

// tickPeriod is the interval of the Tick inputs of a run.
const tickPeriod = 50 * time.Millisecond

// selfPauseThreshold is the time between two iterations of a run's loop above
// which this daemon is considered to have been paused or overloaded, so that it
// can't judge the silence of targets.
const selfPauseThreshold = 5 * tickPeriod

// inputQueueLen bounds the inputs queued for the machine. Stream readers block
// while the queue is full.
const inputQueueLen = 64

// run executes the decisions of one Machine. Its fields are owned by the
// goroutine that executes loop.
type run struct {
	Deps
	request       Request
	answer        *Answer
	machine       *Machine
	traceKey      string // key of this run in the trace
	startTime     time.Time
	inputs        chan Input
	ctx           context.Context
	wg            sync.WaitGroup
	spawnDetached func(func(context.Context)) // starts a goroutine that may outlive the run

	joinedAttempt int64                        // attempt that another daemon started, 0 for none
	remoteReaders *atomic.Int32                // number of other daemons whose callers still read the stream of joinedAttempt
	tokenCounts   map[int64]int                // emitted tokens by attempt
	grants        map[int64]Grant              // by attempt
	streamCancels map[int64]context.CancelFunc // by attempt: closes its connection
	done          bool
}

// execute runs the generation to its end and fills the answer. It returns when
// the answer is final and every permit is released or passed to a goroutine that
// releases it. The hub sends Cancel and TakenOver over commands. Canceling ctx
// cancels the generation.
func (g *run) execute(ctx context.Context, setup Setup, commands <-chan Input) {
	var cancel context.CancelFunc
	g.ctx, cancel = context.WithCancel(context.Background())
	defer g.wg.Wait()
	defer cancel()
	g.machine = NewMachine(setup)
	g.inputs = make(chan Input, inputQueueLen)
	g.tokenCounts = make(map[int64]int)
	g.grants, g.streamCancels = make(map[int64]Grant), make(map[int64]context.CancelFunc)
	g.startTime = time.Now()
	g.traceKey = g.request.ID + "/" + strconv.FormatInt(setup.FirstAttempt, 10)
	g.Events.Record(event.GenerationStarted, g.request.ID, event.F("held", strconv.Itoa(len(setup.Held))))
	now := g.clock()
	g.Trace.RecordInit(TraceSlice, g.traceKey, now, setup)
	initial := g.machine.Start(now)
	trace.Record(g.Trace, TraceSlice, g.traceKey, now, Begin{}, initial)
	g.apply(initial)
	g.loop(ctx, commands)
	cancel()
	g.drainInputs()
}

func (g *run) loop(ctx context.Context, commands <-chan Input) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	lastIteration := time.Now()
	for !g.done {
		select {
		case in := <-g.inputs:
			lastIteration = g.detectPause(lastIteration)
			g.handleInput(in)
		case in := <-commands:
			g.step(in)
		case <-tick.C:
			lastIteration = g.detectPause(lastIteration)
			g.step(Tick{})
		case <-ctx.Done():
			g.step(Cancel{failure.New(failure.Canceled, failure.Unknown, "generate", "", "canceled")})
		}
	}
}

// detectPause steps the machine with Woken if this daemon was paused since the
// previous iteration of the loop, and returns the time of this iteration.
func (g *run) detectPause(previous time.Time) time.Time {
	now := time.Now()
	if now.Sub(previous) > selfPauseThreshold {
		g.step(Woken{})
	}
	return now
}

// drainInputs processes the inputs that arrive after the end of the answer, so
// that late grants are released.
func (g *run) drainInputs() {
	finished := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(finished)
	}()
	for {
		select {
		case in := <-g.inputs:
			g.handleInput(in)
		case <-finished:
			for len(g.inputs) > 0 {
				g.handleInput(<-g.inputs)
			}
			return
		}
	}
}

func (g *run) step(in Input) {
	now := g.clock()
	ds := g.machine.Step(now, in)
	if _, isTick := in.(Tick); !isTick || len(ds) > 0 {
		trace.Record(g.Trace, TraceSlice, g.traceKey, now, in, ds)
	}
	g.apply(ds)
}

func (g *run) handleInput(in Input) {
	if r, ok := in.(routedGrant); ok {
		g.grants[r.Attempt] = r.grant
		in = r.Routed
	}
	g.step(in)
}

// routedGrant is a Routed with its permit. The permit is not passed to the machine,
// because the machine's inputs are recorded in traces.
type routedGrant struct {
	Routed
	grant Grant
}

func (g *run) apply(ds []Decision) {
	for _, d := range ds {
		switch d := d.(type) {
		case Route:
			g.route(d)
		case Open:
			g.open(d)
		case Attach:
			g.attach(d)
		case Probe:
			g.probe(d)
		case End:
			g.end(d)
		case Emit:
			g.emit(d)
		case Drop:
			g.Events.Record(event.StaleTokenDropped, g.request.ID, event.F("attempt", strconv.FormatInt(d.Attempt, 10)))
		case Finish:
			g.finish(d)
		}
	}
}

// clock returns the wall clock time of the run's start plus the monotonic time
// since then, without a monotonic reading. A replay of the trace, which stores no
// monotonic readings, then computes the same differences.
func (g *run) clock() time.Time {
	return time.Unix(0, g.startTime.UnixNano()).Add(time.Since(g.startTime))
}

func (g *run) spawn(fn func()) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		fn()
	}()
}

// post queues an input for the machine. It returns false if the run has ended.
func (g *run) post(in Input) bool {
	select {
	case g.inputs <- in:
		return true
	case <-g.ctx.Done():
		return false
	}
}

func (g *run) route(d Route) {
	held := int64(len(g.machine.Tokens()))
	g.spawn(func() {
		grant, err := g.grant(d, held)
		if err != nil {
			g.post(RouteFailed{d.Attempt, err})
			return
		}
		in := routedGrant{Routed{d.Attempt, grant.Target, grant.Version, grant.Incarnation}, grant}
		if !g.post(in) {
			grant.Release(true)
		}
	})
}

func (g *run) grant(d Route, held int64) (Grant, *failure.Error) {
	if err := g.Guard.Check(g.ctx, g.request); err != nil {
		return Grant{}, err
	}
	if d.Target != "" {
		return g.Joiner.Join(g.ctx, g.request, d.Target)
	}
	grant, err := g.Router.Route(g.ctx, g.request, held, d.Exclude, d.Version)
	if err != nil {
		return Grant{}, err
	}
	// Targets may have crashed under the request's content while it was queued.
	if err := g.Guard.Check(g.ctx, g.request); err != nil {
		grant.Release(true)
		return Grant{}, err
	}
	return grant, nil
}

func (g *run) emit(d Emit) {
	grant := g.grants[d.Attempt]
	g.answer.add(d.Text, Cursor{
		Target: grant.Target, Version: d.Version, Attempt: d.Attempt, Incarnation: grant.Incarnation, Daemon: g.Self,
	})
	if g.tokenCounts[d.Attempt]++; g.tokenCounts[d.Attempt] == startTokenThreshold {
		g.Guard.ReportProgress(g.request)
	}
	if d.Resumed > 0 {
		g.Events.Record(event.GenerationResumed, g.request.ID, event.F("target", grant.Target),
			event.F("position", strconv.FormatInt(d.Position, 10)), event.F("resume_ms", strconv.FormatInt(d.Resumed.Milliseconds(), 10)))
	}
}

func (g *run) finish(d Finish) {
	g.done = true
	g.answer.finish(d.Err)
	if d.Err != nil {
		g.Events.Record(event.GenerationStopped, g.request.ID, event.F("code", string(d.Err.Code)),
			event.F("step", d.Err.Step), event.F("peer", d.Err.Peer))
		return
	}
	g.Guard.ReportCompletion(g.request)
	g.Events.Record(event.GenerationDone, g.request.ID, event.F("tokens", strconv.FormatInt(d.Position, 10)))
}

// breakCause classifies the error of a failed connection.
func breakCause(err error) BreakCause {
	switch {
	case errors.Is(err, target.ErrNotSent):
		return BreakNotSent
	case errors.Is(err, target.ErrRefused):
		return BreakRefused
	}
	return BreakLost
}
