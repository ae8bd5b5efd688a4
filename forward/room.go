package forward

import (
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
}

// findRoom picks a target with room for a stream and holds a slot there. It prefers the holder
// of the standby copy, which has the memory already.
func (f *Forwarder) findRoom(now time.Time, criteria fleet.Criteria, standby *standbyCopy) (*heldSlot, error) {
	if standby != nil && !criteria.Exclude[standby.holder.ID] && f.isUsable(now, standby.holder) {
		if release, ok := f.Fleet.HoldSlot(standby.holder.ID, 0, 0); ok {
			return &heldSlot{standby.holder, release}, nil
		}
	}
	criteria.NeedsRoom = true
	t, err := f.Fleet.Pick(now, criteria)
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
	return &heldSlot{t, release}, nil
}

// isUsable reports whether t is ready and its registered incarnation.
func (f *Forwarder) isUsable(now time.Time, t fleet.Target) bool {
	return f.Fleet.IsCurrent(t) && f.Fleet.State(now, t.ID) == fleet.Ready
}

// releaseSlot ends the hold of a slot, if there is one.
func (c *succession) releaseSlot() {
	if c.slot != nil {
		c.slot.release()
		c.slot = nil
	}
}

// needsRoom reports whether the next attempt of a stream must not wait in a queue: the stream
// may still return to a target that it was taken from.
func (s *stream) needsRoom(now time.Time) bool {
	return len(s.succession.silent) > 0 && now.Sub(s.lostAt) < maxRoomWait
}
