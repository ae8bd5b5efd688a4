package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/confirmations"
)

type confirmationsAPI struct{ n *Node }

func confirmationFailure(e *failure.Error) error {
	return &gen.Failure{
		Name: class(e), Code: string(e.Code), Message: e.Message, Outcome: string(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(), Step: e.Step, Peer: e.Peer, Addresses: e.Addresses,
	}
}

// Confirm implements the confirmations service.
func (a *confirmationsAPI) Confirm(ctx context.Context, p *gen.ConfirmPayload) (*gen.ConfirmationOutcome, error) {
	if e := a.n.refusal(); e != nil {
		return nil, confirmationFailure(e)
	}
	if _, e := a.n.workspace(p.Workspace); e != nil {
		return nil, confirmationFailure(e)
	}
	deadline := time.Duration(deref(p.DeadlineMs)) * time.Millisecond
	if deadline <= 0 {
		deadline = a.n.settings.Confirmation.Deadline.Std()
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	record, e := a.n.confirm.Confirm(ctx, confirmation.Request{
		Key: p.Key, Workspace: p.Workspace, Service: p.Service, Body: p.Body, Deadline: deadline, Labels: p.Labels,
	})
	if e != nil {
		return nil, confirmationFailure(e)
	}
	return outcome(record), nil
}

func outcome(r confirmation.Record) *gen.ConfirmationOutcome {
	ms := r.RetryAfter.Milliseconds()
	return &gen.ConfirmationOutcome{Key: r.Key, Outcome: string(r.Outcome), Status: &r.Status, Answer: &r.Answer, RetryAfterMs: &ms}
}

// Outcome implements the confirmations service.
func (a *confirmationsAPI) Outcome(ctx context.Context, p *gen.OutcomePayload) (*gen.ConfirmationOutcome, error) {
	record, e := a.n.confirm.Lookup(ctx, p.Key)
	if e != nil {
		return nil, confirmationFailure(e)
	}
	return outcome(record), nil
}

// Issue implements the confirmations service. A key carries its time of issue
// in Unix milliseconds before the first dash.
func (a *confirmationsAPI) Issue(context.Context) (*gen.IssueResult, error) {
	return &gen.IssueResult{Key: fmt.Sprintf("%d-%016x", time.Now().UnixMilli(), rand.Uint64())}, nil
}
