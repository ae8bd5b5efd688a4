package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/platform"
)

// newLoadedRollout starts three daemons with load and an order to roll out v2.
func newLoadedRollout(t *testing.T, seconds float64, interval time.Duration) (e *rolloutEnv, stopLoad func()) {
	e = newRolloutEnv(t, rolloutBlock)
	e.startTargets(1, 2)
	daemons := e.start(3)
	stopLoad = e.load(interval, daemons...)
	t.Cleanup(stopLoad)
	e.order(seconds)
	e.awaitRunning()
	return e, stopLoad
}

// awaitEverywhere waits until a condition holds for the only roll-out that each daemon knows.
func (e *rolloutEnv) awaitEverywhere(condition func(RolloutView) bool) {
	for _, g := range e.gateways {
		eventually(func() bool {
			known := g.rollouts.describe("").Rollouts
			return len(known) == 1 && condition(known[0])
		})
	}
}

// settle waits until requests that were sent before have reached their targets.
func settle() { time.Sleep(200 * time.Millisecond) }

// served1s returns how many requests a version gets in the next second.
func (e *rolloutEnv) served1s(version int) int64 {
	before := e.served[version-1].Load()
	time.Sleep(time.Second)
	return e.served[version-1].Load() - before
}

// checkRolledBack checks that v2 was rolled back within its share and gets no request any more.
func (e *rolloutEnv) checkRolledBack() {
	e.t.Helper()
	eventually(func() bool { return e.state() == "rolled_back" || e.state() == "completed" })
	if state := e.state(); state != "rolled_back" {
		e.t.Fatalf("the state is %s, want rolled_back", state)
	}
	e.awaitEverywhere(func(v RolloutView) bool { return v.Phase == "ended" })
	settle()
	if sent, all := e.served[1].Load(), e.served[0].Load()+e.served[1].Load(); float64(sent) > rolloutBlock.Slack+rolloutBlock.Share*float64(all) {
		e.t.Errorf("the version got %d of %d requests", sent, all)
	}
	if n := e.served1s(2); n > 0 {
		e.t.Errorf("the version got %d requests after rolled_back", n)
	}
	if n := e.late.Load(); n > 0 {
		e.t.Errorf("the version got %d requests that were sent later than %v after its 50th bad response", n, time.Duration(rolloutBlock.RollbackWithin))
	}
}

// TestRolloutOfASlowVersion guards against a version that is completed although it is several times
// slower than the old one, without a failure.
func TestRolloutOfASlowVersion(t *testing.T) {
	t.Parallel()
	e := newRolloutEnv(t, rolloutBlock)
	e.delay.Store(8 * usualDelay.Milliseconds())
	e.startTargets(1, 2)
	daemons := e.start(3)
	t.Cleanup(e.load(20*time.Millisecond, daemons...))
	e.order(12)
	e.awaitRunning()
	e.checkRolledBack()
	if n := e.failed.Load(); n > 0 {
		t.Errorf("%d requests failed", n)
	}
}

// TestRolloutOfAVersionThatTurnsBad guards against a version that is completed, or goes on to get
// requests, because it was good in the first half of the duration.
func TestRolloutOfAVersionThatTurnsBad(t *testing.T) {
	t.Parallel()
	e, _ := newLoadedRollout(t, 20, 20*time.Millisecond)
	e.awaitEverywhere(func(v RolloutView) bool { return v.AgeSeconds > 10 })
	if state := e.state(); state != "running" || e.served[1].Load() == 0 {
		t.Fatalf("the state is %s after half of the duration, and the version got %d requests", state, e.served[1].Load())
	}
	e.bad.Store(60)
	e.checkRolledBack()
}

// TestRolloutThatIsReplaced guards against an order for another target that is not followed, or takes
// over the verdict on the one that it replaces, and against requests to a replaced target: it is
// neither an old version nor the one under roll-out, and may be bad.
func TestRolloutThatIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		bad    bool
		target string // that replaces v2
	}{{"a good version", false, "v3"}, {"a bad version", true, "v3"}, {"a bad version by the old one", true, "v1"}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e, _ := newLoadedRollout(t, 30, 20*time.Millisecond)
			if c.bad {
				e.bad.Store(60)
				e.awaitEverywhere(func(v RolloutView) bool { return v.Verdict == "bad" })
			} else {
				eventually(func() bool { return e.served[1].Load() > 10 })
			}
			e.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": c.target, "duration_s": 12})
			targets := 4
			if c.target == "v3" {
				e.startTargets(3, 2)
				targets += 2
			}
			e.awaitEverywhere(func(v RolloutView) bool { return v.Target == c.target })
			for _, g := range e.gateways {
				eventually(func() bool { return g.fleet.Len() == targets })
			}
			settle()
			if n := e.served1s(2); n > 0 {
				t.Errorf("the replaced target got %d requests in a second", n)
			}
			failed := e.failed.Load()
			eventually(func() bool {
				state, target := e.status()
				return target == c.target && (state == "completed" || state == "rolled_back")
			})
			if state := e.state(); state != "completed" {
				t.Errorf("the state is %s, want completed", state)
			}
			e.awaitEverywhere(func(v RolloutView) bool { return v.Phase == "ended" })
			settle()
			if old, replaced := e.served1s(1), e.served1s(2); replaced > 0 || (old > 0) != (c.target == "v1") {
				t.Errorf("after completed, v1 got %d requests and v2 %d", old, replaced)
			}
			if n := e.failed.Load() - failed; n > 0 {
				t.Errorf("%d requests failed", n)
			}
		})
	}
}

// TestDaemonThatStartsAfterAReplacement guards against a daemon that takes a replaced target for an
// old version, because it started after the order that was about it.
func TestDaemonThatStartsAfterAReplacement(t *testing.T) {
	t.Parallel()
	e, _ := newLoadedRollout(t, 30, 20*time.Millisecond)
	e.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": "v1", "duration_s": 20})
	e.awaitEverywhere(func(v RolloutView) bool { return v.Target == "v1" })
	_, _ = e.startDaemon("vm-9", e.store.Listener.Addr().String())
	barred := func() bool {
		r := e.gateways["vm-9"].rollouts
		r.mu.Lock()
		defer r.mu.Unlock()
		s := r.services["s"]
		return s != nil && s.effectiveBars()["v2"]
	}
	eventually(func() bool { return barred() || e.state() == "completed" || e.state() == "rolled_back" })
	if !barred() {
		t.Errorf("the daemon does not bar v2 until the state is %s", e.state())
	}
}

// delete deletes the order.
func (e *rolloutEnv) delete() {
	e.t.Helper()
	ctx := context.Background()
	eventually(func() bool { // a status may be written meanwhile
		o, err := e.storeClient.Get(ctx, platform.RolloutKind, "s")
		return err == nil && e.storeClient.Delete(ctx, platform.RolloutKind, "s", o.Version) == nil
	})
	for _, g := range e.gateways {
		eventually(func() bool { return len(g.rollouts.describe("").Rollouts) == 0 })
	}
}

// TestRolloutThatIsDeletedAndRestored guards against a version that stays limited after its order
// was deleted, and against an order that is written again and gets the verdict, the status or the
// age of the deleted one.
func TestRolloutThatIsDeletedAndRestored(t *testing.T) {
	t.Parallel()
	e, _ := newLoadedRollout(t, 12, 20*time.Millisecond)
	eventually(func() bool { return e.served[1].Load() > 10 })
	e.delete()
	settle()
	if old, equal := e.served1s(1), e.served1s(2); old == 0 || equal < 40 { // 150 requests a second, targets of equal speed
		t.Errorf("after the order was deleted, v1 got %d and v2 %d requests in a second", old, equal)
	}
	for id, g := range e.gateways {
		if n := g.events.Counts()[event.RolloutEnded]; n != 1 {
			t.Errorf("%s recorded %d ends, want 1", id, n)
		}
	}

	e.bad.Store(60)
	e.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": "v2", "duration_s": 30})
	eventually(func() bool { return e.state() == "rolled_back" })
	e.awaitEverywhere(func(v RolloutView) bool { return v.Phase == "ended" })
	e.bad.Store(0)
	e.delete()
	eventually(func() bool { return e.served1s(2) > 0 }) // all versions are equal, also this one
	e.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": "v2", "duration_s": 12})
	e.awaitEverywhere(func(v RolloutView) bool { return v.AgeSeconds > 1 })
	settle()
	if old := e.served1s(1); old < 50 {
		t.Errorf("while the restored order runs, v1 got %d requests in a second", old)
	}
	eventually(func() bool { return e.state() == "completed" || e.state() == "rolled_back" })
	if state := e.state(); state != "completed" {
		t.Errorf("the state of the restored order is %s, want completed", state)
	}
}
