// Package pipelistener is a net.Listener without a network, for tests of servers.
package pipelistener

import (
	"net"
	"sync"
)

// Listener accepts one connection at a time, the far end of a net.Pipe.
type Listener struct {
	Conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// New returns a listener that accepts what is sent to Conns.
func New() *Listener { return &Listener{Conns: make(chan net.Conn, 1), done: make(chan struct{})} }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.Conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return &net.TCPAddr{} }
