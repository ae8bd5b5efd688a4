package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Bounds of the roll-outs, from the requirements.
const (
	rolloutShare   = 0.1
	rolloutSlack   = 50
	rollbackWithin = 5 * time.Second
	badResponses   = 50 // after which a version gets no request that was sent later than rollbackWithin
	rolloutLimit   = 12 * time.Second
)

// rolloutSeeds are the seeds of TestRolloutByProcesses, each with a good and a bad version.
var rolloutSeeds = []uint64{1, 2, 3}

// rolloutSite is a fleet of gateway processes with a store and targets of two versions.
type rolloutSite struct {
	t       *testing.T
	r       *rand.Rand
	daemons map[string]*site
	store   string

	served    [2]atomic.Int64 // requests that reached targets of v1 and v2
	sentAt    sync.Map        // when a caller sent a request, by its id
	responses atomic.Int64    // bad ones of v2
	fiftieth  atomic.Pointer[time.Time]
	late      atomic.Int64 // requests that reached v2 and were sent too late after fiftieth
	failing   float64      // part of v2's responses that fail
	badFrom   time.Duration
	ordered   time.Time
	finalAt   atomic.Int64 // age of the order when the store got its final state, in nanoseconds

	mu   sync.Mutex
	live []string // callers' addresses of the daemons that are not killed
}

// respond is what a target of a version does.
func (s *rolloutSite) respond(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/c/") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		id := r.Header.Get("Vanillaroad-Request-Id")
		s.served[version-1].Add(1)
		w.Header().Set("Vanillaroad-Request-Id", id)
		w.Header().Set("Vanillaroad-Upstream-Stamp", "s")
		if version == 1 {
			return
		}
		fiftieth := s.fiftieth.Load()
		if sent, ok := s.sentAt.Load(id); ok && fiftieth != nil && sent.(time.Time).Sub(*fiftieth) > rollbackWithin {
			s.late.Add(1)
		}
		if time.Since(s.ordered) < s.badFrom || rand.Float64() >= s.failing {
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
		if s.responses.Add(1) == badResponses {
			now := time.Now()
			s.fiftieth.Store(&now)
		}
	}
}

// noteFinal notes when the store gets the final state of the order.
func (s *rolloutSite) noteFinal(store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isStatus := r.Method == http.MethodPut && strings.HasSuffix(r.URL.Path, "/"+platform.RolloutKind+"/calls/status")
		if !isStatus {
			store.ServeHTTP(w, r)
			return
		}
		b, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(strings.NewReader(string(b)))
		answer := httptest.NewRecorder()
		store.ServeHTTP(answer, r)
		maps.Copy(w.Header(), answer.Header())
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
		if text := string(b); answer.Code == http.StatusOK && (strings.Contains(text, "completed") || strings.Contains(text, "rolled_back")) {
			s.finalAt.CompareAndSwap(0, int64(time.Since(s.ordered)))
		}
	})
}

// startTargets starts two targets of a version and returns their entries.
func (s *rolloutSite) startTargets(version int) (entries []object) {
	for i := range 2 {
		server := startServer(s.t, s.respond(version))
		entries = append(entries, object{platform.TargetKind, fmt.Sprintf("i-%d-%d", version, i), map[string]any{
			"service": "calls", "address": server.Listener.Addr().String(), "zone": "p", "version": fmt.Sprint("v", version), "slots": 100, "state": "ready", "cold_left_ms": 0, "seq": 1,
		}})
	}
	return entries
}

// load sends requests to the live daemons until the test ends.
func (s *rolloutSite) load(interval time.Duration) (stop func()) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			s.mu.Lock()
			address := s.live[n%len(s.live)]
			s.mu.Unlock()
			wg.Go(func() {
				req, err := http.NewRequest(http.MethodGet, "http://"+address+"/c/call", nil)
				if err != nil {
					s.t.Error(err)
					return
				}
				id := fmt.Sprint("rollout-", n)
				req.Host = "h.example"
				req.Header.Set("Vanillaroad-Request-Id", id)
				s.sentAt.Store(id, time.Now())
				if resp, err := client.Do(req); err == nil { // a request at a killed daemon has none
					_ = resp.Body.Close()
				}
			})
		}
	})
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
		client.CloseIdleConnections()
	})
}

// view is what the operations port of a daemon says of its only roll-out.
type view struct {
	Phase, Judges string
}

// view returns a daemon's view of the roll-out, false if it knows none or not only one.
func (s *rolloutSite) view(d *site) (v view, ok bool) {
	resp, err := http.Get("http://" + d.operations() + "/rollouts")
	if err != nil {
		return v, false
	}
	defer func() { _ = resp.Body.Close() }()
	var all struct{ Rollouts []view }
	if json.NewDecoder(resp.Body).Decode(&all) != nil || len(all.Rollouts) != 1 {
		return v, false
	}
	return all.Rollouts[0], true
}

// status returns the state of the order in the store and the version that it is about.
func (s *rolloutSite) status() (state, target string) {
	resp, err := http.Get(s.store + "/-/objects/" + platform.RolloutKind + "/calls")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var o struct {
		Status struct{ State, Target string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&o); err != nil {
		s.t.Fatal(err)
	}
	return o.Status.State, o.Status.Target
}

// eventually waits until a condition holds. The test's own time limit applies.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(20 * time.Millisecond)
	}
}

// kill kills the daemon that ranks first for the service and so writes the status.
func (s *rolloutSite) kill() {
	var first string
	eventually(func() bool {
		for _, d := range s.daemons {
			v, ok := s.view(d)
			first, _, _ = strings.Cut(v.Judges, " ")
			return ok && s.daemons[first] != nil
		}
		return false
	})
	d := s.daemons[first]
	s.mu.Lock()
	for i, address := range s.live {
		if address == d.callers() {
			s.live = append(append([]string(nil), s.live[:i]...), s.live[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	_ = d.process.Kill()
	<-d.ended
	delete(s.daemons, first)
}

// run rolls v2 out while a fleet of processes loses the daemon that writes the status.
func (s *rolloutSite) run(bad bool) {
	t := s.t
	killAt := rolloutLimit/5 + time.Duration(s.r.Int64N(int64(rolloutLimit/2)))
	if bad { // about when the daemon is killed, so that the verdict is due before, at or after it
		s.failing = 0.2 + 0.6*s.r.Float64()
		s.badFrom = killAt + time.Duration(s.r.IntN(1500)-750)*time.Millisecond
	}
	size, ip := 3+s.r.IntN(2), network()
	store := startServer(t, s.noteFinal(standin.NewPlatform().Handler()))
	s.store = store.URL
	fillStore(t, store.URL, append(s.startTargets(1), configuration(map[string]any{
		"name": "calls", "host": "h.example", "path_prefix": "/c/", "kind": "idempotent", "service": "calls", "public": true,
		"timeout_ms": 10_000, "slo_ms": 1000, "max_attempts": 2,
	})))
	for i := range size {
		id := fmt.Sprint("vm-", i)
		s.daemons[id] = startProcess(t, id, fmt.Sprintf("%s.%d", ip, i+1), store, map[string]any{
			"rollout": map[string]any{"share": rolloutShare, "slack": rolloutSlack, "rollback_within": rollbackWithin.String()},
		})
	}
	for _, d := range s.daemons {
		d.awaitReady()
		s.live = append(s.live, d.callers())
	}
	defer s.load(8 * time.Millisecond)()
	newTargets := s.startTargets(2)
	s.served[0].Store(0)
	s.ordered = time.Now()
	fillStore(t, store.URL, append([]object{{platform.RolloutKind, "calls", map[string]any{"service": "calls", "target": "v2", "duration_s": rolloutLimit.Seconds()}}}, newTargets...))

	eventually(func() bool { state, _ := s.status(); return state != "" })
	time.Sleep(killAt - time.Since(s.ordered))
	s.kill()
	var state, version string
	eventually(func() bool { state, version = s.status(); return state == "completed" || state == "rolled_back" })
	for _, d := range s.daemons {
		eventually(func() bool { v, ok := s.view(d); return ok && v.Phase == "ended" })
	}
	time.Sleep(200 * time.Millisecond) // requests that were sent before
	old, sent := s.served[0].Load(), s.served[1].Load()
	finalAt := time.Duration(s.finalAt.Load())
	t.Logf("%d daemons, %.0f %% of responses fail from %v on, the writer killed at %v: %s at %v, the version got %d of %d requests", size, 100*s.failing, s.badFrom.Round(time.Millisecond), killAt.Round(time.Millisecond), state, finalAt.Round(time.Millisecond), sent, old+sent)
	time.Sleep(time.Second)
	want, barred := "completed", &s.served[0]
	if bad {
		want, barred = "rolled_back", &s.served[1]
		if float64(sent) > rolloutSlack+rolloutShare*float64(old+sent) {
			t.Errorf("the bad version got %d of %d requests", sent, old+sent)
		}
	}
	if state != want || version != "v2" {
		t.Errorf("the status is %s of %s, want %s of v2", state, version, want)
	}
	if finalAt > rolloutLimit {
		t.Errorf("the final state was written at %v, the time limit is %v", finalAt, rolloutLimit)
	}
	if before := map[bool]int64{true: sent, false: old}[bad]; barred.Load() != before {
		t.Errorf("after %s, %d requests went to the version that is not allowed", state, barred.Load()-before)
	}
	if n := s.late.Load(); n > 0 {
		t.Errorf("%d requests that were sent later than %v after the 50th bad response reached the bad version", n, rollbackWithin)
	}
}

// TestRolloutByProcesses guards against an order that gets no final state by its time limit, or the
// wrong one, when the process that writes its status is killed, and against a bad version that gets
// more than its share meanwhile.
func TestRolloutByProcesses(t *testing.T) {
	for _, seed := range rolloutSeeds {
		for _, bad := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, bad %v", seed, bad), func(t *testing.T) {
				s := &rolloutSite{t: t, r: rand.New(rand.NewPCG(seed, 5)), daemons: make(map[string]*site)}
				s.run(bad)
			})
		}
	}
}
