package node

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
)

// Limits of the retries of idempotent calls, and of the shard handover of a planned
// stop.
const (
	retriesPerSecond     = 20
	retryBurst           = 40
	shardHandoverTimeout = 20 * time.Second // longest wait for other daemons to take over the shards
)

// confirmationState contains a node's confirmation service and the retry budget of
// idempotent calls.
type confirmationState struct {
	service      confirmation.Service
	pairs        *confirmation.PairService // the same as service; nil in ModeWrites
	retryLimiter *rate.Limiter
}

func (n *Node) buildConfirmations() {
	n.confirmations.retryLimiter = rate.NewLimiter(retriesPerSecond, retryBurst)
	if n.settings.Confirmation.Mode == confirmation.ModeWrites {
		n.confirmations.service = confirmation.NewStoreService(n.platform, &dispatcher{n})
		return
	}
	n.confirmations.pairs = confirmation.NewPairService(confirmation.Config{
		Self: n.self, Settings: n.settings.Confirmation, Loop: n.loop, Transport: n.transport, Store: n.platform,
		View: func() *membership.View { return n.view.Load() }, Dispatcher: &dispatcher{n}, Events: n.events, Trace: n.trace,
	})
	n.confirmations.service = n.confirmations.pairs
}

func (n *Node) runConfirmations(ctx context.Context) {
	if p := n.confirmations.pairs; p != nil {
		n.spawn(func() { p.Run(ctx) })
	}
}

// startShardHandover starts to hand over this daemon's shards to other daemons.
func (n *Node) startShardHandover() {
	if p := n.confirmations.pairs; p != nil {
		p.Leave()
	}
}

// awaitShardHandover waits until other daemons have taken over this daemon's shards,
// at most for shardHandoverTimeout.
func (n *Node) awaitShardHandover() {
	p := n.confirmations.pairs
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), shardHandoverTimeout)
	defer cancel()
	for ctx.Err() == nil && !p.CanStop(ctx) {
		pause.For(ctx, drainPollInterval)
	}
}
