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

// admissionPeriod is how often the controller promotes and expires queued
// requests.
const admissionPeriod = 100 * time.Millisecond

// overflowPerSecond bounds the refused requests per second that are forwarded to
// other homes of their targets. A home of a target is a daemon that has a share of the
// target's permits. Without the bound, daemons that are all overloaded would multiply
// each other's load.
const overflowPerSecond = 20

// admitter connects the admission controller and the routing state to the daemon.
// All its fields are owned by the control loop.
type admitter struct {
	n               *Node
	controller      *admission.Traced
	scheduler       routing.Scheduler
	loads           *routing.Loads
	prefixes        *routing.Prefixes
	shares          *admission.Shares
	plan            *plan
	planPending     bool // a new plan is being computed
	pending         map[uint64]*pendingRequest
	abandoned       map[uint64]*abandonedAttempt
	polls           map[string]*pollState
	blocked         map[string]bool // targets that are down or leaving
	peerRequests    map[peerRequestKey]*peerRequest
	lastID          uint64
	overflowLimiter *rate.Limiter // of refused requests that are forwarded to other homes
	clockBase       time.Time     // time of creation; wallTime counts from its monotonic reading
}

// permitRequest is a request for a permit.
type permitRequest struct {
	request   routing.Request
	workspace string
	priority  target.Priority
	bytes     int64
	retry     bool          // an earlier attempt may have run
	maxWait   time.Duration // longest wait for the grant
}

// pendingRequest is a permitRequest that waits for its grant or refusal.
type pendingRequest struct {
	permitRequest
	id             uint64
	allowedTargets map[string]bool      // by the service's rules; nil allows all
	fromPeer       bool                 // received from another daemon
	reply          chan admissionResult // receives exactly one result
	permit         *permit              // nil until granted
}

// admissionResult answers a permitRequest with a permit or a refusal. If lenders
// is not empty, the permit has to be requested from one of these daemons instead.
type admissionResult struct {
	permit  *permit
	refusal *failure.Error
	lenders []membership.Member
}

func (n *Node) buildRouting() {
	n.targets = newTargetPool()
	now := time.Now()
	a := &admitter{
		n: n, scheduler: routing.Default(), loads: routing.NewLoads(), prefixes: routing.NewPrefixes(),
		shares: admission.NewShares(n.settings.Admission.GrowDelay.Std()), plan: &plan{},
		pending: make(map[uint64]*pendingRequest), abandoned: make(map[uint64]*abandonedAttempt),
		polls: make(map[string]*pollState), blocked: make(map[string]bool), peerRequests: make(map[peerRequestKey]*peerRequest), clockBase: now,
	}
	a.overflowLimiter = rate.NewLimiter(overflowPerSecond, overflowPerSecond)
	a.controller = admission.NewTraced(n.trace, a.wallTime(now), n.settings.Admission, a)
	n.trace.RecordInit(routing.TraceSlice, "", a.wallTime(now), routing.Made{Scheduler: "default"})
	n.admission = a
	n.background = context.Background()
	peer.HandleTyped(n.transport, kindBorrow, n.serveBorrow)
	peer.HandleTyped(n.transport, kindReturn, n.serveReturn)
	n.loop.Every(admissionPeriod, a.tick)
	n.loop.Every(planCheckPeriod, a.replan)
	n.loop.Every(pollCheckPeriod, a.startDuePolls)
	n.loop.Every(reconcilePeriod, a.reconcile)
}

// wallTime returns now without its monotonic reading, as the time at clockBase plus
// the monotonic time since then. Adjustments of the wall clock don't affect it, so
// that a trace, which stores no monotonic readings, replays to the same decisions.
func (a *admitter) wallTime(now time.Time) time.Time {
	return a.clockBase.Round(0).Add(now.Sub(a.clockBase))
}

// adoptPermit records a permit for an attempt that already runs on a target.
func (n *Node) adoptPermit(q permitRequest, t configuration.Target) *permit {
	p := &permit{n: n, target: t}
	_ = n.loop.Post(func(now time.Time) {
		a := n.admission
		ticket := a.newTicket(a.wallTime(now), &pendingRequest{permitRequest: q})
		p.id = ticket.ID
		a.loads.AddOwn(now, t.Name, 1)
		a.step(now, admission.Adopt{Ticket: ticket, Target: t.Name})
	})
	return p
}

// lane returns the name of the queue of requests that compete for the same targets.
func (q *permitRequest) lane() string { return laneName(q.request.Service.Name, q.request.System) }

// outcome returns the outcome to report if the request is refused: not run for a first
// attempt, and unknown for a retry, because an earlier attempt may have run.
func (q *permitRequest) outcome() failure.Outcome {
	if q.retry {
		return failure.Unknown
	}
	return failure.NotRun
}

func (a *admitter) newTicket(now time.Time, p *pendingRequest) admission.Ticket {
	a.lastID++
	p.id = a.lastID
	w, _ := a.n.snapshot.Load().Workspace(p.workspace)
	t := admission.Ticket{
		ID: p.id, Request: p.request.ID, Workspace: p.workspace, Lane: p.lane(),
		Priority: p.priority, Deadline: now.Add(p.maxWait), Bytes: p.bytes, Retry: p.retry,
		Weight: max(1, w.Weight), MaxInFlight: a.plan.limitShare(w.MaxInFlight), MaxQueued: a.plan.limitShare(w.MaxQueued),
	}
	if t.MaxQueued == 0 {
		t.MaxQueued = a.n.settings.Admission.MaxWorkspaceQueued
	}
	return t
}

func (a *admitter) submit(now time.Time, p *pendingRequest) {
	t := a.newTicket(a.wallTime(now), p)
	if len(a.plan.lanes[t.Lane]) == 0 && a.plan.snapshot == a.n.snapshot.Load() {
		lenders := a.plan.lenders(t.Lane, a.n.view.Load())
		switch { // this daemon is not a home of any target of the lane
		case p.fromPeer:
			p.reply <- admissionResult{refusal: failure.New(failure.NoTarget, p.outcome(), "lend", "", "no home of a target").WithRetryAfter(defaultRetryAfter)}
			return
		case len(lenders) > 0:
			p.reply <- admissionResult{lenders: lenders}
			return
		}
	}
	a.pending[p.id] = p
	a.step(now, admission.Submit{Ticket: t})
}

func (a *admitter) cancel(now time.Time, p *pendingRequest) {
	if p.permit != nil {
		p.permit.release(true)
		return
	}
	delete(a.pending, p.id)
	a.step(now, admission.Cancel{ID: p.id})
}

func (a *admitter) tick(now time.Time) {
	a.updateBlocked(now)
	a.sweepPeerRequests(now)
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

// step passes a message to the controller and executes its decisions.
func (a *admitter) step(now time.Time, m admission.Message) {
	for _, d := range a.controller.Step(a.wallTime(now), m) {
		switch d := d.(type) {
		case admission.Grant:
			a.handleGrant(now, d)
		case admission.Refuse:
			a.handleRefuse(d)
		case admission.Delayed:
			a.n.events.Record(event.RetryDenied, a.pending[d.ID].request.ID)
		}
	}
}

func (a *admitter) handleGrant(now time.Time, d admission.Grant) {
	p := a.pending[d.ID]
	delete(a.pending, d.ID)
	a.loads.AddOwn(now, d.Target, 1)
	p.permit = &permit{n: a.n, id: d.ID, target: a.plan.targets[d.Target]}
	p.reply <- admissionResult{permit: p.permit}
	metrics.GetOrRegisterCounter("admission.granted", a.n.metrics).Inc(1)
}

// refusalErrors maps the reasons of refusals to error codes and messages.
var refusalErrors = map[admission.Reason]struct {
	code failure.Code
	text string
}{
	admission.QueueFull:     {failure.Overloaded, "the daemon's queue is full"},
	admission.WorkspaceFull: {failure.Overloaded, "the workspace's queue is full"},
	admission.TooLate:       {failure.DeadlineExceeded, "the expected wait exceeds the deadline"},
	admission.Expired:       {failure.DeadlineExceeded, "the deadline passed in the queue"},
	admission.NoTarget:      {failure.NoTarget, "no target can run the request"},
}

func (a *admitter) handleRefuse(d admission.Refuse) {
	p := a.pending[d.ID]
	delete(a.pending, d.ID)
	reason := refusalErrors[d.Reason]
	result := admissionResult{refusal: failure.New(reason.code, p.outcome(), "admit", "", "%s", reason.text).WithRetryAfter(d.RetryAfter)}
	if !p.fromPeer && d.Reason != admission.Expired && d.Reason != admission.WorkspaceFull && a.overflowLimiter.Allow() {
		result.lenders = a.plan.lenders(p.lane(), a.n.view.Load())
	}
	p.reply <- result
	if len(result.lenders) > 0 {
		return
	}
	number := event.RequestRefused
	if d.Reason == admission.QueueFull || d.Reason == admission.WorkspaceFull {
		number = event.QueueFull
	}
	a.n.events.Record(number, p.request.ID, event.F("reason", string(d.Reason)), event.F("workspace", p.workspace),
		event.F("retry_after_ms", formatMillis(d.RetryAfter)))
	metrics.GetOrRegisterCounter("admission.refused."+string(d.Reason), a.n.metrics).Inc(1)
}
