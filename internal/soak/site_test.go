package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// span is a time in which something was done to the site. daemon is empty if it
// concerns all of them.
type span struct {
	kind, daemon string
	from, until  time.Time
}

// site consists of a store, engines, daemons and clients.
type site struct {
	t       *testing.T
	rng     *rand.Rand
	store   *platform.Client
	links   []*proxy // to the store and to each engine
	engines []*engine
	daemons []*daemon
	ledger  *ledger
	record  *record
	version int
	copies  bool // engines hold copies of each other's runs, and move runs
	// reserves means that engines reserve slots.
	reserves bool
	waits    bool         // engines let runs wait
	rollout  *rollout     // nil without one
	backup   *backup      // nil without restorations of the store
	power    sync.RWMutex // see daemon
	again    sync.Map     // how long runs wait once they have begun at another engine, by request id
	// idleTimeout is the limit of the configuration in force, in nanoseconds.
	idleTimeout atomic.Int64
	start       time.Time

	mu       sync.Mutex
	planned  []span
	quiet    []span // what excuses nothing
	cuts     []linkCut
	troubles []span
	stalls   []span          // of the test process, in which engines, links and clients run; excuse nothing
	busy     map[string]bool // daemons to which something is being done
}

// loopbackNet returns the first two numbers of addresses that no other site uses until
// the test ends.
func loopbackNet(t *testing.T, rng *rand.Rand) string {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 1+rng.IntN(250), rng.IntN(250))
		lock, err := net.Listen("tcp", prefix+".250:8700")
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return prefix
		}
	}
}

func newSite(t *testing.T, seed uint64, o options) *site {
	program, err := buildGateway()
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		t: t, rng: rand.New(rand.NewPCG(seed, 0)), ledger: &ledger{runs: make(map[string][]*run)},
		record: &record{outcomes: make(map[string]int)}, busy: make(map[string]bool), copies: o.copies, reserves: o.copies && seed%3 > 0, waits: o.waits,
	}
	if o.rollsOut != nil && o.rollsOut(seed) {
		s.rollout = newRollout(seed)
	}
	dir := t.TempDir()
	if *keepLogs != "" {
		dir = filepath.Join(*keepLogs, t.Name())
		if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(dir, 0o700)); err != nil {
			t.Fatal(err)
		}
	}
	prefix := loopbackNet(t, rand.New(rand.NewPCG(rand.Uint64(), 0)))
	objects := standin.NewPlatform()
	if o.restores {
		s.backup = newBackup(objects)
	}
	store := httptest.NewServer(objects.Handler())
	t.Cleanup(func() {
		store.CloseClientConnections()
		store.Close()
	})
	s.store = platform.NewClient(store.URL, metrics.NewRegistry())
	t.Cleanup(s.store.Close)
	storeAddress := prefix + ".251:8742"
	s.links = append(s.links, startProxy(t, storeAddress, store.Listener.Addr().String()))
	s.configure()
	for i := range o.engines {
		service := modelService
		if i%3 == 0 {
			service = callService
		}
		e := startEngine(t, s.ledger, fmt.Sprint("i-", i), service, fmt.Sprintf("%s.%d:8686", prefix, 100+i), i%2 == 1 && !o.restores)
		if o.slots != nil {
			e.slots = o.slots(i)
		}
		e.version, e.site = "v1", s
		e.goesOn = o.copies && i%4 == 1 && e.slots == manySlots
		e.preemption.report = waitReportOf(i)
		s.links = append(s.links, startProxy(t, fmt.Sprintf("%s.%d:8687", prefix, 100+i), e.address))
		e.address = fmt.Sprintf("%s.%d:8687", prefix, 100+i)
		s.engines = append(s.engines, e)
		if s.backup == nil {
			s.put(platform.TargetKind, e.id, e.entry())
		} else {
			s.register(e, true)
		}
	}
	if s.rollout != nil {
		s.addNewEngines(prefix)
	}
	if s.backup != nil {
		s.addReleases(prefix)
	}
	for i := range o.daemons {
		s.daemons = append(s.daemons, &daemon{id: fmt.Sprint("vm-", i), ip: fmt.Sprintf("%s.%d", prefix, 1+i), dir: dir, program: program, store: storeAddress, rollsOut: s.rollout != nil, power: &s.power})
	}
	for i, d := range s.daemons {
		for j := range min(3, len(s.daemons)) {
			d.seeds = append(d.seeds, s.daemons[(i+j)%len(s.daemons)].peers())
		}
		if err := d.writeSettings("info"); err != nil {
			t.Fatal(err)
		}
		if err := d.start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			d.signal(syscall.SIGKILL)
			d.awaitEnd(time.Minute)
		})
	}
	for _, d := range s.daemons {
		s.awaitReady(d)
		await(d.directory(), "/-/resolve?name=h.example") // until the daemons know each other
	}
	s.start = time.Now()
	return s
}

// stallTick is the time between two checks for a stall, stallLimit the delay that counts.
const (
	stallTick  = 20 * time.Millisecond
	stallLimit = 200 * time.Millisecond
)

// watchStalls records when the test process did not run for a time, for the traces.
func (s *site) watchStalls(done <-chan struct{}) {
	for before := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(stallTick):
		}
		if now := time.Now(); now.Sub(before) > stallTick+stallLimit {
			s.note(&s.stalls, span{"stall", "", before, now})
		}
		before = time.Now()
	}
}

// awaitReady waits until a daemon is ready.
func (s *site) awaitReady(d *daemon) { await(d.readiness(), "/-/readiness") }

// await waits until a request is answered with status 200. The test's own time limit
// applies.
func await(address, path string) {
	for {
		resp, err := http.Get("http://" + address + path)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *site) put(kind, name string, value any) {
	if s.backup != nil {
		s.backup.restoring.RLock()
		defer s.backup.restoring.RUnlock()
	}
	b, err := json.Marshal(value)
	if err != nil {
		s.t.Fatal(err)
	}
	for range storeTries {
		old, _ := s.store.Get(context.Background(), kind, name) // version 0 if there is none, or no answer
		if _, err = s.store.Put(context.Background(), kind, name, b, old.Version); err == nil {
			return
		}
	}
	s.t.Error(err) // not Fatal: the caller may hold the mutex, and is no test's goroutine
}

// storeTries is how often a write to the store is tried. On a busy machine one may not be answered
// in time.
const storeTries = 5

// Services of the engines that serve streams and calls.
const (
	modelService = "model"
	callService  = "booking"
)

// streamAttempts is the number of engines to which the routes of streams allow a request
// to be sent.
const streamAttempts = 5

// configure writes a new version of the configuration, with other timeouts and routes.
func (s *site) configure() {
	s.version += 1 + s.rng.IntN(3)
	route := func(name, kind, service string, timeout, objective time.Duration, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "service": service, "public": true,
			"timeout_ms": timeout.Milliseconds(), "slo_ms": objective.Milliseconds(), "gap_target_ms": 700, "max_attempts": attempts, "resumable": kind == "streaming",
		}
	}
	callTimeout := callDeadline - upTo(s.rng, 1500*time.Millisecond)
	routes := []map[string]any{
		route(kindStream, "streaming", modelService, streamDeadline, 4500*time.Millisecond, streamAttempts),
		route(kindBook, "non_idempotent", callService, callTimeout, time.Second, 1),
		route(kindRead, "idempotent", callService, callTimeout, 4*time.Second, 2),
	}
	for i := range s.rng.IntN(20) {
		routes = append(routes, route(fmt.Sprint("other-", i), "idempotent", callService, callTimeout, time.Second, 2))
	}
	model := map[string]any{"name": modelService}
	if s.copies {
		engine := map[string]any{"kv_capacity": 90000, "backups": true, "handle_s": 4}
		if s.reserves {
			engine["hold_ms"] = maxReservation.Milliseconds()
		}
		model["engine"] = engine
	}
	idle := []time.Duration{time.Second, 3 * time.Second, 15 * time.Second}[s.rng.IntN(3)]
	configuration := map[string]any{
		"version": s.version, "routes": routes, "services": []any{model, map[string]any{"name": callService}},
		"limits": map[string]any{"max_header_bytes": 16 << 10, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": idle.Milliseconds()},
	}
	if s.backup != nil {
		s.backup.mu.Lock()
		defer s.backup.mu.Unlock()
		s.backup.configuration = configuration
	}
	s.put(platform.ConfigurationKind, platform.ConfigurationName, configuration)
	s.idleTimeout.Store(int64(idle))
}

// note records a span of planned work or of trouble, and logs it.
func (s *site) note(list *[]span, sp span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*list = append(*list, sp)
	s.t.Logf("%7.3f s to %.3f s  %s %s", sp.from.Sub(s.start).Seconds(), sp.until.Sub(s.start).Seconds(), sp.kind, sp.daemon)
}

// reserve picks a daemon to which nothing is being done, as long as half of them are
// left, and returns nil if there is none.
func (s *site) reserve(rng *rand.Rand) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	if 2*len(s.busy) >= len(s.daemons) {
		return nil
	}
	for {
		if d := s.daemons[rng.IntN(len(s.daemons))]; !s.busy[d.id] {
			s.busy[d.id] = true
			return d
		}
	}
}

func (s *site) release(d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, d.id)
}
