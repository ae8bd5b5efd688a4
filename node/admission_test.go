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

// singleNode is a daemon whose targets are engines in this process. Of the daemon
// only the control loop runs.
type singleNode struct {
	*Node
	engines []*standin.Engine
	servers []*httptest.Server
}

func newSingleNode(engines, permits int) *singleNode {
	s := settings.Default()
	s.ID, s.Place, s.Region = "vm-1", "bloem-a", "free-state"
	s.APIAddress, s.PeerAddress, s.Platform = "127.0.0.1:0", "127.0.0.1:0", "http://127.0.0.1:1"
	s.Admission.GrowDelay = 0
	n, err := New(s, io.Discard)
	So(err, ShouldBeNil)
	node := &singleNode{Node: n}
	d := configuration.Document{
		Services:   []configuration.Service{{Name: "plan-llm", Kind: configuration.Generation, Selector: "s=plan", Model: "writer", Version: "1"}},
		Workspaces: []configuration.Workspace{{Name: "silo"}},
	}
	for i := range engines {
		e := standin.NewEngine(standin.DefaultEngineSettings())
		server := httptest.NewServer(e.Handler())
		node.engines, node.servers = append(node.engines, e), append(node.servers, server)
		d.Targets = append(d.Targets, configuration.Target{
			Name: string(rune('a' + i)), Address: strings.TrimPrefix(server.URL, "http://"), Place: "bloem-a", Permits: permits,
			Labels: map[string]string{"s": "plan"}, VM: string(rune('A' + i)),
		})
	}
	node.setConfiguration(d)
	ctx, cancel := context.WithCancel(context.Background())
	node.spawn(func() { node.loop.Run(ctx) })
	Reset(func() {
		cancel()
		node.waitForSpawned()
		node.transport.Close()
		_ = node.listener.Close()
		node.platform.Close()
		node.targetClients.close()
		for _, s := range node.servers {
			s.CloseClientConnections()
			s.Close()
		}
	})
	node.waitFor(func(a *admitter) bool { return a.controller.Stats().Permits == engines*permits })
	return node
}

func (o *singleNode) setConfiguration(d configuration.Document) {
	snapshot, err := configuration.NewSnapshot(o.snapshot.Load().Version+1, d)
	So(err, ShouldBeNil)
	o.snapshot.Store(snapshot)
}

// waitFor waits until the state of admission fulfills a condition.
func (o *singleNode) waitFor(condition func(*admitter) bool) {
	for {
		ok, err := control.Call(context.Background(), o.loop, func(time.Time) bool { return condition(o.admission) })
		So(err, ShouldBeNil)
		if ok {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

type routeResult struct {
	grant   generation.Grant
	refusal *failure.Error
}

func (o *singleNode) route(ctx context.Context, id string) chan routeResult {
	result := make(chan routeResult, 1)
	go func() {
		r := generation.Request{ID: id, Workspace: "silo", Service: "plan-llm", Prompt: "haul", Deadline: time.Hour}
		g, refusal := (&router{o.Node}).Route(ctx, r, 0, nil, "")
		result <- routeResult{g, refusal}
	}()
	return result
}

func (o *singleNode) mustGrant(id string) generation.Grant {
	result := <-o.route(context.Background(), id)
	So(result.refusal, ShouldBeNil)
	return result.grant
}

func (o *singleNode) mustRefuse(id string) failure.Code {
	result := <-o.route(context.Background(), id)
	So(result.refusal, ShouldNotBeNil)
	So(result.refusal.RetryAfter, ShouldBeGreaterThan, 0)
	return result.refusal.Code
}

func hasQueued(n int) func(*admitter) bool {
	return func(a *admitter) bool { return a.controller.Stats().Queued == n }
}

func isBlocked(name string, wantBlocked bool) func(*admitter) bool {
	return func(a *admitter) bool { return a.blocked[name] == wantBlocked }
}

func TestAdmit(t *testing.T) {
	ctx := context.Background()
	Convey("Given a daemon and an engine whose only permit is in use", t, func() {
		node := newSingleNode(1, 1)
		grant := node.mustGrant("first")
		second := node.route(ctx, "second")
		node.waitFor(hasQueued(1))
		Convey("the next request waits and is granted when the permit is released", func() {
			grant.Release(true)
			So((<-second).grant.Target, ShouldEqual, "a")
		})
		Convey("a second release of the same permit has no effect", func() {
			grant.Release(true)
			So((<-second).refusal, ShouldBeNil)
			grant.Release(true)
			thirdCtx, cancel := context.WithCancel(ctx)
			result := node.route(thirdCtx, "third")
			node.waitFor(hasQueued(1))
			cancel()
			So((<-result).refusal.Code, ShouldEqual, failure.Canceled)
		})
		Convey("the request of a caller that disconnects is removed from the queue", func() {
			callerCtx, cancel := context.WithCancel(ctx)
			result := node.route(callerCtx, "gone")
			node.waitFor(hasQueued(2))
			cancel()
			So((<-result).refusal.Code, ShouldEqual, failure.Canceled)
			node.waitFor(hasQueued(1))
		})
		Convey("an abandoned attempt holds its permit until the engine has ended it", func() {
			stream, err := grant.Engine.Generate(ctx, target.GenerateRequest{
				Stream: target.StreamID{Request: "first", Attempt: 1}, Model: "writer", Version: "1", MaxTokens: 1 << 30,
			})
			So(err, ShouldBeNil)
			So(stream.Close(), ShouldBeNil)
			grant.Release(false)
			So((<-second).refusal, ShouldBeNil)
			So(node.engines[0].Work().Canceled, ShouldEqual, 1)
		})
		Convey("an adopted attempt gets a permit beyond the limit", func() {
			r := generation.Request{ID: "joined", Workspace: "silo", Service: "plan-llm"}
			joinedGrant, refusal := (&joiner{node.Node}).Join(ctx, r, "a")
			So(refusal, ShouldBeNil)
			node.waitFor(func(a *admitter) bool { return a.controller.InFlight("a") == 2 })
			grant.Release(true)
			node.waitFor(func(a *admitter) bool { return a.controller.InFlight("a") == 1 })
			joinedGrant.Release(true)
			So((<-second).refusal, ShouldBeNil)
		})
		Convey("an unknown workspace is a bad request", func() {
			_, refusal := (&router{node.Node}).Route(ctx, generation.Request{ID: "x", Workspace: "nobody", Service: "plan-llm"}, 0, nil, "")
			So(refusal.Code, ShouldEqual, failure.BadRequest)
			So(refusal.Outcome, ShouldEqual, failure.NotRun)
		})
	})
}

func TestLeavingAndDeadTargets(t *testing.T) {
	Convey("Given a daemon and one engine", t, func() {
		node := newSingleNode(1, 4)
		Convey("the engine gets no new work when the configuration marks it as leaving", func() {
			d := node.snapshot.Load().Document
			d.Targets = append([]configuration.Target(nil), d.Targets...)
			d.Targets[0].Leaving = true
			node.setConfiguration(d)
			node.waitFor(isBlocked("a", true))
			So(node.mustRefuse("r"), ShouldEqual, failure.NoTarget)
		})
		Convey("the engine gets no new work while its report says that it is leaving, and gets work again afterwards", func() {
			node.engines[0].SetFaults(standin.EngineFaults{Leaving: true})
			node.waitFor(isBlocked("a", true))
			So(node.mustRefuse("r"), ShouldEqual, failure.NoTarget)
			node.engines[0].SetFaults(standin.EngineFaults{})
			node.waitFor(isBlocked("a", false))
			node.mustGrant("s").Release(true)
		})
		Convey("the engine gets no new work when the VM list marks its VM as leaving", func() {
			v := *node.view.Load()
			v.LeavingVMs = map[string]bool{"A": true}
			blocked, err := control.Call(context.Background(), node.loop, func(now time.Time) bool {
				node.view.Store(&v)
				node.admission.tick(now)
				return node.admission.blocked["a"]
			})
			So(err, ShouldBeNil)
			So(blocked, ShouldBeTrue)
		})
		Convey("the engine gets no new work once it is down", func() {
			node.servers[0].CloseClientConnections()
			node.servers[0].Close()
			node.waitFor(isBlocked("a", true))
			So(node.mustRefuse("r"), ShouldEqual, failure.NoTarget)
		})
		Convey("an engine that was only suspected is used again after a successful poll", func() {
			node.suspectTarget("a")
			node.waitFor(func(a *admitter) bool { return !a.loads.Down("a") && !a.blocked["a"] })
			node.mustGrant("r").Release(true)
		})
	})
}
