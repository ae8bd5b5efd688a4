// Package brokenconn distinguishes an orderly end of a connection from a reset that only its
// writer has seen.
package brokenconn

import (
	"io"
	"net"
	"sync"
)

// Conn is a connection whose Read returns io.EOF only if no write has failed. The kernel reports
// a reset once: if a write gets the error, the next read finds an end as if the peer had closed
// the connection in order, and a part of an answer without a length looks complete.
type Conn struct {
	net.Conn

	mu     sync.Mutex // held during a write
	failed bool
}

// New returns conn as a Conn.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.failed = c.failed || err != nil
	return n, err
}

// Read implements net.Conn. At an end it waits for a write in progress, which fails soon if the
// peer has closed the connection.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != io.EOF {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
