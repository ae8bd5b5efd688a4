package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultMaxConns bounds the relayed connections of a daemon without other bounds.
	defaultMaxConns = 1000
	// connectTimeout bounds the connection to the target, and the check of another one.
	connectTimeout = 120 * time.Millisecond
	// unreadBytes is the size of the kernel's read buffer of a relayed connection.
	unreadBytes = 64 << 10
	// callerCheckInterval is the time between two checks whether the daemon that asked for a
	// connection has closed it, while the target does not read.
	callerCheckInterval = 500 * time.Millisecond
	// writeTimeout bounds one write to a daemon that doesn't read.
	writeTimeout = 20 * time.Second
)

// Server relays connections of other daemons. Its fields must be set before use.
type Server struct {
	// Connect opens a direct connection to a target. The error is syscall.ECONNREFUSED if
	// its address refuses connections, and ErrRejected if the target isn't registered.
	Connect func(ctx context.Context, t Target) (net.Conn, error)
	// LinksWork reports whether this daemon reaches another target than t, so that a
	// refusal doesn't come from its own links.
	LinksWork func(ctx context.Context, t Target) bool
	// MaxConns bounds the relayed connections; 0 stands for defaultMaxConns. Further ones are
	// closed at once, and the other daemon tries the next one.
	MaxConns int

	mu       sync.Mutex
	rejected int64 // connections beyond the bound
	conns    map[net.Conn]struct{}
	stopping bool
}

// Serve accepts connections until l is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if !s.add(c) {
			_ = c.Close()
			continue
		}
		go func() {
			defer s.remove(c)
			s.serve(c)
		}()
	}
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[net.Conn]struct{})
	}
	limit := s.MaxConns
	if limit <= 0 {
		limit = defaultMaxConns
	}
	if s.stopping {
		return false
	}
	if len(s.conns) >= limit {
		s.rejected++
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	_ = c.Close()
}

// Open returns the number of relayed connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Rejected returns how many connections were closed because there were too many.
func (s *Server) Rejected() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Stop accepts no further connections. Those that are open go on.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Close breaks all connections.
func (s *Server) Close() {
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive) // fails if the connection is closed already
	}
	s.limitUnread(c)
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	t, err := readRequest(c)
	if err != nil {
		return
	}
	target, answer := s.connect(t)
	if target != nil {
		defer func() { _ = target.Close() }()
		s.limitUnread(target)
	}
	if _, err := c.Write([]byte{byte(answer)}); err != nil || target == nil {
		return
	}
	_ = c.SetDeadline(time.Time{})
	go func() {
		copyToTarget(target, c) // any end cancels what the target does
		_ = target.Close()
	}()
	if copyFrames(c, target) != nil {
		reset(c)
	}
}

// limitUnread bounds what waits in the kernel while the other end doesn't read, if the memory is
// bounded.
func (s *Server) limitUnread(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok && s.MaxConns > 0 {
		_ = tcp.SetReadBuffer(unreadBytes) // fails if the connection is closed already
	}
}

// connect connects to a target. A refusal counts only if this daemon reaches another
// target at the same time.
func (s *Server) connect(t Target) (net.Conn, status) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	target, err := s.Connect(ctx, t)
	switch {
	case err == nil:
		return target, statusConnected
	case errors.Is(err, ErrRejected):
		return nil, statusRejected
	case errors.Is(err, syscall.ECONNREFUSED) && s.LinksWork(ctx, t):
		return nil, statusNotListening
	}
	return nil, statusUnreachable
}

// uploadBufferBytes is the size of the buffer for bytes to a target.
const uploadBufferBytes = 16 << 10

// ConnBytes is what a relayed connection uses: the buffers of both directions and two stacks.
const ConnBytes = uploadBufferBytes + maxFrameBytes + 16<<10

// copyToTarget sends the bytes of a daemon to a target until one of them ends its connection. A
// target may take any time to read while the daemon waits for it.
func copyToTarget(target, daemon net.Conn) {
	buffer := make([]byte, uploadBufferBytes)
	for {
		n, readErr := daemon.Read(buffer)
		for rest := buffer[:n]; len(rest) > 0; {
			_ = target.SetWriteDeadline(time.Now().Add(callerCheckInterval)) // a closed connection fails below
			written, err := target.Write(rest)
			rest = rest[written:]
			if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || isReset(daemon)) {
				return
			}
		}
		if readErr != nil {
			return
		}
	}
}

// copyFrames sends the bytes from a target in frames until the connection ends, and a final
// frame if it ended in order.
func copyFrames(to io.Writer, target io.Reader) error {
	buffer := make([]byte, lengthBytes+maxFrameBytes)
	for {
		n, readErr := target.Read(buffer[lengthBytes:])
		if n > 0 || errors.Is(readErr, io.EOF) {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if conn, ok := to.(net.Conn); ok {
				_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection fails below
			}
			if _, err := to.Write(buffer[:lengthBytes+n]); err != nil {
				return err
			}
		}
		if n > 0 && errors.Is(readErr, io.EOF) {
			continue // the next read returns no bytes
		}
		if readErr != nil {
			if errors.Is(readErr, io.EOF) {
				return nil
			}
			return readErr
		}
	}
}
