package forward

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// mayMove reports whether the run can be moved, as far as is known of its target.
func (a *streamAttempt) mayMove(now time.Time) bool {
	return a.detector.firstEventSeen && a.stream.forwarder.Fleet.State(now, a.attempt.Target.ID) == fleet.Ready && a.stream.copiesRuns()
}

// startMove stops a stalled run on a target that is alive and moves its KV cache to
// another target. A move loses no tokens and needs no standby copy. startMove returns
// false if the run can't be moved.
func (a *streamAttempt) startMove(ctx context.Context) bool {
	if !a.mayMove(time.Now()) || a.unmovable {
		return false
	}
	destination, ok := a.stream.pickMoveTarget(time.Now(), a.attempt.Target, a.copier.current, a.copier.failedTargets(time.Now()))
	if !ok || !a.holdMoveSlot(destination) {
		return false
	}
	a.moving = true
	a.stream.openMoves[a.attempt.Target.ID]++
	go func() {
		moveCtx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		c, holder, err := a.stream.forwarder.TargetClient.Move(moveCtx, a.attempt.Target, a.stream.request.ID, destination)
		sendUnlessDone(ctx, a.moveResults, copyResult{standbyCopy{holder, c, byMove}, err, err != nil && moveCtx.Err() != nil})
	}()
	return true
}

// holdMoveSlot holds a slot at the destination of a move until its outcome is known, unless the
// one for the next attempt is there. It returns false if the destination has no room.
func (a *streamAttempt) holdMoveSlot(destination fleet.Target) bool {
	s := a.stream
	if slot := s.succession.slot; slot == nil || slot.target.ID == destination.ID {
		return true
	}
	release, ok := s.forwarder.Fleet.HoldSlot(destination.ID, s.memoryTokens(), s.capacityTokens())
	if ok {
		a.moveSlot = &heldSlot{target: destination, release: release}
	}
	return ok
}

// settleMoveSlot keeps the slot at the holder of a copy that a move has made, for the next
// attempt. After a move that failed, the slot of the next attempt stays held.
func (a *streamAttempt) settleMoveSlot(m copyResult) {
	c, slot := &a.stream.succession, a.moveSlot
	a.moveSlot = nil
	if slot != nil && (m.err != nil || slot.target.ID != m.holder.ID) {
		slot.release()
		slot = nil
	}
	if m.err == nil && (slot != nil || c.slot != nil && c.slot.target.ID != m.holder.ID) {
		c.releaseSlot()
		c.slot = slot
	}
}
