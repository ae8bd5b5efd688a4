package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// answerBytes is the size of the target's answer to requests for /c/large.
const answerBytes = 8 << 20

// site is one gateway process with a store and a target.
type site struct {
	*daemon
	settingsPath string
}

func (s *site) callers() string    { return s.ip + ":8740" }
func (s *site) directory() string  { return s.ip + ":8746" }
func (s *site) peers() string      { return s.ip + ":8748" }
func (s *site) readiness() string  { return s.ip + ":8749" }
func (s *site) operations() string { return s.ip + ":7200" }

// target answers calls with their request id and signature. A call of /c/large gets a large
// answer, and one of /c/held is answered when its caller gives up.
func target(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/c/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/c/held" {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Vanillaroad-Request-Id", r.Header.Get("Vanillaroad-Request-Id"))
	w.Header().Set("Vanillaroad-Upstream-Stamp", "s")
	body := []byte("done")
	if r.URL.Path == "/c/large" {
		body = make([]byte, answerBytes)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func startSite(t *testing.T) *site {
	s, _ := startSiteWith(t, nil)
	return s
}

// startSiteWith starts a site with further settings, and returns the address of its target.
func startSiteWith(t *testing.T, further map[string]any) (s *site, target string) {
	store, target := startOutside(t)
	s = startProcess(t, "vm-1", network()+".1", store, further)
	s.awaitServing()
	return s, target
}

// startOutside starts a store and a target, and returns the target's address.
func startOutside(t *testing.T) (store *httptest.Server, address string) {
	store = startServer(t, standin.NewPlatform().Handler())
	address = startServer(t, http.HandlerFunc(target)).Listener.Addr().String()
	fillStore(t, store.URL, []object{
		{platform.TargetKind, targetID, map[string]any{"service": "calls", "address": address, "zone": "p", "version": "v1", "slots": 1000, "state": "ready", "cold_left_ms": 0, "seq": 1}},
		configuration(map[string]any{
			"name": "calls", "host": "h.example", "path_prefix": "/c/", "kind": "non_idempotent", "service": "calls", "public": true,
			"timeout_ms": 600_000, "slo_ms": 1000, "max_attempts": 1,
		}),
	})
	return store, address
}

const targetID = "i-1"

// awaitServing waits until the daemon has served an ordinary request and starts to measure.
func (s *site) awaitServing() {
	s.awaitReady()
	s.ordinaryRequest()
	s.measure()
}

// network returns the first three numbers of the addresses of a site. Other tests use networks
// below 127.251.
func network() string { return fmt.Sprintf("127.%d.%d", 251+rand.IntN(4), rand.IntN(250)) }

func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	s := httptest.NewServer(handler)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// startProcess starts a gateway process with further settings. A setting that is nil is left out.
func startProcess(t *testing.T, id, ip string, store *httptest.Server, further map[string]any) *site {
	s := newSite(t, id, ip, store, further)
	s.start("vanillaroad-gateway", s.settingsPath)
	return s
}

// newSite is startProcess without the start.
func newSite(t *testing.T, id, ip string, store *httptest.Server, further map[string]any) *site {
	s := &site{daemon: newDaemon(t, ip)}
	s.ordinary = func(ctx context.Context, n int) bool {
		return requestServed(ctx, "http://"+s.callers()+"/c/call", n, bytes.Repeat([]byte("a"), 60_000))
	}
	s.settingsPath = writeSettings(t, map[string]any{
		"id": id, "place": "p", "region": "r", "callers": s.callers(), "directory": s.directory(), "readiness": s.readiness(),
		"peers": s.peers(), "operations": s.operations(), "store": store.Listener.Addr().String(), "memory_mb": memoryMB, "max_fds": maxFDs,
		"retry_budget": map[string]any{"ratio": 0.8, "slack": 150, "window": "10s"}, "grace": "1s",
	}, further)
	return s
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, values, further map[string]any) string {
	maps.Copy(values, further)
	maps.DeleteFunc(values, func(_ string, v any) bool { return v == nil })
	settings, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// awaitReady waits until the daemon is ready and its directory answers.
func (s *site) awaitReady() {
	s.await("http://" + s.readiness() + "/-/readiness")
	s.await("http://" + s.directory() + "/-/resolve?name=h.example")
}

// object is an object of the store.
type object struct {
	kind, name string
	value      any
}

// configuration returns a configuration with one route, to the service calls.
func configuration(route map[string]any) object {
	return object{platform.ConfigurationKind, platform.ConfigurationName, map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "calls"}}, "routes": []any{route},
		"limits": map[string]any{"max_header_bytes": maxHeader, "max_body_bytes": maxBody, "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000},
	}}
}

func fillStore(t *testing.T, store string, objects []object) {
	client := platform.NewClient(store, metrics.NewRegistry())
	t.Cleanup(client.Close)
	for _, o := range objects {
		b, err := json.Marshal(o.value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Put(context.Background(), o.kind, o.name, b, 0); err != nil {
			t.Fatal(err)
		}
	}
}

// await repeats a request as an ordinary caller does, until it is answered with status 200.
func (s *site) await(url string) {
	s.t.Helper()
	s.attempt(func(ctx context.Context, n int) bool { return requestServed(ctx, url, n, nil) })
}

// requestServed sends a request, with POST if it has a body, and reports whether it is answered
// with status 200.
func requestServed(ctx context.Context, url string, n int, body []byte) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Host = "h.example"
	req.Header.Set("Vanillaroad-Request-Id", "ordinary-"+strconv.Itoa(n))
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
