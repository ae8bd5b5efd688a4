package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/pipelistener"
)

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker()
		pipeA, pipeB := net.Pipe()
		a, b := &Conn{Conn: pipeA}, &Conn{Conn: pipeB}
		tracker.ConnState(a, http.StateNew)
		tracker.ConnState(b, http.StateNew)
		tracker.ConnState(a, http.StateIdle)
		time.Sleep(10 * time.Second)
		tracker.ConnState(b, http.StateIdle)
		if got := tracker.Expire(time.Now(), 15*time.Second); len(got) != 0 {
			t.Fatal("a connection expired before it was idle for the limit")
		}
		tracker.ConnState(a, http.StateActive)
		time.Sleep(15 * time.Second)
		if got := tracker.Expire(time.Now(), 15*time.Second); len(got) != 1 || got[0] != net.Conn(b) {
			t.Fatalf("expired connections %v, want only the one that stayed idle", got)
		}
	})
}

// TestRequestsOnIdleConnectionsAreAnswered guards against requests that are lost because
// their connection was closed as idle while they arrived: net/http reports a connection
// as active only once it has the complete header.
func TestRequestsOnIdleConnectionsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker()
		listener := pipelistener.New()
		server := &http.Server{ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})}
		go func() { _ = server.Serve(Listener{Listener: listener}) }()
		defer func() { _ = server.Close() }()
		caller, accepted := net.Pipe()
		listener.Conns <- accepted
		answers := bufio.NewReader(caller)
		request := func(parts ...string) error {
			for _, p := range parts {
				if _, err := io.WriteString(caller, p); err != nil {
					return err
				}
				synctest.Wait()
				for _, c := range tracker.Expire(time.Now(), 15*time.Second) {
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
		tracker := NewTracker()
		listener := pipelistener.New()
		server := &http.Server{ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})}
		go func() { _ = server.Serve(Listener{Listener: listener}) }()
		defer func() { _ = server.Close() }()
		caller, pipe := net.Pipe()
		accepted := &heldConn{pipe, make(chan struct{})}
		close(accepted.release)
		listener.Conns <- accepted
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
		tracker.Expire(time.Now(), 15*time.Second)
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
	for name, end := range map[string]func(tracker *Tracker){
		"the idle timeout passes": func(tracker *Tracker) { tracker.Expire(time.Now(), 15*time.Second) },
		"the daemon stops":        func(tracker *Tracker) { tracker.Retire() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tracker := NewTracker()
				listener := pipelistener.New()
				var canceled error
				server := &http.Server{ConnState: tracker.ConnState, IdleTimeout: 2 * time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/slow" {
						time.Sleep(30 * time.Second)
						canceled = r.Context().Err()
					}
				})}
				go func() { _ = server.Serve(Listener{Listener: listener}) }()
				defer func() { _ = server.Close() }()
				caller, accepted := net.Pipe()
				listener.Conns <- accepted
				answers := bufio.NewReader(caller)
				if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"+"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				if _, err := http.ReadResponse(answers, nil); err != nil {
					t.Fatal("first request:", err)
				}
				time.Sleep(20 * time.Second)
				if n := tracker.Busy(); n != 1 {
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
	accepted, err := Listener{Listener: listener}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	tracker := NewTracker()
	tracker.ConnState(accepted, http.StateNew)
	if _, err := io.WriteString(caller, "GET /"); err != nil {
		t.Fatal(err)
	}
	tracker.Retire()
	got := make([]byte, 5)
	if n, err := accepted.Read(got); err != nil || string(got[:n]) != "GET /" {
		t.Errorf("read %q and error %v of an expired connection, want the request that had arrived", got[:n], err)
	}
	if n := tracker.Busy(); n != 1 {
		t.Errorf("%d busy connections, want the one with the request", n)
	}
	tracker.ConnState(accepted, http.StateIdle)
	tracker.Retire()
	if n, err := accepted.Read(got); err == nil {
		t.Errorf("read %q of an expired connection without a request, want an error", got[:n])
	}
}
