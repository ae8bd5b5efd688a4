package client

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

// site is an in-memory network of daemons and clients. Its connections work under
// the virtual clock of synctest, so that results don't depend on how busy the
// machine is.
type site struct {
	mu      sync.Mutex
	daemons map[string]*daemon
}

func newSite() *site { return &site{daemons: make(map[string]*daemon)} }

func (s *site) dial(_ context.Context, _, address string) (net.Conn, error) {
	s.mu.Lock()
	d := s.daemons[address]
	s.mu.Unlock()
	if d == nil {
		return nil, errors.Errorf("no daemon listens at %s", address)
	}
	clientConn, serverConn := net.Pipe()
	select {
	case d.conns <- serverConn:
		return clientConn, nil
	case <-d.closed:
		return nil, errors.Errorf("daemon %s has closed its listener", address)
	}
}

// client returns a client that dials the site's daemons.
func (s *site) client(settings Settings) *Client {
	cl := New(settings)
	cl.http.Transport = &http.Transport{DialContext: s.dial}
	return cl
}

// daemon is a fake daemon. It serves its first request with the first handler, the
// second one with the second, and so on; the last handler serves all further
// requests. It records the requests and is the listener of its own server.
type daemon struct {
	server       *http.Server
	address      string
	conns        chan net.Conn
	closed       chan struct{}
	closeOnce    sync.Once
	mu           sync.Mutex
	handlers     []func(http.ResponseWriter, *http.Request)
	requests     []GenerateRequest
	lastEventIDs []string
}

func (s *site) daemon(handlers ...func(http.ResponseWriter, *http.Request)) *daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &daemon{
		address: fmt.Sprintf("daemon-%d:80", len(s.daemons)), handlers: handlers,
		conns: make(chan net.Conn), closed: make(chan struct{}),
	}
	d.server = &http.Server{Handler: d}
	s.daemons[d.address] = d
	go func() { _ = d.server.Serve(d) }() // returns when stop is called
	return d
}

// Accept implements net.Listener.
func (d *daemon) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (d *daemon) Close() error {
	d.closeOnce.Do(func() { close(d.closed) })
	return nil
}

// Addr implements net.Listener.
func (d *daemon) Addr() net.Addr { return &net.TCPAddr{} }

func (d *daemon) stop() { _ = d.server.Close() }

func (d *daemon) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound) // without a directory the client uses the addresses of its settings
		return
	}
	var q GenerateRequest
	_ = json.NewDecoder(r.Body).Decode(&q)
	d.mu.Lock()
	d.requests, d.lastEventIDs = append(d.requests, q), append(d.lastEventIDs, r.Header.Get("Last-Event-ID"))
	handler := d.handlers[min(len(d.requests), len(d.handlers))-1]
	d.mu.Unlock()
	handler(w, r)
}
