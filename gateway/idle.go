package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// idleCheckInterval is the time between two checks for idle connections.
const idleCheckInterval = time.Second

// idleTracker records since when each connection of a trackedListener is idle, so that
// connections idle for longer than the configuration allows can be closed. The idle
// timeout of http.Server can't be changed while it runs. A connection is idle from the
// end of an answer until the first bytes of the next request were read; http.StateActive
// comes later, with the complete header.
type idleTracker struct {
	start time.Time

	mu    sync.Mutex
	conns map[*trackedConn]struct{} // open connections
}

func newIdleTracker() *idleTracker {
	return &idleTracker{start: time.Now(), conns: make(map[*trackedConn]struct{})}
}

// trackedListener accepts connections that an idleTracker can track.
type trackedListener struct{ net.Listener }

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c}, nil
}

// trackedConn is a connection whose state is unused, busy, idle or expired. An expired
// connection delivers no more bytes, so that no request is served whose answer can't be
// sent.
type trackedConn struct {
	net.Conn
	state atomic.Int64 // connBusy, connExpired, connUnused, or since when it is idle in nanoseconds from idleTracker.start, at least 1
}

const (
	connBusy    = 0
	connExpired = -1
	connUnused  = -2 // nothing was read yet
)

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	for {
		state := c.state.Load()
		switch {
		case state == connExpired:
			return 0, net.ErrClosed
		case state == connBusy, c.state.CompareAndSwap(state, connBusy):
			return n, err
		}
	}
}

// CloseWrite closes the sending side. http.Server uses it so that the last answer is not
// lost with the connection.
func (c *trackedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// stateChanged is the ConnState hook of http.Server.
func (i *idleTracker) stateChanged(c net.Conn, s http.ConnState) {
	conn, ok := c.(*trackedConn)
	if !ok {
		return
	}
	switch s {
	case http.StateNew:
		conn.state.Store(connUnused)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.conns[conn] = struct{}{}
	case http.StateIdle:
		if state := conn.state.Load(); state != connExpired {
			conn.state.CompareAndSwap(state, max(1, int64(time.Since(i.start))))
		}
	case http.StateActive:
		conn.markBusy()
	case http.StateClosed, http.StateHijacked:
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.conns, conn)
	}
}

// markBusy marks an idle connection as busy. Its next request may have been read together
// with the previous one.
func (c *trackedConn) markBusy() {
	if state := c.state.Load(); state > connBusy {
		c.state.CompareAndSwap(state, connBusy)
	}
}

// expire marks the connections as expired that have been idle for at least limit, and
// returns them.
func (i *idleTracker) expire(now time.Time, limit time.Duration) (out []net.Conn) {
	latest := int64(now.Sub(i.start) - limit)
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if state := c.state.Load(); state > connBusy && state <= latest && c.state.CompareAndSwap(state, connExpired) {
			out = append(out, c)
		}
	}
	return out
}

// busy returns the number of connections on which a request is read or answered.
func (i *idleTracker) busy() (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.state.Load() == connBusy {
			n++
		}
	}
	return n
}

// retire marks all connections as expired that are not busy, and returns them.
func (i *idleTracker) retire() (out []net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if state := c.state.Load(); state != connBusy && state != connExpired && c.state.CompareAndSwap(state, connExpired) {
			out = append(out, c)
		}
	}
	return out
}

// closeIdleConns closes connections that exceed the configured idle timeout, until ctx
// is done.
func (g *Gateway) closeIdleConns(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			table := g.table.Load()
			if table == nil || table.Limits.IdleTimeout <= 0 {
				continue
			}
			expired := g.idleConns.expire(now, table.Limits.IdleTimeout)
			for _, c := range expired {
				_ = c.Close() // the caller may already have closed it
			}
			if len(expired) > 0 {
				g.events.Record(event.IdleClosed, "", event.F("connections", strconv.Itoa(len(expired))),
					event.F("limit", table.Limits.IdleTimeout.String()), event.F("version", strconv.FormatInt(table.Version, 10)))
			}
		}
	}
}
