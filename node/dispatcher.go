package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/target"
)

// dispatcher sends the calls of confirmations to targets of plain services.
type dispatcher struct{ n *Node }

var _ confirmation.Dispatcher = (*dispatcher)(nil)

// maxDispatchTargets is the number of targets tried for one call. Another target is
// tried only if the previous one can't have received the call.
const maxDispatchTargets = 3

// Dispatch implements confirmation.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, r confirmation.Request) confirmation.Record {
	exclude := make(map[string]bool)
	for range maxDispatchTargets {
		record, name, retryable := d.dispatchOnce(ctx, r, exclude)
		if !retryable {
			return record
		}
		exclude[name] = true
	}
	return notRunRecord(r)
}

func notRunRecord(r confirmation.Request) confirmation.Record {
	return confirmation.Record{Key: r.Key, Outcome: failure.NotRun}
}

// dispatchOnce sends r to one target. retryable means that the named target can't
// have received it, so that another target may be tried.
func (d *dispatcher) dispatchOnce(ctx context.Context, r confirmation.Request, exclude map[string]bool) (record confirmation.Record, name string, retryable bool) {
	permit, refusal := d.n.admitPlain(ctx, r, exclude)
	if refusal != nil {
		d.n.events.Record(event.ConfirmationNotRun, r.Key, event.F("error", refusal.Error()))
		record = notRunRecord(r)
		record.RetryAfter = refusal.RetryAfter
		return record, "", false
	}
	name = permit.target.Name
	ended := true
	defer func() { permit.release(ended) }()
	d.n.events.Record(event.ConfirmationDispatched, r.Key, event.F("target", name))
	reply, err := d.n.targetClients.client(permit.target.Address).Call(ctx, target.Call{Key: r.Key, Workspace: r.Workspace, Body: r.Body})
	switch {
	case errors.Is(err, target.ErrNotSent):
		d.n.events.Record(event.ConfirmationNotRun, r.Key, event.F("target", name))
		return notRunRecord(r), name, true
	case err != nil:
		ended = false
		d.n.events.Record(event.ConfirmationUnknown, r.Key, event.F("target", name))
		return confirmation.Record{Key: r.Key, Outcome: failure.Unknown}, name, false
	}
	d.n.events.Record(event.ConfirmationRan, r.Key, event.F("target", name))
	return confirmation.Record{Key: r.Key, Outcome: failure.Ran, Status: reply.Status, Answer: reply.Body}, name, false
}

// admitPlain waits for a permit to send r to a target of its plain service, at most
// until the deadline of r.
func (n *Node) admitPlain(ctx context.Context, r confirmation.Request, exclude map[string]bool) (*permit, *failure.Error) {
	svc, ok := n.snapshot.Load().Service(r.Service)
	if !ok || svc.Kind != configuration.Plain {
		return nil, failure.New(failure.NotFound, failure.NotRun, "route", n.self.ID, "no plain service %q", r.Service)
	}
	workspace, refusal := n.workspace(r.Workspace)
	if refusal != nil {
		return nil, refusal
	}
	return n.admit(ctx, permitRequest{
		request: routing.Request{
			ID: r.Key, Service: svc, Labels: r.Labels, Exclude: exclude, System: svc.SystemFor(r.Key), FromPlace: n.self.Place,
		},
		workspace: r.Workspace, priority: target.Urgent, bytes: int64(len(r.Body)),
		maxWait: n.firstTokenWait(r.Deadline, workspace),
	})
}
