package callers

import (
	"net"
	"sync"
)

// maxTallied bounds the hosts of a tally. Those beyond it are counted as otherHosts.
const (
	maxTallied = 256
	otherHosts = "others"
)

// tally counts, by caller's host, the connections that were closed or refused, and what they held.
type tally struct {
	mu    sync.Mutex
	hosts map[string]limited
}

// limited is what was closed or refused of one host.
type limited struct {
	conns, bytes int64
}

// add counts a connection that was closed or refused and held some bytes of a request.
func (t *tally) add(remote net.Addr, bytes int64) {
	host, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		host = remote.String()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hosts == nil {
		t.hosts = make(map[string]limited)
	}
	if _, known := t.hosts[host]; !known && len(t.hosts) >= maxTallied {
		host = otherHosts
	}
	l := t.hosts[host]
	t.hosts[host] = limited{l.conns + 1, l.bytes + bytes}
}

// takeMost returns the host with the most connections, and empties the tally.
func (t *tally) takeMost() (host string, most limited) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for h, l := range t.hosts {
		if l.conns > most.conns || l.conns == most.conns && h < host {
			host, most = h, l
		}
	}
	t.hosts = nil
	return host, most
}
