package node

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/generations"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/target"
)

type generationsAPI struct{ n *Node }

func generationFailure(e *failure.Error) error {
	return &gen.Failure{
		Name: class(e), Code: string(e.Code), Message: e.Message, Outcome: string(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(), Step: e.Step, Peer: e.Peer, Addresses: e.Addresses,
	}
}

var priorities = map[string]target.Priority{"urgent": target.Urgent, "normal": target.Normal, "batch": target.Batch}

// Generate implements the generations service. Once the first event is out, an
// answer that can't be whole ends with an "incomplete" event.
func (a *generationsAPI) Generate(ctx context.Context, p *gen.GeneratePayload, stream gen.GenerateServerStream) error {
	if e := a.n.refusal(); e != nil {
		return generationFailure(e)
	}
	cursor, err := generation.DecodeCursor(deref(p.LastEventID))
	if err != nil {
		return generationFailure(failure.Wrap(err, failure.BadRequest, failure.NotRun, "decode cursor", ""))
	}
	answer := a.n.hub.Answer(generation.Request{
		ID: p.ID, Workspace: p.Workspace, Service: p.Service, Prompt: p.Prompt, MaxTokens: p.MaxTokens,
		Seed: deref(p.Seed), Priority: priorities[p.Priority], Labels: p.Labels, Held: p.Held, Cursor: cursor,
		Deadline: time.Duration(deref(p.DeadlineMs)) * time.Millisecond,
	})
	defer answer.Watch()()
	return a.send(ctx, answer, int64(len(p.Held)), p.ID, stream)
}

func (a *generationsAPI) send(ctx context.Context, answer *generation.Answer, position int64, id string, stream gen.GenerateServerStream) error {
	started := false
	for {
		s, err := answer.Next(ctx, position)
		if err != nil {
			a.n.events.Record(event.CallerLost, id)
			return nil
		}
		for _, text := range s.Tokens {
			c := s.Cursor
			c.Held = position + 1
			data := &gen.GenerationData{Position: position, Text: &text}
			_ = stream.Send(&gen.GenerationEvent{Cursor: c.Encode(), Kind: "token", Data: data})
			started = true
			position++
		}
		if writeError(ctx) != nil {
			a.n.events.Record(event.CallerLost, id)
			return nil
		}
		if s.Done {
			return finish(s, position, started, stream)
		}
	}
}

func finish(s generation.State, position int64, started bool, stream gen.GenerateServerStream) error {
	if s.Err != nil && !started {
		return generationFailure(s.Err)
	}
	data := &gen.GenerationData{Position: position}
	kind := "done"
	if s.Err != nil {
		kind = "incomplete"
		code, ms := string(s.Err.Code), s.Err.RetryAfter.Milliseconds()
		data.Code, data.RetryAfterMs, data.Step, data.Peer = &code, &ms, &s.Err.Step, &s.Err.Peer
	}
	return stream.Send(&gen.GenerationEvent{Cursor: s.Cursor.Encode(), Kind: kind, Data: data})
}

// Cancel implements the generations service.
func (a *generationsAPI) Cancel(_ context.Context, p *gen.CancelPayload) error {
	if !a.n.hub.Cancel(p.ID) {
		return generationFailure(failure.New(failure.NotFound, failure.Unknown, "cancel", "", "no generation %s here", p.ID))
	}
	return nil
}
