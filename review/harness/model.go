package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers and names of model engines.
const (
	headerLastEvent = "Last-Event-Id"
	headerBackup    = "Vanillaroad-Kv-Backup"
	headerCopyFrom  = "Kv-From"
	drafting        = "pisar"
	draftPrefix     = "/predstavitev/"
)

// modelService is the entry of the service of model engines with so many slots each.
func modelService(slots int) any {
	return map[string]any{
		"name": drafting, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": slots, "kv_capacity": 55000, "kv_token_bytes": 163840, "link_mbps": 2200000.0, "moves": true, "backups": true, "stride": 8, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// draftRoute is the route of the stand profiles.
func draftRoute() any {
	r := route("predstavitev", draftPrefix, "streaming", drafting, 25000, 4500, 5)
	r["sticky"], r["resumable"], r["gap_target_ms"], r["priority"] = true, true, 700, 1
	return r
}

// fleet is the model engines, which copy memory to each other.
type fleet struct {
	site   *site
	ledger *ledger

	mu      sync.Mutex
	byAddr  map[string]*modelEngine
	boots   int
	handles int
	worked  map[string]map[string]time.Time // the latest event of each request, by its id and by engine
}

func (s *site) newFleet(l *ledger) *fleet {
	return &fleet{site: s, ledger: l, byAddr: make(map[string]*modelEngine), worked: make(map[string]map[string]time.Time)}
}

// modelEngine is a stand-in of a model engine. It drops a request when its channel closes, unless
// goesOn is set.
type modelEngine struct {
	fleet   *fleet
	id      string
	address string
	planRun func(body string) runPlan
	slots   chan struct{} // a value for each run; other requests wait
	goesOn  bool          // a run whose channel has closed goes on to its end

	mu      sync.Mutex
	silent  time.Time // it sends nothing until then
	queued  int
	running map[string]int  // events made, by request id
	copies  map[string]bool // of runs at other engines, by name
	stopped map[string]bool // by request id: a kv-move has stopped the run
}

// runPlan is what a request does at an engine.
type runPlan struct {
	events int           // of the complete answer
	gap    time.Duration // between events
}

// soundRun is the plan of an ordinary request.
var soundRun = runPlan{events: 100, gap: 40 * time.Millisecond}

// Times of engines.
const (
	firstEventAfter = 300 * time.Millisecond
	copiedStart     = 20 * time.Millisecond // of a run that goes on from a copy
)

// modelSlots is the number of requests that an engine runs at once, unless a case sets it.
const modelSlots = 64

// workedUntil returns when an engine last made an event of a request; the zero time if none did.
func (f *fleet) workedUntil(id string) (latest time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.worked[id] {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// workedAt returns when one engine last made an event of a request.
func (f *fleet) workedAt(id, engine string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.worked[id][engine]
}

// start starts an engine.
func (f *fleet) start(slots int, planRun func(body string) runPlan) (*modelEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.boots++
	e := &modelEngine{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x02d9e6b0+f.boots), address: l.Addr().String(), planRun: planRun,
		slots: make(chan struct{}, slots), running: make(map[string]int), copies: make(map[string]bool), stopped: make(map[string]bool),
	}
	f.byAddr[e.address] = e
	f.mu.Unlock()
	f.site.closers = append(f.site.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	f.site.store.put("servers", e.id, modelEntry(e.address, slots))
	return e, nil
}

func modelEntry(address string, slots int) map[string]any {
	entry := engineEntry(drafting, address, slots)
	entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	return entry
}

func (e *modelEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		next := make(chan bool, 1) // whether another request follows; false once the channel is closed
		go func() {
			_, err := reader.Peek(1)
			next <- err == nil
		}()
		if !e.handle(c, r, string(body), next) || !<-next {
			return
		}
	}
}

// silence makes the engine send nothing for d. It works on nothing meanwhile.
func (e *modelEngine) silence(d time.Duration) {
	e.fleet.site.record.note("%s falls silent for %v", e.id, d)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = time.Now().Add(d)
}

// silentFor returns how much longer the engine is silent.
func (e *modelEngine) silentFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Until(e.silent)
}

// handle answers one request. It returns false if the channel can't be used any more.
func (e *modelEngine) handle(c net.Conn, r *http.Request, body string, next chan bool) bool {
	id := r.Header.Get(headerRequest)
	send := func(b []byte) bool {
		time.Sleep(e.silentFor())
		_, err := c.Write(b)
		return err == nil
	}
	if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id {
		return send(reply(http.StatusMisdirectedRequest, id, headerInstance+": "+e.id+"\r\n"+headerNotRun+": 1\r\n", nil))
	}
	switch {
	case r.URL.Path == "/-/report":
		return send(reply(http.StatusOK, id, "", e.report()))
	case strings.HasPrefix(r.URL.Path, "/-/"):
		time.Sleep(e.silentFor())
		status, answer := e.control(r, body)
		e.fleet.site.record.note("%s answers %d to %s %s %s", e.id, status, r.Method, r.URL.Path, body)
		return send(reply(status, id, "", answer))
	}
	return e.stream(c, r, body, next)
}

// control carries out a control call and returns the answer. It serves kv-move and frees handles.
func (e *modelEngine) control(r *http.Request, body string) (status int, answer []byte) {
	var move struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	switch {
	case r.Method == http.MethodDelete && strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return http.StatusOK, nil
	case r.URL.Path != "/-/kv-move" || json.Unmarshal([]byte(body), &move) != nil:
		return http.StatusNotFound, nil
	}
	e.mu.Lock()
	events, running := e.running[move.ID]
	if running && move.Last {
		e.stopped[move.ID] = true
	}
	e.mu.Unlock()
	if !running {
		return http.StatusNotFound, nil
	}
	e.fleet.mu.Lock()
	holder := e.fleet.byAddr[move.Target]
	e.fleet.handles++
	handle := fmt.Sprintf("h%d", e.fleet.handles)
	e.fleet.mu.Unlock()
	if holder == nil {
		return http.StatusServiceUnavailable, fmt.Appendf(nil, `{"handle":%q}`, handle)
	}
	holder.mu.Lock()
	holder.copies[e.address+"/"+handle] = true
	holder.mu.Unlock()
	return http.StatusOK, fmt.Appendf(nil, `{"handle":%q,"created":%d}`, handle, events)
}

// isStopped reports whether a kv-move has stopped a run.
func (e *modelEngine) isStopped(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopped[id]
}

func (e *modelEngine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]any, 0)
	for id, events := range e.running {
		runs = append(runs, []any{id, 5000 + 8*events, events, 5})
	}
	b, err := json.Marshal(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 1,
		"queued": e.queued, "active": len(runs), "kv_used": 5000 * len(runs), "kv_total": 55000, "handles": 0, "runs": runs,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// stream runs a request and sends its events.
func (e *modelEngine) stream(c net.Conn, r *http.Request, body string, next chan bool) bool {
	id, wait := r.Header.Get(headerRequest), firstEventAfter
	if from := r.Header.Get(headerCopyFrom); from != "" {
		e.mu.Lock()
		held := e.copies[from]
		delete(e.copies, from)
		e.mu.Unlock()
		if !held {
			_, err := c.Write(reply(http.StatusServiceUnavailable, id, headerNotRun+": 1\r\n", nil))
			return err == nil
		}
		wait = copiedStart
	}
	event := 1
	if last, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		event = last + 1
	}
	plan := e.planRun(body)
	if !e.awaitSlot(id, next) {
		return false
	}
	defer func() { <-e.slots }()
	e.fleet.ledger.add(run{engine: e.id, id: id, tenant: r.Header.Get(headerTenant), body: body, at: time.Now()})
	e.fleet.site.record.note("%s runs %s from event %d", e.id, id, event)
	closed := false
	leave := func() bool { // reports whether the run ends with its channel
		if !closed {
			closed = true
			e.fleet.site.record.note("the channel of %s at %s is closed, after event %d", id, e.id, event-1)
		}
		return !e.goesOn
	}
	pause := func(d time.Duration) bool {
		for ; d > 0; d = e.silentFor() {
			ended := next
			if closed {
				ended = nil
			}
			select {
			case <-ended: // a second request or the end of the channel: nobody reads the answer
				if leave() {
					return false
				}
			case <-time.After(d):
			}
		}
		return true
	}
	if !pause(wait) {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerRequest, id, headerStamp, e.id, id)
	if _, err := io.WriteString(c, head); err != nil && leave() {
		return false
	}
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		delete(e.stopped, id)
		e.mu.Unlock()
	}()
	for ; event <= plan.events; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil && leave() {
			return false
		}
		e.noteEvent(r, id, event)
		if !pause(plan.gap) {
			return false
		}
		if e.isStopped(id) {
			e.fleet.site.record.note("%s has stopped %s for a move, after event %d", e.id, id, event)
			return false
		}
	}
	e.fleet.site.record.note("%s has completed %s", e.id, id)
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil && !closed
}

// awaitSlot waits until the engine has a slot for a request. It returns false if the request's
// channel is closed before.
func (e *modelEngine) awaitSlot(id string, next chan bool) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	default:
	}
	e.fleet.site.record.note("%s queues %s", e.id, id)
	e.mu.Lock()
	e.queued++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.queued--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
		return true
	case <-next:
		e.fleet.site.record.note("%s drops %s from its queue, as its channel is closed", e.id, id)
		return false
	}
}

// noteEvent records an event that was made, and copies the run's memory to the engine that the
// request names for that.
func (e *modelEngine) noteEvent(r *http.Request, id string, event int) {
	e.fleet.mu.Lock()
	if e.fleet.worked[id] == nil {
		e.fleet.worked[id] = make(map[string]time.Time)
	}
	e.fleet.worked[id][e.id] = time.Now()
	e.fleet.mu.Unlock()
	e.mu.Lock()
	e.running[id] = event
	e.mu.Unlock()
	if to := r.Header.Get(headerBackup); to != "" {
		e.fleet.mu.Lock()
		holder := e.fleet.byAddr[to]
		e.fleet.mu.Unlock()
		if holder != nil {
			holder.mu.Lock()
			holder.copies[holder.address+"/"+id] = true
			holder.mu.Unlock()
		}
	}
}
