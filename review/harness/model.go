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
)

// modelService is the entry of the service of model engines.
func modelService() any {
	return map[string]any{
		"name": drafting, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 55000, "kv_token_bytes": 163840, "link_mbps": 2200000.0, "moves": true, "backups": true, "stride": 8, "most": 12,
			"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// draftRoute is the route of the stand profiles.
func draftRoute() any {
	r := route("predstavitev", "/predstavitev/", "streaming", drafting, 25000, 4500, 5)
	r["sticky"], r["resumable"], r["gap_target_ms"], r["priority"] = true, true, 700, 1
	return r
}

// fleet is the model engines, which copy memory to each other.
type fleet struct {
	site   *site
	ledger *ledger

	mu     sync.Mutex
	byAddr map[string]*modelEngine
	boots  int
	ends   []time.Time // of boots that crashed
}

func (s *site) newFleet(l *ledger) *fleet {
	return &fleet{site: s, ledger: l, byAddr: make(map[string]*modelEngine)}
}

// modelEngine is a stand-in of one boot of a model engine. It drops a request when its channel
// closes.
type modelEngine struct {
	fleet    *fleet
	id       string
	address  string
	listener net.Listener
	// onRun is called when a run begins. It returns how many events the run sends until the
	// engine crashes; 0 for a run that doesn't crash it.
	onRun func(e *modelEngine, r *http.Request, body string) (crashAfter int)

	mu      sync.Mutex
	down    bool
	conns   map[net.Conn]bool
	running map[string]int  // events made, by request id
	copies  map[string]bool // of runs at other engines, by name
}

// Times and sizes of a run.
const (
	firstEventAfter = 300 * time.Millisecond
	copiedStart     = 20 * time.Millisecond // of a run that goes on from a copy
	eventGap        = 40 * time.Millisecond
	streamEvents    = 100
	downTime        = 2 * time.Second
	entryLife       = 3600 * time.Millisecond // three liveness report intervals
)

// start starts a boot of an engine; address is empty for a new one.
func (f *fleet) start(address string, onRun func(*modelEngine, *http.Request, string) int) (*modelEngine, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.boots++
	e := &modelEngine{
		fleet: f, id: fmt.Sprintf("i-%08x", 0x02d9e6b0+f.boots), address: l.Addr().String(), listener: l, onRun: onRun,
		conns: make(map[net.Conn]bool), running: make(map[string]int), copies: make(map[string]bool),
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
	f.site.store.put("servers", e.id, modelEntry(e.address))
	return e, nil
}

func modelEntry(address string) map[string]any {
	entry := engineEntry(drafting, address, 64)
	entry["stage"], entry["models"] = "both", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	return entry
}

// crash ends the boot: its channels are reset, and its address refuses new ones. A new boot
// starts after downTime. The entry of the old one is removed after entryLife.
func (e *modelEngine) crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	conns := e.conns
	e.conns = make(map[net.Conn]bool)
	e.mu.Unlock()
	_ = e.listener.Close()
	for c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	e.fleet.mu.Lock()
	e.fleet.ends = append(e.fleet.ends, time.Now())
	e.fleet.mu.Unlock()
	e.fleet.site.record.note("%s crashed", e.id)
	time.AfterFunc(downTime, func() {
		if _, err := e.fleet.start(e.address, e.onRun); err != nil {
			e.fleet.site.record.note("%s is not back: %v", e.address, err)
		}
	})
	time.AfterFunc(entryLife, func() { e.fleet.site.store.remove("servers", e.id) })
}

func (e *modelEngine) serve(c net.Conn) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		_ = c.Close()
		return
	}
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
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

// handle answers one request. It returns false if the channel can't be used any more.
func (e *modelEngine) handle(c net.Conn, r *http.Request, body string, next chan bool) bool {
	id := r.Header.Get(headerRequest)
	send := func(b []byte) bool {
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
		return send(reply(http.StatusNotFound, id, "", nil))
	}
	return e.stream(c, r, body, next)
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
		"queued": 0, "active": len(runs), "kv_used": 5000 * len(runs), "kv_total": 55000, "handles": 0, "runs": runs,
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
	e.fleet.ledger.add(run{engine: e.id, id: id, tenant: r.Header.Get(headerTenant), body: body, at: time.Now()})
	e.fleet.site.record.note("%s runs %s from event %d", e.id, id, event)
	crashAfter := e.onRun(e, r, body)
	pause := func(d time.Duration) bool {
		select {
		case <-next: // a second request or the end of the channel: nobody reads the answer
			return false
		case <-time.After(d):
			return true
		}
	}
	if !pause(wait) {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", headerRequest, id, headerStamp, e.id, id)
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	defer func() {
		e.mu.Lock()
		delete(e.running, id)
		e.mu.Unlock()
	}()
	for sent := 0; event <= streamEvents; event++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, id, event)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		e.noteEvent(r, id, event)
		if sent++; sent == crashAfter {
			e.crash()
			return false
		}
		if !pause(eventGap) {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// noteEvent records an event that was made, and copies the run's memory to the engine that the
// request names for that.
func (e *modelEngine) noteEvent(r *http.Request, id string, event int) {
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
