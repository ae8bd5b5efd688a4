package callers

import (
	"fmt"
	"net"
	"testing"
)

// TestTally guards against a log line that names another caller than the one with most of the
// connections, and against a tally that grows with the number of callers.
func TestTally(t *testing.T) {
	var tally tally
	address := func(host string) net.Addr {
		return &net.TCPAddr{IP: net.ParseIP(host), Port: 1}
	}
	for range 3 {
		tally.add(address("10.0.0.2"), 100)
	}
	for i := range 2 * maxTallied {
		tally.add(address(fmt.Sprintf("10.1.%d.%d", i/250, i%250)), 1)
	}
	if n := len(tally.hosts); n > maxTallied+1 {
		t.Errorf("the tally has %d hosts, want at most %d", n, maxTallied+1)
	}
	tally.add(address("10.0.0.2"), 100)
	delete(tally.hosts, otherHosts)
	if host, most := tally.takeMost(); host != "10.0.0.2" || most != (limited{4, 400}) {
		t.Errorf("most are of %s, %+v", host, most)
	}
	if host, most := tally.takeMost(); host != "" || most != (limited{}) {
		t.Errorf("%s is named again, %+v", host, most)
	}
}

// TestResources guards against bounds that exceed what the process has, or leave no connection.
func TestResources(t *testing.T) {
	for _, c := range []struct {
		r              Resources
		callers, peers int
	}{
		{Resources{}, NoBound, NoBound},
		{Resources{MemoryBytes: 144 << 20}, 1152, 1024},
		{Resources{FDs: 450}, 70, 70},
		{Resources{MemoryBytes: 144 << 20, FDs: 3000}, 787, 787},
		{Resources{MemoryBytes: 1 << 20, FDs: 100}, MinConns, MinConns},
	} {
		if callers, peers := c.r.CallerConns(), c.r.PeerConns(); callers != c.callers || peers != c.peers {
			t.Errorf("%+v: %d and %d connections, want %d and %d", c.r, callers, peers, c.callers, c.peers)
		}
	}
}
