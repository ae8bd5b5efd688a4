package callers

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Times for headers.
const (
	// HeaderTimeout is the time for a header if the configuration sets none, and for the first
	// bytes on a new connection.
	HeaderTimeout = 10 * time.Second
	// MaxHeaderTimeout bounds a configured time. net/http closes the connection then.
	MaxHeaderTimeout = 2 * time.Minute
	// lateHeaderTime is added, so that a header is read that arrived in time while the daemon
	// was late itself.
	lateHeaderTime = 100 * time.Millisecond
)

var errLateHeader = errors.New("the header is not complete in time")

// HeaderLimits bounds the time from the first byte of a header to its end.
type HeaderLimits struct {
	// Timeout returns the configured time; 0 if there is none.
	Timeout func() time.Duration

	refused atomic.Int64
}

// Refused returns the number of headers that were answered with 408.
func (h *HeaderLimits) Refused() int64 { return h.refused.Load() }

// awaitHeader starts the time for the first byte on a new connection. A connection without one
// gets no answer, since its caller has no request to be answered.
func (c *Conn) awaitHeader() {
	if c.header == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startHeaderTimer(max(HeaderTimeout, c.header.Timeout()), false)
}

// beginHeader starts the time for a header whose first bytes were read. The caller holds mu.
func (c *Conn) beginHeader() {
	if c.header == nil {
		return
	}
	if limit := c.header.Timeout(); limit > 0 {
		c.startHeaderTimer(limit, true)
	} else {
		c.startHeaderTimer(HeaderTimeout, false)
	}
}

// startHeaderTimer replaces the timer of the header. The caller holds mu.
func (c *Conn) startHeaderTimer(limit time.Duration, answer bool) {
	if c.headerTimer != nil {
		c.headerTimer.Stop()
	}
	c.headerOpen, c.headerAnswer = true, answer
	var timer *time.Timer
	timer = time.AfterFunc(limit, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.headerOpen && c.headerTimer == timer {
			c.headerLate = true
			_ = c.Conn.SetReadDeadline(time.Now().Add(lateHeaderTime)) // fails if the connection is closed already
		}
	})
	c.headerTimer = timer
}

// SetReadDeadline implements net.Conn. net/http sets its own deadline within a header, which must
// not replace that of a late one.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headerLate && c.headerOpen {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// endHeader ends the time for a header, since it is complete or the connection is closed.
func (c *Conn) endHeader() {
	if c.header == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerOpen = false
	if c.headerTimer != nil {
		c.headerTimer.Stop()
	}
	if c.headerLate {
		c.headerLate = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // the callers' port has no other one
	}
}

// refuseLateHeader reports whether a read failed because the time of the header is over, and
// answers it with 408 if that is configured. Nothing was passed to a handler, and the
// connection is closed, so the request has not run and never will.
func (c *Conn) refuseLateHeader() bool {
	c.mu.Lock()
	late, answer := c.headerLate && c.headerOpen, c.headerAnswer
	c.headerOpen = c.headerOpen && !late
	c.mu.Unlock()
	if late && answer {
		c.header.refused.Add(1)
		_ = c.Conn.SetWriteDeadline(time.Now().Add(time.Second)) // an error doesn't matter: the connection is closed
		_, _ = c.Conn.Write([]byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
	}
	return late
}
