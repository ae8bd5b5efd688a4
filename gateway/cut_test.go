package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/platform"
)

// cutKind is what happens to connections between a daemon and the targets during a cut.
type cutKind string

const (
	cutHang   cutKind = "connections hang"
	cutReset  cutKind = "connections are reset"
	cutRefuse cutKind = "connections live on while new ones are refused"
)

// cuttableLinks are the links of one daemon to all targets.
type cuttableLinks struct {
	mu    sync.Mutex
	kind  cutKind // empty while the links are sound
	conns map[*cuttableConn]bool
}

func (l *cuttableLinks) dial(ctx context.Context, t fleet.Target) (net.Conn, error) {
	l.mu.Lock()
	kind := l.kind
	l.mu.Unlock()
	switch kind {
	case cutHang:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutReset, cutRefuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	conn, err := platform.DialTarget(ctx, t)
	if err != nil {
		return nil, err
	}
	c := &cuttableConn{Conn: conn, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*cuttableConn]bool)
	}
	l.conns[c] = true
	return c, nil
}

// cut cuts the links; an empty kind restores them.
func (l *cuttableLinks) cut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
	for c := range l.conns {
		switch kind {
		case cutHang:
			c.hang()
		case cutReset:
			_ = c.Close()
		}
	}
}

// cuttableConn is a connection that may hang for good.
type cuttableConn struct {
	net.Conn
	links  *cuttableLinks
	mu     sync.Mutex
	hangs  bool
	once   sync.Once
	closed chan struct{}
}

func (c *cuttableConn) hang() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hangs = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read in progress
}

func (c *cuttableConn) hanging() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hangs
}

// Read implements net.Conn.
func (c *cuttableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.hanging() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *cuttableConn) Write(b []byte) (int, error) {
	if c.hanging() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *cuttableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// cutEnv is three daemons and four targets; the links of the first daemon can be cut.
type cutEnv struct {
	*testEnv
	links    cuttableLinks
	cut, far Settings // the daemon that is cut off, and another one
}

func newCutEnv(t *testing.T) *cutEnv {
	e := &cutEnv{testEnv: newTestEnv(t)}
	e.put(platform.ConfigurationKind, platform.ConfigurationName, map[string]any{"version": 1, "routes": []any{map[string]any{
		"name": "a", "host": "h", "path_prefix": "/a/", "kind": "idempotent", "timeout_ms": 1500, "slo_ms": 200, "max_attempts": 2, "service": "s", "public": true,
	}}})
	for i := range 4 {
		target := httptest.NewServer(reportingTarget(fmt.Sprint("i-", i)))
		t.Cleanup(func() {
			target.CloseClientConnections()
			target.Close()
		})
		e.registerTarget(fmt.Sprint("i-", i), target)
	}
	store := e.store.Listener.Addr().String()
	e.cut, _ = e.startDaemonWithLinks("vm-1", store, e.links.dial)
	e.far, _ = e.startDaemon("vm-2", store, e.cut.Peers)
	_, _ = e.startDaemon("vm-3", store, e.cut.Peers)
	for _, s := range []Settings{e.cut, e.far} {
		eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == http.StatusOK })
	}
	eventually(func() bool {
		live, _ := e.gateways["vm-1"].members.othersByLiveness()
		return len(live) == 2
	})
	return e
}

// reportingTarget is a target that answers reports, too.
func reportingTarget(id string) http.Handler {
	return targetHandler(id, func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/-/report" {
			rw.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprint(rw, `{"queued":0,"runs":[]}`)
			return
		}
		_, _ = fmt.Fprintf(rw, "served %s", r.URL.Path)
	})
}

// servedInARow sends requests to a daemon until so many in a row were served, and reports
// whether that came about within six times as many requests.
func servedInARow(address string, want int) bool {
	inARow := 0
	for range 6 * want {
		if status, _ := get(address, "/a/x"); status == http.StatusOK {
			inARow++
		} else {
			inARow = 0
		}
		if inARow == want {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return false
}

// TestDaemonWithoutLinksServes guards against callers who are refused because their daemon
// has lost its links to all targets while other daemons have theirs, and against other
// daemons that take its targets for dead.
func TestDaemonWithoutLinksServes(t *testing.T) {
	for _, kind := range []cutKind{cutHang, cutReset, cutRefuse} {
		t.Run(string(kind), func(t *testing.T) {
			Convey("Given a daemon whose "+string(kind), t, func() {
				e := newCutEnv(t)
				e.links.cut(kind)
				So(servedInARow(e.cut.Callers, 10), ShouldBeTrue)
				So(servedInARow(e.far.Callers, 10), ShouldBeTrue)
				So(e.gateways["vm-2"].events.Counts(), ShouldNotContainKey, event.TargetTerminated)

				Convey("its callers are served when the links are back, too", func() {
					e.links.cut("")
					So(servedInARow(e.cut.Callers, 10), ShouldBeTrue)
				})
			})
		})
	}
}
