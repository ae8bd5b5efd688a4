package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// task is the work that a request asks an engine for. Its text is the first line of the
// request's body or, for GET requests, the last element of the path.
type task struct {
	key    string
	events int           // of a stream; 0 for a call
	first  time.Duration // until the first event or the answer
	gap    time.Duration // between events
}

func (w task) String() string {
	return fmt.Sprintf("%s,%d,%d,%d", w.key, w.events, w.first.Milliseconds(), w.gap.Milliseconds())
}

func parseTask(text string) (w task, err error) {
	fields := strings.Split(text, ",")
	if len(fields) != 4 {
		return w, fmt.Errorf("task %q", text)
	}
	var numbers [3]int
	for i := range numbers {
		if numbers[i], err = strconv.Atoi(fields[i+1]); err != nil {
			return w, err
		}
	}
	return task{fields[0], numbers[0], time.Duration(numbers[1]) * time.Millisecond, time.Duration(numbers[2]) * time.Millisecond}, nil
}

// event returns event i of a stream, counted from 1, as engines of a version write it.
func (w task) event(i int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", i, w.key, i, version)
}

// answerBytes is the size of the answer to a call.
const answerBytes = 800

// answer returns the answer to a call.
func (w task) answer() []byte {
	return bytes.Repeat([]byte(w.key+" "), answerBytes/(len(w.key)+1))
}

// run is the work of one engine on one request.
type run struct {
	engine       string
	began, ended time.Time // ended is zero while the engine works
	// firstEvent is when the run of a stream left the queue; zero before, and of calls.
	firstEvent time.Time
	end        runEnd
	brokeOff   bool   // the engine broke its connection, and went on
	waits      []span // in which the run was preempted; until is zero if it ended there
}

// runEnd is how a run ended.
type runEnd int

const (
	runCanceled runEnd = iota // by the daemon, or not ended yet
	runComplete
	runBrokenOff // by the engine
)

func (e runEnd) String() string {
	return [...]string{"canceled", "complete", "broken off by the engine"}[e]
}

// ledger records what the engines ran, by request id.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func (l *ledger) begin(id, engine string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{engine: engine, began: time.Now()}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *ledger) end(r *run, end runEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended, r.end = time.Now(), end
}

func (l *ledger) start(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.firstEvent.IsZero() {
		r.firstEvent = time.Now()
	}
}

func (l *ledger) breakOff(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.brokeOff = true
}

// of returns copies of the runs of a request.
func (l *ledger) of(id string) (out []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[id] {
		c := *r
		c.waits = slices.Clone(r.waits)
		out = append(out, c)
	}
	return out
}

// engine serves streams and calls as the platform's engines do.
type engine struct {
	id, service, address string
	version              string // of its software
	faulty               bool   // breaks some answers off
	goesOn               bool   // works on when a connection has closed, and where it breaks an answer off
	ledger               *ledger
	site                 *site
	silentUntil          atomic.Int64 // Unix nanoseconds
	conditions           conditions
	slots                int // for streams

	mu      sync.Mutex
	running map[string]int    // events made by the run, by request id; without those in the queue
	stops   map[string]func() // each stops a run, by request id
	copies  map[string]bool   // of runs at other engines, by name

	preemption   preemption
	reservations map[string]time.Time // when they end, by id
}

// manySlots is more than the number of streams that an engine gets.
const manySlots = 32

func startEngine(t *testing.T, l *ledger, id, service, address string, faulty bool) *engine {
	e := &engine{id: id, service: service, address: address, faulty: faulty, ledger: l, slots: manySlots, running: make(map[string]int), stops: make(map[string]func()), copies: make(map[string]bool), reservations: make(map[string]time.Time)}
	e.preemption.due, e.preemption.waiting = make(map[string]time.Duration), make(map[string]int)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: e}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return e
}

// entry is the object by which the engine registers itself.
func (e *engine) entry() any {
	return map[string]any{"service": e.service, "address": e.address, "zone": "p", "version": e.version, "slots": e.slots, "state": "ready", "cold_left_ms": 0, "seq": 1}
}

// silence makes the engine send nothing for d.
func (e *engine) silence(d time.Duration) { e.silentUntil.Store(time.Now().Add(d).UnixNano()) }

// silentUntilTime returns the end of its latest silence.
func (e *engine) silentUntilTime() time.Time { return time.Unix(0, e.silentUntil.Load()) }

func (e *engine) pause(r *http.Request, d time.Duration) bool {
	until := time.Now().Add(d)
	for {
		if silent := e.silentUntilTime(); silent.After(until) {
			until = silent
		}
		left := time.Until(until)
		if left <= 0 {
			return r.Context().Err() == nil
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(left):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !e.pause(r, 0) {
		return
	}
	if expected := r.Header.Get("Vanillaroad-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == pathMove:
		e.move(w, r)
		return
	case strings.HasPrefix(r.URL.Path, pathReservations):
		e.reserve(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/-/"):
		e.report(w, r)
		return
	}
	id := r.Header.Get("Vanillaroad-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	text, _, _ := strings.Cut(string(body), "\n")
	if r.Method == http.MethodGet {
		text = r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	}
	work, err := parseTask(text)
	if !e.pause(r, time.Millisecond) { // the time in which net/http notices a closed connection
		return
	}
	if err != nil || id == "" {
		w.Header().Set("Vanillaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	from := r.Header.Get("Kv-From")
	if from != "" {
		if !e.takeCopy(from) {
			w.Header().Set("Vanillaroad-Request-Id", id)
			w.Header().Set("Vanillaroad-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		work.first = time.Millisecond
	}
	if e.site.waits && r.Header.Get("Last-Event-Id") != "" {
		work.first = e.resumeTime(id, from != "")
		e.preemptAgain(id)
	}
	m := drawManner(e.id, id, e.faulty, work.events > 0)
	if m.unframed {
		u, unframed, err := unframe(w, r)
		if err != nil {
			return
		}
		defer func() { _ = u.conn.Close() }()
		w, r = u, unframed
	}
	e.conditions.arrive(w.Header())
	w.Header().Set("Vanillaroad-Request-Id", id)
	w.Header().Set("Vanillaroad-Upstream-Stamp", e.id+"/"+id)
	this, end := e.ledger.begin(id, e.id), runCanceled
	defer func() { e.ledger.end(this, end) }()
	switch {
	case e.site.rollout != nil && e.site.rollout.engines[e.id] && e.site.rollout.fails():
		w.WriteHeader(http.StatusInternalServerError)
		end = runComplete
	case work.events == 0:
		end = e.call(w, r, work, m)
	default:
		end = e.stream(w, r, work, m, id, this)
	}
}

// stream sends the events after Last-Event-Id and returns the run's end.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, work task, m manner, id string, this *run) runEnd {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none
	w.Header().Set("Content-Type", "text/event-stream")
	defer e.forget(id)
	r, stopped := e.stoppable(r, id)
	defer func() {
		if stopped() {
			breakOff(w, false) // the end of the stream is not sent
		}
	}()
	if len(id)%2 == 0 && http.NewResponseController(w).Flush() != nil { // some send the head while the request is in the queue
		return runCanceled
	}
	breakAt := last + 1 + int(m.at*float64(work.events-last))
	wait := work.first
	for i := last + 1; i <= work.events; i++ {
		if !e.pause(r, wait) || !e.admit(r, id) {
			return runCanceled
		}
		e.ledger.start(this)
		if m.breakOff && i == breakAt {
			if m.inside && writePart(w, work.event(i, e.version)) != nil && !e.goesOn {
				return runCanceled
			}
			breakOff(w, m.reset)
			if !e.goesOn {
				return runBrokenOff
			}
			e.ledger.breakOff(this)
			w = closedWriter{w}
		}
		wait = work.gap
		if _, err := io.WriteString(w, work.event(i, e.version)); err != nil && !e.goesOn {
			return runCanceled
		}
		if http.NewResponseController(w).Flush() != nil && !e.goesOn {
			return runCanceled
		}
		e.progress(id, i-last)
		e.copyTo(r.Header.Get("Vanillaroad-Kv-Backup"), id)
		if !e.wait(r, this, id, i-last) {
			return runCanceled
		}
	}
	if http.NewResponseController(w).Flush() != nil { // there may have been no event left
		return runCanceled
	}
	return runComplete
}

// progress records the events made of a running stream.
func (e *engine) progress(id string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[id] = events
}

// forget removes a stream that has ended.
func (e *engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, id)
	delete(e.stops, id)
	delete(e.preemption.due, id)
	delete(e.preemption.waiting, id)
}

func (e *engine) report(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/report" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	runs, queued := [][]any{}, 0
	e.mu.Lock()
	if e.goesOn || e.site.waits {
		queued = len(e.stops) - len(e.running) - len(e.preemption.waiting)
	}
	for id, events := range e.running {
		runs = append(runs, []any{id, 100 + events, events, 5})
	}
	switch e.preemption.report {
	case waitQueued:
		queued += len(e.preemption.waiting)
	case waitListed:
		for id, events := range e.preemption.waiting {
			runs = append(runs, []any{id, 100 + events, events, 5})
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": 1, "queued": queued, "active": len(runs), "kv_used": 0, "kv_total": 90000, "handles": 0, "runs": runs})
}

// drawStream draws a stream of 1 to 12 s, of which one in eight is in the queue for long.
func drawStream(rng *rand.Rand, key string) task {
	first := time.Duration(20+rng.IntN(200)) * time.Millisecond
	if rng.IntN(8) == 0 {
		first += upTo(rng, 8*time.Second)
	}
	gap := time.Duration(30+rng.IntN(21)) * time.Millisecond
	length := time.Second + upTo(rng, 11*time.Second)
	return task{key, max(1, int(length/gap)), first, gap}
}

// drawCall draws a call, of which one in ten is slow.
func drawCall(rng *rand.Rand, key string) task {
	work := time.Duration(5+rng.IntN(100)) * time.Millisecond
	if rng.IntN(10) == 0 {
		work += upTo(rng, 3*time.Second)
	}
	return task{key: key, first: work}
}

// upTo draws a duration below limit.
func upTo(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}
