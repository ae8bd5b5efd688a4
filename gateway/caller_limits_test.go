package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// TestRelayBound guards against a bound for relayed connections that doesn't follow the VM, or
// that changes where neither memory_mb nor max_fds is set.
func TestRelayBound(t *testing.T) {
	for _, c := range []struct {
		memoryMB int
		maxFDs   int
		want     int
	}{{0, 0, 0}, {144, 0, 384}, {536, 0, 1429}, {0, 10_250, 314}, {144, 3000, 87}, {536, 10_250, 314}, {1, 0, callers.MinConns}, {144, 100, callers.MinConns}} {
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
	answer := g.limits.Budget.NewShare()
	defer answer.Release()
	body := g.limits.Budget.NewBodyShare()
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
