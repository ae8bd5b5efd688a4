package forward

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// A stream that is taken from a silent target must not wait in the queue of the next one: the
// silent target may go on meanwhile, idle, and a stop of the daemon would cut the stream while
// no target works on it. Its next attempt therefore needs room, which is held until then.

// maxRoomWait is how long a stream looks for a target with room. A target that is silent for
// longer has most likely failed, and a queue is the lesser evil.
const maxRoomWait = 5 * time.Second

// errNoRoom is why a stream stays at a silent target, see reserveSuccessor.
var errNoRoom = errors.New("no other target has room")

// heldSlot is a slot of a target that is held for the next attempt of a stream.
type heldSlot struct {
	target  fleet.Target
	release func()
	// reservation is the id of the target's own reservation; empty if there is none, or the
	// attempt that uses it was sent. It ends at until, or by endReservation.
	reservation    string
	until          time.Time
	endReservation func()
	returns        bool // the stream was taken from the target, and returns
}

// findRoom picks a target with room for a stream and holds a slot there. It prefers the holder
// of the standby copy, which has the memory already. See pickTarget for c.
func (f *Forwarder) findRoom(now time.Time, criteria fleet.Criteria, standby *standbyCopy, c *succession) (*heldSlot, error) {
	if standby != nil && !criteria.Exclude[standby.holder.ID] && f.isUsable(now, standby.holder) && f.takeCredit(now, criteria.Service, standby.holder.SoftwareVersion, c) {
		if release, ok := f.Fleet.HoldSlot(standby.holder.ID, 0, 0); ok {
			return &heldSlot{target: standby.holder, release: release}, nil
		}
	}
	criteria.NeedsRoom = true
	t, err := f.pickTarget(now, criteria, c)
	if errors.Is(err, errNoCredit) {
		return nil, err
	}
	if err != nil {
		criteria.NeedsRoom = false
		if _, other := f.Fleet.Pick(now, criteria); other == nil {
			err = errNoRoom
		}
		return nil, err
	}
	release, ok := f.Fleet.HoldSlot(t.ID, criteria.MemoryTokens, criteria.CapacityTokens)
	if !ok {
		return nil, errNoRoom
	}
	return &heldSlot{target: t, release: release}, nil
}

// findTimelyRoom is findRoom, but if the daemon stops, targets at which runs have just begun late are used
// only if no other one has room.
func (f *Forwarder) findTimelyRoom(now time.Time, criteria fleet.Criteria, standby *standbyCopy, c *succession, stopping bool) (*heldSlot, error) {
	if !stopping {
		return f.findRoom(now, criteria, standby, c)
	}
	inTime := criteria
	inTime.Exclude = f.late.addTo(now, criteria.Exclude)
	slot, err := f.findRoom(now, inTime, standby, c)
	if err != nil && len(inTime.Exclude) > len(criteria.Exclude) {
		return f.findRoom(now, criteria, standby, c)
	}
	return slot, err
}

// isUsable reports whether t is ready and its registered incarnation.
func (f *Forwarder) isUsable(now time.Time, t fleet.Target) bool {
	return f.Fleet.IsCurrent(t) && f.Fleet.State(now, t.ID) == fleet.Ready
}

// maxQueueTime is how long a stream that has begun stays in the queue of a target while
// another one has room.
const maxQueueTime = 500 * time.Millisecond

// isQueued reports whether the result of a probe shows that the target has the stream, whose
// caller has received events, in its queue.
func (a *streamAttempt) isQueued(p ProbeResult) bool {
	r, t := p.Report, a.attempt.Target
	_, running := r.Running[a.stream.request.ID]
	return a.stream.version != nil && !a.detector.firstEventSeen && p.completedAt.Sub(a.detector.lastProgress) >= maxQueueTime &&
		r.Queued > 0 && !running && t.Slots > 0 && len(r.Running) >= t.Slots
}

// leaveQueue ends the attempt if another target has room, or one that the stream was taken from
// and that goes on.
func (a *streamAttempt) leaveQueue(ctx context.Context) (attemptEnd, bool) {
	const reason = "the target has the stream in its queue"
	s := a.stream
	if a.reserving {
		return 0, false
	}
	if a.reserveSuccessor(isLost) == nil {
		err := a.reserve(ctx, reason)
		if err == nil {
			return a.abandonSilent(reason), true
		}
		if errors.Is(err, errReserving) {
			return 0, false
		}
	}
	i := slices.IndexFunc(s.succession.silent, func(i fleet.Incarnation) bool { return s.mayReturnTo(time.Now(), i.Target) })
	if i < 0 || s.succession.returns >= maxReturns {
		return 0, false
	}
	if a.keepsPlace(time.Now()) {
		previous := s.succession.silent[i].Target
		s.succession.releaseSlot()
		if release, ok := s.forwarder.Fleet.HoldSlot(previous.ID, s.memoryTokens(), s.capacityTokens()); ok {
			s.succession.slot = &heldSlot{target: previous, release: release, returns: true}
			_ = a.reserve(ctx, reason)
		}
		return 0, false
	}
	s.succession.returnFirst = true
	return a.abandon(reason), true
}

// mayReturnTo reports whether a target that the stream was taken from is ready and has room.
func (s *stream) mayReturnTo(now time.Time, t fleet.Target) bool {
	return s.allowsVersion(t) && s.forwarder.isUsable(now, t) && !s.succession.hasRefused(t.ID) && s.forwarder.Fleet.HasRoom(t.ID, s.memoryTokens(), s.capacityTokens()) && !s.forwarder.stopper.mayRun(t.ID, s.request.ID)
}

// releaseSlot ends the hold of a slot, if there is one.
func (c *succession) releaseSlot() {
	if c.slot != nil {
		c.slot.release()
		if c.slot.reservation != "" {
			c.slot.endReservation()
		}
		c.slot = nil
	}
}

// needsRoom reports whether the next attempt of a stream must not wait in a queue: the stream
// may still return to a target that it was taken from.
func (s *stream) needsRoom(now time.Time) bool {
	mayReturn := func(i fleet.Incarnation) bool { return !i.Terminated(now) }
	return now.Sub(s.lostAt) < maxRoomWait && s.succession.returns < maxReturns && slices.ContainsFunc(s.succession.silent, mayReturn)
}
