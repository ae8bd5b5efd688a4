package node

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/membership"
)

// relayTimeout bounds one call that relays a message.
const relayTimeout = time.Second

// branchCall sends a message to the member of one branch of a relay tree.
type branchCall func(context.Context, membership.Branch) error

// relay sends a message along a tree to the members on an arc of the hash ring. It sends
// the message to the member of each branch, which relays it to the members on the arc of
// that branch. If sending to the member fails, this daemon relays on that arc instead.
// salt varies the tree between messages.
func (n *Node) relay(ctx context.Context, salt uint64, arc membership.Arc, timeout time.Duration, send branchCall) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, b := range n.view.Load().Branches(salt, arc) {
		wg.Go(func() {
			if b.Member.ID == n.self.ID {
				if b.NeedsRelay {
					n.relay(ctx, salt, b.RelayArc, timeout, send)
				}
				return
			}
			if sendBranch(ctx, b, timeout, send) != nil && b.NeedsRelay && ctx.Err() == nil {
				n.relay(ctx, salt, b.RelayArc, timeout, send)
			}
		})
	}
}

func sendBranch(ctx context.Context, b membership.Branch, timeout time.Duration, send branchCall) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(ctx, b)
}
