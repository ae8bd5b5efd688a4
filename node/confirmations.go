package node

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
)

// Bounds of retries of idempotent calls and of a planned stop.
const (
	retriesPerSecond     = 20
	retryBurst           = 40
	shardHandoverTimeout = 20 * time.Second // longest wait for shards to be handed over
)

// confirmationState is what a node keeps for its confirmations.
type confirmationState struct {
	service      confirmation.Service
	pairs        *confirmation.PairService // nil when pairs are off
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

// startShardHandover begins to hand this daemon's shards over.
func (n *Node) startShardHandover() {
	if p := n.confirmations.pairs; p != nil {
		p.Leave()
	}
}

// awaitShardHandover waits until this daemon's shards are in other hands.
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
