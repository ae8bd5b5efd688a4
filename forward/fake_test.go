package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// behaviour is how a fake target answers one attempt.
type behaviour func(ctx context.Context, a Attempt, s *fakeSender) (*Answer, error)

// fakeSender stands in for targets. It needs no network, so that tests run on a
// virtual clock.
type fakeSender struct {
	mu       sync.Mutex
	targets  map[string]behaviour
	sent     []Attempt
	running  map[string]int // runs at work, by target
	most     int            // runs of one request at work at once
	dead     map[string]bool
	copies   map[string]string // by name: the target that holds it
	released int
	moves    int
	asked    int
	cached   map[string]map[string]bool // parts of prompts, by target
	full     map[string]bool            // targets without room
	stops    map[string]func()          // end the run at a target as a move does
}

func newFakeSender() *fakeSender {
	return &fakeSender{targets: make(map[string]behaviour), running: make(map[string]int), dead: make(map[string]bool), copies: make(map[string]string), full: make(map[string]bool), stops: make(map[string]func())}
}

func (s *fakeSender) Send(ctx context.Context, a Attempt) (*Answer, error) {
	s.mu.Lock()
	s.sent = append(s.sent, a)
	answer := s.targets[a.Target.ID]
	s.mu.Unlock()
	time.Sleep(time.Nanosecond) // the virtual clock moves once a run that was left has ended
	return answer(ctx, a, s)
}

func (s *fakeSender) Report(ctx context.Context, t fleet.Target) (Report, error) {
	s.mu.Lock()
	dead := s.dead[t.ID]
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	return Report{StartMillis: t.StartMillis}, nil
}

func (s *fakeSender) Copy(_ context.Context, from fleet.Target, _ string, to fleet.Target) (Copy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := fmt.Sprint("copy-", len(s.copies))
	s.copies[name] = to.ID
	return Copy{from.Address, name}, nil
}

func (s *fakeSender) Move(ctx context.Context, from fleet.Target, id string, to fleet.Target) (Copy, fleet.Target, error) {
	s.mu.Lock()
	dead, full, stop := s.dead[from.ID], s.full[to.ID], s.stops[from.ID]
	s.moves++
	s.mu.Unlock()
	if dead {
		<-ctx.Done()
		return Copy{}, fleet.Target{}, ctx.Err()
	}
	if stop != nil {
		stop()
	}
	if full {
		to = from
	}
	c, err := s.Copy(ctx, from, id, to)
	return c, to, err
}

func (s *fakeSender) CachedKeys(ctx context.Context, t fleet.Target) (map[string]bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return s.cached[t.ID], ctx.Err()
}

func (s *fakeSender) Release(context.Context, fleet.Target, Copy) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released++
	return nil
}

func (s *fakeSender) kill(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dead[id] = true
}

// attempts returns the targets that attempts went to, in order.
func (s *fakeSender) attempts() (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.sent {
		out = append(out, a.Target.ID)
	}
	return out
}

// questions returns how often a target was asked for what its cache holds.
func (s *fakeSender) questions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

func (s *fakeSender) attempt(i int) Attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent[i]
}

func (s *fakeSender) begin(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]++
	sum := 0
	for _, n := range s.running {
		sum += n
	}
	s.most = max(s.most, sum)
}

func (s *fakeSender) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[id]--
}

// streaming answers with events from after the one asked for up to last, one a
// gap. After breakAt events in all it ends as how says.
func streaming(last, breakAt int, gap time.Duration, how error) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeSender) (*Answer, error) {
		r, w := io.Pipe()
		next := 0
		if a.LastEventID != "" {
			_, _ = fmt.Sscan(a.LastEventID, &next)
			next++
		}
		s.begin(a.Target.ID)
		s.mu.Lock()
		s.stops[a.Target.ID] = func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) }
		s.mu.Unlock()
		go func() {
			defer s.end(a.Target.ID)
			for ; next <= last; next++ {
				select {
				case <-time.After(gap):
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				if next == breakAt {
					_, _ = fmt.Fprintf(w, "id: %d\nda", next) // broken off within an event
					if how == nil {
						<-ctx.Done() // silent
						how = ctx.Err()
					}
					_ = w.CloseWithError(how)
					return
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{"X-First": {a.Target.ID}}, Body: r}, nil
	}
}

// answering answers with a status at once.
func answering(status int, notRun bool) behaviour {
	return func(context.Context, Attempt, *fakeSender) (*Answer, error) {
		return &Answer{Status: status, NotRun: notRun, Signed: !notRun, Header: http.Header{}, Body: io.NopCloser(&io.LimitedReader{})}, nil
	}
}

// failing fails with an error at once.
func failing(err error) behaviour {
	return func(context.Context, Attempt, *fakeSender) (*Answer, error) { return nil, errors.WithStack(err) }
}

// hanging never answers.
func hanging(ctx context.Context, _ Attempt, _ *fakeSender) (*Answer, error) {
	<-ctx.Done()
	return nil, errors.Wrap(ErrNoAnswer, ctx.Err().Error())
}

// fakeCaller keeps what the caller gets.
type fakeCaller struct {
	status  int
	header  http.Header
	events  []string
	err     *failure.Error
	ended   bool
	aborted bool
}

func (c *fakeCaller) Answer(status int, h http.Header, _ []byte) { c.status, c.header = status, h }
func (c *fakeCaller) Fail(err *failure.Error)                    { c.err = err }
func (c *fakeCaller) Begin(status int, h http.Header) error {
	c.status, c.header = status, h
	return nil
}
func (c *fakeCaller) Event(raw []byte) error {
	c.events = append(c.events, string(raw))
	return nil
}
func (c *fakeCaller) End()   { c.ended = true }
func (c *fakeCaller) Abort() { c.aborted = true }

// fakeCrashes counts.
type fakeCrashes struct{ crashed []string }

func (*fakeCrashes) Check(context.Context, *Request) *failure.Error { return nil }
func (c *fakeCrashes) ReportCrash(_ *Request, t fleet.Target)       { c.crashed = append(c.crashed, t.ID) }
func (*fakeCrashes) ReportSuccess(*Request)                         {}

// site is a forwarder over fake targets, a to d in places of their own.
type site struct {
	*Forwarder
	sender  *fakeSender
	crashes *fakeCrashes
}

func newSite(targets map[string]behaviour) *site {
	s := &site{sender: newFakeSender(), crashes: &fakeCrashes{}}
	events := event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 16)
	f := fleet.New("place-a", 1)
	for id, b := range targets {
		s.sender.targets[id] = b
		f.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: 8})
	}
	s.Forwarder = &Forwarder{
		TargetClient: s.sender, Fleet: f, Events: events, CrashTracker: s.crashes, Prober: NewProber(s.sender, f, events),
		CacheLocator: NewCacheLocator(s.sender),
		Metrics:      metrics.NewRegistry(), PlacementLimiter: NewPlacementLimiter(), RetryBudget: NewRetryBudget(time.Now().Add(-time.Minute), RetryBudgetSettings{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}),
		Model: func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: true} },
	}
	s.RetryBudget.SetDaemons(1)
	return s
}

// serve serves one request and returns what the caller got.
func (s *site) serve(_ *testing.T, route ingress.Route) *fakeCaller {
	return s.serveFor(context.Background(), route)
}

// serveFor serves one request of a caller who leaves when ctx ends.
func (s *site) serveFor(ctx context.Context, route ingress.Route) *fakeCaller {
	now := time.Now()
	route.Services = []ingress.WeightedService{{Service: "svc", Weight: 1}}
	r := &Request{
		ID: "r1", Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc",
		Header: http.Header{}, Prompt: Prompt{CacheKey: "p"},
	}
	if route.Kind == ingress.Streaming {
		r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 5000, 1000
	}
	c := &fakeCaller{}
	s.Serve(ctx, r, c)
	return c
}

var streamRoute = ingress.Route{
	Name: "stream", Kind: ingress.Streaming, Resumable: true, Timeout: 25 * time.Second,
	LatencyObjective: 4500 * time.Millisecond, MaxEventGap: 700 * time.Millisecond, MaxAttempts: 5,
}
