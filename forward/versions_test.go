package forward

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/origin"
)

// fakeRollouts rolls out version v2, and gives out a number of credits for it.
type fakeRollouts struct {
	credits   int
	preferred bool
	barred    bool
	barAt     time.Time // from when on v2 is barred; zero for never
	requests  int
	overdrawn int // credits for streams that v2 began, without any left
	released  int
	runs      []string // ends of the observed runs, by version
	begun     int
}

func (r *fakeRollouts) CountRequest(time.Time, string) { r.requests++ }

func (r *fakeRollouts) isBarred(now time.Time) bool {
	return r.barred || !r.barAt.IsZero() && !now.Before(r.barAt)
}

func (r *fakeRollouts) Versions(now time.Time, _ string) *VersionRule {
	barred := r.isBarred(now)
	rule := &VersionRule{
		Allows: func(version string) bool { return version != "v2" || !barred },
		Limits: func(version string) bool { return version == "v2" },
	}
	if v2 := "v2"; r.preferred && !barred {
		rule.Preferred = &v2
	}
	return rule
}

func (r *fakeRollouts) TakeCredit(now time.Time, _, _ string, began bool) bool {
	switch {
	case r.isBarred(now):
		return false
	case r.credits > 0:
		r.credits--
		return true
	case began:
		r.overdrawn++
	}
	return began
}

func (r *fakeRollouts) ReleaseCredit(string, string) { r.credits++; r.released++ }

func (r *fakeRollouts) BeginRun(_ time.Time, t fleet.Target, _ string) ObservedRun {
	r.begun++
	return &fakeRun{r, t.SoftwareVersion, false}
}

type fakeRun struct {
	rollouts *fakeRollouts
	version  string
	ended    bool
}

func (r *fakeRun) Record(_ time.Time, end RunEnd, _ time.Duration) {
	r.ended = true
	r.rollouts.runs = append(r.rollouts.runs, r.version+" "+[]string{"responded", "failed", "lost"}[end])
}

func (r *fakeRun) Abandon(_ time.Time, ran bool) {
	if !r.ended {
		r.ended = true
		r.rollouts.runs = append(r.rollouts.runs, fmt.Sprint(r.version, " abandoned, ran ", ran))
	}
}

// newVersionFixture returns a fixture whose targets have the version in their id, such as v1-a.
func newVersionFixture(r *fakeRollouts, targets map[string]behaviour) *fixture {
	f := newFixture(targets)
	for id := range targets {
		f.Fleet.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: 8, SoftwareVersion: id[:2]})
	}
	f.Rollouts = r
	return f
}

var idempotentRoute = ingress.Route{Name: "call", Kind: ingress.Idempotent, Timeout: 5 * time.Second, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 3}

// TestVersionOfTheNextAttempt guards against requests that reach a version under roll-out without a
// credit, or after a verdict against it, and against requests that fail although it is all there is.
func TestVersionOfTheNextAttempt(t *testing.T) {
	ok, refuses := answering(http.StatusOK, false), answering(http.StatusServiceUnavailable, true)
	for _, c := range []struct {
		name     string
		rollouts fakeRollouts
		targets  map[string]behaviour
		want     []string // targets
		status   int      // 0 for a failure
	}{
		{"without a credit", fakeRollouts{}, map[string]behaviour{"v1-a": ok, "v2-a": ok}, []string{"v1-a"}, 200},
		{"with a credit and the version due", fakeRollouts{credits: 1, preferred: true}, map[string]behaviour{"v1-a": ok, "v2-a": ok}, []string{"v2-a"}, 200},
		{"without a credit, the others refuse", fakeRollouts{}, map[string]behaviour{"v1-a": refuses, "v2-a": ok}, []string{"v1-a"}, 0},
		{"without a credit, there are no others", fakeRollouts{}, map[string]behaviour{"v2-a": ok}, []string{"v2-a"}, 200},
		{"after a verdict, the others refuse", fakeRollouts{credits: 9, barred: true}, map[string]behaviour{"v1-a": refuses, "v2-a": ok}, []string{"v1-a"}, 0},
		{"after a verdict, there are no others", fakeRollouts{credits: 9, barred: true}, map[string]behaviour{"v2-a": ok}, nil, 0},
		{"a retry needs a credit, too", fakeRollouts{credits: 1, preferred: true}, map[string]behaviour{"v1-a": ok, "v2-a": answering(500, false), "v2-b": answering(500, false)}, []string{"v2", "v1-a"}, 200},
	} {
		t.Run("A call "+c.name, inBubble(func(t *testing.T) {
			Convey("Then", t, func() {
				f := newVersionFixture(&c.rollouts, c.targets)
				answer := f.serve(t, idempotentRoute)
				sent := f.client.attempts()
				So(len(sent), ShouldEqual, len(c.want))
				for i, want := range c.want {
					So(sent[i], ShouldStartWith, want)
				}
				So(answer.status, ShouldEqual, c.status)
				So(c.rollouts.requests, ShouldEqual, min(1, len(sent)))
			})
		}))
	}
}

// TestStreamsOfABarredVersion guards against a stream that is sent anew to a version after the
// verdict against it, and against one that another version continues.
func TestStreamsOfABarredVersion(t *testing.T) {
	run := func(r *fakeRollouts, lastEvent int) (*fixture, *fakeResponder) {
		f := newVersionFixture(r, map[string]behaviour{
			"v1-a": streaming(9, -1, 50*time.Millisecond, nil), "v2-a": streaming(9, lastEvent, 50*time.Millisecond, io.ErrUnexpectedEOF), "v2-b": streaming(9, -1, 50*time.Millisecond, nil),
		})
		f.client.listening["v2-a"] = true
		f.origins.known["first"] = origin.Origin{Service: "svc", SoftwareVersion: "v2"}
		route := streamRoute
		route.Services = []ingress.WeightedService{{Service: "svc", Weight: 1}}
		c, now := &fakeResponder{}, time.Now()
		f.Fleet.MarkRefused(now, "v2-b") // so that v2-a is the first target
		f.Serve(context.Background(), &Request{
			ID: "r1", Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc",
			Header: http.Header{}, LastEventID: "0", Resumes: "first", Prompt: Prompt{Tokens: 100},
		}, c)
		f.awaitStops()
		return f, c
	}
	t.Run("A stream of the version is cut if it breaks after the verdict", inBubble(func(t *testing.T) {
		Convey("Then", t, func() {
			f, c := run(&fakeRollouts{credits: 9, barAt: time.Now().Add(220 * time.Millisecond)}, 6)
			So(f.client.attempts(), ShouldResemble, []string{"v2-a"})
			So(c.events, ShouldHaveLength, 5)
			So(c.aborted, ShouldBeTrue)
		})
	}))
	t.Run("It goes on if it doesn't break", inBubble(func(t *testing.T) {
		Convey("Then", t, func() {
			f, c := run(&fakeRollouts{credits: 9, barAt: time.Now().Add(220 * time.Millisecond)}, -1)
			So(f.client.attempts(), ShouldResemble, []string{"v2-a"})
			So(c.ended, ShouldBeTrue)
		})
	}))
	t.Run("Without a verdict it continues at the version, also without credits, and its break is evidence", inBubble(func(t *testing.T) {
		Convey("Then", t, func() {
			r := &fakeRollouts{}
			f, c := run(r, 6)
			So(f.client.attempts(), ShouldResemble, []string{"v2-a", "v2-b"})
			So(c.ended, ShouldBeTrue)
			So(r.overdrawn-r.released, ShouldEqual, 2)
			So(r.runs, ShouldContain, "v2 failed")
		})
	}))
}

// TestEvidence guards against outcomes that are counted against a version although they say nothing
// of it, and against failures that are not.
func TestEvidence(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer behaviour
		want   string
	}{
		{"a response", answering(http.StatusOK, false), "v1 responded"},
		{"an error of the caller", answering(http.StatusNotFound, false), "v1 responded"},
		{"a server error", answering(http.StatusBadGateway, false), "v1 failed"},
		{"a success without a signature", unsigned(answering(http.StatusOK, false)), "v1 failed"},
		{"a refusal", answering(http.StatusServiceUnavailable, true), "v1 abandoned, ran false"},
		{"no connection", failing(ErrNotSent), "v1 abandoned, ran false"},
		{"a broken connection to a target that has ended", failing(ErrNoAnswer), "v1 lost"},
		{"no answer in time", hanging, "v1 abandoned, ran true"},
	} {
		for _, route := range []ingress.Route{idempotentRoute, streamRoute} {
			if route.Kind == ingress.Streaming && c.want == "v1 responded" {
				continue // no stream
			}
			t.Run(fmt.Sprint("The first outcome of ", c.name, " on route ", route.Name), inBubble(func(t *testing.T) {
				Convey("Then", t, func() {
					r := &fakeRollouts{}
					f := newVersionFixture(r, map[string]behaviour{"v1-a": c.answer})
					_ = f.serve(t, route)
					So(r.runs, ShouldNotBeEmpty)
					So(r.runs[0], ShouldEqual, c.want)
					So(r.runs, ShouldHaveLength, r.begun)
				})
			}))
		}
	}
	t.Run("A caller that leaves", inBubble(func(t *testing.T) {
		Convey("Then", t, func() {
			r := &fakeRollouts{}
			f := newVersionFixture(r, map[string]behaviour{"v1-a": hanging})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			leaving, leave := context.WithCancel(context.Background())
			context.AfterFunc(ctx, leave)
			_ = f.serveFor(leaving, idempotentRoute)
			So(r.runs, ShouldResemble, []string{"v1 abandoned, ran true"})
		})
	}))
}

// TestCreditsAreSpentOrReleased guards against sends to a version under roll-out that no credit
// pays for, and against credits that are lost, over random failures of targets of two versions.
func TestCreditsAreSpentOrReleased(t *testing.T) {
	const seeds, credits = 300, 4
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			targets := make(map[string]behaviour)
			for _, id := range []string{"v1-a", "v1-b", "v2-a", "v2-b", "v2-c"} {
				targets[id] = []behaviour{
					streaming(20, -1, 50*time.Millisecond, nil), streaming(20, 1+random.IntN(19), 50*time.Millisecond, io.ErrUnexpectedEOF), streaming(20, 1+random.IntN(19), 50*time.Millisecond, nil),
					answering(500, false), answering(503, true), failing(ErrNotSent), failing(ErrNoAnswer), hanging,
				}[random.IntN(8)]
			}
			r := &fakeRollouts{credits: credits, preferred: random.IntN(2) == 0}
			if random.IntN(3) == 0 {
				r.barAt = time.Now().Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			var arrived, late atomic.Int64
			for id, answer := range targets {
				targets[id] = func(ctx context.Context, a Attempt, c *fakeTargetClient) (*Answer, error) {
					if a.Target.SoftwareVersion != "v2" {
						return answer(ctx, a, c)
					}
					arrived.Add(1)
					if r.isBarred(time.Now().Add(-time.Nanosecond)) { // see fakeTargetClient.Send
						late.Add(1)
					}
					got, err := answer(ctx, a, c)
					if errors.Is(err, ErrNotSent) {
						arrived.Add(-1)
					}
					return got, err
				}
			}
			f := newVersionFixture(r, targets)
			for id := range targets {
				f.client.listening[id] = random.IntN(2) == 0
			}
			route := streamRoute
			if random.IntN(3) == 0 {
				route = idempotentRoute
			}
			_ = f.serve(t, route)
			if spent := credits + r.overdrawn - r.credits; late.Load() > 0 || int64(spent) != arrived.Load() {
				t.Errorf("seed %d: %d credits spent, %d sends to the version, %d of them after it was barred", seed, spent, arrived.Load(), late.Load())
			}
		})
	}
}
