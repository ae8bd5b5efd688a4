package node

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/confirmations"
)

type confirmationsAPI struct{ n *Node }

func confirmationFailure(e *failure.Error) error {
	f := gen.Failure(wireFailure(e))
	return &f
}

// confirmRefusal returns why this daemon refuses confirmations, or nil. The outcome
// is unknown rather than not run: the caller may have sent the key to another
// daemon before.
func (n *Node) confirmRefusal() *failure.Error {
	e := n.refusal()
	if e != nil {
		e.Outcome = failure.Unknown
	}
	return e
}

// Confirm implements the confirmations service.
func (a *confirmationsAPI) Confirm(ctx context.Context, p *gen.ConfirmPayload) (*gen.ConfirmationOutcome, error) {
	if e := a.n.confirmRefusal(); e != nil {
		return nil, confirmationFailure(e)
	}
	if _, e := a.n.workspace(p.Workspace); e != nil {
		return nil, confirmationFailure(e)
	}
	timeout := time.Duration(deref(p.DeadlineMs)) * time.Millisecond
	if timeout <= 0 {
		timeout = a.n.settings.Confirmation.Deadline.Std()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	confirm := a.n.confirmations.service.Confirm
	if a.n.isIdempotent(p.Service) {
		confirm = a.n.callIdempotent
	}
	start := time.Now()
	record, e := confirm(ctx, confirmation.Request{
		Key: p.Key, Workspace: p.Workspace, Service: p.Service, Body: p.Body, Deadline: timeout, Labels: p.Labels,
	})
	microsHistogram(a.n.metrics, "confirmation.answer").Update(time.Since(start).Microseconds())
	if e != nil {
		return nil, confirmationFailure(e)
	}
	return wireOutcome(record), nil
}

func wireOutcome(r confirmation.Record) *gen.ConfirmationOutcome {
	ms := r.RetryAfter.Milliseconds()
	return &gen.ConfirmationOutcome{Key: r.Key, Outcome: string(r.Outcome), Status: &r.Status, Answer: &r.Answer, RetryAfterMs: &ms}
}

// Outcome implements the confirmations service.
func (a *confirmationsAPI) Outcome(ctx context.Context, p *gen.OutcomePayload) (*gen.ConfirmationOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, a.n.settings.Confirmation.Deadline.Std())
	defer cancel()
	record, e := a.n.confirmations.service.Lookup(ctx, p.Key)
	if e != nil {
		return nil, confirmationFailure(e)
	}
	return wireOutcome(record), nil
}

// Issue implements the confirmations service.
func (a *confirmationsAPI) Issue(ctx context.Context) (*gen.IssueResult, error) {
	key, e := a.n.confirmations.service.IssueKey(ctx)
	if e != nil {
		return nil, confirmationFailure(e)
	}
	return &gen.IssueResult{Key: key}, nil
}
