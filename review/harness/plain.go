package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the pages.
const (
	headerRequest  = "Vanillaroad-Request-Id"
	headerDeadline = "Vanillaroad-Deadline-Ms"
	headerExpect   = "Vanillaroad-Expect-Instance"
	headerTenant   = "Vanillaroad-Tenant"
	headerStamp    = "Vanillaroad-Upstream-Stamp"
	headerNotRun   = "Vanillaroad-Not-Executed"
	headerInstance = "Vanillaroad-Instance-Id"
)

// run is one run of a request at an engine.
type run struct {
	engine, id, tenant, body string
	at                       time.Time
}

// ledger holds what the engines have run.
type ledger struct {
	mu   sync.Mutex
	runs []run
}

func (l *ledger) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// byID returns the runs of each request id.
func (l *ledger) byID() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string][]run)
	for _, r := range l.runs {
		out[r.id] = append(out[r.id], r)
	}
	return out
}

// plainEngine is a stand-in of an engine of a plain service. It serves each channel one
// request at a time, echoes the request's id in each answer, and refuses what its slots and
// its queue can't take.
type plainEngine struct {
	id, service, address string
	record               *record
	ledger               *ledger
	slots                chan struct{}
	places               chan struct{} // slots and queue
	work                 func() time.Duration

	// extraShare is the share of the answers after which the engine sends additional bytes,
	// at the point where the next response on the channel is expected.
	extraShare float64
	extra      string

	listener net.Listener
	mu       sync.Mutex
	down     bool
	next     *plainEngine // the boot after a crash; nil before
	conns    map[net.Conn]bool
}

const (
	plainSlots = 6
	plainQueue = 24
	entryLife  = 3600 * time.Millisecond // three liveness report intervals
)

// startPlainEngine starts an engine and registers it in the store.
func (s *site) startPlainEngine(id, service string, l *ledger) (*plainEngine, error) {
	return s.startPlainEngineAt("127.0.0.1:0", id, service, l)
}

// startPlainEngineAt starts an engine at an address.
func (s *site) startPlainEngineAt(address, id, service string, l *ledger) (*plainEngine, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	e := &plainEngine{
		id: id, service: service, address: listener.Addr().String(), record: s.record, ledger: l,
		slots: make(chan struct{}, plainSlots), places: make(chan struct{}, plainSlots+plainQueue),
		work:     func() time.Duration { return time.Duration(8+rand.IntN(15)) * time.Millisecond },
		listener: listener, conns: make(map[net.Conn]bool),
	}
	s.closers = append(s.closers, func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	s.store.put("servers", id, engineEntry(service, e.address, plainSlots))
	return e, nil
}

// engineEntry is the object by which an engine registers itself.
func engineEntry(service, address string, slots int) map[string]any {
	return map[string]any{"service": service, "address": address, "zone": "paviljon-jug", "version": "v1", "slots": slots, "state": "ready", "cold_left_ms": 0, "seq": 1}
}

// crash ends the boot: its channels are reset, and its address refuses new ones for down. Then
// a new boot starts there under another id. The entry of the old one is removed after
// entryLife.
func (e *plainEngine) crash(s *site, down time.Duration, nextID string) {
	e.mu.Lock()
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
	e.record.note("%s crashed", e.id)
	time.AfterFunc(down, func() {
		next, err := s.startPlainEngineAt(e.address, nextID, e.service, e.ledger)
		if err != nil {
			e.record.note("%s is not back: %v", e.address, err)
			return
		}
		next.work = e.work
		e.mu.Lock()
		e.next = next
		e.mu.Unlock()
		e.record.note("%s is back as %s", e.id, next.id)
	})
	time.AfterFunc(entryLife, func() { s.store.remove("servers", e.id) })
}

// latest returns the boot that runs at the engine's address.
func (e *plainEngine) latest() *plainEngine {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.next != nil {
		return e.next.latest()
	}
	return e
}

func (e *plainEngine) serve(c net.Conn) {
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
	reader, late := bufio.NewReader(c), ""
	for {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second)) // the idle timeout
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != "" {
			e.record.note("%s sends additional bytes on a channel with request %s: %.40q", e.id, r.Header.Get(headerRequest), late)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer, ran := e.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if ran && rand.Float64() < e.extraShare {
			late = e.extra
		}
	}
}

// answer returns the answer to a request, and whether the request has run.
func (e *plainEngine) answer(r *http.Request, body []byte) (answer []byte, ran bool) {
	id := r.Header.Get(headerRequest)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != e.id {
		return reply(http.StatusMisdirectedRequest, id, headerInstance+": "+e.id+"\r\n"+headerNotRun+": 1\r\n", nil), false
	}
	if r.URL.Path == "/-/report" { // of model engines only
		return reply(http.StatusNotFound, id, "", nil), false
	}
	if id == "" {
		return reply(http.StatusBadRequest, id, headerNotRun+": 1\r\n", nil), false
	}
	select {
	case e.places <- struct{}{}:
		defer func() { <-e.places }()
	default:
		return reply(http.StatusServiceUnavailable, id, headerNotRun+": 1\r\n", nil), false
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.ledger.add(run{engine: e.id, id: id, tenant: r.Header.Get(headerTenant), body: string(body), at: time.Now()})
	e.record.note("%s runs %s for tenant %q", e.id, id, r.Header.Get(headerTenant))
	time.Sleep(e.work())
	content := bytes.Repeat([]byte(id+" "), 800/(len(id)+1))
	return reply(http.StatusOK, id, headerStamp+": "+e.id+"."+id+"\r\n", content), true
}

// reply builds an answer.
func reply(status int, id, headers string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", headerRequest, id)
	}
	fmt.Fprintf(&b, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", headers, len(body))
	b.Write(body)
	return b.Bytes()
}
