package callers

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Tracker records since when each connection of a Listener is idle, so that
// connections idle for longer than the configuration allows can be closed. The idle
// timeout of http.Server can't be changed while it runs. A connection is idle from the
// end of an answer until the first bytes of the next request were read; http.StateActive
// comes later, with the complete header.
type Tracker struct {
	start time.Time

	mu    sync.Mutex
	conns map[*Conn]struct{} // open connections
}

// NewTracker returns a tracker without connections.
func NewTracker() *Tracker {
	return &Tracker{start: time.Now(), conns: make(map[*Conn]struct{})}
}

// ConnState is the ConnState hook of http.Server.
func (i *Tracker) ConnState(c net.Conn, s http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	if conn.guard != nil {
		conn.guard.stateChanged(s)
	}
	switch s {
	case http.StateNew:
		conn.setState(connUnused)
		conn.awaitHeader()
		i.mu.Lock()
		defer i.mu.Unlock()
		i.conns[conn] = struct{}{}
	case http.StateIdle:
		conn.setState(max(1, int64(time.Since(i.start))))
	case http.StateActive:
		conn.setState(connBusy) // the request may have been read together with the previous one
		conn.endHeader()
	case http.StateClosed, http.StateHijacked:
		conn.endHeader()
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.conns, conn)
	}
}

// Expire marks the connections as expired that have been idle for at least limit, and
// returns them.
func (i *Tracker) Expire(now time.Time, limit time.Duration) []net.Conn {
	latest := int64(now.Sub(i.start) - limit)
	return i.expireIf(func(state int64) bool { return state > connBusy && state <= latest })
}

// Retire marks all connections as expired that are not busy.
func (i *Tracker) Retire() { i.expireIf(func(state int64) bool { return state != connBusy }) }

func (i *Tracker) expireIf(applies func(state int64) bool) (out []net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.expireIf(applies) {
			out = append(out, c)
		}
	}
	return out
}

// Open returns the number of open connections.
func (i *Tracker) Open() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.conns)
}

// Busy returns the number of connections on which a request is read or answered.
func (i *Tracker) Busy() (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.currentState() == connBusy {
			n++
		}
	}
	return n
}
