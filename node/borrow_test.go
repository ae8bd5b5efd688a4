package node

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/internal/standin"
)

// stats returns the admission statistics of each daemon.
func (f *fleet) stats() []admission.Stats {
	var out []admission.Stats
	for _, n := range f.nodes {
		s, err := control.Call(context.Background(), n.loop, func(time.Time) admission.Stats { return n.admission.controller.Stats() })
		So(err, ShouldBeNil)
		out = append(out, s)
	}
	return out
}

// permitsInUse returns the number of permits in use on all daemons.
func (f *fleet) permitsInUse() (sum int) {
	for _, s := range f.stats() {
		sum += s.InUse
	}
	return sum
}

func (f *fleet) totalPermits() (sum int) {
	for _, s := range f.stats() {
		sum += s.Permits
	}
	return sum
}

// homes returns the indexes of the daemons that have permits of their own.
func (f *fleet) homes() []int {
	var out []int
	for i, s := range f.stats() {
		if s.Permits > 0 {
			out = append(out, i)
		}
	}
	return out
}

func (f *fleet) route(node int, id string, out chan routeResult) {
	r := generation.Request{ID: id, Workspace: "fair", Service: "pisar", Deadline: time.Hour}
	g, refusal := (&router{f.nodes[node]}).Route(context.Background(), r, 0, nil, "")
	out <- routeResult{g, refusal}
}

func TestBorrow(t *testing.T) {
	Convey("Given ten daemons and one engine whose four permits are shared by four of the daemons", t, func() {
		engine := httptest.NewServer(standin.NewEngine(standin.DefaultEngineSettings()).Handler())
		f, err := newFleet(78, 10)
		So(err, ShouldBeNil)
		Reset(func() {
			f.close()
			engine.Close()
		})
		d := f.document(1)
		d.Workspaces = []configuration.Workspace{{Name: "fair"}}
		d.Targets[0].Address, d.Targets[0].Permits = strings.TrimPrefix(engine.URL, "http://"), 4
		_, err = f.apply(0, d, 0, 0)
		So(err, ShouldBeNil)
		waitUntil(func() bool { return f.allActive(1) && f.allMembersAlive() })
		waitUntil(func() bool { return f.totalPermits() == 4 })

		Convey("each daemon gets permits, at most four are in use at any time, and all are released", func() {
			const requests = 30
			out := make(chan routeResult, requests)
			for i := range requests {
				go f.route(i%len(f.nodes), fmt.Sprint("r", i), out)
			}
			for range requests {
				r := <-out
				So(r.refusal, ShouldBeNil)
				So(f.permitsInUse(), ShouldBeLessThanOrEqualTo, 4)
				r.grant.Release(true)
				r.grant.Release(true)
			}
			waitUntil(func() bool { return f.permitsInUse() == 0 })
		})
		Convey("no permit stays in use when a caller disconnects while its daemon borrows a permit", func() {
			var grants []generation.Grant
			out := make(chan routeResult, 1)
			for _, home := range f.homes() {
				f.route(home, fmt.Sprint("h", home), out)
				grants = append(grants, (<-out).grant)
			}
			So(grants, ShouldHaveLength, 4)
			for i := range f.nodes {
				ctx, cancel := context.WithCancel(context.Background())
				done := make(chan *failure.Error)
				go func() {
					r := generation.Request{ID: fmt.Sprint("gone", i), Workspace: "fair", Service: "pisar", Deadline: time.Hour}
					_, refusal := (&router{f.nodes[i]}).Route(ctx, r, 0, nil, "")
					done <- refusal
				}()
				cancel()
				So((<-done).Code, ShouldEqual, failure.Canceled)
			}
			for _, g := range grants {
				g.Release(true)
			}
			waitUntil(func() bool { return f.permitsInUse() == 0 })
		})
	})
}
