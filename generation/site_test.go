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

// site is a few engine stand-ins and what a hub needs beside them.
type site struct {
	mu      sync.Mutex
	engines []*siteEngine
	permits int // granted and not given back
	lost    []string
	done    int
	claims  *Claims
	hubs    map[string]*Hub          // by daemon
	refuse  *failure.Error           // of the guard
	traces  map[string]*bytes.Buffer // by daemon
}

type siteEngine struct {
	name   string
	engine *standin.Engine
	server *httptest.Server
	client *target.Client
}

func newSite(count int) *site {
	s := &site{claims: NewClaims(), hubs: make(map[string]*Hub), traces: make(map[string]*bytes.Buffer)}
	for i := range count {
		es := standin.DefaultEngineSettings()
		es.TokenInterval = 2 * time.Millisecond
		e := &siteEngine{name: "engine-" + strconv.Itoa(i), engine: standin.NewEngine(es)}
		e.server = httptest.NewServer(e.engine.Handler())
		e.client = target.NewClient(e.server.Listener.Addr().String())
		s.engines = append(s.engines, e)
	}
	return s
}

// kill ends the engine. The listener goes first: a probe that connects between the two
// would find the engine alive and join its stream again.
func (e *siteEngine) kill() {
	_ = e.server.Listener.Close()
	e.server.CloseClientConnections()
}

func (s *site) close() {
	for _, e := range s.engines {
		e.client.Close()
		e.server.CloseClientConnections()
		e.server.Close()
	}
}

func (s *site) hub(self string) *Hub {
	s.traces[self] = &bytes.Buffer{}
	recorder, err := trace.NewRecorder(s.traces[self], self)
	So(err, ShouldBeNil)
	settings := DefaultSettings()
	settings.Silence, settings.SilenceMin = jsontime.Duration(500*time.Millisecond), jsontime.Duration(400*time.Millisecond)
	s.hubs[self] = NewHub(settings, Deps{
		Router: s, Joiner: s, Guard: siteGuard{s}, Peers: sitePeers{s, self}, Self: self, Trace: recorder,
		Events: event.NewRecorder(self, event.NewClock(time.Now), log.NewNopLogger(), 1024),
	})
	return s.hubs[self]
}

func (s *site) grant(e *siteEngine) Grant {
	s.permits++
	return Grant{Target: e.name, Model: "writer", Version: "1", Engine: e.client, Release: func(bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.permits--
	}}
}

func (s *site) Route(_ context.Context, _ Request, _ int64, exclude []string, _ string) (Grant, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		left := false
		for _, x := range exclude {
			left = left || x == e.name
		}
		if !left {
			return s.grant(e), nil
		}
	}
	return Grant{}, failure.New(failure.NoTarget, failure.NotRun, "route", "", "none left").After(time.Second)
}

func (s *site) Join(_ context.Context, _ Request, name string) (Grant, *failure.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.name == name {
			return s.grant(e), nil
		}
	}
	return Grant{}, failure.New(failure.NoTarget, failure.NotRun, "join", name, "not configured")
}

func (s *site) ReportLoss(_, name string) {}

// sitePeers carries messages between the hubs of a site.
type sitePeers struct {
	s    *site
	self string
}

func (p sitePeers) Claim(_ context.Context, request string) (string, error) {
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	return p.s.claims.Swap(time.Now(), request, p.self), nil
}

func (sitePeers) Registrar(string) string { return "" }

func (sitePeers) Renew(context.Context, string) error { return nil }

func (p sitePeers) Locate(_ context.Context, daemon string, w LocateRequest) (LocateReply, error) {
	return p.s.hubs[daemon].HandleLocate(w), nil
}

func (p sitePeers) NotifyTakeOver(_ context.Context, daemon string, t TakeOverNotice) (TakeOverReply, error) {
	return p.s.hubs[daemon].HandleTakeOver(t), nil
}

// siteGuard keeps the guard's methods apart from the router's Lost.
type siteGuard struct{ s *site }

func (siteGuard) ReportProgress(Request) {}

func (g siteGuard) Check(context.Context, Request) *failure.Error {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	return g.s.refuse
}

func (g siteGuard) ReportCrash(_ Request, name string, _ int64, _ bool) {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	g.s.lost = append(g.s.lost, name)
}

func (g siteGuard) ReportCompletion(Request) {
	g.s.mu.Lock()
	defer g.s.mu.Unlock()
	g.s.done++
}

func (s *site) permitsTaken() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permits
}

const testPrompt = "draft a profile"

func wish(id string, tokens int64) Request {
	return Request{ID: id, Workspace: "fair", Service: "pisar", Prompt: testPrompt, MaxTokens: tokens, Seed: 1}
}

// read returns tokens up to position to, or to the end of the answer.
func read(r Reader, to int64) ([]string, State) {
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

func ask(h *Hub, r Request) Reader {
	reader, err := h.Answer(r)
	So(err, ShouldBeNil)
	return reader
}
