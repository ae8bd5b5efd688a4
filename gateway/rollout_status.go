package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/rollout"
)

// callStore makes the call to the store that a writer asks for, without waiting. The caller holds
// the lock.
func (r *rollouts) callStore(ctx context.Context, o *roll, action rollout.Action) {
	if action.Kind == rollout.Nothing {
		return
	}
	service := o.machine.Order().Service
	r.g.wg.Go(func() {
		object, err := r.makeCall(ctx, service, action)
		now := time.Now()
		r.mu.Lock()
		defer r.unlockAndRecord()
		switch {
		case err == nil:
			r.applyObject(now, o, object)
		case errors.Is(err, objectstore.ErrNotFound):
			o.writer.Failed(now, rollout.Missing)
		case errors.Is(err, objectstore.ErrUnavailable):
			o.writer.Failed(now, rollout.Unavailable)
		default:
			o.writer.Failed(now, rollout.Lost)
		}
	})
}

// makeCall reads the order, or writes its status. It returns the order that the store has then.
func (r *rollouts) makeCall(ctx context.Context, service string, action rollout.Action) (objectstore.Object, error) {
	if action.Kind == rollout.Write {
		status, err := platform.EncodeRolloutStatus(action.State, action.Target)
		if err != nil {
			return objectstore.Object{}, err
		}
		written, err := r.g.store.PutStatus(ctx, platform.RolloutKind, service, status, action.Revision)
		if !errors.Is(err, objectstore.ErrConflict) {
			return written, err
		}
	}
	return r.g.store.Get(ctx, platform.RolloutKind, service)
}

// restoreDelay is how long after the end of a roll-out a daemon takes it that the orders which it
// reads have the final state.
const restoreDelay = 6 * rolloutReadPeriod

// restoreState writes the final state of a roll-out again if the store has lost it, as after a
// restoration from an older copy. It returns false if the store has it. The caller holds the lock.
func (r *rollouts) restoreState(ctx context.Context, now time.Time, o *roll, rank int) (active bool) {
	if o.writer == nil {
		return false
	}
	state, target, current := o.writer.Stored()
	if !current || state.Final() && target == o.target() {
		return false
	}
	if now.After(o.oldUntil.Add(restoreDelay - oldVersionGrace)) {
		r.callStore(ctx, o, o.writer.Next(now, rollout.Decision{Write: o.storedState()}, rank))
	}
	return true
}

// applyObject takes the order as the store returned it. The caller holds the lock.
func (r *rollouts) applyObject(now time.Time, o *roll, object objectstore.Object) {
	order := o.machine.Order()
	decoded, err := platform.DecodeRollout(object)
	if err != nil || object.Created != order.Instance || decoded.Target != order.Target {
		o.writer.Failed(now, rollout.Missing) // another order replaced this one; the next read brings it
		return
	}
	o.writer.Saw(now, rollout.Object{Revision: object.Revision, Instance: object.Created, Target: decoded.Target, State: decoded.State, StatusTarget: decoded.StatusTarget}, true)
	o.machine.ApplyStatus(decoded.State, decoded.StatusTarget)
	r.decide(now, o)
	if state := o.storedState(); state.Final() && !o.endSent {
		o.endSent = true
		end := o.verdict()
		end.State = state
		go r.g.peers.sendEverywhere(kindRolloutVerdict, end)
	}
}
