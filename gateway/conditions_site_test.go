package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/quota"
)

// conditionsSite simulates daemons and targets that state conditions, without a network, on
// the virtual clock of a synctest bubble.
type conditionsSite struct {
	serviceTime time.Duration // of a request
	mu          sync.Mutex
	random      *rand.Rand
	daemons     []*conditionsDaemon // that run
	ended       []*conditionsDaemon
	targets     []*conditionsTarget
	starts      int // of daemons
	// registered has the ids of all daemons that ever ran; their entries remain.
	registered map[string]bool
	outcomes   map[string]int // of requests
	requests   sync.WaitGroup
}

// conditionsDaemon is one incarnation of a daemon.
type conditionsDaemon struct {
	*forward.Forwarder
	id      string
	permits *permits
	ctx     context.Context
	kill    context.CancelFunc
	// cut daemons exchange no messages with those that aren't; cutAt is when that changed.
	cut     bool
	cutAt   time.Time
	startAt time.Time
	endAt   time.Time // zero while it runs
}

// conditionsTarget is one incarnation of a target.
type conditionsTarget struct {
	fleet.Target
	statements []statedConditions // oldest first
	arrivals   []time.Time        // of requests
	failing    bool               // answers with a server error
	running    int
	refusals   []time.Time // for want of room
	fallen     time.Time   // until when it is down; zero if it never was
	falls      int
	exchanges  []conditionsExchange
	pausing    time.Duration // stated in refusals of all requests; 0 if it refuses only for want of room
}

// conditionsExchange is one request that arrived at a target, with its answer.
type conditionsExchange struct {
	daemon                      *conditionsDaemon
	received, arrived, answered time.Time // by the daemon; at the target; zero if it was not
	leaving                     bool
	pause                       time.Duration
}

// statedConditions are the conditions that a target states from a time on.
type statedConditions struct {
	from time.Time
	fleet.Conditions
}

const (
	conditionsService = "svc"
	simServiceTime    = 20 * time.Millisecond
)

func newConditionsSite(seed uint64, daemons, targets int) *conditionsSite {
	s := &conditionsSite{serviceTime: simServiceTime, random: rand.New(rand.NewPCG(seed, 7)), registered: make(map[string]bool), outcomes: make(map[string]int)}
	for i := range targets {
		s.targets = append(s.targets, &conditionsTarget{Target: fleet.Target{ID: fmt.Sprint("i-", i), Service: conditionsService, Address: fmt.Sprintf("i-%d:1", i), Place: fmt.Sprint("place-", i%4), Slots: 6, StartMillis: 1}})
	}
	for range daemons {
		s.startDaemon(s.newDaemonID())
	}
	return s
}

func (s *conditionsSite) newDaemonID() string {
	s.starts++
	return fmt.Sprint("vm-", s.starts)
}

// startDaemon starts an incarnation of a daemon, which knows all targets and no conditions.
func (s *conditionsSite) startDaemon(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered[id] = true
	d := &conditionsDaemon{id: id, startAt: time.Now()}
	d.ctx, d.kill = context.WithCancel(context.Background())
	events := event.NewRecorder(id, event.NewClock(time.Now), log.NewNopLogger(), 16)
	f := fleet.New("place-0", s.random.Uint64())
	for _, t := range s.targets {
		f.Put(t.Target)
	}
	d.Forwarder = &forward.Forwarder{
		TargetClient: &conditionsClient{s, d}, Fleet: f, Events: events, Metrics: metrics.NewRegistry(), CrashTracker: noCrashes{}, Origins: singleVersion{},
		PlacementLimiter: forward.NewPlacementLimiter(),
		RetryBudget:      forward.NewRetryBudget(time.Now().Add(-time.Minute), forward.RetryBudgetSettings{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}),
		Buffers:          membudget.New(forward.MaxBufferedBytes),
		Model:            func(string) *ingress.Model { return nil },
	}
	d.Prober, d.CacheLocator = forward.NewProber(d.TargetClient, f, events), forward.NewCacheLocator(d.TargetClient)
	d.RetryBudget.SetDaemons(len(s.registered))
	s.connect(d)
	s.daemons = append(s.daemons, d)
}

// stopDaemon ends a daemon with its requests.
func (s *conditionsSite) stopDaemon(i int) (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.daemons[i]
	d.kill()
	d.endAt = time.Now()
	s.ended = append(s.ended, d)
	s.daemons = append(s.daemons[:i:i], s.daemons[i+1:]...)
	return d.id
}

// simSilenceTimeout is how long a daemon counts as live after its last heartbeat.
const simSilenceTimeout = 1500 * time.Millisecond

// hears reports whether a daemon counts another one as live. s.mu is held.
func (s *conditionsSite) hears(d, other *conditionsDaemon, now time.Time) bool {
	if !other.endAt.IsZero() {
		return now.Sub(other.endAt) < simSilenceTimeout && d.cut == other.cut
	}
	latest := d.cutAt
	if other.cutAt.After(latest) {
		latest = other.cutAt
	}
	return d.cut == other.cut || now.Sub(latest) < simSilenceTimeout
}

// view returns what a daemon knows of the daemons.
func (s *conditionsSite) view(d *conditionsDaemon) quota.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	v := quota.View{Self: d.id, Registered: len(s.registered)}
	seen := make(map[string]bool)
	for _, other := range append(slices.Clone(s.daemons), s.ended...) {
		if !seen[other.id] && (other == d || s.hears(d, other, now)) {
			seen[other.id] = true
			v.Active = append(v.Active, other.id)
		}
	}
	v.Heard = len(v.Active)
	return v
}

// setCut cuts a daemon off from the others, or ends that.
func (s *conditionsSite) setCut(d *conditionsDaemon, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d.cut, d.cutAt = cut, time.Now()
}

// latency returns the time that a message takes.
func (s *conditionsSite) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(10 * time.Millisecond)))
}

// reachable returns the running daemon with an id if another one can send to it.
func (s *conditionsSite) reachable(from *conditionsDaemon, id string) *conditionsDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.daemons {
		if d.id == id && d.cut == from.cut {
			return d
		}
	}
	return nil
}

// connect lets a daemon exchange permits and statements with the others. s.mu is held.
func (s *conditionsSite) connect(d *conditionsDaemon) {
	d.permits = newPermits(d.Fleet, func() quota.View { return s.view(d) }, func(ctx context.Context, id string, r permitRequest) (permitReply, error) {
		to := s.reachable(d, id)
		if to == nil {
			<-ctx.Done()
			return permitReply{}, ctx.Err()
		}
		time.Sleep(s.latency())
		reply := to.permits.handle(d.id, r)
		time.Sleep(s.latency())
		return reply, nil
	}, func(id string, r permitRelease) {
		if to := s.reachable(d, id); to != nil {
			time.AfterFunc(s.latency(), func() { to.permits.handleRelease(r) })
		}
	})
	go s.reportLoads(d)
	d.Permits = d.permits
	d.OnStatement = func(t fleet.Target, statement fleet.Statement) {
		message := newTargetStatement(time.Now(), t, statement)
		s.mu.Lock()
		others := slices.Clone(s.daemons)
		s.mu.Unlock()
		for _, other := range others {
			if to := s.reachable(d, other.id); to != nil && to != d {
				time.AfterFunc(s.latency(), func() { to.permits.apply(message) })
			}
		}
	}
}

// reportLoads does at each heartbeat of a daemon what it does.
func (s *conditionsSite) reportLoads(d *conditionsDaemon) {
	for pause.For(d.ctx, heartbeatInterval) {
		s.mu.Lock()
		others := slices.Clone(s.daemons)
		s.mu.Unlock()
		loads := d.Fleet.OwnLoads()
		for _, other := range others {
			if to := s.reachable(d, other.id); to != nil && to != d {
				to.Fleet.SetPeerLoads(d.id, loads)
				if time.Since(to.startAt) < simSilenceTimeout { // as sendKnown does
					for _, known := range d.Fleet.Constrained() {
						to.permits.apply(newTargetStatement(time.Now(), known.Target, known.Statement))
					}
				}
			}
		}
		d.permits.expire(time.Now())
		s.mu.Lock()
		for _, ended := range s.ended {
			if s.reachableLocked(ended.id) == nil {
				d.Fleet.SetPeerLoads(ended.id, nil)
			}
		}
		s.mu.Unlock()
	}
}

// reachableLocked returns the running daemon with an id. s.mu is held.
func (s *conditionsSite) reachableLocked(id string) *conditionsDaemon {
	for _, d := range s.daemons {
		if d.id == id {
			return d
		}
	}
	return nil
}

// state lets a target state other conditions from now on.
func (s *conditionsSite) state(t *conditionsTarget, c fleet.Conditions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.statements = append(t.statements, statedConditions{time.Now(), c})
}

// restartTarget starts a new incarnation of a target under its id.
func (s *conditionsSite) restartTarget(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.targets[i]
	started := &conditionsTarget{Target: old.Target}
	started.StartMillis = time.Now().UnixMilli()
	s.targets[i] = started
	for _, d := range s.daemons {
		d.Fleet.Put(started.Target)
	}
}

// conditionsRoutes are the routes of the requests: two kinds of calls and streams.
var conditionsRoutes = []*ingress.Route{
	{Name: "book", Kind: ingress.NonIdempotent, Timeout: 1500 * time.Millisecond, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 3, Priority: 0},
	{Name: "read", Kind: ingress.Idempotent, Timeout: 1500 * time.Millisecond, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 3, Priority: 1},
	{Name: "stream", Kind: ingress.Streaming, Resumable: true, Timeout: 10 * time.Second, LatencyObjective: time.Second, MaxEventGap: 700 * time.Millisecond, MaxAttempts: 5, Priority: 2},
}

// load sends requests at a mean rate to random daemons for a time.
func (s *conditionsSite) load(perSecond float64, d time.Duration) {
	end := time.Now().Add(d)
	for n := 0; ; n++ {
		s.mu.Lock()
		gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
		route := conditionsRoutes[s.random.IntN(len(conditionsRoutes))]
		pick := s.random.Uint64()
		s.mu.Unlock()
		time.Sleep(gap)
		if time.Now().After(end) {
			return
		}
		s.mu.Lock()
		var daemon *conditionsDaemon
		if len(s.daemons) > 0 {
			daemon = s.daemons[pick%uint64(len(s.daemons))]
		}
		s.mu.Unlock()
		if daemon == nil {
			continue
		}
		now := time.Now()
		r := &forward.Request{ID: fmt.Sprint("r", n), Method: http.MethodPost, Header: http.Header{}, Received: now, Deadline: now.Add(route.Timeout), Route: route, Service: conditionsService}
		if route.Kind == ingress.Streaming {
			r.Prompt = forward.Prompt{Tokens: 500, MaxOutputTokens: 100, CacheKey: r.ID}
		}
		s.requests.Go(func() { daemon.Serve(daemon.ctx, r, &outcomeCounter{site: s, route: route.Name}) })
	}
}

// outcomeCounter counts how the requests of a route end.
type outcomeCounter struct {
	site  *conditionsSite
	route string
}

func (o *outcomeCounter) count(outcome string) {
	o.site.mu.Lock()
	defer o.site.mu.Unlock()
	o.site.outcomes[o.route+" "+outcome]++
}

func (o *outcomeCounter) Answer(status int, _ http.Header, _ []byte) {
	o.count(map[bool]string{true: "served", false: "failed"}[status == http.StatusOK])
}
func (o *outcomeCounter) Fail(err *failure.Error)      { o.count(string(err.Outcome)) }
func (o *outcomeCounter) Begin(int, http.Header) error { return nil }
func (o *outcomeCounter) Event([]byte) error           { return nil }
func (o *outcomeCounter) End()                         { o.count("served") }
func (o *outcomeCounter) Abort()                       { o.count("cut") }

// noCrashes is a forward.CrashTracker that quarantines nothing.
type noCrashes struct{}

func (noCrashes) Check(context.Context, *forward.Request) *failure.Error { return nil }
func (noCrashes) ReportCrash(*forward.Request, fleet.Target, bool)       {}
func (noCrashes) ReportLoss(*forward.Request, fleet.Incarnation, bool)   {}
func (noCrashes) ReportProgress(*forward.Request)                        {}
func (noCrashes) ReportCompletion(*forward.Request)                      {}

// conditionsClient is the forward.TargetClient of the daemons of a site.
type conditionsClient struct {
	*conditionsSite
	daemon *conditionsDaemon
}

// Send implements forward.TargetClient.
func (s *conditionsClient) Send(ctx context.Context, a forward.Attempt) (*forward.Answer, error) {
	s.mu.Lock()
	t := s.current(a.Target)
	if t == nil {
		s.mu.Unlock()
		return nil, errors.WithStack(errNotListening)
	}
	t.arrivals = append(t.arrivals, time.Now())
	if time.Now().Before(t.fallen) {
		s.mu.Unlock()
		return nil, errors.WithStack(errNotListening)
	}
	t.exchanges = append(t.exchanges, conditionsExchange{daemon: s.daemon, received: a.Request.Received, arrived: time.Now()})
	exchange := len(t.exchanges) - 1
	full := t.running >= t.Slots || t.pausing > 0
	if full {
		t.refuse()
	} else {
		t.running++
	}
	failing, serviceTime := t.failing, s.serviceTime
	s.mu.Unlock()
	answer := &forward.Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("id: 1\ndata: x\n\n"))}
	if full {
		answer.Status, answer.NotRun, answer.Signed = http.StatusServiceUnavailable, true, false
		answer.Pause = t.pausing
	} else {
		time.Sleep(serviceTime)
		if failing {
			answer.Status = http.StatusInternalServerError
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !full {
		t.running--
	}
	if n := len(t.statements); n > 0 {
		answer.Conditions = t.statements[n-1].Conditions
	}
	if ctx.Err() != nil {
		return nil, errors.WithStack(forward.ErrNoAnswer)
	}
	e := &t.exchanges[exchange]
	e.answered, e.leaving, e.pause = time.Now(), answer.Conditions.Leaving, answer.Pause
	return answer, nil
}

// simFallTime is how long a brittle target that has fallen over is down.
const simFallTime = 4 * time.Second

// refuse records a refusal for want of room. A brittle target falls over at too many.
func (t *conditionsTarget) refuse() {
	now := time.Now()
	t.refusals = append(t.refusals, now)
	n := len(t.statements)
	if n == 0 || !t.statements[n-1].Brittle || now.Sub(t.statements[n-1].from) < limitContact {
		return
	}
	recent := 0
	for _, at := range t.refusals {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if float64(recent) > t.statements[n-1].MaxRefusalsPerSecond {
		t.falls++
		t.fallen, t.refusals = now.Add(simFallTime), nil
	}
}

// current returns the incarnation that runs at the address of a target, if it is the one
// that a daemon means. s.mu is held.
func (s *conditionsClient) current(t fleet.Target) *conditionsTarget {
	for _, known := range s.targets {
		if known.ID == t.ID {
			return known
		}
	}
	return nil
}

// Connect implements forward.TargetClient.
func (*conditionsClient) Connect(context.Context, fleet.Target) error { return nil }

// Report implements forward.TargetClient.
func (s *conditionsClient) Report(_ context.Context, t fleet.Target) (forward.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return forward.Report{StartMillis: s.current(t).StartMillis}, nil
}

// Copy implements forward.TargetClient.
func (*conditionsClient) Copy(context.Context, fleet.Target, string, fleet.Target) (forward.Copy, error) {
	return forward.Copy{}, errNoCopies
}

// Move implements forward.TargetClient.
func (*conditionsClient) Move(context.Context, fleet.Target, string, fleet.Target) (forward.Copy, fleet.Target, error) {
	return forward.Copy{}, fleet.Target{}, errNoCopies
}

// CachedKeys implements forward.TargetClient.
func (*conditionsClient) CachedKeys(context.Context, fleet.Target) (map[string]bool, error) {
	return nil, errNoCopies
}

// Release implements forward.TargetClient.
func (*conditionsClient) Release(context.Context, fleet.Target, forward.Copy) error {
	return errNoCopies
}
