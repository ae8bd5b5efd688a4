package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/target"
)

// admissionPeriod is how often queued requests age and expire.
const admissionPeriod = 100 * time.Millisecond

// overflowRate bounds the refused requests a second that are passed on to other
// homes of their targets, so that an overload of all daemons is not multiplied.
const overflowRate = 20

// admitter connects the admission controller and routing's views to the daemon.
// All its fields belong to the control loop.
type admitter struct {
	n          *Node
	controller *admission.Traced
	scheduler  routing.Scheduler
	loads      *routing.Loads
	prefixes   *routing.Prefixes
	shares     *admission.Shares
	plan       *plan
	planning   bool
	pending    map[uint64]*pending
	left       map[uint64]*leftAttempt
	polls      map[string]*pollState
	blocked    map[string]bool // targets that are dead or leaving
	lent       map[lentKey]*lent
	lastID     uint64
	overflow   *rate.Limiter // refused requests that are passed on to other homes
	base       time.Time     // carries the monotonic reading that clock is made from
}

// ask is a request for a permit.
type ask struct {
	want      routing.Request
	workspace string
	priority  target.Priority
	bytes     int64
	retry     bool
	wait      time.Duration // longest time until the grant
}

// pending is an ask that waits for its answer.
type pending struct {
	ask
	id      uint64
	allowed map[string]bool // by the service's rules; nil for all
	lent    bool            // asked for by another daemon
	reply   chan admitted   // of one
	permit  *permit         // once granted
}

// admitted is the answer to an ask. Lenders are daemons to ask in place of this
// one, if any.
type admitted struct {
	permit  *permit
	refused *failure.Error
	lenders []membership.Member
}

func (n *Node) buildRouting() {
	n.targets = newTargetPool()
	now := time.Now()
	a := &admitter{
		n: n, scheduler: routing.Default(), loads: routing.NewLoads(), prefixes: routing.NewPrefixes(),
		shares: admission.NewShares(n.settings.Admission.GrowDelay.Std()), plan: &plan{},
		pending: make(map[uint64]*pending), left: make(map[uint64]*leftAttempt),
		polls: make(map[string]*pollState), blocked: make(map[string]bool), lent: make(map[lentKey]*lent), base: now,
	}
	a.overflow = rate.NewLimiter(overflowRate, overflowRate)
	a.controller = admission.NewTraced(n.trace, a.clock(now), n.settings.Admission, a)
	n.trace.RecordInit(routing.TraceSlice, "", a.clock(now), routing.Made{Scheduler: "default"})
	n.admission = a
	n.background = context.Background()
	peer.HandleTyped(n.transport, kindBorrow, n.serveBorrow)
	peer.HandleTyped(n.transport, kindReturn, n.serveReturn)
	n.loop.Every(admissionPeriod, a.tick)
	n.loop.Every(planPeriod, a.replan)
	n.loop.Every(pollTick, a.poll)
	n.loop.Every(reconcilePeriod, a.reconcile)
}

// clock returns now without its monotonic reading, on a wall clock that runs as
// evenly as the monotonic one, so that a trace replays to the same decisions.
func (a *admitter) clock(now time.Time) time.Time { return a.base.Round(0).Add(now.Sub(a.base)) }

// adoptPermit takes a permit for an attempt that runs on a target already.
func (n *Node) adoptPermit(q ask, t configuration.Target) *permit {
	p := &permit{n: n, target: t}
	_ = n.loop.Post(func(now time.Time) {
		a := n.admission
		ticket := a.ticket(a.clock(now), &pending{ask: q})
		p.id = ticket.ID
		a.loads.AddOwn(now, t.Name, 1)
		a.step(now, admission.Adopt{Ticket: ticket, Target: t.Name})
	})
	return p
}

func (q *ask) lane() string { return laneOf(q.want.Service.Name, q.want.System) }

// outcome is what is certain of an ask that was refused: a new one did not run;
// one after a loss ran before.
func (q *ask) outcome() failure.Outcome {
	if q.retry {
		return failure.Unknown
	}
	return failure.NotRun
}

func (a *admitter) ticket(now time.Time, p *pending) admission.Ticket {
	a.lastID++
	p.id = a.lastID
	w, _ := a.n.snapshot.Load().Workspace(p.workspace)
	t := admission.Ticket{
		ID: p.id, Request: p.want.ID, Workspace: p.workspace, Lane: p.lane(),
		Priority: p.priority, Deadline: now.Add(p.wait), Bytes: p.bytes, Retry: p.retry,
		Weight: max(1, w.Weight), MaxInFlight: a.plan.part(w.MaxInFlight), MaxQueued: a.plan.part(w.MaxQueued),
	}
	if t.MaxQueued == 0 {
		t.MaxQueued = a.n.settings.Admission.MaxWorkspaceQueued
	}
	return t
}

func (a *admitter) submit(now time.Time, p *pending) {
	t := a.ticket(a.clock(now), p)
	if len(a.plan.lanes[t.Lane]) == 0 && a.plan.snapshot == a.n.snapshot.Load() {
		lenders := a.plan.lenders(t.Lane, a.n.view.Load())
		switch { // this daemon is no home of the lane's targets
		case p.lent:
			p.reply <- admitted{refused: failure.New(failure.NoTarget, p.outcome(), "lend", "", "no home of a target").WithRetryAfter(retryAfter)}
			return
		case len(lenders) > 0:
			p.reply <- admitted{lenders: lenders}
			return
		}
	}
	a.pending[p.id] = p
	a.step(now, admission.Submit{Ticket: t})
}

func (a *admitter) cancel(now time.Time, p *pending) {
	if p.permit != nil {
		p.permit.release(true)
		return
	}
	delete(a.pending, p.id)
	a.step(now, admission.Cancel{ID: p.id})
}

func (a *admitter) tick(now time.Time) {
	a.block(now)
	a.sweepLent(now)
	a.step(now, admission.Tick{})
	s := a.controller.Stats()
	gauge := func(name string, v int64) {
		metrics.GetOrRegisterGauge("admission."+name, a.n.metrics).Update(v)
	}
	gauge("queued", int64(s.Queued))
	gauge("queued_bytes", s.QueuedBytes)
	gauge("permits", int64(s.Permits))
	gauge("permits_taken", int64(s.InUse))
	gauge("permits_left", int64(s.Abandoned))
}

// step passes a message to the controller and carries its decisions out.
func (a *admitter) step(now time.Time, m admission.Message) {
	for _, d := range a.controller.Step(a.clock(now), m) {
		switch d := d.(type) {
		case admission.Grant:
			a.granted(now, d)
		case admission.Refuse:
			a.refused(d)
		case admission.Delayed:
			a.n.events.Record(event.RetryDenied, a.pending[d.ID].want.ID)
		}
	}
}

func (a *admitter) granted(now time.Time, d admission.Grant) {
	p := a.pending[d.ID]
	delete(a.pending, d.ID)
	a.loads.AddOwn(now, d.Target, 1)
	p.permit = &permit{n: a.n, id: d.ID, target: a.plan.targets[d.Target]}
	p.reply <- admitted{permit: p.permit}
	metrics.GetOrRegisterCounter("admission.granted", a.n.metrics).Inc(1)
}

// refusals maps reasons to codes and texts.
var refusals = map[admission.Reason]struct {
	code failure.Code
	text string
}{
	admission.QueueFull:     {failure.Overloaded, "the daemon's queue is full"},
	admission.WorkspaceFull: {failure.Overloaded, "the workspace's queue is full"},
	admission.TooLate:       {failure.DeadlineExceeded, "the expected wait exceeds the deadline"},
	admission.Expired:       {failure.DeadlineExceeded, "the deadline passed in the queue"},
	admission.NoTarget:      {failure.NoTarget, "no target can run the request"},
}

func (a *admitter) refused(d admission.Refuse) {
	p := a.pending[d.ID]
	delete(a.pending, d.ID)
	r := refusals[d.Reason]
	answer := admitted{refused: failure.New(r.code, p.outcome(), "admit", "", "%s", r.text).WithRetryAfter(d.RetryAfter)}
	if !p.lent && d.Reason != admission.Expired && d.Reason != admission.WorkspaceFull && a.overflow.Allow() {
		answer.lenders = a.plan.lenders(p.lane(), a.n.view.Load())
	}
	p.reply <- answer
	if len(answer.lenders) > 0 {
		return
	}
	number := event.RequestRefused
	if d.Reason == admission.QueueFull || d.Reason == admission.WorkspaceFull {
		number = event.QueueFull
	}
	a.n.events.Record(number, p.want.ID, event.F("reason", string(d.Reason)), event.F("workspace", p.workspace),
		event.F("retry_after_ms", milliseconds(d.RetryAfter)))
	metrics.GetOrRegisterCounter("admission.refused."+string(d.Reason), a.n.metrics).Inc(1)
}
