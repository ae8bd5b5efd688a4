package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// idleCheckInterval is the time between two checks for idle connections.
const idleCheckInterval = time.Second

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
			g.limits.Check(g.events)
			g.capacity.check(now)
			table := g.table.Load()
			if table == nil || table.Limits.IdleTimeout <= 0 {
				continue
			}
			expired := g.idleConns.Expire(now, table.Limits.IdleTimeout)
			if len(expired) > 0 {
				g.events.Record(event.IdleClosed, "", event.F("connections", strconv.Itoa(len(expired))),
					event.F("limit", table.Limits.IdleTimeout.String()), event.F("version", strconv.FormatInt(table.Version, 10)))
			}
		}
	}
}
