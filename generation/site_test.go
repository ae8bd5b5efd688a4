package generation

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/target"
	"github.com/vanillaroad/vanillaroad/trace"
)

// testSite runs stand-in engines and implements the dependencies of the hubs of a
// site's daemons.
type testSite struct {
	mu          sync.Mutex
	engines     []*testEngine
	permitsHeld int      // granted and not released
	crashed     []string // targets passed to Guard.ReportCrash
	completed   int      // number of calls of Guard.ReportCompletion
	claims      *Claims
	hubs        map[string]*Hub          // by daemon
	refusal     *failure.Error           // returned by Guard.Check
	traces      map[string]*bytes.Buffer // by daemon
	onRoute     func()                   // called by Route before it grants; may be nil
}

type testEngine struct {
	name   string
	engine *standin.Engine
	server *httptest.Server
	client *target.Client
}

func newTestSite(count int) *testSite {
	s := &testSite{claims: NewClaims(), hubs: make(map[string]*Hub), traces: make(map[string]*bytes.Buffer)}
	for i := range count {
		es := standin.DefaultEngineSettings()
		es.TokenInterval = 2 * time.Millisecond
		e := &testEngine{name: "engine-" + strconv.Itoa(i), engine: standin.NewEngine(es)}
		e.server = httptest.NewServer(e.engine.Handler())
		e.client = target.NewClient(e.server.Listener.Addr().String())
		s.engines = append(s.engines, e)
	}
	return s
}

// kill makes the engine unreachable. It closes the listener before the connections:
// otherwise a probe that connects in between finds the engine alive, and the machine
// attaches to the stream again.
func (e *testEngine) kill() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

func (s *testSite) close() {
	for _, e := range s.engines {
		e.client.Close()
		e.server.CloseClientConnections()
		e.server.Close()
	}
}

func (s *testSite) hub(self string) *Hub {
	s.traces[self] = &bytes.Buffer{}
	recorder, err := trace.NewRecorder(s.traces[self], self)
	So(err, ShouldBeNil)
	settings := DefaultSettings()
	settings.Silence, settings.SilenceMin = jsontime.Duration(500*time.Millisecond), jsontime.Duration(400*time.Millisecond)
	s.hubs[self] = NewHub(settings, Deps{
		Router: s, Joiner: s, Guard: testGuard{s}, Peers: testPeers{s, self}, Self: self, Trace: recorder,
		Events: event.NewRecorder(self, event.NewClock(time.Now), log.NewNopLogger(), 1024),
	})
	return s.hubs[self]
}

func (s *testSite) grant(e *testEngine) Grant {
	s.permitsHeld++
	return Grant{Target: e.name, Model: "writer", Version: "1", Engine: e.client, Release: func(bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.permitsHeld--
	}}
}

func (s *testSite) Route(_ context.Context, _ Request, _ int64, exclude []string, _ string) (Grant, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onRoute != nil {
		s.onRoute()
	}
	for _, e := range s.engines {
		excluded := false
		for _, x := range exclude {
			excluded = excluded || x == e.name
		}
		if !excluded {
			return s.grant(e), nil
		}
	}
	return Grant{}, failure.New(failure.NoTarget, failure.NotRun, "route", "", "none left").WithRetryAfter(time.Second)
}

func (s *testSite) Join(_ context.Context, _ Request, name string) (Grant, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.name == name {
			return s.grant(e), nil
		}
	}
	return Grant{}, failure.New(failure.NoTarget, failure.NotRun, "join", name, "not configured")
}

func (s *testSite) ReportLoss(_, name string) {}

// testPeers passes messages between the hubs of a testSite.
type testPeers struct {
	site *testSite
	self string
}

func (p testPeers) Claim(_ context.Context, request string) (string, error) {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	return p.site.claims.Swap(time.Now(), request, p.self), nil
}

func (testPeers) Registrar(string) string { return "" }

func (testPeers) Renew(context.Context, string) error { return nil }

func (p testPeers) Locate(_ context.Context, daemon string, request LocateRequest) (LocateReply, error) {
	return p.site.hubs[daemon].HandleLocate(request), nil
}

func (p testPeers) NotifyTakeOver(_ context.Context, daemon string, notice TakeOverNotice) (TakeOverReply, error) {
	return p.site.hubs[daemon].HandleTakeOver(notice), nil
}

// testGuard implements Guard.
type testGuard struct{ site *testSite }

func (testGuard) ReportProgress(Request) {}

func (g testGuard) Check(context.Context, Request) *failure.Error {
	g.site.mu.Lock()
	defer g.site.mu.Unlock()
	return g.site.refusal
}

func (g testGuard) ReportCrash(_ Request, name string, _ int64, _ bool) {
	g.site.mu.Lock()
	defer g.site.mu.Unlock()
	g.site.crashed = append(g.site.crashed, name)
}

func (g testGuard) ReportCompletion(Request) {
	g.site.mu.Lock()
	defer g.site.mu.Unlock()
	g.site.completed++
}

func (s *testSite) permitCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitsHeld
}

const testPrompt = "draft a profile"

func newRequest(id string, tokens int64) Request {
	return Request{ID: id, Workspace: "fair", Service: "pisar", Prompt: testPrompt, MaxTokens: tokens, Seed: 1}
}

// readTokens returns the tokens up to position to, or up to the end of the answer,
// and the last State.
func readTokens(r Reader, to int64) ([]string, State) {
	var got []string
	for {
		s, err := r.Next(context.Background(), r.Position+int64(len(got)), time.Minute)
		So(err, ShouldBeNil)
		got = append(got, s.Tokens...)
		if s.Done || r.Position+int64(len(got)) >= to {
			return got, s
		}
	}
}

func openReader(h *Hub, r Request) Reader {
	reader, err := h.Answer(r)
	So(err, ShouldBeNil)
	return reader
}
