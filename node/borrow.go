package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
)

// Limits of borrowing permits from other daemons.
const (
	borrowRetryInterval = 100 * time.Millisecond // between two messages for the same permit
	borrowTimeout       = time.Second            // for the reply to one message
	maxLenders          = 3                      // daemons queried for one request
	maxBorrowBlocks     = 64                     // prefix blocks of a prompt in one message
	maxReturnAttempts   = 60
	returnRetryInterval = time.Second
)

// borrow requests a permit from up to maxLenders of the lenders, in random order, until
// one of them grants it. If none does, it returns the last refusal whose code is not
// NoTarget, or else the first refusal.
func (n *Node) borrow(ctx context.Context, q permitRequest, lenders []membership.Member) (*permit, *failure.Error) {
	deadline := time.Now().Add(q.maxWait)
	refusal := failure.New(failure.NoTarget, q.outcome(), "borrow", "", "no daemon can grant a target").WithRetryAfter(defaultRetryAfter)
	for i, index := range rand.Perm(len(lenders)) {
		if i == maxLenders {
			break
		}
		q.maxWait = time.Until(deadline)
		p, e := n.borrowFrom(ctx, q, lenders[index])
		if p != nil || ctx.Err() != nil {
			return p, e
		}
		if i == 0 || e.Code != failure.NoTarget {
			refusal = e
		}
	}
	return nil, refusal
}

// borrowFrom repeats a request for a permit until the lender decides or q.maxWait
// has passed.
func (n *Node) borrowFrom(ctx context.Context, q permitRequest, lender membership.Member) (*permit, *failure.Error) {
	m := borrowMessage{
		Nonce: rand.Uint64(), Request: q.request.ID, Workspace: q.workspace, Service: q.request.Service.Name, System: string(q.request.System),
		Labels: q.request.Labels, Priority: q.priority, Bytes: q.bytes, Retry: q.retry, MaxWait: q.maxWait, Exclude: q.request.Exclude,
		Version: q.request.Version, Blocks: q.request.Blocks[:min(maxBorrowBlocks, len(q.request.Blocks))], FromPlace: n.self.Place,
	}
	deadline := time.Now().Add(q.maxWait)
	for {
		reply, err := n.sendBorrow(ctx, lender, m)
		switch {
		case err == nil && reply.State == borrowGranted:
			return n.newBorrowedPermit(lender, m.Nonce, reply.Target)
		case err == nil && reply.State == borrowRefused:
			return nil, failure.New(reply.Code, reply.Outcome, "borrow", lender.ID, "%s", reply.Message).WithRetryAfter(reply.RetryAfter)
		case ctx.Err() != nil:
			n.cancelBorrow(lender, m.Nonce)
			return nil, failure.Wrap(ctx.Err(), failure.Canceled, q.outcome(), "borrow", lender.ID)
		case err != nil || time.Now().After(deadline):
			n.cancelBorrow(lender, m.Nonce)
			return nil, failure.New(failure.NoTarget, q.outcome(), "borrow", lender.ID, "the daemon did not decide").WithRetryAfter(defaultRetryAfter)
		}
		pause.For(ctx, borrowRetryInterval)
	}
}

func (n *Node) sendBorrow(ctx context.Context, lender membership.Member, m borrowMessage) (borrowReply, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	var reply borrowReply
	err := n.transport.Call(ctx, lender.PeerAddress, kindBorrow, m, &reply)
	return reply, err
}

func (n *Node) cancelBorrow(lender membership.Member, nonce uint64) {
	n.spawn(func() { n.returnPermit(lender, returnMessage{Nonce: nonce, Ended: true}) })
}

// newBorrowedPermit returns a permit that another daemon granted.
func (n *Node) newBorrowedPermit(lender membership.Member, nonce uint64, name string) (*permit, *failure.Error) {
	t, ok := n.snapshot.Load().Target(name)
	if !ok {
		n.cancelBorrow(lender, nonce)
		return nil, failure.New(failure.NoTarget, failure.NotRun, "borrow", lender.ID, "target %q is not configured here", name).WithRetryAfter(defaultRetryAfter)
	}
	p := &permit{n: n, target: t}
	p.returnToLender = func(ended bool) {
		m := returnMessage{Nonce: nonce, Ended: ended}
		if !ended {
			m.Streams = p.streamIDs()
		}
		n.spawn(func() { n.returnPermit(lender, m) })
	}
	return p, nil
}

// returnPermit repeats a returnMessage, at most maxReturnAttempts times, until the
// lender acknowledges it, the lender has terminated, or this daemon stops. If this
// daemon stops, the lender learns from the membership that the borrower has terminated.
func (n *Node) returnPermit(lender membership.Member, m returnMessage) {
	for range maxReturnAttempts {
		ctx, cancel := context.WithTimeout(n.background, borrowTimeout)
		err := n.transport.Call(ctx, lender.PeerAddress, kindReturn, m, nil)
		cancel()
		if err == nil || n.background.Err() != nil || n.view.Load().Terminated(lender.ID, lender.Incarnation) {
			return
		}
		pause.For(n.background, returnRetryInterval)
	}
}
