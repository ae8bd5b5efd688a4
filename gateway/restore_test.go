package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// copyMargin separates the writes before a copy of the store from those after it.
const copyMargin = 20 * time.Millisecond

// copyStore takes a copy of the store and returns a function that restores the store from
// it.
func (e *testEnv) copyStore() (restore func()) {
	time.Sleep(copyMargin)
	copied := time.Now()
	time.Sleep(copyMargin)
	return func() { e.platform.Restore(standin.Restoration{AgeMillis: int(time.Since(copied).Milliseconds())}) }
}

// awaitEra waits until all daemons have read an era of a kind, and calls check for each of
// them as soon as it has.
func (e *testEnv) awaitEra(kind string, era int64, check func(*Gateway)) {
	for _, g := range e.gateways {
		eventually(func() bool {
			g.datasets.mu.Lock()
			defer g.datasets.mu.Unlock()
			return g.datasets.byKind[kind].Position().Era == era
		})
		check(g)
	}
}

// callContinuously sends requests to daemons, one after the other at each, until stop is
// called. stop returns the statuses other than 200.
func callContinuously(path string, daemons ...Settings) (stop func() []int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	var failed []int
	ctx, cancel := context.WithCancel(context.Background())
	for _, s := range daemons {
		callers.Go(func() {
			for ctx.Err() == nil {
				if status, _ := get(s.Callers, path); status != 200 {
					mu.Lock()
					failed = append(failed, status)
					mu.Unlock()
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return func() []int {
		cancel()
		callers.Wait()
		return failed
	}
}

// hasMember reports whether the store has the entry of a daemon.
func (e *testEnv) hasMember(id string) bool {
	_, err := e.storeClient.Get(context.Background(), memberKind, id)
	return err == nil
}

// TestStoreIsRestored guards against daemons that go back to an older configuration, stay
// with an old one, or lose each other or their targets, because the store was restored from
// an older copy.
func TestStoreIsRestored(t *testing.T) {
	Convey("Given two daemons, and a store that is restored from a copy without version 2, a target and a daemon", t, func() {
		env := newTestEnv(t)
		env.configure(1, "/a/", "/always/")
		store := env.store.Listener.Addr().String()
		first, _ := env.startDaemon("vm-1", store)
		env.registerTarget("i-1", env.target)
		eventually(func() bool { status, _ := get(first.Callers, "/a/x"); return status == 200 })
		eventually(func() bool { return env.hasMember("vm-1") })
		restore := env.copyStore()
		env.startTarget("i-2", func(rw http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(rw, "served") })
		second, _ := env.startDaemon("vm-2", store)
		env.configure(2, "/b/", "/always/")
		daemons := map[string]Settings{"vm-1": first, "vm-2": second}
		inForce := func(s Settings, allowed, dropped string) bool {
			served, _ := get(s.Callers, allowed)
			refused, _ := get(s.Callers, dropped)
			return served == 200 && refused == 404
		}
		for _, s := range daemons {
			eventually(func() bool { return inForce(s, "/b/x", "/a/x") })
		}
		hasTarget := func(g *Gateway) bool { return g.fleet.Has("i-2") }
		for _, g := range env.gateways {
			eventually(func() bool { return hasTarget(g) })
		}
		directory := func(s Settings) (out int) {
			_, body := get(s.Directory, "/-/resolve?name=h&zone=p")
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			_ = json.Unmarshal([]byte(body), &answer)
			return len(answer.Addresses)
		}
		for _, s := range daemons {
			eventually(func() bool { return directory(s) == 2 })
		}
		stopCalls := callContinuously("/always/x", first, second)
		restore()
		env.awaitEra(platform.TargetKind, 1, func(g *Gateway) { So(hasTarget(g), ShouldBeTrue) })
		env.awaitEra(platform.ConfigurationKind, 1, func(*Gateway) {})
		env.awaitEra(memberKind, 1, func(*Gateway) {})
		for _, s := range daemons { // they keep the version in force, the target and each other
			So(inForce(s, "/b/x", "/a/x"), ShouldBeTrue)
			So(directory(s), ShouldEqual, 2)
		}
		eventually(func() bool { return env.hasMember("vm-2") }) // its entry was lost

		// A daemon that starts gets the version in force from the others, not only the older
		// one of the store.
		daemons["vm-3"], _ = env.startDaemon("vm-3", store)
		eventually(func() bool { return inForce(daemons["vm-3"], "/b/x", "/a/x") })
		object, err := env.storeClient.Get(context.Background(), platform.ConfigurationKind, platform.ConfigurationName)
		So(err, ShouldBeNil)
		So(string(object.Value), ShouldContainSubstring, `"version":1`)

		// The next version is activated, although its revision was given out before.
		env.configure(3, "/c/", "/always/")
		for _, s := range daemons {
			eventually(func() bool { return inForce(s, "/c/x", "/b/x") })
		}

		restore = env.copyStore()
		env.configure(4, "/d/", "/always/")
		for _, s := range daemons {
			eventually(func() bool { return inForce(s, "/d/x", "/c/x") })
		}
		restore()
		env.awaitEra(platform.ConfigurationKind, 2, func(*Gateway) {})
		for _, s := range daemons {
			So(inForce(s, "/d/x", "/c/x"), ShouldBeTrue)
		}
		So(stopCalls(), ShouldBeEmpty)
	})
}
