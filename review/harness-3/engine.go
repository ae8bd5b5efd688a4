package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of an engine. Its fields up to site are set before start.
type engine struct {
	id, service, zone string
	slots             int
	work              time.Duration // of a plain call
	events            int           // of a stream
	interval          time.Duration // between two events
	// keepsRuns means that the engine goes on with a run whose channel has closed, until its end.
	// Most engines drop it, not all.
	keepsRuns bool

	site    *site
	address string
	born    int64
	server  *http.Server

	mu   sync.Mutex
	seq  int64
	runs map[string]*run
	all  []*run
}

// run is one run of a request.
type run struct {
	engine, id, path string
	began, ended     time.Time
	stopped          chan struct{}
	events           int
	once             sync.Once
}

func (r *run) stop() { r.once.Do(func() { close(r.stopped) }) }

func (e *engine) start(s *site) {
	e.site, e.runs, e.born = s, make(map[string]*run), time.Now().UnixMilli()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail(err)
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(l) }()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
}

// entry returns the engine's entry in the store.
func (e *engine) entry(seq int64) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
		"cold_left_ms": 0, "seq": seq, "born": e.born,
	}
}

func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	seq := e.seq
	e.mu.Unlock()
	e.site.put("servers", e.id, e.entry(seq))
}

// awaitBeat waits until the engine has written its next heartbeat.
func (e *engine) awaitBeat() {
	current := func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.seq
	}
	for before := current(); current() == before; time.Sleep(5 * time.Millisecond) {
	}
	time.Sleep(50 * time.Millisecond)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", len(e.runs), e.slots)
	e.mu.Unlock()
	h := w.Header()
	h.Set("Vanillaroad-Instance-Id", e.id)
	h.Set("Vanillaroad-Instance-Load", load)
	if expected := r.Header.Get("Vanillaroad-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/-/report":
		e.report(w)
	case r.URL.Path == "/-/kv-move":
		e.move(w, r)
	case len(r.URL.Path) > 3 && r.URL.Path[:3] == "/-/":
		w.WriteHeader(http.StatusNotFound)
	default:
		e.run(w, r)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	runs := [][]any{}
	for _, r := range e.runs {
		runs = append(runs, []any{r.id, 1000 + r.events, r.events, 5})
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"born": e.born, "stage": "both", "models": []any{}, "busy": false, "seq": 0, "queued": 0, "active": len(runs), "kv_used": 1000 * len(runs),
		"kv_total": 55000, "handles": 0, "state": "ready", "runs": runs, "pinned": 0, "held": 0,
	})
}

// move stops a run and keeps its memory: its destination is not asked.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	e.mu.Lock()
	found := e.runs[body.ID]
	e.mu.Unlock()
	if found == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.site.note("%s is asked to move %s, last %t", e.id, body.ID, body.Last)
	if body.Last {
		found.stop()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h-" + body.ID, "created": found.events})
}

func (e *engine) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Vanillaroad-Request-Id")
	this := &run{engine: e.id, id: id, path: r.URL.Path, began: time.Now(), stopped: make(chan struct{})}
	e.mu.Lock()
	e.runs[id] = this
	e.all = append(e.all, this)
	e.mu.Unlock()
	e.site.note("%s runs %s (%s), after event %q", e.id, id, r.URL.Path, r.Header.Get("Last-Event-Id"))
	h := w.Header()
	h.Set("Vanillaroad-Request-Id", id)
	h.Set("Vanillaroad-Upstream-Stamp", fmt.Sprintf("%s.%s.%d", e.id, id, this.began.UnixMilli()))
	end := func(how string) {
		e.mu.Lock()
		this.ended = time.Now()
		if e.runs[id] == this {
			delete(e.runs, id)
		}
		e.mu.Unlock()
		e.site.note("%s ends %s: %s", e.id, id, how)
	}
	if e.events == 0 {
		select {
		case <-time.After(e.work):
		case <-r.Context().Done():
			end("its channel was closed")
			return
		}
		end("done")
		body := "answer to " + id
		h.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write([]byte(body))
		return
	}
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first := 0
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	closed := false
	for i := first; i < e.events; i++ {
		select {
		case <-time.After(e.interval):
		case <-this.stopped:
			end("stopped by a move")
			panic(http.ErrAbortHandler) // its stream is closed without its end
		}
		e.mu.Lock()
		this.events++
		e.mu.Unlock()
		if !closed && r.Context().Err() != nil {
			e.site.note("%s: the channel of %s is closed, before event %d", e.id, id, i)
			closed = true
		}
		if closed {
			if !e.keepsRuns {
				end("its channel was closed")
				return
			}
			continue // it works on, as engines may
		}
		fmt.Fprintf(w, "id: %d\ndata: tokens of %s at %d\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
	}
	end("done")
}
