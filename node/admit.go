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

// Waits in this daemon's queue before another home of the targets is asked for a
// permit that is free. A caller whose answer stopped has less time.
const (
	borrowDelay       = 250 * time.Millisecond
	resumeBorrowDelay = 20 * time.Millisecond
)

// freePermitWait is how long another home may let an ask wait that is for a permit
// which is free.
const freePermitWait = 50 * time.Millisecond

func (q *permitRequest) borrowDelay() time.Duration {
	if q.retry {
		return resumeBorrowDelay
	}
	return borrowDelay
}

// admit waits until a request has a permit, is refused, or ctx ends. While it
// waits here a few other homes are asked for a permit that is free.
func (n *Node) admit(ctx context.Context, q permitRequest) (*permit, *failure.Error) {
	p := &pendingRequest{permitRequest: q, allowedTargets: allowedTargets(q.request), reply: make(chan admissionResult, 1)}
	if err := n.loop.Post(func(now time.Time) { n.admission.submit(now, p) }); err != nil {
		return nil, failure.Wrap(err, failure.Canceled, failure.NotRun, "admit", "")
	}
	borrowCtx, stop := context.WithCancel(ctx)
	defer stop()
	borrowTimer := time.NewTimer(q.borrowDelay())
	defer borrowTimer.Stop()
	var borrowed <-chan *permit // nil until this daemon's queue took too long
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

// withdraw takes an ask out of the queue, or gives its permit back.
func (n *Node) withdraw(p *pendingRequest) {
	_ = n.loop.Post(func(now time.Time) { n.admission.cancel(now, p) })
}

// startBorrowing asks other homes, one after another, until one lends a permit or
// ctx ends. A permit that nobody takes from the channel is given back.
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

// borrowFreePermit asks one other home of the lane for a permit that is free now. It
// returns nil if there is none.
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
