package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// TestSlowReadersDoNotStall guards against a caller that loses its answer because it reads
// one part of 64 KiB in more than stallTime, and against one that reads nothing and does not
// count as stalled.
func TestSlowReadersDoNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newConnPool(1, membudget.New(1<<20), func() int { return maxHeaderBytes })
		caller, accepted := net.Pipe()
		conn := &trackedConn{Conn: accepted}
		if !pool.admit(conn, time.Now()) {
			t.Fatal("the connection is not admitted")
		}
		conn.guard.setPhase(phaseServed)
		go func() { _, _ = conn.Write(make([]byte, 64<<10)) }()
		for range 4 {
			time.Sleep(stallTime * 3 / 4)
			if d := conn.guard.StalledFor(time.Now()); d != 0 {
				t.Errorf("a caller that reads 16 KiB each %v stalls for %v", stallTime*3/4, d)
			}
			if _, err := io.ReadFull(caller, make([]byte, writePartBytes)); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		go func() { _, _ = conn.Write([]byte("a")) }()
		time.Sleep(5 * time.Second)
		if d := conn.guard.StalledFor(time.Now()); d != 5*time.Second {
			t.Errorf("a caller that reads nothing for 5s stalls for %v", d)
		}
		_ = caller.Close()
		synctest.Wait()
	})
}

// TestRelayBound guards against a bound for relayed connections that doesn't follow the VM, or
// that changes where neither memory_mb nor max_fds is set.
func TestRelayBound(t *testing.T) {
	for _, c := range []struct {
		memoryMB int
		maxFDs   int
		want     int
	}{{0, 0, 0}, {144, 0, 384}, {536, 0, 1429}, {0, 10_250, 314}, {144, 3000, 87}, {536, 10_250, 314}, {1, 0, minConns}, {144, 100, minConns}} {
		s := DefaultSettings()
		s.MemoryMB, s.MaxFDs = c.memoryMB, c.maxFDs
		if got := newConnLimits(s).relays; got != c.want {
			t.Errorf("%d MB, %d descriptors: %d relayed connections, want %d", c.memoryMB, c.maxFDs, got, c.want)
		}
	}
}

// TestMemoryMetrics guards against a consumer of memory that the metrics leave out.
func TestMemoryMetrics(t *testing.T) {
	e := newTestEnv(t)
	e.change = func(s *Settings) { s.MemoryMB = 144 }
	s, _ := e.startDaemon("d1", e.store.Listener.Addr().String())
	conn, err := net.Dial("tcp", s.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	g := e.gateways["d1"]
	answer := g.limits.buffers.NewShare()
	defer answer.Release()
	body := g.limits.buffers.NewBodyShare()
	defer body.Release()
	for share, n := range map[*membudget.Share]int{answer: 700, body: 30} {
		if err := share.Grow(membudget.FreeBytes+n, func() {}); err != nil {
			t.Fatal(err)
		}
	}
	// The connections of the callers' port and of this request to the operations port count.
	want := []string{"vanillaroad_memory_bodies 30", "vanillaroad_memory_answers 700", fmt.Sprint("vanillaroad_memory_connections ", 2*membudget.ConnBytes), "vanillaroad_memory_peers 0"}
	eventually(func() bool {
		req, err := http.NewRequest(http.MethodGet, "http://"+s.Operations+"/metrics", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Close = true
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body) // a part lacks lines
		for _, line := range want {
			if !strings.Contains(string(text), line+"\n") {
				return false
			}
		}
		return true
	})
}
