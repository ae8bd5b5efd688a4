// Package callers bounds what the connections of callers hold of a daemon: their number, the
// memory of heads, bodies and answers, and the time for a head. Callers outside of the operators'
// control can't exhaust a daemon then. docs/design/caller-memory.md has the bounds.
package callers

import (
	"net"
	"sync"
	"time"
)

// Listener accepts connections that a Tracker can track, and closes those for which its pool has no
// place.
type Listener struct {
	net.Listener
	Header *HeaderLimits // nil if net/http bounds the time of headers
	Pool   *Pool         // nil for any number of connections
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: c, header: l.Header}
		if l.Pool == nil || l.Pool.admit(conn, time.Now()) {
			return conn, nil
		}
		_ = c.Close() // nothing was read
	}
}

// Conn is a connection whose state is unused, busy, idle or expired. An expired
// connection is closed by its reader, so that one whose request was read stays open.
type Conn struct {
	net.Conn
	guard  *Guard        // nil if the connection is not bounded
	header *HeaderLimits // nil if net/http bounds the time of headers

	mu    sync.Mutex // held while the state and the read deadline change together
	state int64      // connBusy, connExpired, connUnused, or since when it is idle in nanoseconds from Tracker.start, at least 1

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
func (c *Conn) Read(b []byte) (int, error) {
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
func (c *Conn) Write(b []byte) (int, error) {
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

func (c *Conn) currentState() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

func (c *Conn) setState(state int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
}

// expireIf marks the connection as expired and wakes its reader, if applies holds for its
// state, and reports whether it did.
func (c *Conn) expireIf(applies func(state int64) bool) bool {
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
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
