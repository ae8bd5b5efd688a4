package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/target"
)

// permitEngine is an engine that is used under a permit. It records in the permit which
// streams may run. If the engine can't be reached, it reports this to routing at once.
type permitEngine struct {
	target.Engine
	permit *permit
}

// Generate implements target.Engine.
func (e *permitEngine) Generate(ctx context.Context, r target.GenerateRequest) (target.Stream, error) {
	e.permit.addStream(r.Stream)
	s, err := e.Engine.Generate(ctx, r)
	if ctx.Err() == nil && errors.Is(err, target.ErrNotSent) {
		e.reportFailure()
	}
	return s, err
}

// Attach implements target.Engine.
func (e *permitEngine) Attach(ctx context.Context, id target.StreamID, from int64) (target.Stream, error) {
	e.permit.addStream(id)
	return e.Engine.Attach(ctx, id, from)
}

// Probe implements target.Engine.
func (e *permitEngine) Probe(ctx context.Context) (uint64, error) {
	incarnation, err := e.Engine.Probe(ctx)
	if err != nil && ctx.Err() == nil {
		e.reportFailure()
	}
	return incarnation, err
}

func (e *permitEngine) reportFailure() { e.permit.n.suspectTarget(e.permit.target.Name) }

// suspectTarget excludes a target from routing until a poll succeeds. It makes the
// next poll due at once.
func (n *Node) suspectTarget(name string) {
	_ = n.loop.Post(func(now time.Time) {
		n.admission.markDown(name)
		if s := n.admission.polls[name]; s != nil {
			s.nextAt = now
		}
	})
}
