package node

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/membership"
)

// relayTimeout bounds one call of a relayed message.
const relayTimeout = time.Second

// relay sends a message to the members on an arc through a tree: each branch
// covers its own arc. This daemon covers the arc of a branch that failed.
func (n *Node) relay(ctx context.Context, salt uint64, arc membership.Arc, send func(context.Context, membership.Branch) error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, b := range n.view.Load().Branches(salt, arc) {
		wg.Go(func() {
			if n.sendBranch(ctx, b, send) != nil && b.More && ctx.Err() == nil {
				n.relay(ctx, salt, b.Rest, send)
			}
		})
	}
}

func (n *Node) sendBranch(ctx context.Context, b membership.Branch, send func(context.Context, membership.Branch) error) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return send(ctx, b)
}
