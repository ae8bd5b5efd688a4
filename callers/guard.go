package callers

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Limits of a caller that makes no progress. They matter only while others need what its
// connection holds.
const (
	// stallTime is the time after which a caller stalls that has sent no complete header or
	// fewer than progressBytes of a body, or that has not taken writePartBytes of its answer.
	stallTime     = 2 * time.Second
	progressBytes = 8 << 10
	// settleTime is the time after which a body whose bytes have arrived counts as read. The
	// handler has it some microseconds after its last byte.
	settleTime = 5 * time.Millisecond
	// minCloseAge is the age from which a connection without a complete header is closed if
	// there are too many. Callers who all connect at once need a round trip.
	minCloseAge = 200 * time.Millisecond
)

// Limits of headers.
const (
	// headerSlack is added to twice the configured limit to get the size of a header that
	// is not read any further. Up to there, the caller gets the answer of its route.
	headerSlack = 4 << 10
	// freeHeaderBytes is the part of a header that counts with its connection, and
	// headerFactor the memory in bytes for each further one. A line of five bytes takes about
	// 100 in the maps of net/http and of the request to the target, usual ones far less.
	freeHeaderBytes = 2 << 10
	headerFactor    = 8
)

// Sizes of the kernel's buffers for a connection.
const (
	// readBufferBytes is the size with which Linux starts, which would grow to megabytes. It
	// bounds what waits while the daemon does not read, for instance behind a request that
	// is being served. The kernel allows twice as much for its bookkeeping. 16 KiB delayed
	// ordinary bodies by 200 ms.
	readBufferBytes = 64 << 10
	// bodyReadBufferBytes is the size once a longer body was read: 128 KiB in flight carry
	// 20 Mbit/s over a link of 50 ms.
	bodyReadBufferBytes = 128 << 10
	// writeBufferBytes bounds what is not acknowledged, and unsentBytes what is not sent.
	// The latter remains while a caller does not read.
	writeBufferBytes = 256 << 10
	unsentBytes      = 16 << 10
	// writePartBytes is the size of the parts in which an answer is written. A caller that
	// takes such a part within stallTime makes progress.
	writePartBytes = 16 << 10
)

// phase is what a connection is used for.
type phase int

const (
	phaseNew    phase = iota // nothing was read yet
	phaseHeader              // a header is being read
	phaseBody                // a body is being read
	phaseServed              // a request is complete, or being refused
	phaseIdle
)

// Guard bounds what one connection holds. It implements membudget.Holder.
type Guard struct {
	conn  net.Conn
	pool  *Pool
	share *membudget.Share // used by the reader of the connection only
	// enlarged means that the read buffer has bodyReadBufferBytes. It is used by the
	// handler only.
	enlarged bool

	mu       sync.Mutex
	phase    phase
	since    time.Time // start of the phase, or of a body's latest progress
	progress int       // bytes of a body since then
	readAt   time.Time // of the latest bytes of a body
	header   int       // bytes of the header
	body     int64     // bytes of the body
	writing  time.Time // start of a write that has not ended; zero for none
	evicted  bool      // the body that is being read has lost its memory
}

func newGuard(conn net.Conn, p *Pool, now time.Time) *Guard {
	g := &Guard{conn: conn, pool: p, since: now}
	g.share = p.budget.NewConnShare(g)
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A connection without these limits works, and errors mean that it is closed.
		_ = tcp.SetReadBuffer(readBufferBytes)
		_ = tcp.SetWriteBuffer(writeBufferBytes)
		limitUnsent(tcp)
	}
	return g
}

// limitUnsent bounds the bytes that wait in the kernel and were not sent.
func limitUnsent(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
}

// unread returns the number of bytes that wait in the kernel while a request is served.
func (g *Guard) unread() (n int) {
	g.mu.Lock()
	served := g.phase == phaseServed
	g.mu.Unlock()
	tcp, ok := g.conn.(*net.TCPConn)
	if !served || !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }) // 0 if the connection is closed
	return n
}

// arrived counts n bytes that were read. It returns an error if the header is too long, or
// no memory is left for it.
func (g *Guard) arrived(n int) error {
	g.mu.Lock()
	switch g.phase {
	case phaseNew, phaseIdle:
		g.phase, g.since, g.header = phaseHeader, time.Now(), 0
	case phaseBody:
		g.readAt = time.Now()
		g.body += int64(n)
		if g.progress += n; g.progress >= progressBytes {
			g.progress, g.since = 0, time.Now()
		}
	}
	if g.phase != phaseHeader {
		g.mu.Unlock()
		return nil
	}
	before := headerCost(g.header)
	g.header += n
	cost, tooLong := headerCost(g.header)-before, g.header > g.pool.headerLimit()
	g.mu.Unlock()
	if tooLong {
		g.pool.countClosed(closedHeader, g.conn.RemoteAddr(), g.held())
		g.refuse("431 Request Header Fields Too Large\r\n")
		return readError(errors.New("the header is too long"))
	}
	if cost > 0 {
		if err := g.share.Grow(cost, func() {}); err != nil {
			g.pool.countClosed(closedMemory, g.conn.RemoteAddr(), g.held())
			g.refuse("503 Service Unavailable\r\nRetry-After: 1\r\n")
			return readError(err)
		}
	}
	return nil
}

// refuse answers a request whose header is not read to its end, so that no handler has run. An
// error of the write doesn't matter, since the connection is closed.
func (g *Guard) refuse(status string) {
	_ = g.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = g.conn.Write([]byte("HTTP/1.1 " + status + "Connection: close\r\nContent-Length: 0\r\n\r\n"))
}

// HeaderReadLimit returns the size of a header that is not read any further, for a limit of the
// configuration; 0 for none. net/http has the same bound then.
func HeaderReadLimit(limit int) int {
	if limit <= 0 {
		return http.DefaultMaxHeaderBytes
	}
	return 2*limit + headerSlack
}

func headerCost(header int) int { return headerFactor * max(0, header-freeHeaderBytes) }

// readError returns an error after which net/http closes a connection without an answer.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// writes records the start of a write, or its end by the zero time.
func (g *Guard) writes(start time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.writing = start
}

// stateChanged is called for each change of the state of the connection in net/http.
func (g *Guard) stateChanged(s http.ConnState) {
	switch s {
	case http.StateActive:
		g.setPhase(phaseServed)
	case http.StateIdle:
		g.mu.Lock()
		header := g.header
		g.header, g.body = 0, 0
		g.mu.Unlock()
		if cost := headerCost(header); cost > 0 {
			g.share.Shrink(cost)
		}
		g.share.Renew()
		g.setPhase(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		g.share.Release()
		g.pool.remove(g)
	}
}

func (g *Guard) setPhase(p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.phase, g.since, g.progress, g.evicted = p, time.Now(), 0, false
}

// held returns what was read of the request.
func (g *Guard) held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.header) + g.body
}

// BodyBegins is called before a body of length bytes is read, -1 if unknown.
func (g *Guard) BodyBegins(length int64) {
	g.setPhase(phaseBody)
	if tcp, ok := g.conn.(*net.TCPConn); ok && !g.enlarged && (length < 0 || length > readBufferBytes) {
		g.enlarged = tcp.SetReadBuffer(bodyReadBufferBytes) == nil
	}
}

// BodyRefused is called if a body was refused for want of memory.
func (g *Guard) BodyRefused() { g.pool.tally.add(g.conn.RemoteAddr(), g.held()) }

// Evicted reports whether the body that is being read has lost its memory.
func (g *Guard) Evicted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evicted
}

// BodyEnds is called when a body was read or refused.
func (g *Guard) BodyEnds() {
	g.setPhase(phaseServed)
}

// StalledFor implements membudget.Holder.
func (g *Guard) StalledFor(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalledFor(now)
}

// stalledFor is StalledFor for callers that hold mu.
func (g *Guard) stalledFor(now time.Time) time.Duration {
	since := now
	switch g.phase {
	case phaseNew, phaseHeader:
		since = g.since
	case phaseBody:
		if now.Sub(g.readAt) > settleTime {
			since = g.since
		}
	case phaseServed:
		if !g.writing.IsZero() {
			since = g.writing
		}
	}
	if stalled := now.Sub(since); stalled > stallTime {
		return stalled
	}
	return 0
}

// stalled reports whether the caller stalls. The caller of stalled holds mu.
func (g *Guard) stalled(now time.Time) bool { return g.stalledFor(now) > 0 }

// Evict implements membudget.Holder. A caller that has sent no complete request is refused
// or closed by the reader of its connection.
func (g *Guard) Evict() {
	if g.evict(time.Now()) {
		g.pool.countClosed(closedMemory, g.conn.RemoteAddr(), g.held())
	}
}

// evict is Evict unless the caller has made progress meanwhile. It holds mu, so that a body
// doesn't end before its deadline is set, which would hit the request that is served then.
func (g *Guard) evict(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.stalled(now):
		return false
	case g.phase == phaseServed:
		_ = g.conn.Close() // it may be closed already
	default:
		g.evicted = true
		_ = g.conn.SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed already
	}
	return true
}

// closeRank returns how early a connection is closed when there are too many: the lowest
// rank first, and within a rank the one that is in it for longest. It returns false if the
// connection must stay.
func (g *Guard) closeRank(now time.Time) (rank int, since time.Time, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.phase == phaseIdle:
		return 0, g.since, true
	case (g.phase == phaseNew || g.phase == phaseHeader) && now.Sub(g.since) > minCloseAge, g.stalled(now) && g.phase == phaseBody:
		return 1, g.since, true
	case g.stalled(now):
		return 2, g.writing, true
	}
	return 0, time.Time{}, false
}

type guardKey struct{}

// ConnContext is the ConnContext of an http.Server with a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(*Conn); ok && t.guard != nil {
		return context.WithValue(ctx, guardKey{}, t.guard)
	}
	return ctx
}

// GuardOf returns the guard of a request's connection by its context, or nil.
func GuardOf(ctx context.Context) *Guard {
	g, _ := ctx.Value(guardKey{}).(*Guard)
	return g
}
