package node

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/operations"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

type operationsAPI struct{ n *Node }

func operationFailure(e *failure.Error) error {
	f := gen.Failure(wireFailure(e))
	return &f
}

// writeTimeout bounds a write of the configuration, including the reads that find
// out the result of a write whose answer was lost. maxApplyWait bounds the time that
// one Apply call waits until its version is active on all daemons: a planned stop has
// to wait for running calls.
const (
	writeTimeout = 10 * time.Second
	maxApplyWait = time.Minute
)

// Apply implements the operations service.
func (a *operationsAPI) Apply(ctx context.Context, p *gen.ApplyPayload) (*gen.ApplyResult, error) {
	doc, err := decodeDocument(p.Document)
	if err != nil {
		a.n.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
		return nil, operationFailure(failure.Wrap(err, failure.BadRequest, failure.NotRun, "validate", ""))
	}
	if deref(p.DryRun) {
		changes := configuration.Diff(a.n.snapshot.Load().Document, doc).ChangedEntries()
		return &gen.ApplyResult{Version: p.BaseVersion, Changes: changes}, nil
	}
	change := configuration.Change{
		WriteID: deref(p.WriteID), Author: deref(p.Author), At: time.Now().UTC(), Document: doc, BaseVersion: p.BaseVersion,
	}
	if change.WriteID == "" {
		change.WriteID = fmt.Sprintf("%s-%016x", a.n.self.ID, rand.Uint64())
	}
	head, err := a.write(ctx, change)
	if err != nil {
		return nil, operationFailure(a.writeFailure(err, doc))
	}
	a.n.events.Record(event.ConfigurationAccepted, "", event.F("version", strconv.FormatInt(head.Version, 10)), event.F("author", head.Author))
	out := &gen.ApplyResult{Version: head.Version}
	if wait := deref(p.WaitMs); wait > 0 {
		out.Lagging = a.n.configuration.awaitActive(ctx, head.Version, min(time.Duration(wait)*time.Millisecond, maxApplyWait))
	}
	return out, nil
}

// write stores a change and activates it on this daemon at once.
func (a *operationsAPI) write(ctx context.Context, c configuration.Change) (configuration.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c.CachedDocument = &a.n.snapshot.Load().Document
	head, err := configuration.Write(ctx, a.n.platform, c)
	if err != nil {
		return head, err
	}
	if head.Version%versionsPerSweep == 0 {
		a.n.membership.run(a.sweepParts)
	}
	if err := a.n.configuration.load(ctx, head); err != nil {
		a.n.configuration.post(configuration.Told{Version: head.Version})
	}
	return head, nil
}

// versionsPerSweep is the number of versions between two sweeps. A sweep deletes the
// parts of documents that unfinished writes left on the platform.
const versionsPerSweep = 256

func (a *operationsAPI) sweepParts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := configuration.Sweep(ctx, a.n.platform)
	a.n.recordPlatformState(err)
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
	return doc.Canonical(), doc.Validate()
}

func (a *operationsAPI) writeFailure(err error, doc configuration.Document) *failure.Error {
	const step = "write configuration"
	var conflict *configuration.ConflictError
	switch {
	case errors.As(err, &conflict):
		a.n.events.Record(event.ConfigurationConflict, "")
		e := failure.Wrap(err, failure.Conflict, failure.NotRun, step, "platform")
		e.Message += a.describeDifference(conflict.Winner, doc)
		return e
	case errors.Is(err, objectstore.ErrConflict):
		a.n.events.Record(event.ConfigurationConflict, "")
		return failure.Wrap(err, failure.Conflict, failure.NotRun, step, "platform")
	case errors.Is(err, objectstore.ErrUnavailable):
		return failure.Wrap(err, failure.PlatformUnavailable, failure.NotRun, step, "platform").WithRetryAfter(defaultRetryAfter)
	case errors.Is(err, configuration.ErrNotWritten):
		return failure.Wrap(err, failure.BadRequest, failure.NotRun, step, "platform")
	default:
		return failure.Wrap(err, failure.UnknownOutcome, failure.Unknown, step, "platform").WithRetryAfter(defaultRetryAfter)
	}
}

// maxDifferenceNames bounds the entries that the message of a conflict names.
const maxDifferenceNames = 20

// describeDifference names the entries in which the winning version differs from
// doc. It returns "" if that version can't be read.
func (a *operationsAPI) describeDifference(winner configuration.Head, doc configuration.Document) string {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	s, err := configuration.Load(ctx, a.n.platform, winner, a.n.snapshot.Load())
	if err != nil {
		return ""
	}
	names := configuration.Diff(doc, s.Document).ChangedEntries()
	suffix := ""
	if len(names) > maxDifferenceNames {
		suffix = fmt.Sprintf(" and %d more", len(names)-maxDifferenceNames)
		names = names[:maxDifferenceNames]
	}
	if len(names) == 0 {
		return "; it equals the document applied"
	}
	return "; it differs from the document applied in: " + strings.Join(names, ", ") + suffix
}

// Configuration implements the operations service.
func (a *operationsAPI) Configuration(ctx context.Context, p *gen.ConfigurationPayload) (*gen.ConfigurationResult, error) {
	s := a.n.snapshot.Load()
	version := deref(p.Version)
	if version == 0 || version == s.Version {
		return &gen.ConfigurationResult{Version: s.Version, Document: s.Document}, nil
	}
	doc, err := configuration.ReadVersion(ctx, a.n.platform, version)
	if err != nil {
		return nil, operationFailure(readFailure(err, "read configuration"))
	}
	return &gen.ConfigurationResult{Version: version, Document: doc}, nil
}

func readFailure(err error, step string) *failure.Error {
	if errors.Is(err, configuration.ErrNoVersion) {
		return failure.Wrap(err, failure.NotFound, failure.NotRun, step, "platform")
	}
	return failure.Wrap(err, failure.PlatformUnavailable, failure.NotRun, step, "platform").WithRetryAfter(defaultRetryAfter)
}

// History implements the operations service.
func (a *operationsAPI) History(ctx context.Context) ([]*gen.HistoryEntry, error) {
	entries, err := configuration.History(ctx, a.n.platform)
	if err != nil {
		return nil, operationFailure(readFailure(err, "read history"))
	}
	out := make([]*gen.HistoryEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, &gen.HistoryEntry{Version: e.Version, Author: e.Author, AtMs: e.At.UnixMilli()})
	}
	return out, nil
}

// Status is one daemon's report on itself.
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
