package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/operations"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/platform"
)

type operationsAPI struct{ n *Node }

func operationFailure(e *failure.Error) error {
	return &gen.Failure{
		Name: class(e), Code: string(e.Code), Message: e.Message, Outcome: string(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(), Step: e.Step, Peer: e.Peer, Addresses: e.Addresses,
	}
}

// Apply implements the operations service.
func (a *operationsAPI) Apply(ctx context.Context, p *gen.ApplyPayload) (*gen.ApplyResult, error) {
	doc, err := decodeDocument(p.Document)
	if err != nil {
		a.n.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
		return nil, operationFailure(failure.Wrap(err, failure.BadRequest, failure.NotRun, "validate", ""))
	}
	if deref(p.DryRun) {
		return &gen.ApplyResult{Version: p.BaseVersion}, nil
	}
	stored := configuration.Stored{
		WriteID: fmt.Sprintf("%s-%016x", a.n.self.ID, rand.Uint64()), Author: deref(p.Author), At: time.Now().UTC(), Document: doc,
	}
	version, err := configuration.Write(ctx, a.n.platform, stored, p.BaseVersion)
	if err != nil {
		return nil, operationFailure(a.writeFailure(err))
	}
	a.n.events.Record(event.ConfigurationAccepted, "", event.F("version", strconv.FormatInt(version, 10)), event.F("author", stored.Author))
	return &gen.ApplyResult{Version: version}, nil
}

func decodeDocument(v any) (configuration.Document, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return configuration.Document{}, errors.WithStack(err)
	}
	doc, err := configuration.Decode(b)
	if err != nil {
		return doc, err
	}
	return doc, doc.Validate()
}

func (a *operationsAPI) writeFailure(err error) *failure.Error {
	const step = "write configuration"
	switch {
	case errors.Is(err, platform.ErrConflict):
		a.n.events.Record(event.ConfigurationConflict, "")
		return failure.Wrap(err, failure.Conflict, failure.NotRun, step, "platform")
	case errors.Is(err, platform.ErrUnavailable):
		return failure.Wrap(err, failure.PlatformDown, failure.NotRun, step, "platform").After(retryAfter)
	default:
		return failure.Wrap(err, failure.UnknownResult, failure.Unknown, step, "platform").After(retryAfter)
	}
}

// Configuration implements the operations service.
func (a *operationsAPI) Configuration(_ context.Context, p *gen.ConfigurationPayload) (*gen.ConfigurationResult, error) {
	s := a.n.snapshot.Load()
	if v := deref(p.Version); v != 0 && v != s.Version {
		return nil, operationFailure(failure.New(failure.NotFound, failure.NotRun, "read configuration", "", "version %d is not in force here", v))
	}
	return &gen.ConfigurationResult{Version: s.Version, Document: s.Document}, nil
}

// History implements the operations service.
func (a *operationsAPI) History(context.Context) ([]*gen.HistoryEntry, error) {
	return nil, operationFailure(failure.New(failure.NotFound, failure.NotRun, "history", "", "not kept yet"))
}

// Status is what one daemon tells of itself.
type Status struct {
	ID       string              `json:"id"`
	Place    string              `json:"place"`
	Version  int64               `json:"configuration_version"`
	Draining bool                `json:"draining"`
	Isolated bool                `json:"isolated"`
	Active   int                 `json:"active_generations"`
	InFlight int64               `json:"requests_in_flight"`
	Members  []membership.Member `json:"members"`
}

// Status implements the operations service.
func (a *operationsAPI) Status(context.Context) (any, error) {
	view := a.n.view.Load()
	return Status{
		ID: a.n.self.ID, Place: a.n.self.Place, Version: a.n.snapshot.Load().Version,
		Draining: a.n.draining.Load(), Isolated: view.Isolated, Active: a.n.hub.Active(),
		InFlight: a.n.requests.Load(), Members: view.Members,
	}, nil
}

// Drain implements the operations service.
func (a *operationsAPI) Drain(context.Context) error {
	a.n.Drain()
	return nil
}

// Events implements the operations service.
func (a *operationsAPI) Events(_ context.Context, p *gen.EventsPayload) ([]*gen.Event, error) {
	list := a.n.events.Events(deref(p.Request), event.Time(deref(p.Since)))
	out := make([]*gen.Event, 0, len(list))
	for _, e := range list {
		out = append(out, &gen.Event{Time: int64(e.Time), Node: e.Node, Number: int(e.Number), Name: e.Name, Request: &e.Request, Fields: e.Fields})
	}
	return out, nil
}
