package forward

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/origin"
)

var (
	propertySeeds = flag.Int("property.seeds", 100, "number of seeds of TestAnswersAmongFaults")
	propertyFirst = flag.Uint64("property.first", 1, "first seed of TestAnswersAmongFaults")
	propertyTrace = flag.Bool("property.trace", false, "print the complete history of each seed that fails")
)

// simPlan is how a request behaves at its targets and its caller.
type simPlan struct {
	at             time.Duration
	deadline       time.Duration // after its arrival
	leaveAfter     time.Duration // when its caller leaves; 0 for never
	prefill, gap   time.Duration
	lastEvent      int
	framing        simFraming
	cut            simCut // how its runs break off
	lateMoves      bool   // a silent target carries out moves later, although the forwarder no longer waits
	lostMoves      bool   // the answers to moves are lost
	moveDelay      time.Duration
	headLast       bool // the head of a call's answer arrives with the body
	newConnections bool // its sends open new connections
	serverErrors   map[int]bool
	// waitsAt is the number of events after which its first run is preempted, for waits; 0 for none.
	waitsAt int
	waits   time.Duration
}

// simArrival is the arrival of a request at a target.
type simArrival struct {
	sentAt time.Time
	target string
}

// simRequest is one request and all that its targets and its caller saw of it. It is the
// Responder of the request.
type simRequest struct {
	*Request
	plan     simPlan
	arrivals []simArrival
	begunBy  int // number of runs when the first event was received; 0 before
	runs     []*simRun
	active   int // concurrent runs
	started  int

	received   []string
	status     int
	err        *failure.Error
	began      bool
	final      string // the call that ended the answer
	faults     []string
	endedAt    time.Time
	left       bool
	simulation *simulation
}

func (q *simRequest) stream() bool { return q.Route.Kind == ingress.Streaming }

func (q *simRequest) faultf(format string, args ...any) {
	q.faults = append(q.faults, q.ID+": "+fmt.Sprintf(format, args...))
}

// finish records the end of the answer.
func (q *simRequest) finish(how string) {
	if q.final != "" {
		q.faultf("%s after %s", how, q.final)
	}
	q.final, q.endedAt = how, time.Now()
}

// Answer implements Responder.
func (q *simRequest) Answer(status int, h http.Header, body []byte) {
	if q.began {
		q.faultf("an answer after the head of a stream")
	}
	if string(body) != simBody(q.ID) || h.Get("X-Target") == "" {
		q.faultf("the body is %q from target %q", body, h.Get("X-Target"))
	}
	q.status = status
	q.finish("answer")
}

// Fail implements Responder.
func (q *simRequest) Fail(err *failure.Error) {
	if q.began {
		q.faultf("a failure after the head of a stream")
	}
	q.err = err
	q.finish("failure")
}

// Begin implements Responder.
func (q *simRequest) Begin(status int, _ http.Header) error {
	if q.began {
		q.faultf("two heads")
	}
	q.began, q.status = true, status
	return nil
}

// Event implements Responder.
func (q *simRequest) Event(raw []byte) error {
	if want := simEvent(q.ID, len(q.received)); string(raw) != want {
		q.faultf("event %q, want %q", raw, want)
	}
	if len(q.received) == 0 {
		q.begunBy = len(q.runs)
	}
	q.received = append(q.received, string(raw))
	return nil
}

// End implements Responder.
func (q *simRequest) End() {
	if len(q.received) != q.plan.lastEvent+1 {
		q.faultf("the answer looks complete after %d of %d events", len(q.received), q.plan.lastEvent+1)
	}
	q.finish("end")
}

// Abort implements Responder.
func (q *simRequest) Abort() { q.finish("abort") }

func (q *simRequest) complete() bool { return q.final == "end" || q.final == "answer" }

// check returns the violations of one request, after its end.
func (q *simRequest) check() []string {
	deadline := q.AnswerDeadline()
	if q.final == "" {
		q.faultf("no end")
	}
	if q.endedAt.After(deadline) {
		q.faultf("ends %v after its deadline", q.endedAt.Sub(deadline))
	}
	targets := make(map[string]bool)
	for _, a := range q.arrivals {
		targets[a.target] = true
	}
	if len(targets) > q.maxAttempts() {
		q.faultf("sent to %d targets, allowed are %d", len(targets), q.maxAttempts())
	}
	for _, r := range q.runs[q.begunBy:] {
		if v, want := r.process.SoftwareVersion, q.runs[max(0, q.begunBy-1)].process.SoftwareVersion; q.begunBy > 0 && v != want {
			q.faultf("continues at %s of version %s a stream that version %s began", r.process.ID, v, want)
		}
	}
	if q.err != nil && q.err.Outcome == failure.NotRun && q.started > 0 {
		q.faultf("reported as not run (%v) and ran", q.err)
	}
	if last := q.lastRun(); !q.complete() && !q.left && q.endedAt.Before(deadline) && last != nil &&
		(last.end == runCanceled || last.end == runMoved || last.end == runComplete) && q.simulation.upAt(last.process, q.endedAt) {
		q.faultf("given up (%s, error %v) although its target %s was only silent or had completed it", q.final, q.err, last.process.ID)
	}
	return q.faults
}

// lastRun returns the latest run that its target did not refuse, or nil.
func (q *simRequest) lastRun() *simRun {
	for i := len(q.runs) - 1; i >= 0; i-- {
		if q.runs[i].end != runRefused {
			return q.runs[i]
		}
	}
	return nil
}

// upAt reports whether a process had not ended at a time.
func (w *simulation) upAt(p *simProcess, at time.Time) bool {
	return !p.ended || p.endedAt.After(at)
}

// discardCrashes is a CrashTracker that quarantines nothing.
type discardCrashes struct{}

func (discardCrashes) Check(context.Context, *Request) *failure.Error { return nil }
func (discardCrashes) ReportCrash(*Request, fleet.Target, bool)       {}
func (discardCrashes) ReportLoss(*Request, fleet.Incarnation, bool)   {}
func (discardCrashes) ReportProgress(*Request)                        {}
func (discardCrashes) ReportCompletion(*Request)                      {}

// planRequest draws a request.
func planRequest(random *rand.Rand, n int, length time.Duration) *simRequest {
	kinds := []ingress.Kind{ingress.Streaming, ingress.Streaming, ingress.Streaming, ingress.Idempotent, ingress.NonIdempotent}
	route := &ingress.Route{
		Name: "route", Kind: kinds[random.IntN(len(kinds))], Resumable: random.IntN(4) > 0, MaxAttempts: 1 + random.IntN(4),
		Timeout: between(random, 3*time.Second, 20*time.Second), LatencyObjective: between(random, 200*time.Millisecond, time.Second),
		MaxEventGap: between(random, 300*time.Millisecond, time.Second),
	}
	q := &simRequest{
		Request: &Request{ID: fmt.Sprintf("r%d", n), Method: http.MethodPost, Header: http.Header{}, Route: route, Service: "svc"},
		plan: simPlan{
			at: time.Duration(random.Int64N(int64(length))), deadline: between(random, 2*time.Second, 25*time.Second), prefill: between(random, 20*time.Millisecond, time.Second),
			gap: between(random, 15*time.Millisecond, 90*time.Millisecond), lastEvent: random.IntN(120), framing: simFraming(random.IntN(4)), cut: simCut(random.IntN(3)),
			lateMoves: random.IntN(2) == 0, lostMoves: random.IntN(8) == 0, moveDelay: between(random, 0, 600*time.Millisecond),
			headLast: random.IntN(2) == 0, newConnections: random.IntN(2) == 0, serverErrors: make(map[int]bool),
		},
	}
	if random.IntN(12) == 0 {
		q.plan.leaveAfter = between(random, 0, 4*time.Second)
	}
	if random.IntN(20) == 0 {
		q.plan.serverErrors[random.IntN(3)] = true
	}
	if q.stream() {
		q.Prompt = Prompt{CacheKey: q.ID, Tokens: 500 + random.IntN(5000), MaxOutputTokens: 1000}
		route.LatencyObjective = 4500 * time.Millisecond
	} else if random.IntN(3) == 0 {
		q.plan.gap = between(random, 100*time.Millisecond, 2*time.Second)
	}
	return q
}

// budgets are the settings of the retry budget: without limit in effect, small, none.
var budgets = []RetryBudgetSettings{
	{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}, {Ratio: 0.2, Slack: 3, Window: 2 * time.Second}, {Ratio: 0, Slack: 0, Window: 10 * time.Second},
}

// simulate serves requests among faults, all drawn from a seed, and returns the
// violations and the history.
func simulate(seed uint64) (faults, history []string) {
	random := rand.New(rand.NewPCG(seed, 1))
	const length = 6 * time.Second
	w := &simulation{start: time.Now(), versions: 1 + int(seed%3), processes: make(map[string]*simProcess), requests: make(map[string]*simRequest), reservations: simReservations{open: make(map[string]string)}}
	events := event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 4096)
	e := &simEntries{simulation: w, fleet: fleet.New("place-0", seed)}
	var addresses []string
	places := 1 + random.IntN(3)
	for i := range 1 + random.IntN(6) {
		addresses = append(addresses, fmt.Sprintf("address-%d", i))
		e.startProcess(e.newID(), addresses[i], fmt.Sprintf("place-%d", i%places))
	}
	budget := budgets[random.IntN(len(budgets))]
	model := &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: random.IntN(4) > 0}
	f := &Forwarder{
		TargetClient: w, Fleet: e.fleet, Events: events, CrashTracker: discardCrashes{}, Origins: &fakeOrigins{known: make(map[string]origin.Origin)}, Prober: NewProber(w, e.fleet, events), CacheLocator: NewCacheLocator(w),
		Metrics: metrics.NewRegistry(), PlacementLimiter: NewPlacementLimiter(), RetryBudget: NewRetryBudget(time.Now().Add(-time.Minute), budget),
		Buffers: membudget.New(MaxBufferedBytes), Model: func(string) *ingress.Model { return model },
	}
	if seed%2 == 1 {
		f.Reserver, model.MaxReservation = w, time.Second
	}
	f.RetryBudget.SetDaemons(1)
	permits := newSimPermits(seed)
	f.Permits = permits

	var work, background sync.WaitGroup
	for n := range 10 + random.IntN(50) {
		q := planRequest(random, n, length)
		q.simulation = w
		if seed%2 == 1 {
			q.plan.planWait(seed, n)
		}
		w.requests[q.ID] = q
	}
	for _, q := range w.requests {
		work.Go(func() {
			time.Sleep(q.plan.at)
			q.Received = time.Now()
			q.Deadline = q.Received.Add(q.plan.deadline)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if q.plan.leaveAfter > 0 {
				defer time.AfterFunc(q.plan.leaveAfter, cancel).Stop()
			}
			f.Serve(ctx, q.Request, q)
			q.left = ctx.Err() != nil
		})
	}
	for _, fault := range planFaults(random, addresses, length) {
		background.Go(func() { e.apply(fault) })
	}
	stop := make(chan struct{})
	background.Go(func() {
		for ticker := time.NewTicker(300 * time.Millisecond); ; {
			select {
			case <-ticker.C:
				e.updateReports()
				e.fleet.Expire(time.Now())
			case <-stop:
				ticker.Stop()
				return
			}
		}
	})
	work.Wait()
	close(stop)
	background.Wait()
	time.Sleep(5 * time.Second) // the ends of the runs, releases and probes
	for f.stopper.busy() {
		time.Sleep(stopTimeout)
	}
	synctest.Wait()

	w.mu.Lock()
	defer w.mu.Unlock()
	faults = append(faults, w.faults...)
	for _, q := range w.requests {
		for _, fault := range q.check() {
			faults = append(faults, fault)
			history = append(history, fmt.Sprintf("--- %s\n%s\n%s", fault, q.describe(), strings.Join(describeEvents(events, q.ID), "\n")))
		}
		if q.active != 0 {
			faults = append(faults, q.ID+" still runs")
		}
	}
	faults = append(faults, checkBudget(budget, w.requests)...)
	faults = append(faults, permits.check()...)
	faults = append(faults, w.checkReservations()...)
	history = append(history, fmt.Sprintf("--- history, budget %+v, copies %v", budget, model.StandbyCopies))
	return faults, append(history, w.log...)
}

func (q *simRequest) describe() string {
	return fmt.Sprintf("%s kind %v resumable %v attempts %d timeout %v deadline %v objective %v gap %v plan %+v; at %v ended %v (%s, error %v) with %d events", q.ID, q.Route.Kind, q.Route.Resumable,
		q.Route.MaxAttempts, q.Route.Timeout, q.Deadline.Sub(q.Received), q.Route.LatencyObjective, q.Route.MaxEventGap, q.plan, q.plan.at, q.endedAt.Sub(q.simulation.start), q.final, q.err, len(q.received))
}

func describeEvents(events *event.Recorder, id string) (out []string) {
	for _, e := range events.Events(id, 0) {
		out = append(out, fmt.Sprintf("%+v", e))
	}
	return out
}

// checkBudget checks the retries of each window against what the settings allow, counted
// as RetryBudgetSettings describes it, by arrivals at the targets.
func checkBudget(s RetryBudgetSettings, requests map[string]*simRequest) (faults []string) {
	var retries []time.Time
	for _, q := range requests {
		for _, a := range q.arrivals[min(1, len(q.arrivals)):] {
			retries = append(retries, a.sentAt)
		}
	}
	for _, end := range retries {
		count, allowed := 0, 0.0
		for _, at := range retries {
			if at.After(end.Add(-s.Window)) && !at.After(end) {
				count++
			}
		}
		for _, shift := range []time.Duration{0, s.Window / 2, s.Window} {
			n := 0
			for _, q := range requests {
				if q.Received.After(end.Add(-shift-s.Window)) && !q.Received.After(end.Add(-shift)) {
					n++
				}
			}
			allowed = max(allowed, s.Ratio*float64(n)+s.Slack)
		}
		if float64(count) > allowed {
			faults = append(faults, fmt.Sprintf("%d retries in a window that allows %.1f", count, allowed))
		}
	}
	return faults
}

// TestAnswersAmongFaults guards against answers that are lost, incomplete or doubled
// when faults of several targets come in series and overlap.
func TestAnswersAmongFaults(t *testing.T) {
	failed := 0
	for i := range *propertySeeds {
		seed := *propertyFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), inBubble(func(t *testing.T) {
			faults, history := simulate(seed)
			if len(faults) == 0 {
				return
			}
			failed++
			t.Error(strings.Join(faults, "\n"))
			if *propertyTrace {
				t.Log(strings.Join(history, "\n"))
			}
		}))
	}
	if failed > 0 {
		t.Logf("%d of %d seeds failed", failed, *propertySeeds)
	}
}
