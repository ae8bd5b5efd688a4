package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/target"
)

// grantedEngine is an engine under a permit: it notes the streams that may run,
// and tells routing at once when the engine is found dead.
type grantedEngine struct {
	target.Engine
	permit *permit
}

// Generate implements target.Engine.
func (e *grantedEngine) Generate(ctx context.Context, r target.GenerateRequest) (target.Stream, error) {
	e.permit.note(r.Stream)
	s, err := e.Engine.Generate(ctx, r)
	if ctx.Err() == nil && errors.Is(err, target.ErrNotSent) {
		e.dead()
	}
	return s, err
}

// Attach implements target.Engine.
func (e *grantedEngine) Attach(ctx context.Context, id target.StreamID, from int64) (target.Stream, error) {
	e.permit.note(id)
	return e.Engine.Attach(ctx, id, from)
}

// Probe implements target.Engine.
func (e *grantedEngine) Probe(ctx context.Context) (uint64, error) {
	incarnation, err := e.Engine.Probe(ctx)
	if err != nil && ctx.Err() == nil {
		e.dead()
	}
	return incarnation, err
}

func (e *grantedEngine) dead() { e.permit.n.suspect(e.permit.target.Name) }

// suspect takes a target out of routing until a poll succeeds, which is made at
// once.
func (n *Node) suspect(name string) {
	_ = n.loop.Post(func(now time.Time) {
		n.admission.down(name)
		if s := n.admission.polls[name]; s != nil {
			s.due = now
		}
	})
}
