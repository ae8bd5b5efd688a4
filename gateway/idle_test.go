package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newIdleTracker()
		pipeA, pipeB := net.Pipe()
		a, b := &trackedConn{Conn: pipeA}, &trackedConn{Conn: pipeB}
		tracker.stateChanged(a, http.StateNew)
		tracker.stateChanged(b, http.StateNew)
		tracker.stateChanged(a, http.StateIdle)
		time.Sleep(10 * time.Second)
		tracker.stateChanged(b, http.StateIdle)
		if got := tracker.expire(time.Now(), 15*time.Second); len(got) != 0 {
			t.Fatal("a connection expired before it was idle for the limit")
		}
		tracker.stateChanged(a, http.StateActive)
		time.Sleep(15 * time.Second)
		if got := tracker.expire(time.Now(), 15*time.Second); len(got) != 1 || got[0] != net.Conn(b) {
			t.Fatalf("expired connections %v, want only the one that stayed idle", got)
		}
	})
}

// pipeListener accepts one connection, without a network.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestRequestsOnIdleConnectionsAreAnswered guards against requests that are lost because
// their connection was closed as idle while they arrived: net/http reports a connection
// as active only once it has the complete header.
func TestRequestsOnIdleConnectionsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newIdleTracker()
		listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		server := &http.Server{ConnState: tracker.stateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})}
		go func() { _ = server.Serve(trackedListener{Listener: listener}) }()
		defer func() { _ = server.Close() }()
		caller, accepted := net.Pipe()
		listener.conns <- accepted
		answers := bufio.NewReader(caller)
		request := func(parts ...string) error {
			for _, p := range parts {
				if _, err := io.WriteString(caller, p); err != nil {
					return err
				}
				synctest.Wait()
				for _, c := range tracker.expire(time.Now(), 15*time.Second) {
					_ = c.Close()
				}
			}
			answer, err := http.ReadResponse(answers, nil)
			if err == nil {
				_ = answer.Body.Close()
			}
			return err
		}
		if err := request("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal("first request:", err)
		}
		time.Sleep(20 * time.Second)
		if err := request("GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"); err != nil {
			t.Error("a request whose first bytes were read before its connection expired:", err)
		}
	})
}

// heldConn is a connection whose reads return after release was closed.
type heldConn struct {
	net.Conn
	release chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	<-c.release
	return n, err
}

// TestReadRequestsOutliveExpiry guards against requests that were read from a connection
// at the moment at which it expired as idle, and were dropped.
func TestReadRequestsOutliveExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newIdleTracker()
		listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
		server := &http.Server{ConnState: tracker.stateChanged, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})}
		go func() { _ = server.Serve(trackedListener{Listener: listener}) }()
		defer func() { _ = server.Close() }()
		caller, pipe := net.Pipe()
		accepted := &heldConn{pipe, make(chan struct{})}
		close(accepted.release)
		listener.conns <- accepted
		answers := bufio.NewReader(caller)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadResponse(answers, nil); err != nil {
			t.Fatal("first request:", err)
		}
		synctest.Wait()
		accepted.release = make(chan struct{})
		time.Sleep(20 * time.Second)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		tracker.expire(time.Now(), 15*time.Second)
		close(accepted.release)
		if _, err := http.ReadResponse(answers, nil); err != nil {
			t.Error("a request that was read when its connection expired:", err)
		}
	})
}

// TestPipelinedRequestsAreBusy guards against requests that are cut as if their connection
// were idle, or not waited for by a stop: nothing is read from the connection for a
// request that was read together with the previous one.
func TestPipelinedRequestsAreBusy(t *testing.T) {
	for name, end := range map[string]func(tracker *idleTracker){
		"the idle timeout passes": func(tracker *idleTracker) { tracker.expire(time.Now(), 15*time.Second) },
		"the daemon stops":        func(tracker *idleTracker) { tracker.retire() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := newIdleTracker()
				listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
				var canceled error
				server := &http.Server{ConnState: tracker.stateChanged, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/slow" {
						time.Sleep(30 * time.Second)
						canceled = r.Context().Err()
					}
				})}
				go func() { _ = server.Serve(trackedListener{Listener: listener}) }()
				defer func() { _ = server.Close() }()
				caller, accepted := net.Pipe()
				listener.conns <- accepted
				answers := bufio.NewReader(caller)
				if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				if _, err := http.ReadResponse(answers, nil); err != nil {
					t.Fatal("first request:", err)
				}
				time.Sleep(20 * time.Second)
				if n := tracker.busy(); n != 1 {
					t.Errorf("%d busy connections while a request is served, want 1", n)
				}
				end(tracker)
				if _, err := http.ReadResponse(answers, nil); err != nil {
					t.Error("second request:", err)
				}
				if canceled != nil {
					t.Error("the request was canceled as if its caller had left:", canceled)
				}
			})
		})
	}
}

// TestArrivedRequestsOutliveExpiry guards against requests that are lost because their
// connection expired as idle after their bytes had arrived and before they were read, for
// instance while the process waited for a CPU.
func TestArrivedRequestsOutliveExpiry(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	accepted, err := trackedListener{Listener: listener}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	tracker := newIdleTracker()
	tracker.stateChanged(accepted, http.StateNew)
	if _, err := io.WriteString(caller, "GET /"); err != nil {
		t.Fatal(err)
	}
	tracker.retire()
	got := make([]byte, 5)
	if n, err := accepted.Read(got); err != nil || string(got[:n]) != "GET /" {
		t.Errorf("read %q and error %v of an expired connection, want the request that had arrived", got[:n], err)
	}
	if n := tracker.busy(); n != 1 {
		t.Errorf("%d busy connections, want the one with the request", n)
	}
	tracker.stateChanged(accepted, http.StateIdle)
	tracker.retire()
	if n, err := accepted.Read(got); err == nil {
		t.Errorf("read %q of an expired connection without a request, want an error", got[:n])
	}
}
