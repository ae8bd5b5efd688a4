package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Connect implements TargetClient.
func (w *simulation) Connect(ctx context.Context, t fleet.Target) error {
	_, _, err := w.dial(ctx, t.Address, true)
	return err
}

// call opens a connection and waits until the target t, and no other, answers a call.
func (w *simulation) call(ctx context.Context, t fleet.Target) (*simProcess, error) {
	p, broken, err := w.dial(ctx, t.Address, false)
	switch {
	case err != nil:
		return nil, err
	case !w.awake(ctx, p, broken):
		return nil, errors.Wrap(ErrNoAnswer, "call")
	case p.ID != t.ID:
		return nil, errors.WithStack(ErrOtherTarget)
	}
	return p, nil
}

// Report implements TargetClient.
func (w *simulation) Report(ctx context.Context, t fleet.Target) (Report, error) {
	p, err := w.call(ctx, t)
	if err != nil {
		return Report{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return Report{StartMillis: p.StartMillis, Running: p.reported, Queued: p.queued}, nil
}

// Copy implements TargetClient.
func (w *simulation) Copy(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, error) {
	p, err := w.call(ctx, source)
	if err != nil {
		return Copy{}, err
	}
	holder, err := w.call(ctx, destination)
	if err != nil {
		return Copy{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := p.runs[id]; r == nil || r.events == 0 {
		return Copy{}, errors.WithStack(ErrRunNotFound)
	}
	name := "copy of " + id
	holder.copies[name] = true
	return Copy{source.Address, name}, nil
}

// Move implements TargetClient.
func (w *simulation) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	q := w.requests[id]
	p, err := w.call(ctx, source)
	if err != nil {
		if q.plan.lateMoves && errors.Is(err, ErrNoAnswer) {
			go w.moveLate(source, id)
		}
		return Copy{}, fleet.Target{}, err
	}
	if q.plan.lostMoves { // the answer to the move is lost
		defer func() { <-ctx.Done() }()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := p.runs[id]
	if r == nil || r.waits {
		return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
	}
	holder := w.processes[destination.Address]
	if holder == nil || holder.ended || holder.refusing || holder.unreachable || holder.silent != nil || holder.ID != destination.ID {
		holder, destination = p, source
	}
	r.stopByMove()
	name := "move of " + id
	holder.copies[name] = true
	return Copy{source.Address, name}, destination, nil
}

// CachedKeys implements TargetClient.
func (w *simulation) CachedKeys(ctx context.Context, t fleet.Target) (map[string]bool, error) {
	_, err := w.call(ctx, t)
	return nil, err
}

// Release implements TargetClient.
func (w *simulation) Release(ctx context.Context, source fleet.Target, _ Copy) error {
	_, err := w.call(ctx, source)
	return err
}
