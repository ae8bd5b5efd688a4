package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCheck is how often idle connections of callers are looked at.
const idleCheck = time.Second

// idleConns closes connections of callers that stay idle for longer than the
// configuration allows. The HTTP server has no limit that can change while it runs.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// changed is the ConnState hook of the server.
func (i *idleConns) changed(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// expired returns the connections that are idle for limit, and forgets them.
func (i *idleConns) expired(now time.Time, limit time.Duration) (out []net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) >= limit {
			delete(i.since, c)
			out = append(out, c)
		}
	}
	return out
}

// closeIdle closes idle connections until ctx ends.
func (g *Gateway) closeIdle(ctx context.Context) {
	ticker := time.NewTicker(idleCheck)
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
			for _, c := range g.idle.expired(now, table.Limits.IdleTimeout) {
				_ = c.Close() // the caller may have closed it first
			}
		}
	}
}
