package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
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
type trackedListener struct {
	net.Listener
	header *headerLimits // see trackedConn
}

// Accept implements net.Listener.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, header: l.header}, nil
}

// trackedConn is a connection whose state is unused, busy, idle or expired. An expired
// connection is closed by its reader, so that one whose request was read stays open.
type trackedConn struct {
	net.Conn
	guard  *connGuard    // nil if the connection is not bounded
	header *headerLimits // nil if net/http bounds the time of headers

	mu    sync.Mutex // held while the state and the read deadline change together
	state int64      // connBusy, connExpired, connUnused, or since when it is idle in nanoseconds from idleTracker.start, at least 1

	// Guarded by mu, and used only with header.
	headerTimer  *time.Timer // runs until the header is complete
	headerOpen   bool        // a header is awaited or being read
	headerLate   bool        // its time is over
	headerAnswer bool        // it is then answered
}

const (
	connBusy    = 0
	connExpired = -1
	connUnused  = -2 // nothing was read yet
)

// lastReadTime bounds the last read of an expired connection. A request may have arrived
// that was not read yet.
const lastReadTime = 20 * time.Millisecond

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	var n int
	var err error
	if c.currentState() != connExpired {
		n, err = c.Conn.Read(b)
	}
	if n == 0 && c.currentState() == connExpired {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime)) // fails if the connection is closed already
		n, err = c.Conn.Read(b)
	}
	if n > 0 {
		c.mu.Lock()
		if c.state == connExpired {
			_ = c.Conn.SetReadDeadline(time.Time{}) // net/http sets its own for each request
		}
		if c.state != connBusy {
			c.beginHeader()
		}
		c.state = connBusy
		c.mu.Unlock() // the guard takes the lock of its pool, under which connections are expired
		if c.guard != nil {
			if gerr := c.guard.arrived(n); gerr != nil {
				return 0, gerr
			}
		}
	}
	if n == 0 && err != nil && c.refuseLateHeader() {
		return 0, readError(errLateHeader)
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	if c.guard == nil {
		return c.Conn.Write(b)
	}
	defer c.guard.writes(time.Time{})
	written := 0
	for {
		c.guard.writes(time.Now())
		n, err := c.Conn.Write(b[written:min(len(b), written+writePartBytes)])
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *trackedConn) currentState() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *trackedConn) setState(state int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

// expireIf marks the connection as expired and wakes its reader, if applies holds for its
// state, and reports whether it did.
func (c *trackedConn) expireIf(applies func(state int64) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == connExpired || !applies(c.state) {
		return false
	}
	c.state = connExpired
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed already
	return true
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

// expire marks the connections as expired that have been idle for at least limit, and
// returns them.
func (i *idleTracker) expire(now time.Time, limit time.Duration) []net.Conn {
	latest := int64(now.Sub(i.start) - limit)
	return i.expireIf(func(state int64) bool { return state > connBusy && state <= latest })
}

// retire marks all connections as expired that are not busy.
func (i *idleTracker) retire() { i.expireIf(func(state int64) bool { return state != connBusy }) }

func (i *idleTracker) expireIf(applies func(state int64) bool) (out []net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.expireIf(applies) {
			out = append(out, c)
		}
	}
	return out
}

// open returns the number of open connections.
func (i *idleTracker) open() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.conns)
}

// busy returns the number of connections on which a request is read or answered.
func (i *idleTracker) busy() (n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.conns {
		if c.currentState() == connBusy {
			n++
		}
	}
	return n
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
			g.limits.check()
			g.capacity.check(now)
			table := g.table.Load()
			if table == nil || table.Limits.IdleTimeout <= 0 {
				continue
			}
			expired := g.idleConns.expire(now, table.Limits.IdleTimeout)
			if len(expired) > 0 {
				g.events.Record(event.IdleClosed, "", event.F("connections", strconv.Itoa(len(expired))),
					event.F("limit", table.Limits.IdleTimeout.String()), event.F("version", strconv.FormatInt(table.Version, 10)))
			}
		}
	}
}
