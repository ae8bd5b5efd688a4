package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/freeport"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// testEnv consists of a store, one target and the daemons of a test, on loopback
// addresses.
type testEnv struct {
	t           *testing.T
	platform    *standin.Platform
	store       *httptest.Server
	storeClient *platform.Client
	target      *httptest.Server
	gateways    map[string]*Gateway // by id
	change      func(*Settings)     // of daemons that start; nil for none
}

// targetHandler adds the headers of a target, with its signature, to the answers of
// serve.
func targetHandler(signature string, serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("Vanillaroad-Request-Id", r.Header.Get("Vanillaroad-Request-Id"))
		rw.Header().Set("Vanillaroad-Upstream-Stamp", signature)
		serve(rw, r)
	})
}

func newTestEnv(t *testing.T) *testEnv {
	e := &testEnv{t: t, platform: standin.NewPlatform(), gateways: make(map[string]*Gateway)}
	e.store = httptest.NewServer(e.platform.Handler())
	e.storeClient = platform.NewClient(e.store.URL, metrics.NewRegistry())
	e.target = httptest.NewServer(targetHandler("stamp", func(rw http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(rw, "served %s", r.URL.Path)
	}))
	t.Cleanup(func() {
		e.storeClient.Close()
		e.store.CloseClientConnections()
		e.store.Close()
		e.target.Close()
	})
	return e
}

// put writes an object, overwriting any existing one.
func (e *testEnv) put(kind, name string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		e.t.Fatal(err)
	}
	ctx := context.Background()
	old, _ := e.storeClient.Get(ctx, kind, name) // version 0 if there is none
	if _, err := e.storeClient.Put(ctx, kind, name, b, old.Version); err != nil {
		e.t.Fatal(err)
	}
}

// configure writes a configuration with one route for each path.
func (e *testEnv) configure(version int, paths ...string) {
	var routes []map[string]any
	for _, p := range paths {
		routes = append(routes, map[string]any{
			"name": p, "host": "h", "path_prefix": p, "kind": "idempotent", "timeout_ms": 5000, "max_attempts": 2, "service": "s", "public": true,
		})
	}
	e.put(platform.ConfigurationKind, platform.ConfigurationName, map[string]any{"version": version, "routes": routes})
}

// registerTarget writes the entry of a target.
func (e *testEnv) registerTarget(id string, s *httptest.Server) {
	e.put(platform.TargetKind, id, map[string]any{
		"service": "s", "address": s.Listener.Addr().String(), "zone": "p", "version": "v", "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1,
	})
}

// freeAddress returns a free address of the loopback interface.
func (e *testEnv) freeAddress() string {
	address, err := freeport.Address()
	if err != nil {
		e.t.Fatal(err)
	}
	return address
}

// startDaemon runs a gateway daemon until the test ends, with the store at the given
// address. stop shuts the daemon down as a signal does.
func (e *testEnv) startDaemon(id, store string, seeds ...string) (s Settings, stop func()) {
	return e.startDaemonWithLinks(id, store, platform.DialTarget, seeds...)
}

// startDaemonWithLinks is startDaemon for a daemon that connects to targets with dial.
func (e *testEnv) startDaemonWithLinks(id, store string, dial platform.DialFunc, seeds ...string) (s Settings, stop func()) {
	s = DefaultSettings()
	s.ID, s.Place, s.Region, s.Store, s.Seeds = id, "p", "r", store, seeds
	s.RetryBudget = RetryBudget{Ratio: 0.5, Slack: 10, Window: jsontime.Duration(time.Second)}
	// A daemon exits once its requests have completed, so no test waits for the end of
	// the grace period. The long period keeps requests from being canceled on a slow
	// machine.
	s.Grace, s.DirectoryTTL = jsontime.Duration(time.Minute), jsontime.Duration(100*time.Millisecond)
	if e.change != nil {
		e.change(&s)
	}
	var g *Gateway
	var err error = syscall.EADDRINUSE
	for errors.Is(err, syscall.EADDRINUSE) { // another process may bind a free address first
		s.Callers, s.Directory, s.Readiness, s.Peers, s.Operations, s.Relay = e.freeAddress(), e.freeAddress(), e.freeAddress(), e.freeAddress(), e.freeAddress(), e.freeAddress()
		g, err = newGateway(s, io.Discard, dial)
	}
	if err != nil {
		e.t.Fatal(err)
	}
	e.gateways[id] = g
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- g.Run(ctx) }()
	e.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			e.t.Error(err)
		}
	})
	return s, cancel
}

// requestCount is the number of requests sent, from which their ids are derived.
var requestCount atomic.Int64

// sendRequest sends a GET request for a path to a daemon.
func sendRequest(address, path string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	req.Host = "h"
	req.Header.Set("Vanillaroad-Request-Id", fmt.Sprint("r", requestCount.Add(1)))
	return http.DefaultClient.Do(req)
}

// get sends a GET request for a path to a daemon. It returns the status and the body, or
// 0 and the error text if there is no answer.
func get(address, path string) (int, string) {
	resp, err := sendRequest(address, path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body) // a truncated body fails the comparison of the caller
	return resp.StatusCode, string(b)
}

// eventually waits until a condition holds. It has no timeout of its own; the test's
// timeout applies.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

func TestTwoDaemons(t *testing.T) {
	Convey("Given a daemon with a reachable store and one with an unreachable store", t, func() {
		env := newTestEnv(t)
		env.configure(1, "/a/")
		env.registerTarget("i-1", env.target)
		first, stopFirst := env.startDaemon("vm-1", env.store.Listener.Addr().String())
		second, _ := env.startDaemon("vm-2", env.freeAddress(), first.Peers)
		for _, s := range []Settings{first, second} {
			eventually(func() bool { status, body := get(s.Callers, "/a/x"); return status == 200 && body == "served /a/x" })
			eventually(func() bool { status, _ := get(s.Readiness, "/-/readiness"); return status == 200 })
		}

		Convey("a configuration change reaches both daemons and takes effect immediately", func() {
			env.configure(2, "/b/")
			for _, s := range []Settings{first, second} {
				eventually(func() bool { status, _ := get(s.Callers, "/b/x"); return status == 200 })
				status, _ := get(s.Callers, "/a/x")
				So(status, ShouldEqual, 404)
			}
		})
		Convey("a large configuration change, whose values are announced, reaches both daemons", func() {
			paths := []string{"/c/"}
			for i := range 200 {
				paths = append(paths, fmt.Sprintf("/large-%d/", i))
			}
			env.configure(3, paths...)
			for _, s := range []Settings{first, second} {
				eventually(func() bool { status, _ := get(s.Callers, "/c/x"); return status == 200 })
			}
		})
		Convey("an invalid target entry does not affect other entries, and a repaired entry is used again", func() {
			env.put(platform.TargetKind, "i-9", map[string]any{"service": 7})
			env.put(platform.TargetKind, "i-1", "torn")
			for _, s := range []Settings{first, second} {
				eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 503 })
			}
			env.registerTarget("i-1", env.target)
			for _, s := range []Settings{first, second} {
				eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
			}
		})
		Convey("a daemon that shuts down is immediately not ready and not in the directory", func() {
			directory := func() string { _, body := get(first.Directory, "/-/resolve?name=h&zone=p"); return body }
			eventually(func() bool { return strings.Contains(directory(), first.Callers) })
			stopFirst()
			eventually(func() bool { status, _ := get(first.Readiness, "/-/readiness"); return status == 503 || status == 0 })
			So(directory(), ShouldNotContainSubstring, first.Callers)
		})
	})
}
