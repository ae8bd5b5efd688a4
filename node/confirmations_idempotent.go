package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// maxIdempotentTargets is the number of targets tried for one idempotent call.
const maxIdempotentTargets = 3

// isIdempotent reports whether a service's calls may be retried.
func (n *Node) isIdempotent(service string) bool {
	svc, ok := n.snapshot.Load().Service(service)
	return ok && svc.Idempotent
}

// callIdempotent calls a plain service. It retries a failed call on another target
// as long as the daemon's retry budget allows. No confirmation record is stored.
func (n *Node) callIdempotent(ctx context.Context, r confirmation.Request) (confirmation.Record, *failure.Error) {
	exclude := make(map[string]bool)
	lastFailure := failure.New(failure.NoTarget, failure.Unknown, "call", n.self.ID, "no target answered").WithRetryAfter(defaultRetryAfter)
	for attempt := range maxIdempotentTargets {
		if attempt > 0 && !n.confirmations.retryLimiter.Allow() {
			break
		}
		permit, refusal := n.admitPlain(ctx, r, exclude)
		if refusal != nil {
			return confirmation.Record{}, refusal
		}
		reply, err := n.targetClients.client(permit.target.Address).Call(ctx, target.Call{Key: r.Key, Workspace: r.Workspace, Body: r.Body})
		permit.release(err == nil || errors.Is(err, target.ErrNotSent))
		if err == nil {
			return confirmation.Record{Key: r.Key, Outcome: failure.Ran, Status: reply.Status, Answer: reply.Body}, nil
		}
		outcome := failure.Unknown
		if errors.Is(err, target.ErrNotSent) {
			outcome = failure.NotRun
		}
		lastFailure = failure.Wrap(err, failure.TargetLost, outcome, "call", permit.target.Name).WithRetryAfter(defaultRetryAfter)
		exclude[permit.target.Name] = true
	}
	return confirmation.Record{}, lastFailure
}
