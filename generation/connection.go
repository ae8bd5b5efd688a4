package generation

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/target"
)

func (g *run) streamID(attempt int64) target.StreamID {
	return target.StreamID{Request: g.request.ID, Attempt: attempt}
}

func (g *run) open(d Open) {
	grant := g.grants[d.Attempt]
	req := target.GenerateRequest{
		Stream: g.streamID(d.Attempt),
		Model:  grant.Model, Version: grant.Version, Prompt: g.request.Prompt,
		Forced: d.Forced, Seed: g.request.Seed,
		MaxTokens: g.request.MaxTokens, Priority: g.request.Priority, Workspace: g.request.Workspace,
	}
	g.Events.Record(event.AttemptStarted, g.request.ID, event.F("target", grant.Target), event.F("attempt", strconv.FormatInt(d.Attempt, 10)))
	g.readStream(d.Attempt, d.Connection, func(ctx context.Context) (target.Stream, error) { return grant.Engine.Generate(ctx, req) })
}

func (g *run) attach(d Attach) {
	engine, id := g.grants[d.Attempt].Engine, g.streamID(d.Attempt)
	g.Events.Record(event.StreamAttached, g.request.ID, event.F("target", g.grants[d.Attempt].Target), event.F("position", strconv.FormatInt(d.From, 10)))
	g.readStream(d.Attempt, d.Connection, func(ctx context.Context) (target.Stream, error) { return engine.Attach(ctx, id, d.From) })
}

// readStream replaces the attempt's connection by the one that open returns and
// passes its events to the machine.
func (g *run) readStream(attempt, connection int64, open func(context.Context) (target.Stream, error)) {
	if stop := g.streamCancels[attempt]; stop != nil {
		stop()
	}
	ctx, stop := context.WithCancel(g.ctx)
	g.streamCancels[attempt] = stop
	g.spawn(func() {
		s, err := open(ctx)
		if err != nil {
			g.handleReadError(ctx, attempt, connection, err)
			return
		}
		defer func() { _ = s.Close() }()
		for {
			e, err := s.Next()
			if err != nil {
				g.handleReadError(ctx, attempt, connection, err)
				return
			}
			if ctx.Err() != nil || !g.post(Received{attempt, connection, e}) {
				return
			}
		}
	})
}

func (g *run) handleReadError(ctx context.Context, attempt, connection int64, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, target.ErrNoStream) {
		g.post(NoStream{attempt, connection})
		return
	}
	g.post(Broken{attempt, connection, breakCause(err)})
}

func (g *run) probe(d Probe) {
	grant := g.grants[d.Attempt]
	g.spawn(func() {
		incarnation, err := grant.Engine.Probe(g.ctx)
		g.Events.Record(event.TargetProbed, g.request.ID, event.F("target", grant.Target), event.F("alive", strconv.FormatBool(err == nil)))
		g.post(Probed{d.Attempt, d.Connection, err == nil, incarnation})
	})
}

// end closes the attempt's connection and reports the target if it failed. It
// cancels the attempt on the target unless the attempt completed, was refused or
// was taken over, or callers of another daemon still read its stream.
func (g *run) end(d End) {
	if stop := g.streamCancels[d.Attempt]; stop != nil {
		stop()
		delete(g.streamCancels, d.Attempt)
	}
	grant, ok := g.grants[d.Attempt]
	if !ok {
		return
	}
	delete(g.grants, d.Attempt)
	if d.Cause.TargetFailed() {
		g.Router.ReportLoss(g.request.ID, grant.Target)
		g.Guard.ReportCrash(g.request, grant.Target, d.Attempt, d.Fresh)
		g.Events.Record(event.TargetLost, g.request.ID, event.F("target", grant.Target), event.F("cause", string(d.Cause)))
	}
	stillRead := d.Attempt == g.joinedAttempt && g.remoteReaders.Load() > 0
	if stillRead || d.Cause == EndCompleted || d.Cause == EndRefused || d.Cause == EndTakenOver {
		grant.Release(true)
		return
	}
	g.Events.Record(event.AttemptAbandoned, g.request.ID, event.F("target", grant.Target), event.F("cause", string(d.Cause)))
	id := g.streamID(d.Attempt)
	g.spawnDetached(func(ctx context.Context) { cancelAttempt(ctx, grant, id) })
}

// cancelAttempt cancels the attempt on its target, even if ctx is canceled, and
// releases its permit. If the result is unknown, the permit stays in use and the
// router keeps canceling the attempt.
func cancelAttempt(ctx context.Context, grant Grant, id target.StreamID) {
	err := grant.Engine.Cancel(context.WithoutCancel(ctx), id)
	grant.Release(err == nil || errors.Is(err, target.ErrNoStream))
}
