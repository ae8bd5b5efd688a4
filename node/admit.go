package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
)

// How long a request waits in this daemon's queue before a free permit is requested
// from another home of the targets (a daemon that shares their permits). It is shorter
// for a retry, whose caller already reads an answer that has stalled.
const (
	borrowDelay       = 250 * time.Millisecond
	resumeBorrowDelay = 20 * time.Millisecond
)

// freePermitWait bounds the wait in another home's queue when only a permit that is
// free now is wanted.
const freePermitWait = 50 * time.Millisecond

func (q *permitRequest) borrowDelay() time.Duration {
	if q.retry {
		return resumeBorrowDelay
	}
	return borrowDelay
}

// admit waits until the request has a permit, is refused, or ctx is done. While the
// request waits in the local queue, a few other homes are queried for a free permit.
func (n *Node) admit(ctx context.Context, q permitRequest) (*permit, *failure.Error) {
	p := &pendingRequest{permitRequest: q, allowedTargets: allowedTargets(q.request), reply: make(chan admissionResult, 1)}
	if err := n.loop.Post(func(now time.Time) { n.admission.submit(now, p) }); err != nil {
		return nil, failure.Wrap(err, failure.Canceled, failure.NotRun, "admit", "")
	}
	borrowCtx, stop := context.WithCancel(ctx)
	defer stop()
	borrowTimer := time.NewTimer(q.borrowDelay())
	defer borrowTimer.Stop()
	var borrowed <-chan *permit // nil until borrowTimer fires
	for {
		select {
		case result := <-p.reply:
			stop()
			if len(result.lenders) > 0 {
				return n.borrow(ctx, q, result.lenders)
			}
			return result.permit, result.refusal
		case <-borrowTimer.C:
			borrowed = n.startBorrowing(borrowCtx, q)
		case lentPermit := <-borrowed:
			n.withdraw(p)
			return lentPermit, nil
		case <-ctx.Done():
			n.withdraw(p)
			return nil, failure.Wrap(ctx.Err(), failure.Canceled, p.outcome(), "admit", "")
		}
	}
}

// withdraw removes a request from the queue, or releases its permit if it has one.
func (n *Node) withdraw(p *pendingRequest) {
	_ = n.loop.Post(func(now time.Time) { n.admission.cancel(now, p) })
}

// startBorrowing requests a free permit from other homes, one after another, until
// one grants it or ctx is done. It sends the permit on the returned channel, and
// releases a permit that is not received before ctx is done.
func (n *Node) startBorrowing(ctx context.Context, q permitRequest) <-chan *permit {
	out := make(chan *permit)
	n.spawn(func() {
		for i := range maxLenders {
			if i > 0 && !pause.For(ctx, q.borrowDelay()) {
				return
			}
			if p := n.borrowFreePermit(ctx, q); p != nil {
				select {
				case out <- p:
				case <-ctx.Done():
					p.release(true)
				}
				return
			}
		}
	})
	return out
}

// borrowFreePermit requests a permit that is free now from another home of the lane's
// targets, chosen at random. It returns nil if it gets none.
func (n *Node) borrowFreePermit(ctx context.Context, q permitRequest) *permit {
	lenders, err := control.Call(ctx, n.loop, func(time.Time) []membership.Member {
		return n.admission.plan.lenders(q.lane(), n.view.Load())
	})
	if err != nil || len(lenders) == 0 {
		return nil
	}
	q.maxWait = freePermitWait
	p, _ := n.borrowFrom(ctx, q, lenders[rand.IntN(len(lenders))])
	return p
}
