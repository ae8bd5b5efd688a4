package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
)

// Bounds of borrowing.
const (
	borrowPause   = 100 * time.Millisecond // between two asks for the same permit
	borrowTimeout = time.Second            // of one message
	maxLenders    = 3                      // asked for one request
	maxLentBlocks = 64                     // prefix blocks of a prompt that are sent along
	returnTries   = 60
	returnPause   = time.Second
)

// borrow asks homes of the lane for a permit, one after another, until one
// grants. The first final refusal with a time to come back stands if none does.
func (n *Node) borrow(ctx context.Context, q ask, lenders []membership.Member) (*permit, *failure.Error) {
	end := time.Now().Add(q.wait)
	refused := failure.New(failure.NoTarget, q.outcome(), "borrow", "", "no daemon can grant a target").WithRetryAfter(retryAfter)
	for i, at := range rand.Perm(len(lenders)) {
		if i == maxLenders {
			break
		}
		q.wait = time.Until(end)
		p, e := n.borrowFrom(ctx, q, lenders[at])
		if p != nil || ctx.Err() != nil {
			return p, e
		}
		if i == 0 || e.Code != failure.NoTarget {
			refused = e
		}
	}
	return nil, refused
}

// borrowFrom repeats an ask until its lender decided.
func (n *Node) borrowFrom(ctx context.Context, q ask, lender membership.Member) (*permit, *failure.Error) {
	m := borrowMessage{
		Nonce: rand.Uint64(), Request: q.want.ID, Workspace: q.workspace, Service: q.want.Service.Name, Side: string(q.want.System),
		Labels: q.want.Labels, Priority: q.priority, Bytes: q.bytes, Retry: q.retry, Wait: q.wait, Exclude: q.want.Exclude,
		Version: q.want.Version, Blocks: q.want.Blocks[:min(maxLentBlocks, len(q.want.Blocks))], FromPlace: n.self.Place,
	}
	end := time.Now().Add(q.wait)
	for {
		r, err := n.askLender(ctx, lender, m)
		switch {
		case err == nil && r.State == lentGranted:
			return n.lentPermit(lender, m.Nonce, r.Target)
		case err == nil && r.State == lentRefused:
			return nil, failure.New(r.Code, r.Outcome, "borrow", lender.ID, "%s", r.Message).WithRetryAfter(r.RetryAfter)
		case ctx.Err() != nil:
			n.giveUp(lender, m.Nonce)
			return nil, failure.Wrap(ctx.Err(), failure.Canceled, q.outcome(), "borrow", lender.ID)
		case err != nil || time.Now().After(end):
			n.giveUp(lender, m.Nonce)
			return nil, failure.New(failure.NoTarget, q.outcome(), "borrow", lender.ID, "the daemon did not decide").WithRetryAfter(retryAfter)
		}
		pause.For(ctx, borrowPause)
	}
}

func (n *Node) askLender(ctx context.Context, lender membership.Member, m borrowMessage) (lentReply, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var r lentReply
	err := n.transport.Call(ctx, lender.PeerAddress, kindBorrow, m, &r)
	return r, err
}

func (n *Node) giveUp(lender membership.Member, nonce uint64) {
	n.spawn(func() { n.giveBack(lender, returnMessage{Nonce: nonce, Ended: true}) })
}

// lentPermit makes the permit that another daemon granted.
func (n *Node) lentPermit(lender membership.Member, nonce uint64, name string) (*permit, *failure.Error) {
	t, ok := n.snapshot.Load().Target(name)
	if !ok {
		n.giveUp(lender, nonce)
		return nil, failure.New(failure.NoTarget, failure.NotRun, "borrow", lender.ID, "target %q is not configured here", name).WithRetryAfter(retryAfter)
	}
	p := &permit{n: n, target: t}
	p.back = func(ended bool) {
		m := returnMessage{Nonce: nonce, Ended: ended}
		if !ended {
			m.Streams = p.noted()
		}
		n.spawn(func() { n.giveBack(lender, m) })
	}
	return p, nil
}

// giveBack repeats a return until the lender has it, is gone, or this daemon
// stops; then the lender sees that this daemon is gone.
func (n *Node) giveBack(lender membership.Member, m returnMessage) {
	for range returnTries {
		ctx, cancel := context.WithTimeout(n.background, borrowTimeout)
		err := n.transport.Call(ctx, lender.PeerAddress, kindReturn, m, nil)
		cancel()
		if err == nil || n.background.Err() != nil || n.view.Load().Terminated(lender.ID, lender.Incarnation) {
			return
		}
		pause.For(n.background, returnPause)
	}
}
