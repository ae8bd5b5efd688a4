package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheckInterval is how often idle connections of callers are looked at.
const idleCheckInterval = time.Second

// idleTracker closes connections of callers that stay idle for longer than the
// configuration allows. The HTTP server has no limit that can change while it runs.
type idleTracker struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleTracker() *idleTracker { return &idleTracker{idleSince: make(map[net.Conn]time.Time)} }

// stateChanged is the ConnState hook of the server.
func (i *idleTracker) stateChanged(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// removeExpired returns the connections that are idle for limit, and forgets them.
func (i *idleTracker) removeExpired(now time.Time, limit time.Duration) (out []net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, idleSince := range i.idleSince {
		if now.Sub(idleSince) >= limit {
			delete(i.idleSince, c)
			out = append(out, c)
		}
	}
	return out
}

// closeIdleConns closes idle connections until ctx ends.
func (g *Gateway) closeIdleConns(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			table := g.table.Load()
			if table == nil || table.Limits.IdleTimeout <= 0 {
				continue
			}
			for _, c := range g.idleConns.removeExpired(now, table.Limits.IdleTimeout) {
				_ = c.Close() // the caller may have closed it first
			}
		}
	}
}
