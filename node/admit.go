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
	patience       = 250 * time.Millisecond
	resumePatience = 20 * time.Millisecond
)

// freeWait is how long another home may let an ask wait that is for a permit
// which is free.
const freeWait = 50 * time.Millisecond

func (q *ask) patience() time.Duration {
	if q.retry {
		return resumePatience
	}
	return patience
}

// admit waits until a request has a permit, is refused, or ctx ends. While it
// waits here a few other homes are asked for a permit that is free.
func (n *Node) admit(ctx context.Context, q ask) (*permit, *failure.Error) {
	p := &pending{ask: q, allowed: allowed(q.want), reply: make(chan admitted, 1)}
	if err := n.loop.Post(func(now time.Time) { n.admission.submit(now, p) }); err != nil {
		return nil, failure.Wrap(err, failure.Canceled, failure.NotRun, "admit", "")
	}
	asking, stop := context.WithCancel(ctx)
	defer stop()
	waited := time.NewTimer(q.patience())
	defer waited.Stop()
	var free <-chan *permit // nil until this daemon's queue took too long
	for {
		select {
		case r := <-p.reply:
			stop()
			if len(r.lenders) > 0 {
				return n.borrow(ctx, q, r.lenders)
			}
			return r.permit, r.refused
		case <-waited.C:
			free = n.askElsewhere(asking, q)
		case borrowed := <-free:
			n.withdraw(p)
			return borrowed, nil
		case <-ctx.Done():
			n.withdraw(p)
			return nil, failure.Wrap(ctx.Err(), failure.Canceled, p.outcome(), "admit", "")
		}
	}
}

// withdraw takes an ask out of the queue, or gives its permit back.
func (n *Node) withdraw(p *pending) {
	_ = n.loop.Post(func(now time.Time) { n.admission.cancel(now, p) })
}

// askElsewhere asks other homes, one after another, until one lends a permit or
// ctx ends. A permit that nobody takes from the channel is given back.
func (n *Node) askElsewhere(ctx context.Context, q ask) <-chan *permit {
	out := make(chan *permit)
	n.spawn(func() {
		for i := range maxLenders {
			if i > 0 && !pause.For(ctx, q.patience()) {
				return
			}
			if p := n.borrowFree(ctx, q); p != nil {
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

// borrowFree asks one other home of the lane for a permit that is free now. It
// returns nil if there is none.
func (n *Node) borrowFree(ctx context.Context, q ask) *permit {
	lenders, err := control.Call(ctx, n.loop, func(time.Time) []membership.Member {
		return n.admission.plan.lenders(q.lane(), n.view.Load())
	})
	if err != nil || len(lenders) == 0 {
		return nil
	}
	q.wait = freeWait
	p, _ := n.borrowFrom(ctx, q, lenders[rand.IntN(len(lenders))])
	return p
}
