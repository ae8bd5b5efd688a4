package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/generations"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/target"
)

type generationsAPI struct{ n *Node }

func generationFailure(e *failure.Error) error {
	f := gen.Failure(wireFailure(e))
	return &f
}

var priorities = map[string]target.Priority{"urgent": target.Urgent, "normal": target.Normal, "batch": target.Batch}

// Generate implements the generations service. After the first byte was sent, an
// answer that can't be completed ends with an "incomplete" event.
func (a *generationsAPI) Generate(ctx context.Context, p *gen.GeneratePayload, stream gen.GenerateServerStream) error {
	if e := a.n.refusal(); e != nil {
		return generationFailure(e)
	}
	cursor, err := generation.DecodeCursor(deref(p.LastEventID))
	if err != nil {
		return generationFailure(failure.Wrap(err, failure.BadRequest, failure.NotRun, "decode cursor", ""))
	}
	r := generation.Request{
		ID: p.ID, Workspace: p.Workspace, Service: p.Service, Prompt: p.Prompt, MaxTokens: p.MaxTokens,
		Seed: deref(p.Seed), Priority: priorities[p.Priority], Labels: p.Labels, Held: p.Held, Cursor: cursor,
		Deadline: time.Duration(deref(p.DeadlineMs)) * time.Millisecond, Retain: retainMemory(ctx),
	}
	if svc, ok := a.n.snapshot.Load().Service(p.Service); ok {
		r.Objective = svc.Objective
	}
	reader, refusal := a.n.hub.Answer(r)
	if refusal != nil {
		return generationFailure(refusal)
	}
	defer reader.Close()
	s := &sender{api: a, reader: reader, position: reader.Position, id: p.ID, stream: stream, metrics: newTokenMetrics(a.n.metrics, reader.Position > 0)}
	return s.run(ctx)
}

// sender streams one answer to one caller.
type sender struct {
	api          *generationsAPI
	reader       generation.Reader
	position     int64 // of the next token to send
	id           string
	stream       gen.GenerateServerStream
	started      bool      // a byte of the answer was sent
	sendDeadline time.Time // by which the caller must have read an answer that has ended; zero while tokens may follow
	metrics      *tokenMetrics
}

// errSlowCaller ends the stream of a caller that reads too slowly after the answer has
// ended, see sender.sendDeadline.
var errSlowCaller = errors.New("caller reads too slowly")

func (s *sender) run(ctx context.Context) error {
	n := s.api.n
	keepAlive := n.settings.Generation.CallerKeepAlive.Std()
	for {
		state, err := s.reader.Next(ctx, s.position, keepAlive)
		if err == nil {
			err = s.send(ctx, state)
		}
		if err != nil {
			n.events.Record(event.CallerLost, s.id)
			return nil
		}
		if state.Done {
			return s.finish(state)
		}
	}
}

// tokensPerConnectionCheck is the number of tokens that are written between two
// checks of the caller's connection for a write error.
const tokensPerConnectionCheck = 256

func (s *sender) send(ctx context.Context, state generation.State) error {
	if state.Idle {
		s.started = true
		return writeComment(ctx, "keep-alive")
	}
	s.metrics.recordTokens(len(state.Tokens))
	if state.Done && s.sendDeadline.IsZero() {
		s.sendDeadline = time.Now().Add(s.api.n.settings.Generation.CallerLag.Std())
	}
	for i, text := range state.Tokens {
		if state.Done && time.Now().After(s.sendDeadline) {
			return errSlowCaller
		}
		cursor := s.reader.CursorAt(s.position + 1)
		data := &gen.GenerationData{Position: s.position, Text: &text}
		_ = s.stream.Send(&gen.GenerationEvent{Cursor: cursor.Encode(), Kind: "token", Data: data})
		s.started = true
		s.position++
		if i%tokensPerConnectionCheck == 0 && writeError(ctx) != nil {
			break
		}
	}
	return writeError(ctx)
}

func (s *sender) finish(state generation.State) error {
	if state.Err != nil && !s.started {
		return generationFailure(state.Err)
	}
	data := &gen.GenerationData{Position: s.position}
	kind := "done"
	if e := state.Err; e != nil {
		kind = "incomplete"
		code, outcome, ms := string(e.Code), string(e.Outcome), e.RetryAfter.Milliseconds()
		data.Code, data.Message, data.Outcome = &code, &e.Message, &outcome
		data.RetryAfterMs, data.Step, data.Peer = &ms, &e.Step, &e.Peer
	}
	return s.stream.Send(&gen.GenerationEvent{Cursor: s.reader.CursorAt(s.position).Encode(), Kind: kind, Data: data})
}

// Cancel implements the generations service.
func (a *generationsAPI) Cancel(ctx context.Context, p *gen.CancelPayload) error {
	if !a.n.generationPeers.cancel(ctx, p.ID) {
		return generationFailure(failure.New(failure.NotFound, failure.Unknown, "cancel", "", "no daemon is known to run %s", p.ID))
	}
	return nil
}
