package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// rolloutEnv is a test environment with targets of two versions and callers.
type rolloutEnv struct {
	*testEnv
	served [3]atomic.Int64 // requests that reached targets of v1, v2 and v3
	total  atomic.Int64    // requests that callers sent
	failed atomic.Int64    // of them, without a 200
	bad    atomic.Int64    // part of v2's responses that fail, in percent
	delay  atomic.Int64    // of v2's responses, in milliseconds
	stops  map[string]func()

	sentAt    sync.Map                  // when a caller sent a request, by its id
	responses atomic.Int64              // bad ones of v2
	fiftieth  atomic.Pointer[time.Time] // when v2 had given 50 bad responses
	late      atomic.Int64              // requests that reached v2 and were sent too late after that
}

// usualDelay is the time that a target of another version than v2 takes.
const usualDelay = 10 * time.Millisecond

func newRolloutEnv(t *testing.T, block *Rollout) *rolloutEnv {
	e := &rolloutEnv{testEnv: newTestEnv(t), stops: make(map[string]func())}
	e.change = func(s *Settings) { s.Rollout = block }
	e.configure(1, "/a/")
	return e
}

var rolloutBlock = &Rollout{Share: 0.1, Slack: 50, RollbackWithin: jsontime.Duration(5 * time.Second)}

// badResponses of a version are enough for the time within which it gets no request any more to count.
const badResponses = 50

// startTargets registers n targets of a version.
func (e *rolloutEnv) startTargets(version, n int) {
	for i := range n {
		var requests atomic.Int64
		s := httptest.NewServer(targetHandler("stamp", func(rw http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/a/x" {
				rw.WriteHeader(http.StatusNotFound)
				return
			}
			e.served[version-1].Add(1)
			if version != 2 {
				time.Sleep(usualDelay)
				return
			}
			fiftieth, delay := e.fiftieth.Load(), time.Duration(e.delay.Load())*time.Millisecond
			if sent, ok := e.sentAt.Load(r.Header.Get("Vanillaroad-Request-Id")); ok && fiftieth != nil && sent.(time.Time).Sub(*fiftieth) > time.Duration(rolloutBlock.RollbackWithin) {
				e.late.Add(1)
			}
			time.Sleep(max(delay, usualDelay))
			fails := requests.Add(1)*e.bad.Load()%100 < e.bad.Load()
			if fails {
				rw.WriteHeader(http.StatusInternalServerError)
			}
			if (fails || delay > 2*usualDelay) && e.responses.Add(1) == badResponses {
				now := time.Now()
				e.fiftieth.Store(&now)
			}
		}))
		e.t.Cleanup(s.Close)
		e.put(platform.TargetKind, fmt.Sprintf("i-%d-%d", version, i), map[string]any{
			"service": "s", "address": s.Listener.Addr().String(), "zone": "p", "version": fmt.Sprint("v", version), "slots": 6, "state": "ready", "cold_left_ms": 0, "seq": 1,
		})
	}
}

// load sends requests to daemons until the returned function is called.
func (e *rolloutEnv) load(interval time.Duration, daemons ...Settings) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, s := range daemons {
		wg.Go(func() {
			for ctx.Err() == nil {
				wg.Go(func() {
					e.total.Add(1)
					if e.call(s) != http.StatusOK {
						e.failed.Add(1)
					}
				})
				time.Sleep(interval)
			}
		})
	}
	return sync.OnceFunc(func() { cancel(); wg.Wait() })
}

// call sends a request to a daemon and notes when. It returns the status, 0 without one.
func (e *rolloutEnv) call(s Settings) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+s.Callers+"/a/x", nil)
	if err != nil {
		e.t.Error(err)
		return 0
	}
	id := fmt.Sprint("r", requestCount.Add(1))
	req.Host = "h"
	req.Header.Set("Vanillaroad-Request-Id", id)
	e.sentAt.Store(id, time.Now())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// order writes an order and starts the targets of its version.
func (e *rolloutEnv) order(seconds any) {
	e.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": "v2", "duration_s": seconds})
	e.startTargets(2, 2)
}

// awaitRunning waits until the order has its first status and all daemons know the targets.
func (e *rolloutEnv) awaitRunning() {
	eventually(func() bool { return e.state() == "running" })
	for _, g := range e.gateways {
		eventually(func() bool { return g.fleet.Len() == 4 && len(g.rollouts.describe("").Rollouts) == 1 })
	}
}

// state returns the state of the order, also while the store refuses calls.
func (e *rolloutEnv) state() string {
	state, _ := e.status()
	return state
}

// status returns the state of the order and the version that it is about.
func (e *rolloutEnv) status() (state, target string) {
	o, err := e.storeClient.Get(context.Background(), platform.RolloutKind, "s")
	var status struct{ State, Target string }
	if err != nil || json.Unmarshal(o.Status, &status) != nil {
		return "", ""
	}
	return status.State, status.Target
}

func (e *rolloutEnv) start(n int) (daemons []Settings) {
	for i := range n {
		s, stop := e.startDaemon(fmt.Sprint("vm-", i), e.store.Listener.Addr().String())
		e.stops[s.ID] = stop
		daemons = append(daemons, s)
	}
	for _, s := range daemons {
		eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
		eventually(func() bool { return e.gateways[s.ID].members.count() == n })
	}
	e.served[0].Store(0)
	return daemons
}

// TestRolloutOfAGoodVersion guards against a good version that is not completed, that gets work
// before its time, or whose old version gets work afterwards, also while the store fails for a part
// of the time and loses the answers to writes.
func TestRolloutOfAGoodVersion(t *testing.T) {
	Convey("Given daemons with load and an order for a good version", t, func() {
		e := newRolloutEnv(t, rolloutBlock)
		e.startTargets(1, 2)
		daemons := e.start(3)
		defer e.load(20*time.Millisecond, daemons...)()
		e.order(12)
		e.awaitRunning()
		e.platform.SetFaults(standin.PlatformFaults{Down: true})
		time.Sleep(2 * time.Second)
		So(e.served[1].Load(), ShouldBeGreaterThan, 0)
		So(float64(e.served[1].Load()), ShouldBeLessThanOrEqualTo, 50+0.1*float64(e.served[0].Load()+e.served[1].Load()))
		e.platform.SetFaults(standin.PlatformFaults{LoseAnswers: true})
		eventually(func() bool { return e.state() == "completed" })
		e.platform.SetFaults(standin.PlatformFaults{})
		for _, s := range daemons {
			eventually(func() bool { return e.gateways[s.ID].rollouts.describe("").Rollouts[0].Phase == "ended" })
		}
		time.Sleep(100 * time.Millisecond) // requests that were sent before
		old := e.served[0].Load()
		time.Sleep(500 * time.Millisecond)
		So(e.served[0].Load(), ShouldEqual, old)
		So(e.failed.Load(), ShouldEqual, 0)
	})
}

// TestRolloutOfABadVersion guards against a bad version that goes on to get requests, gets more than
// its share, or is completed, also if the store is down from the order to after the verdict.
func TestRolloutOfABadVersion(t *testing.T) {
	for name, storeDown := range map[string]bool{"a reachable store": false, "a store that is down until after the verdict": true} {
		Convey("Given daemons with load, an order for a bad version, and "+name, t, func() {
			e := newRolloutEnv(t, rolloutBlock)
			e.bad.Store(60)
			e.startTargets(1, 2)
			daemons := e.start(3)
			defer e.load(10*time.Millisecond, daemons...)()
			e.order(30)
			e.awaitRunning()
			e.platform.SetFaults(standin.PlatformFaults{Down: storeDown})
			for _, s := range daemons {
				eventually(func() bool { return e.gateways[s.ID].rollouts.describe("").Rollouts[0].Verdict == "bad" })
			}
			time.Sleep(100 * time.Millisecond) // requests that were sent before
			sent := e.served[1].Load()
			So(float64(sent), ShouldBeLessThanOrEqualTo, 50+0.1*float64(e.served[0].Load()+sent))
			time.Sleep(time.Second)
			So(e.served[1].Load(), ShouldEqual, sent)
			e.platform.SetFaults(standin.PlatformFaults{})
			eventually(func() bool { return e.state() == "rolled_back" })
			time.Sleep(500 * time.Millisecond)
			So(e.served[1].Load(), ShouldEqual, sent)
		})
	}
}

// TestInvalidOrders guards against an invalid order that changes the traffic, gets a status or fills
// the log.
func TestInvalidOrders(t *testing.T) {
	for _, spec := range []any{
		map[string]any{"service": "s", "target": "v2", "duration_s": 0}, map[string]any{"service": "s", "target": "v2", "duration_s": -3},
		map[string]any{"service": "s", "target": "v2", "duration_s": "12"}, map[string]any{"service": "s", "target": "v2", "duration_s": 86401}, "torn",
	} {
		Convey(fmt.Sprint("Given a daemon and the order ", spec), t, func() {
			e := newRolloutEnv(t, rolloutBlock)
			e.startTargets(1, 2)
			daemons := e.start(1)
			g := e.gateways["vm-0"]
			e.put(platform.RolloutKind, "s", spec)
			eventually(func() bool { return g.events.Counts()[event.RolloutInvalid] > 0 })
			e.put(platform.RolloutKind, "unknown", map[string]any{"service": "unknown", "target": "v2", "duration_s": 12})
			eventually(func() bool { return g.events.Counts()[event.RolloutInvalid] > 1 })
			before := e.served[0].Load()
			for range 20 {
				status, _ := get(daemons[0].Callers, "/a/x")
				So(status, ShouldEqual, 200)
			}
			So(e.served[0].Load(), ShouldEqual, before+20)
			So(e.state(), ShouldBeEmpty)
			So(g.events.Counts()[event.RolloutInvalid], ShouldEqual, 2)
			So(g.rollouts.Versions(time.Now(), "s"), ShouldBeNil)
		})
	}
}

// TestNoRollouts guards against calls to the store, messages and choices of a target that differ in
// a deployment whose settings have no block for roll-outs.
func TestNoRollouts(t *testing.T) {
	Convey("Given daemons without the block, an order, and targets of two versions", t, func() {
		e := newRolloutEnv(t, nil)
		e.startTargets(1, 2)
		daemons := e.start(2)
		e.order(10)
		Convey("both versions get requests, and nothing about orders is read, written or sent", func() {
			eventually(func() bool { return e.gateways["vm-0"].fleet.Len() == 4 && e.gateways["vm-1"].fleet.Len() == 4 })
			e.served[0].Store(0)
			eventually(func() bool { // the faster of equal targets get most
				_, _ = get(daemons[0].Callers, "/a/x")
				return e.served[0].Load() > 0 && e.served[1].Load() > 0
			})
			So(e.state(), ShouldBeEmpty)
			for _, g := range e.gateways {
				So(g.rollouts, ShouldBeNil)
				So(g.forwarder.Rollouts, ShouldBeNil)
				So(g.datasets.byKind[platform.RolloutKind], ShouldBeNil)
				So(g.loadReport().Rollouts, ShouldBeNil)
			}
		})
	})
}

// TestRolloutTakeover guards against a roll-out that ends with the daemon that writes its status, and
// against a daemon that starts in the middle and goes on with a bad version.
func TestRolloutTakeover(t *testing.T) {
	Convey("Given daemons with load and an order for a bad version, seen while the store is down", t, func() {
		e := newRolloutEnv(t, rolloutBlock)
		e.startTargets(1, 2)
		daemons := e.start(4)
		e.order(60)
		e.awaitRunning()
		e.platform.SetFaults(standin.PlatformFaults{Down: true})
		ranked := rankDaemons(e.gateways["vm-0"].members.view(), "s", 4)
		So(ranked, ShouldHaveLength, 4)
		Convey("the daemons that are left roll it back after the first two in rank ended", func() {
			for _, id := range ranked[:2] {
				e.stops[id]()
			}
			var left []Settings
			for _, s := range daemons {
				if s.ID == ranked[2] || s.ID == ranked[3] {
					left = append(left, s)
				}
			}
			e.bad.Store(60)
			defer e.load(5*time.Millisecond, left...)()
			for _, s := range left {
				eventually(func() bool { return e.gateways[s.ID].rollouts.describe("").Rollouts[0].Verdict == "bad" })
			}
			So(e.state(), ShouldEqual, "")
			started, _ := e.startDaemon("vm-9", e.store.Listener.Addr().String(), left[0].Peers)
			eventually(func() bool { status, _ := get(started.Callers, "/a/x"); return status == 200 })
			eventually(func() bool {
				view := e.gateways["vm-9"].rollouts.describe("").Rollouts
				return len(view) == 1 && view[0].Verdict == "bad"
			})
			sent := e.served[1].Load()
			for range 50 {
				_, _ = get(started.Callers, "/a/x")
			}
			So(e.served[1].Load(), ShouldEqual, sent)
			e.platform.SetFaults(standin.PlatformFaults{})
			eventually(func() bool { return e.state() == "rolled_back" })
		})
	})
}

// TestPresumedVersions guards against a version that gets more than its share because its targets
// are known before its order, and against a deployment without an order in which a version stays
// limited, or none may get requests.
func TestPresumedVersions(t *testing.T) {
	Convey("Given a daemon", t, func() {
		e := newRolloutEnv(t, rolloutBlock)
		e.startTargets(1, 1)
		e.start(1)
		r := e.gateways["vm-0"].rollouts
		limited := func(versions map[string]time.Duration) (out []string) { // by the time since they were seen
			r.mu.Lock()
			s := &serviceRollouts{versions: make(map[string]time.Time), presumed: make(map[string]*roll)}
			r.services["t"] = s
			for version, ago := range versions {
				s.versions[version] = time.Now().Add(-ago)
			}
			r.presume(time.Now(), "t", s)
			r.mu.Unlock()
			rule := r.Versions(time.Now(), "t")
			for version := range versions {
				if rule != nil && rule.Limits(version) {
					out = append(out, version)
				}
				So(rule == nil || rule.Allows(version), ShouldBeTrue)
			}
			return out
		}
		const known, unknown = time.Hour, -time.Hour // before and after the latest read of the orders
		So(limited(map[string]time.Duration{"v1": known, "v2": unknown}), ShouldResemble, []string{"v2"})
		So(limited(map[string]time.Duration{"v1": known, "v2": known}), ShouldBeEmpty)
		So(limited(map[string]time.Duration{"v1": unknown}), ShouldBeEmpty)
		So(limited(map[string]time.Duration{"v1": unknown, "v2": unknown}), ShouldHaveLength, 1)
	})
}
