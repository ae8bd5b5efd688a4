package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/origin"
)

// behaviour is how a fake target answers one attempt.
type behaviour func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error)

// fakeTargetClient simulates targets without a network, so that tests run on a virtual
// clock.
type fakeTargetClient struct {
	mu            sync.Mutex
	behaviours    map[string]behaviour
	sent          []Attempt
	running       map[string]int // active runs by target
	maxConcurrent int            // largest number of concurrent runs of one request
	dead          map[string]bool
	copies        map[string]string // target that holds the copy, by name of the copy
	released      int
	moves         int
	cacheQueries  int
	cached        map[string]map[string]bool // cache keys by target
	full          map[string]bool            // targets without memory for a copy
	cancelRun     map[string]func()          // by target; each ends the run there, as a move does
	listening     map[string]bool            // targets that accept connections, see Connect
	ended         map[string]bool            // targets whose addresses refuse probes
	reportErr     error                      // of all reports
	paused        map[string]chan struct{}   // targets that are silent; closed when they go on
	reportedRuns  map[string]RunStatus       // in the report of each target; nil if not stated
	load          fleet.LoadStatement        // that each target states with its report
}

func newFakeTargetClient() *fakeTargetClient {
	return &fakeTargetClient{behaviours: make(map[string]behaviour), running: make(map[string]int), dead: make(map[string]bool), copies: make(map[string]string), full: make(map[string]bool), cancelRun: make(map[string]func()), listening: make(map[string]bool), ended: make(map[string]bool), paused: make(map[string]chan struct{})}
}

func (s *fakeTargetClient) Send(ctx context.Context, a Attempt) (*Answer, error) {
	s.mu.Lock()
	s.sent = append(s.sent, a)
	answer := s.behaviours[a.Target.ID]
	s.mu.Unlock()
	time.Sleep(time.Nanosecond) // advances the virtual clock after the previous run was canceled
	return answer(ctx, a, s)
}

// Connect reports that the target has crashed, unless it is in listening.
func (s *fakeTargetClient) Connect(_ context.Context, t fleet.Target) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listening[t.ID] {
		return nil
	}
	return errors.WithStack(ErrNotListening)
}

func (s *fakeTargetClient) Report(ctx context.Context, t fleet.Target) (Report, error) {
	s.mu.Lock()
	dead, ended := s.dead[t.ID], s.ended[t.ID]
	s.mu.Unlock()
	if ended {
		return Report{}, errors.WithStack(ErrNotListening)
	}
	if s.reportErr != nil {
		return Report{}, s.reportErr
	}
	if dead {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	if !s.awaitResume(ctx, t.ID) {
		return Report{}, ctx.Err()
	}
	return Report{StartMillis: t.StartMillis, Running: s.reportedRuns, Load: s.load}, nil
}

func (s *fakeTargetClient) Copy(_ context.Context, source fleet.Target, _ string, destination fleet.Target) (Copy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprint("copy-", len(s.copies))
	s.copies[name] = destination.ID
	return Copy{source.Address, name}, nil
}

func (s *fakeTargetClient) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	s.mu.Lock()
	dead, full, stop := s.dead[source.ID], s.full[destination.ID], s.cancelRun[source.ID]
	s.moves++
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return Copy{}, fleet.Target{}, ctx.Err()
	}
	if !s.awaitResume(ctx, source.ID) {
		return Copy{}, fleet.Target{}, ctx.Err()
	}
	if stop != nil {
		stop()
	}
	if full {
		destination = source
	}
	c, err := s.Copy(ctx, source, id, destination)
	return c, destination, err
}

func (s *fakeTargetClient) CachedKeys(ctx context.Context, t fleet.Target) (map[string]bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheQueries++
	return s.cached[t.ID], ctx.Err()
}

func (s *fakeTargetClient) Release(context.Context, fleet.Target, Copy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released++
	return nil
}

func (s *fakeTargetClient) kill(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[id] = true
}

// attempts returns the ids of the targets that attempts were sent to, in order.
func (s *fakeTargetClient) attempts() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.sent {
		out = append(out, a.Target.ID)
	}
	return out
}

// cacheQueryCount returns how many cache queries the targets received.
func (s *fakeTargetClient) cacheQueryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cacheQueries
}

func (s *fakeTargetClient) attempt(i int) Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[i]
}

func (s *fakeTargetClient) startRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]++
	sum := 0
	for _, n := range s.running {
		sum += n
	}
	s.maxConcurrent = max(s.maxConcurrent, sum)
}

func (s *fakeTargetClient) endRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]--
}

// nextEvent returns the id of the first event of the answer to an attempt.
func (a Attempt) nextEvent() int {
	last, err := strconv.Atoi(a.LastEventID)
	if err != nil {
		return 0
	}
	return last + 1
}

// streaming answers with one event per gap, beginning after the last event id of the
// attempt and ending with the event last. At event breakAt it writes a truncated event
// and then ends the stream with breakErr, or stays silent if breakErr is nil.
func streaming(last, breakAt int, gap time.Duration, breakErr error) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		next := a.nextEvent()
		s.startRun(a.Target.ID)
		s.mu.Lock()
		s.cancelRun[a.Target.ID] = func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) }
		s.mu.Unlock()
		go func() {
			defer s.endRun(a.Target.ID)
			for ; next <= last; next++ {
				select {
				case <-time.After(gap):
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				if next == breakAt {
					_, _ = fmt.Fprintf(w, "id: %d\nda", next) // truncated event
					if breakErr == nil {
						<-ctx.Done() // silent until canceled
						breakErr = ctx.Err()
					}
					_ = w.CloseWithError(breakErr)
					return
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{"X-First": {a.Target.ID}}, Body: r}, nil
	}
}

// answering answers at once with a status.
func answering(status int, notRun bool) behaviour {
	return func(context.Context, Attempt, *fakeTargetClient) (*Answer, error) {
		return &Answer{Status: status, NotRun: notRun, Signed: !notRun, Framed: true, Header: http.Header{}, Body: io.NopCloser(&io.LimitedReader{})}, nil
	}
}

// unsigned drops the signature of an answer.
func unsigned(b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		answer, err := b(ctx, a, s)
		if err == nil {
			answer.Signed = false
		}
		return answer, err
	}
}

// failing fails at once with an error.
func failing(err error) behaviour {
	return func(context.Context, Attempt, *fakeTargetClient) (*Answer, error) { return nil, errors.WithStack(err) }
}

// hanging never answers.
func hanging(ctx context.Context, _ Attempt, _ *fakeTargetClient) (*Answer, error) {
	<-ctx.Done()
	return nil, errors.Wrap(ErrNoAnswer, ctx.Err().Error())
}

// fakeResponder records what the caller receives.
type fakeResponder struct {
	status  int
	header  http.Header
	body    []byte
	events  []string
	err     *failure.Error
	ended   bool
	aborted bool
}

func (c *fakeResponder) Answer(status int, h http.Header, body []byte) {
	c.status, c.header, c.body = status, h, body
}
func (c *fakeResponder) Fail(err *failure.Error) { c.err = err }
func (c *fakeResponder) Begin(status int, h http.Header) error {
	c.status, c.header = status, h
	return nil
}
func (c *fakeResponder) Event(raw []byte) error {
	c.events = append(c.events, string(raw))
	return nil
}
func (c *fakeResponder) End()   { c.ended = true }
func (c *fakeResponder) Abort() { c.aborted = true }

// fakeCrashTracker records reported crashes, losses of targets that have ended, and
// completions.
type fakeCrashTracker struct {
	crashed     []string
	completions atomic.Int64
}

func (*fakeCrashTracker) Check(context.Context, *Request) *failure.Error { return nil }
func (c *fakeCrashTracker) ReportCrash(_ *Request, t fleet.Target, _ bool) {
	c.crashed = append(c.crashed, t.ID)
}
func (c *fakeCrashTracker) ReportLoss(_ *Request, i fleet.Incarnation, _ bool) {
	if i.Ended(time.Now()) {
		c.crashed = append(c.crashed, i.Target.ID)
	}
}
func (*fakeCrashTracker) ReportProgress(*Request)     {}
func (c *fakeCrashTracker) ReportCompletion(*Request) { c.completions.Add(1) }

// fakeOrigins knows the origins that it was given, and those of the test's own requests.
// It assumes an empty software version for callers who name no request.
type fakeOrigins struct {
	mu    sync.Mutex
	known map[string]origin.Origin
}

func (o *fakeOrigins) Record(id string, where origin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known[id] = where
}

func (o *fakeOrigins) Find(_ context.Context, id, service string) (origin.Origin, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found, ok := o.known[id]
	switch {
	case id == "":
		return origin.Origin{Service: service}, true, nil
	case !ok:
		return origin.Origin{}, false, errors.New("unknown origin")
	}
	return found, false, nil
}

// fixture is a forwarder over fake targets, each in a place of its own.
type fixture struct {
	*Forwarder
	client       *fakeTargetClient
	crashTracker *fakeCrashTracker
	origins      *fakeOrigins
}

func newFixture(targets map[string]behaviour) *fixture {
	s := &fixture{client: newFakeTargetClient(), crashTracker: &fakeCrashTracker{}, origins: &fakeOrigins{known: make(map[string]origin.Origin)}}
	events := event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 16)
	f := fleet.New("place-a", 1)
	for id, b := range targets {
		s.client.behaviours[id] = b
		f.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: 8})
	}
	s.Forwarder = &Forwarder{
		TargetClient: s.client, Fleet: f, Events: events, CrashTracker: s.crashTracker, Origins: s.origins, Prober: NewProber(s.client, f, events),
		CacheLocator: NewCacheLocator(s.client), Buffers: membudget.New(MaxBufferedBytes),
		Metrics: metrics.NewRegistry(), PlacementLimiter: NewPlacementLimiter(), RetryBudget: NewRetryBudget(time.Now().Add(-time.Minute), RetryBudgetSettings{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}),
		Model: func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: true} },
	}
	s.RetryBudget.SetDaemons(1)
	return s
}

// serve serves one request and returns what the caller received.
func (s *fixture) serve(t *testing.T, route ingress.Route) *fakeResponder {
	t.Cleanup(s.awaitStops)
	return s.serveFor(context.Background(), route)
}

// serveFor serves one request of a caller who disconnects when ctx ends.
func (s *fixture) serveFor(ctx context.Context, route ingress.Route) *fakeResponder {
	now := time.Now()
	route.Services = []ingress.WeightedService{{Service: "svc", Weight: 1}}
	r := &Request{
		ID: "r1", Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc",
		Header: http.Header{}, Prompt: Prompt{CacheKey: "p"},
	}
	if route.Kind == ingress.Streaming {
		r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 5000, 1000
	}
	c := &fakeResponder{}
	s.Serve(ctx, r, c)
	return c
}

var streamRoute = ingress.Route{
	Name: "stream", Kind: ingress.Streaming, Resumable: true, Timeout: 25 * time.Second,
	LatencyObjective: 4500 * time.Millisecond, MaxEventGap: 700 * time.Millisecond, MaxAttempts: 5,
}

// awaitStops waits until no run that was left may go on. A bubble must not end before.
func (s *fixture) awaitStops() {
	for s.stopper.busy() {
		time.Sleep(stopTimeout)
	}
}

// busy reports whether a run that was left may still go on.
func (s *runStopper) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs) > 0
}
