package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// streamEnv is a testEnv whose targets stream events on the route /s/.
type streamEnv struct {
	*testEnv

	mu       sync.Mutex
	versions map[string]string // by target
	servedBy map[string]string // target that ran a request, by request id
}

const (
	streamEvents    = 40
	streamEventTime = 20 * time.Millisecond
)

func newStreamEnv(t *testing.T) *streamEnv {
	e := &streamEnv{testEnv: newTestEnv(t), versions: make(map[string]string), servedBy: make(map[string]string)}
	e.put(platform.ConfigurationKind, platform.ConfigurationName, map[string]any{"version": 1, "routes": []map[string]any{{
		"name": "s", "host": "h", "path_prefix": "/s/", "kind": "streaming", "resumable": true, "timeout_ms": 60000, "max_attempts": 5, "service": "s", "public": true,
	}}})
	return e
}

// addTarget starts and registers a target with a software version.
func (e *streamEnv) addTarget(id, version string) {
	e.versions[id] = version
	e.startTarget(id, func(rw http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.servedBy[r.Header.Get("Vanillaroad-Request-Id")] = id
		e.mu.Unlock()
		next := 0
		if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
			next = last + 1
		}
		rw.Header().Set("Content-Type", "text/event-stream")
		for ; next < streamEvents && r.Context().Err() == nil; next++ {
			_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", next, version)
			_ = http.NewResponseController(rw).Flush()
			time.Sleep(streamEventTime)
		}
	})
	object, err := e.storeClient.Get(context.Background(), platform.TargetKind, id)
	if err != nil {
		e.t.Fatal(err)
	}
	var entry map[string]any
	if err := json.Unmarshal(object.Value, &entry); err != nil {
		e.t.Fatal(err)
	}
	entry["version"] = version
	e.put(platform.TargetKind, id, entry)
}

// takeUp requests a stream from a daemon, after the event lastEvent of a stream that the
// request resumes began, unless resumes is empty. It reads events until it has count of
// them, and disconnects. It returns the request's id and the status.
func (e *streamEnv) takeUp(address, resumes string, lastEvent, count int) (id string, status int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/s/x", nil)
	if err != nil {
		e.t.Fatal(err)
	}
	id = fmt.Sprint("s", requestCount.Add(1))
	req.Host = "h"
	req.Header.Set("Vanillaroad-Request-Id", id)
	if resumes != "" {
		req.Header.Set("Resumes", resumes)
		req.Header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return id, 0
	}
	defer func() { _ = answer.Body.Close() }()
	for lines := bufio.NewScanner(answer.Body); count > 0 && lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: ") {
			count--
		}
	}
	return id, answer.StatusCode
}

// version returns the software version of the target that ran a request, empty if none
// did.
func (e *streamEnv) version(request string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[e.servedBy[request]]
}

// ready waits until a daemon serves streams at all targets.
func (e *streamEnv) ready(s Settings) {
	eventually(func() bool { _, status := e.takeUp(s.Callers, "", 0, 1); return status == http.StatusOK })
	eventually(func() bool { return e.gateways[s.ID].fleet.Len() == len(e.versions) })
}

// TestTakenUpStreamKeepsItsSoftwareVersion guards against streams that callers take up at
// another daemon, which continues them at another software version than the one that
// began them.
func TestTakenUpStreamKeepsItsSoftwareVersion(t *testing.T) {
	const rounds = 12
	e := newStreamEnv(t)
	for i, version := range []string{"v1", "v1", "v2", "v2", "v3", "v3"} {
		e.addTarget(fmt.Sprint("i-", i), version)
	}
	store := e.store.Listener.Addr().String()
	first, stopFirst := e.startDaemon("vm-1", store)
	second, _ := e.startDaemon("vm-2", store)
	e.ready(first)
	e.ready(second)
	eventually(func() bool {
		return len(e.gateways["vm-1"].members.directory()) == 2 && len(e.gateways["vm-2"].members.directory()) == 2
	})
	var began []string
	for range rounds {
		id, status := e.takeUp(first.Callers, "", 0, 3)
		if status != http.StatusOK {
			t.Fatalf("a new stream got status %d", status)
		}
		began = append(began, id)
	}
	check := func(at string, s Settings) {
		for _, id := range began {
			again, status := e.takeUp(s.Callers, id, 2, 3)
			if status != http.StatusOK || e.version(again) != e.version(id) {
				t.Errorf("at %s: status %d, a stream that %s began continues at %s", at, status, e.version(id), e.version(again))
			}
		}
	}
	check("the daemon that began it", first)
	check("another daemon", second)
	third, _ := e.startDaemon("vm-3", store, second.Peers)
	e.ready(third)
	check("a daemon that started later", third)
	stopFirst()
	check("another daemon, after the first has stopped", second)
}

// TestStreamOfUnknownOriginIsRefused guards against streams that continue at some software
// version although no daemon knows the one that began them.
func TestStreamOfUnknownOriginIsRefused(t *testing.T) {
	e := newStreamEnv(t)
	e.addTarget("i-1", "v1")
	e.addTarget("i-2", "v1")
	s, _ := e.startDaemon("vm-1", e.store.Listener.Addr().String())
	e.ready(s)
	if id, status := e.takeUp(s.Callers, "unknown", 2, 3); status != http.StatusOK {
		t.Errorf("a single software version serves: request %s got status %d, want 200", id, status)
	}
	e.addTarget("i-3", "v2")
	eventually(func() bool { return e.gateways["vm-1"].fleet.Len() == 3 })
	for range 5 {
		if id, status := e.takeUp(s.Callers, "unknown", 2, 3); status != http.StatusServiceUnavailable || e.version(id) != "" {
			t.Errorf("two software versions serve: status %d (want 503), run by version %q (want none)", status, e.version(id))
		}
	}
}

// TestStreamIsTakenUpDuringAnOutage guards against streams that are refused because the
// software versions can't be read from the store, and checks that a daemon which hears no
// other assumes none.
func TestStreamIsTakenUpDuringAnOutage(t *testing.T) {
	e := newStreamEnv(t)
	e.addTarget("i-1", "v1")
	e.addTarget("i-2", "v1")
	store := e.store.Listener.Addr().String()
	first, stopFirst := e.startDaemon("vm-1", store)
	second, _ := e.startDaemon("vm-2", store)
	e.ready(first)
	e.ready(second)
	eventually(func() bool {
		return e.gateways["vm-2"].members.hearsMost() && len(e.gateways["vm-2"].members.directory()) == 2
	})
	e.store.CloseClientConnections()
	e.store.Close()
	eventually(e.gateways["vm-2"].datasets.storeFailed)
	if id, status := e.takeUp(second.Callers, "unknown", 2, 3); status != http.StatusOK {
		t.Errorf("the other daemon knows a single software version: request %s got status %d, want 200", id, status)
	}
	stopFirst()
	eventually(func() bool { return !e.gateways["vm-2"].members.hearsMost() })
	eventually(func() bool { // until the versions that were read before the outage are no longer reused
		_, status := e.takeUp(second.Callers, "unknown", 2, 3)
		return status == http.StatusServiceUnavailable
	})
}

// TestTakenUpStreamAfterARestartOfAll guards against streams that are refused, or continue
// at another software version, because all daemons have restarted and their records are
// lost.
func TestTakenUpStreamAfterARestartOfAll(t *testing.T) {
	e := newStreamEnv(t)
	for i, version := range []string{"v1", "v1", "v2", "v2"} {
		e.addTarget(fmt.Sprint("i-", i), version)
	}
	store := e.store.Listener.Addr().String()
	var began []string
	for round, ids := range [][]string{{"vm-1", "vm-2"}, {"vm-1", "vm-2"}, {"vm-2"}} {
		var stops []func()
		for _, id := range ids {
			s, stop := e.startDaemon(id, store)
			stops = append(stops, stop)
			e.ready(s)
			for _, id := range began {
				again, status := e.takeUp(s.Callers, id, 2, 3)
				if status != http.StatusOK || e.version(again) != e.version(id) {
					t.Errorf("round %d: status %d, a stream that %s began continues at %s", round, status, e.version(id), e.version(again))
				}
			}
			for range 4 {
				request, status := e.takeUp(s.Callers, "", 0, 3)
				if status != http.StatusOK {
					t.Fatalf("a new stream got status %d", status)
				}
				began = append(began, request)
			}
		}
		eventually(func() bool { return e.stored(began) })
		for _, stop := range stops {
			stop()
		}
		for _, id := range ids {
			eventually(func() bool { return e.gateways[id].stopped() })
		}
	}
}

// stored reports whether the store has the origins of all requests.
func (e *streamEnv) stored(requests []string) bool {
	objects, _, err := e.storeClient.List(context.Background(), originsKind)
	if err != nil {
		e.t.Fatal(err)
	}
	text := ""
	for _, o := range objects {
		text += string(o.Value)
	}
	for _, r := range requests {
		if !strings.Contains(text, `"`+r+`"`) {
			return false
		}
	}
	return true
}

// stopped reports whether a daemon has ended: it no longer accepts connections.
func (g *Gateway) stopped() bool {
	c, err := net.Dial("tcp", g.settings.Load().Peers)
	if err == nil {
		_ = c.Close()
	}
	return err != nil
}

// TestStreamOfAnOutageIsNotJoined guards against text that is joined from two software
// versions: streams began during an outage of the store, all daemons ended, and the targets
// of their version had left when the daemons were back.
func TestStreamOfAnOutageIsNotJoined(t *testing.T) {
	e := newStreamEnv(t)
	e.addTarget("i-1", "v1")
	store := e.store.Listener.Addr().String()
	s, stop := e.startDaemon("vm-1", store)
	eventually(e.gateways["vm-1"].ready)
	eventually(func() bool { return e.noted("v1") })
	e.platform.SetFaults(standin.PlatformFaults{Down: true})
	eventually(e.gateways["vm-1"].datasets.storeFailed)
	began, status := e.takeUp(s.Callers, "", 0, 3)
	if status != http.StatusOK {
		t.Fatalf("a new stream got status %d", status)
	}
	stop()
	eventually(e.gateways["vm-1"].stopped)
	e.platform.SetFaults(standin.PlatformFaults{})
	if err := e.storeClient.Delete(context.Background(), platform.TargetKind, "i-1", objectstore.AnyVersion); err != nil {
		t.Fatal(err)
	}
	e.addTarget("i-2", "v2")
	s, _ = e.startDaemon("vm-1", store)
	eventually(e.gateways["vm-1"].ready)
	if id, status := e.takeUp(s.Callers, began, 2, 3); status != http.StatusServiceUnavailable || e.version(id) != "" {
		t.Errorf("a stream that v1 began: status %d (want 503), continued by %q (want by none)", status, e.version(id))
	}
}

// noted reports whether the store has a software version, or can't get it.
func (e *streamEnv) noted(version string) bool {
	o, err := e.storeClient.Get(context.Background(), versionsKind, "s")
	return err == nil && strings.Contains(string(o.Value), `"`+version+`"`)
}
