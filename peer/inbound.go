package peer

import (
	"net"
	"time"

	"github.com/pkg/errors"
)

// ErrTooMany means that a connection was closed because there were too many.
var ErrTooMany = errors.New("too many connections from other daemons")

// socketBufferBytes is the size of the kernel's buffers of an accepted connection. Daemons
// send each other some KB/s.
const socketBufferBytes = 64 << 10

// makeRoom adds an accepted connection. If there are too many, it closes another one: that
// whose handshake lasts longest, or else that which has sent no frame for longest of the
// address with the most connections. A daemon needs one connection, and dials again.
func (t *Transport) makeRoom(nc net.Conn) {
	if t.MaxInbound > 0 {
		if tcp, ok := nc.(*net.TCPConn); ok {
			// A connection with other buffers works, and errors mean that it is closed.
			_ = tcp.SetReadBuffer(socketBufferBytes)
			_ = tcp.SetWriteBuffer(socketBufferBytes)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.MaxInbound > 0 && len(t.inbound)+len(t.greeting) >= t.MaxInbound {
		t.rejected++
		if victim := t.oldestHandshake(); victim != nil {
			delete(t.greeting, victim)
			_ = victim.Close()
		} else if victim := t.leastUsed(); victim != nil {
			delete(t.inbound, victim)
			go victim.close(ErrTooMany)
		}
	}
	t.greeting[nc] = time.Now()
}

// oldestHandshake returns the connection whose handshake lasts longest, or nil. The caller
// holds mu.
func (t *Transport) oldestHandshake() (found net.Conn) {
	var oldest time.Time
	for nc, start := range t.greeting {
		if found == nil || start.Before(oldest) {
			found, oldest = nc, start
		}
	}
	return found
}

// leastUsed returns the accepted connection that makeRoom closes, or nil. The caller holds mu.
func (t *Transport) leastUsed() (found *conn) {
	perHost := make(map[string]int)
	for c := range t.inbound {
		perHost[c.remoteHost]++
	}
	var oldest time.Time
	for c := range t.inbound {
		received := c.lastReceived()
		more := found != nil && perHost[c.remoteHost] > perHost[found.remoteHost]
		same := found != nil && perHost[c.remoteHost] == perHost[found.remoteHost]
		if found == nil || more || same && received.Before(oldest) {
			found, oldest = c, received
		}
	}
	return found
}

// Inbound returns the number of accepted connections, and how many were closed because there
// were too many.
func (t *Transport) Inbound() (open int, closed int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inbound) + len(t.greeting), t.rejected
}

func hostOf(nc net.Conn) string {
	if nc == nil {
		return ""
	}
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}
