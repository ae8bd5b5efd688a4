package node

import (
	"bytes"
	"context"
	"net"
	"time"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/internal/exposition"
	"github.com/vanillaroad/vanillaroad/settings"
)

// limitsCheckInterval is the time between two checks of what callers hold.
const limitsCheckInterval = time.Second

// retainedShare is the largest part of the memory for final answers that are kept for callers who
// reconnect.
const retainedShare = 1.0 / 8

// unlimitedBytes is the budget of a daemon whose memory is unknown.
const unlimitedBytes = 1 << 62

// newCallerLimits returns the bounds on what callers hold.
func newCallerLimits(s settings.Settings) *callers.Limits {
	return callers.NewLimits(callers.Resources{MemoryBytes: int64(s.MemoryMB) << 20, FDs: s.MaxFDs}, unlimitedBytes)
}

// limitRetained lowers the size of retained answers to a part of the memory.
func limitRetained(s *settings.Settings) {
	if s.MemoryMB > 0 {
		s.Generation.MaxRetainedBytes = min(s.Generation.MaxRetainedBytes, int64(retainedShare*float64(int64(s.MemoryMB)<<20)))
	}
}

// limitCallers returns the listener of the API with its bounds.
func (n *Node) limitCallers(l net.Listener) net.Listener {
	pool := n.limits.NewPool(n.limits.Resources.CallerConns(), func() int { return callers.HeaderReadLimit(maxHeaderBytes) })
	return callers.Listener{Listener: l, Pool: pool}
}

// checkCallers checks what callers hold until ctx is done.
func (n *Node) checkCallers(ctx context.Context) {
	ticker := time.NewTicker(limitsCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.limits.Check(n.events)
		}
	}
}

// writeLimits writes the state of the bounds.
func (n *Node) writeLimits(out *bytes.Buffer) {
	n.limits.WriteMetrics(out)
	peers, rejected := n.transport.Inbound()
	exposition.WriteValue(out, "peer_connections_accepted", "gauge", peers)
	exposition.WriteValue(out, "peer_connections_rejected", "counter", rejected)
}
