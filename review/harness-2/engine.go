package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a plain service's server: it runs a request for workTime and answers with
// its stamp.
type engine struct {
	id, service, zone, version string
	slots                      int
	workTime                   time.Duration

	site     *site
	listener net.Listener
	server   *http.Server
	born     int64

	mu      sync.Mutex
	leaving bool            // says so in all its answers
	gone    bool            // its entry is removed, and stays so
	faulty  bool            // breaks off some of its answers to uploads, at most brokenShare of all its answers
	answers int             // that it has begun
	halves  int             // of these, broken off
	refused map[string]bool // addresses of machines that are cut off from it
	conns   map[net.Conn]string
	cutOff  bool // it does not reach the store
	running int
}

// entry is what the engine writes to the store.
func (e *engine) entry() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": e.born,
	}
}

// beat writes the entry, or removes it if the engine has left the list.
func (e *engine) beat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cutOff || e.site.store.isAway() {
		return
	}
	if e.gone {
		e.site.store.remove("servers", e.id)
		return
	}
	e.site.store.put("servers", e.id, e.entry())
}

// heartbeat is the time between two beats, heartbeat_ms of the sites.
const heartbeat = 1200 * time.Millisecond

// start listens and registers.
func (e *engine) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.listener, e.born = cutListener{l, e}, time.Now().UnixMilli()
	e.conns = make(map[net.Conn]string)
	e.server = &http.Server{Handler: e, IdleTimeout: 5 * time.Second}
	go func() { _ = e.server.Serve(e.listener) }()
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	return nil
}

// cutListener resets the channels of machines that are cut off from the engine.
type cutListener struct {
	net.Listener
	e *engine
}

// Accept implements net.Listener.
func (l cutListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
		l.e.mu.Lock()
		refused := l.e.refused[host]
		l.e.mu.Unlock()
		if !refused {
			l.e.mu.Lock()
			l.e.conns[c] = host
			l.e.mu.Unlock()
			return trackedConn{c, l.e}, nil
		}
		resetConn(c)
	}
}

// trackedConn is an accepted channel of an engine.
type trackedConn struct {
	net.Conn
	e *engine
}

// Close implements net.Conn.
func (c trackedConn) Close() error {
	c.e.mu.Lock()
	delete(c.e.conns, c.Conn)
	c.e.mu.Unlock()
	return c.Conn.Close()
}

// resetConn closes a channel with a reset.
func resetConn(c net.Conn) {
	inner := c
	if t, ok := c.(trackedConn); ok {
		inner = t.Conn
	}
	if tcp, ok := inner.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// cut cuts a machine off from the engine: its channels are reset, the new ones too.
func (e *engine) cut(host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused = map[string]bool{host: true}
	for c, from := range e.conns {
		if from == host {
			delete(e.conns, c)
			resetConn(c)
		}
	}
}

// wholeAnswer is the answer to an upload, of which a faulty engine sends the first half.
func wholeAnswer(id string) string {
	return strings.Repeat("line of the answer to "+id+"\n", 40)
}

// brokenShare is the share of its answers that a faulty engine breaks off at most.
const brokenShare = 0.03

// isToBreakOff reports whether the engine breaks off its answer to a request.
func (e *engine) isToBreakOff(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if !e.faulty || !strings.HasPrefix(r.URL.Path, "/upload/") || float64(e.halves+1) > brokenShare*float64(e.answers) {
		return false
	}
	e.halves++
	return true
}

// breakOff answers an upload early, before it has read its body, with an answer that has no length
// and ends with its channel, and resets the channel halfway.
func (e *engine) breakOff(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	answer := wholeAnswer(id)
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nVanillaroad-Request-Id: "+id+"\r\nVanillaroad-Upstream-Stamp: "+e.id+"."+id+
		"\r\nVanillaroad-Instance-Id: "+e.id+"\r\n\r\n"+answer[:len(answer)/2])
	time.Sleep(200 * time.Millisecond)
	resetConn(conn)
	e.site.record("engine %s has sent half of its answer to %s, and reset the channel", e.id, id)
}

// leave begins to leave as an engine that never reports draining: it says in its answers that it
// leaves, its entry is removed at its next beat, and it goes on to serve.
func (e *engine) leave() {
	e.mu.Lock()
	e.leaving, e.gone = true, true
	e.mu.Unlock()
	e.site.record("engine %s begins to leave, and removes its entry at its next beat", e.id)
}

// health answers a health probe. A server that leaves isn't ready, though it goes on to serve.
func (e *engine) health(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("Vanillaroad-Instance-Id", e.id)
	w.Header().Set("Vanillaroad-Instance-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, id := time.Now(), r.Header.Get("Vanillaroad-Request-Id")
	if r.URL.Path == "/healthz" && id == "" {
		e.health(w)
		return
	}
	if expect := r.Header.Get("Vanillaroad-Expect-Instance"); id != "" && (expect == "" || expect == e.id) && e.isToBreakOff(r) {
		e.site.arrived(arrival{engine: e.id, id: id, at: at, ran: true})
		e.breakOff(w, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	h := w.Header()
	h.Set("Vanillaroad-Instance-Id", e.id)
	if id != "" {
		h.Set("Vanillaroad-Request-Id", id)
	}
	e.mu.Lock()
	h.Set("Vanillaroad-Instance-Load", fmt.Sprintf("%d,0,%d", e.running, e.slots))
	expect := r.Header.Get("Vanillaroad-Expect-Instance")
	switch {
	case expect != "" && expect != e.id:
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case err != nil:
		e.mu.Unlock()
		return
	case id == "":
		e.mu.Unlock()
		h.Set("Vanillaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case e.running >= e.slots:
		e.mu.Unlock()
		e.site.arrived(arrival{engine: e.id, id: id, at: at})
		h.Set("Vanillaroad-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running++
	e.mu.Unlock()
	e.site.arrived(arrival{engine: e.id, id: id, at: at, ran: true})
	h.Set("Vanillaroad-Upstream-Stamp", e.id+"."+id)
	if strings.HasPrefix(r.URL.Path, "/plan/") {
		e.mu.Lock()
		if e.leaving {
			h.Set("Server-Leaving", "1")
		}
		e.mu.Unlock()
		e.stream(w, r)
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
		return
	}
	select {
	case <-time.After(e.workTime):
	case <-r.Context().Done():
	}
	e.mu.Lock()
	e.running--
	if e.leaving {
		h.Set("Server-Leaving", "1")
	}
	e.mu.Unlock()
	answer := []byte("answer of " + e.id + " to " + id + ": " + strconv.Itoa(len(body)) + " bytes\n")
	if strings.HasPrefix(r.URL.Path, "/upload/") {
		answer = []byte(wholeAnswer(id))
	}
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer)
}
