package node

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/settings"
	"github.com/vanillaroad/vanillaroad/target"
)

// oneNode is a daemon that serves engines in this process. Only its control
// loop runs.
type oneNode struct {
	*Node
	engines []*standin.Engine
	servers []*httptest.Server
}

func newOneNode(engines, permits int) *oneNode {
	s := settings.Default()
	s.ID, s.Place, s.Region = "vm-1", "bloem-a", "free-state"
	s.APIAddress, s.PeerAddress, s.Platform = "127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1"
	s.Admission.GrowDelay = 0
	n, err := New(s, io.Discard)
	So(err, ShouldBeNil)
	o := &oneNode{Node: n}
	d := configuration.Document{
		Services:   []configuration.Service{{Name: "plan-llm", Kind: configuration.Generation, Selector: "s=plan", Model: "writer", Version: "1"}},
		Workspaces: []configuration.Workspace{{Name: "silo"}},
	}
	for i := range engines {
		e := standin.NewEngine(standin.DefaultEngineSettings())
		server := httptest.NewServer(e.Handler())
		o.engines, o.servers = append(o.engines, e), append(o.servers, server)
		d.Targets = append(d.Targets, configuration.Target{
			Name: string(rune('a' + i)), Address: strings.TrimPrefix(server.URL, "http://"), Place: "bloem-a", Permits: permits,
			Labels: map[string]string{"s": "plan"}, VM: string(rune('A' + i)),
		})
	}
	o.use(d)
	ctx, cancel := context.WithCancel(context.Background())
	o.spawn(func() { o.loop.Run(ctx) })
	Reset(func() {
		cancel()
		o.wait()
		o.transport.Close()
		_ = o.listener.Close()
		o.platform.Close()
		o.targets.close()
		for _, s := range o.servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
	o.eventually(func(a *admitter) bool { return a.controller.Stats().Permits == engines*permits })
	return o
}

func (o *oneNode) use(d configuration.Document) {
	snapshot, err := configuration.NewSnapshot(o.snapshot.Load().Version+1, d)
	So(err, ShouldBeNil)
	o.snapshot.Store(snapshot)
}

// eventually waits until a condition of the control state holds.
func (o *oneNode) eventually(holds func(*admitter) bool) {
	for {
		ok, err := control.Call(context.Background(), o.loop, func(time.Time) bool { return holds(o.admission) })
		So(err, ShouldBeNil)
		if ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

type routed struct {
	grant   generation.Grant
	refused *failure.Error
}

func (o *oneNode) route(ctx context.Context, id string) chan routed {
	out := make(chan routed, 1)
	go func() {
		r := generation.Request{ID: id, Workspace: "silo", Service: "plan-llm", Prompt: "haul", Deadline: time.Hour}
		g, refused := (&router{o.Node}).Route(ctx, r, 0, nil, "")
		out <- routed{g, refused}
	}()
	return out
}

func (o *oneNode) granted(id string) generation.Grant {
	r := <-o.route(context.Background(), id)
	So(r.refused, ShouldBeNil)
	return r.grant
}

func (o *oneNode) refusedAtOnce(id string) failure.Code {
	r := <-o.route(context.Background(), id)
	So(r.refused, ShouldNotBeNil)
	So(r.refused.RetryAfter, ShouldBeGreaterThan, 0)
	return r.refused.Code
}

func queued(n int) func(*admitter) bool {
	return func(a *admitter) bool { return a.controller.Stats().Queued == n }
}

func blocked(name string, want bool) func(*admitter) bool {
	return func(a *admitter) bool { return a.blocked[name] == want }
}

func TestAdmit(t *testing.T) {
	ctx := context.Background()
	Convey("Given a daemon and an engine with one permit, which is taken", t, func() {
		o := newOneNode(1, 1)
		g := o.granted("first")
		second := o.route(ctx, "second")
		o.eventually(queued(1))
		Convey("the next request waits and is granted when the permit comes back", func() {
			g.Release(true)
			So((<-second).grant.Target, ShouldEqual, "a")
		})
		Convey("a second release of the same permit frees nothing", func() {
			g.Release(true)
			So((<-second).refused, ShouldBeNil)
			g.Release(true)
			third, cancel := context.WithCancel(ctx)
			waits := o.route(third, "third")
			o.eventually(queued(1))
			cancel()
			So((<-waits).refused.Code, ShouldEqual, failure.Canceled)
		})
		Convey("a caller that goes leaves the queue", func() {
			gone, cancel := context.WithCancel(ctx)
			waits := o.route(gone, "gone")
			o.eventually(queued(2))
			cancel()
			So((<-waits).refused.Code, ShouldEqual, failure.Canceled)
			o.eventually(queued(1))
		})
		Convey("a left attempt holds its permit until the engine has ended it", func() {
			stream, err := g.Engine.Generate(ctx, target.GenerateRequest{
				Stream: target.StreamID{Request: "first", Attempt: 1}, Model: "writer", Version: "1", MaxTokens: 1 << 30,
			})
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			g.Release(false)
			So((<-second).refused, ShouldBeNil)
			So(o.engines[0].Work().Canceled, ShouldEqual, 1)
		})
		Convey("an adopted attempt takes a permit beyond the limit", func() {
			r := generation.Request{ID: "joined", Workspace: "silo", Service: "plan-llm"}
			joined, refused := (&joiner{o.Node}).Join(ctx, r, "a")
			So(refused, ShouldBeNil)
			o.eventually(func(a *admitter) bool { return a.controller.InFlight("a") == 2 })
			g.Release(true)
			o.eventually(func(a *admitter) bool { return a.controller.InFlight("a") == 1 })
			joined.Release(true)
			So((<-second).refused, ShouldBeNil)
		})
		Convey("an unknown workspace is a bad request", func() {
			_, refused := (&router{o.Node}).Route(ctx, generation.Request{ID: "x", Workspace: "nobody", Service: "plan-llm"}, 0, nil, "")
			So(refused.Code, ShouldEqual, failure.BadRequest)
			So(refused.Outcome, ShouldEqual, failure.NotRun)
		})
	})
}

func TestLeavingAndDeadTargets(t *testing.T) {
	Convey("Given a daemon and one engine", t, func() {
		o := newOneNode(1, 4)
		Convey("it gets no new work when the operators mark it as leaving", func() {
			d := o.snapshot.Load().Document
			d.Targets = append([]configuration.Target(nil), d.Targets...)
			d.Targets[0].Leaving = true
			o.use(d)
			o.eventually(blocked("a", true))
			So(o.refusedAtOnce("r"), ShouldEqual, failure.NoTarget)
		})
		Convey("it gets no new work when it says that it leaves, and again when not", func() {
			o.engines[0].SetFaults(standin.EngineFaults{Leaving: true})
			o.eventually(blocked("a", true))
			So(o.refusedAtOnce("r"), ShouldEqual, failure.NoTarget)
			o.engines[0].SetFaults(standin.EngineFaults{})
			o.eventually(blocked("a", false))
			o.granted("s").Release(true)
		})
		Convey("it gets no new work when the VM list says that its VM leaves", func() {
			v := *o.view.Load()
			v.LeavingVMs = map[string]bool{"A": true}
			leaves, err := control.Call(context.Background(), o.loop, func(now time.Time) bool {
				o.view.Store(&v)
				o.admission.tick(now)
				return o.admission.blocked["a"]
			})
			So(err, ShouldBeNil)
			So(leaves, ShouldBeTrue)
		})
		Convey("it gets no new work once it is dead", func() {
			o.servers[0].CloseClientConnections()
			o.servers[0].Close()
			o.eventually(blocked("a", true))
			So(o.refusedAtOnce("r"), ShouldEqual, failure.NoTarget)
		})
		Convey("one that was only suspected is back after a poll", func() {
			o.suspect("a")
			o.eventually(func(a *admitter) bool { return !a.loads.Down("a") && !a.blocked["a"] })
			o.granted("r").Release(true)
		})
	})
}
