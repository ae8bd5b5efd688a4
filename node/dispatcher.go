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

// dispatcher sends confirmations to plain services.
type dispatcher struct{ n *Node }

func (n *Node) buildConfirmations() { n.confirm = confirmation.NewLocal(&dispatcher{n}) }

func (n *Node) runConfirmations(context.Context) {}

// Dispatch implements confirmation.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, r confirmation.Request) confirmation.Record {
	notRun := confirmation.Record{Key: r.Key, Outcome: failure.NotRun, RetryAfter: retryAfter}
	svc, ok := d.n.snapshot.Load().Service(r.Service)
	if !ok || svc.Kind != configuration.Plain {
		return notRun
	}
	workspace, refused := d.n.workspace(r.Workspace)
	if refused != nil {
		return notRun
	}
	want := routing.Request{ID: r.Key, Service: svc, Labels: r.Labels, Pinned: svc.Side(r.Key), FromPlace: d.n.self.Place}
	chosen, refused := d.n.admit(ctx, ask{
		want: want, workspace: r.Workspace, priority: target.Urgent, bytes: int64(len(r.Body)),
		wait: d.n.firstTokenWait(r.Deadline, workspace),
	})
	if refused != nil {
		notRun.RetryAfter = refused.RetryAfter
		return notRun
	}
	ended := true
	defer func() { chosen.release(ended) }()
	d.n.events.Record(event.ConfirmationDispatched, r.Key, event.F("target", chosen.target.Name))
	reply, err := d.n.targets.client(chosen.target.Address).Call(ctx, target.Call{Key: r.Key, Workspace: r.Workspace, Body: r.Body})
	switch {
	case errors.Is(err, target.ErrNotSent):
		d.n.events.Record(event.ConfirmationNotRun, r.Key, event.F("target", chosen.target.Name))
		return notRun
	case err != nil:
		ended = false
		d.n.events.Record(event.ConfirmationUnknown, r.Key, event.F("target", chosen.target.Name))
		return confirmation.Record{Key: r.Key, Outcome: failure.Unknown}
	}
	d.n.events.Record(event.ConfirmationRan, r.Key, event.F("target", chosen.target.Name))
	return confirmation.Record{Key: r.Key, Outcome: failure.Ran, Status: reply.Status, Answer: reply.Body}
}
