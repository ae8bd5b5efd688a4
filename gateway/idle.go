package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// idleCheckInterval is the time between two checks for idle connections.
const idleCheckInterval = time.Second

// idleTracker records since when each connection is idle, so that connections idle for
// longer than the configuration allows can be closed. The idle timeout of http.Server
// can't be changed while it runs.
type idleTracker struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleTracker() *idleTracker { return &idleTracker{idleSince: make(map[net.Conn]time.Time)} }

// stateChanged is the ConnState hook of http.Server.
func (i *idleTracker) stateChanged(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.idleSince[c] = time.Now()
		return
	}
	delete(i.idleSince, c)
}

// removeExpired removes and returns the connections that have been idle for at least
// limit.
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

// closeIdleConns closes connections that exceed the configured idle timeout, until ctx
// is done.
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
			expired := g.idleConns.removeExpired(now, table.Limits.IdleTimeout)
			for _, c := range expired {
				_ = c.Close() // the caller may already have closed it
			}
			if len(expired) > 0 {
				g.events.Record(event.IdleClosed, "", event.F("connections", strconv.Itoa(len(expired))),
					event.F("limit", table.Limits.IdleTimeout.String()), event.F("version", strconv.FormatInt(table.Version, 10)))
			}
		}
	}
}
