package gateway

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/lag"
)

// TestDaemonShortOfConnectionsIsLeftOut guards against daemons that keep getting callers when almost all
// of their connections are in use, and against refusing those that come nevertheless: two of three
// daemons list the third one again once its callers have left.
func TestDaemonShortOfConnectionsIsLeftOut(t *testing.T) {
	env := newTestEnv(t)
	env.configure(1, "/a/")
	env.registerTarget("i-1", env.target)
	env.change = func(s *Settings) { s.MaxFDs = 250 } // 16 connections of callers
	store := env.store.Listener.Addr().String()
	var daemons []Settings
	for _, id := range []string{"vm-1", "vm-2", "vm-3"} {
		s, _ := env.startDaemon(id, store)
		daemons = append(daemons, s)
		eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
	}
	lists := func(s Settings, other Settings) bool {
		_, body := get(s.Directory, "/-/resolve?name=h&zone=p")
		return strings.Contains(body, other.Callers)
	}
	crowded := daemons[0]
	for _, s := range daemons {
		eventually(func() bool { return lists(s, crowded) })
	}
	var conns []net.Conn
	for range 15 {
		c, err := net.Dial("tcp", crowded.Callers)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for _, s := range daemons {
		eventually(func() bool { return !lists(s, crowded) })
	}
	if status, _ := get(crowded.Callers, "/a/x"); status != 200 {
		t.Errorf("status %d at the daemon that is left out, want 200", status)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	for _, s := range daemons {
		eventually(func() bool { return lists(s, crowded) })
	}
}

// TestLateDaemonIsShort guards against callers that are directed to a daemon whose VM is too slow for
// their objective, and against leaving out one that was late once: only lateness in each of three seconds counts.
func TestLateDaemonIsShort(t *testing.T) {
	env := newTestEnv(t)
	env.configure(1, "/a/")
	s, _ := env.startDaemon("vm-1", env.store.Listener.Addr().String())
	g := env.gateways[s.ID]
	eventually(func() bool { return g.table.Load() != nil })
	var meter lag.Meter
	c := &capacity{g: g, lag: meter.Since, objective: 100 * time.Millisecond, version: g.table.Load().Version}
	start := time.Now()
	for second, late := range []time.Duration{90, 95, 0, 90, 95, 99} {
		now := start.Add(time.Duration(second) * time.Second)
		meter.Record(now.Add(-time.Millisecond), late*time.Millisecond)
		c.check(now)
		if want := second == 5; c.short.Load() != want {
			t.Errorf("short %v in second %d, want %v", c.short.Load(), second, want)
		}
	}
}
