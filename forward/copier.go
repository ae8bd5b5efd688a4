package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// Timing of explicit copies and moves. The target of a run updates a continuous copy by
// itself. A run that has none, or whose holder is unusable, gets explicit copies, which are
// requested one by one.
const (
	// copyInterval is the time between two explicit copies. After the loss of a run,
	// the tokens since its last copy are prefilled again, which takes some tens of
	// milliseconds. The interval is well below the seconds for which targets keep a
	// copy.
	copyInterval = time.Second
	// copyRetryDelay is the time to the next attempt if a copy failed, the target was making
	// another copy of the run, or no target had room. It doubles with each one in a row up to
	// maxCopyRetryDelay. A continuous copy whose holder has failed is in progress for as long
	// as the target waits for the holder. Where memory is short, searches up to 1.6 s apart
	// found a place for a copy less often than those 0.4 s apart.
	copyRetryDelay    = 100 * time.Millisecond
	maxCopyRetryDelay = 4 * copyRetryDelay
	// failedCopyTime is how long a target gets no further copy of a run after a failed one.
	failedCopyTime = 2 * time.Second
	// copyTimeout bounds one copy, which takes some tens of milliseconds.
	copyTimeout = time.Second
	// maxCopyAge is the age that the latest part of a copy may have when its holder
	// becomes unusable: copyInterval, and the time to notice it.
	maxCopyAge = copyInterval + 500*time.Millisecond
	// moveTimeout bounds the move of a stalled run, which takes some tens of
	// milliseconds. The caller receives no events during the move.
	moveTimeout = 200 * time.Millisecond
)

// standbyCopy is a copy of a run's KV cache on a second target.
type standbyCopy struct {
	holder fleet.Target
	copy   Copy
	origin copyOrigin
}

// copyOrigin is how a copy was made, for the log.
type copyOrigin string

const (
	byBackup copyOrigin = "backup" // continuously, by the target of the run
	byCopy   copyOrigin = "copy"   // at the request of a copier
	byMove   copyOrigin = "move"   // which has stopped the run
)

// copyResult is the outcome of an explicit copy or of a move.
type copyResult struct {
	standbyCopy
	err        error
	unanswered bool // the request for a move was not answered in time
}

// copier maintains a standby copy of a run's KV cache in another place. At first the
// target of the run updates a continuous copy as the cache grows. If there is none, or its
// holder becomes unusable, the copier requests explicit copies.
type copier struct {
	stream         *stream
	source         fleet.Target
	begun          bool            // the run has sent an event; targets copy no others
	current        *standbyCopy    // latest copy; nil if there is none
	explicitTarget *fleet.Target   // receives the explicit copies; nil during continuous copying
	unusable       <-chan struct{} // closed when the holder becomes unusable
	copyTimer      *time.Timer     // for the next explicit copy; nil if none is scheduled
	retryDelay     time.Duration   // see copyRetryDelay
	failure        error           // of the latest attempt to get a copy, for the log; nil for none
	results        chan copyResult // of explicit copies
	// failedAt holds the times at which copies to targets failed, by id.
	failedAt map[string]time.Time
	// previous is the copy before current, whose holder became unusable and may be usable
	// again; nil if there is none. Its target may have discarded it from previousUntil on.
	previous           *standbyCopy
	previousUntil      time.Time
	explicit           bool   // current is an explicit copy and must be released
	releaseReservation func() // ends the reservation of the memory of current
	releaseTarget      func() // ends that at explicitTarget, until its first copy is complete
}

func newCopier(s *stream, a Attempt) *copier {
	c := &copier{stream: s, source: a.Target, results: make(chan copyResult, 1), failedAt: make(map[string]time.Time), retryDelay: copyRetryDelay, releaseReservation: func() {}, releaseTarget: func() {}}
	if a.CopyTo != nil {
		c.releaseReservation = s.forwarder.Fleet.ReserveCopy(a.CopyTo.ID, s.memoryTokens())
		c.current = &standbyCopy{*a.CopyTo, Copy{a.CopyTo.Address, s.request.ID}, byBackup}
		c.unusable = s.forwarder.Fleet.Unusable(time.Now(), a.CopyTo.ID)
	}
	return c
}

// start handles the first event of the run. If no continuous copy was requested, or its holder
// was lost meanwhile, an explicit one is due.
func (c *copier) start() {
	c.begun = true
	switch {
	case !c.stream.request.Route.Repeatable() || !c.stream.copiesRuns():
	case c.current == nil:
		c.schedule(0)
	case c.isMisplaced():
		c.schedule(maxCopyRetryDelay)
	}
}

// isMisplaced reports whether the holder of the copy is in the place of the run, and would be lost
// together with it.
func (c *copier) isMisplaced() bool {
	return c.current != nil && c.current.holder.Place == c.source.Place
}

// timerChannel returns the channel of the timer for the next explicit copy.
func (c *copier) timerChannel() <-chan time.Time {
	if c.copyTimer == nil {
		return nil
	}
	return c.copyTimer.C
}

// replaceTarget picks another target for the copy, whose holder has become unusable.
func (c *copier) replaceTarget(now time.Time) {
	c.dropCurrent(now)
	if c.chooseTarget(now) {
		c.schedule(0)
	} else {
		c.retryLater()
	}
}

// dropCurrent gives up the current copy. It is kept as the previous one.
func (c *copier) dropCurrent(now time.Time) {
	if c.current != nil && (c.begun || c.explicit) {
		c.previous = c.current
		c.previousUntil = now.Add(c.stream.copyRetention() - maxCopyAge)
	}
	c.releaseReservation()
	c.releaseTarget()
	c.failure = errHolderLost
	c.current, c.explicit, c.explicitTarget, c.unusable = nil, false, nil, nil
}

// chooseTarget picks the target for explicit copies. It returns false if there is none, or none in a
// better place than the current copy or target.
func (c *copier) chooseTarget(now time.Time) bool {
	f, tokens, failed := c.stream.forwarder, c.stream.memoryTokens(), c.failedTargets(now)
	search := copySearch{service: c.stream.request.Service, version: c.source.SoftwareVersion, place: c.source.Place, replaces: c.current != nil || c.explicitTarget != nil}
	if f.Fleet.ServiceSize(search.service) < minSharedTargets {
		search.excluded = joinIDs(c.stream.tried, failed, map[string]bool{c.source.ID: true})
	}
	searches := &f.copySearches
	if f.Admission.holds(search.service) {
		c.failure = errStreamsHeld
		return false
	}
	if searches.isFutile(now, search, tokens) {
		c.failure = errNoCopyTarget
		return false
	}
	t, ok := c.stream.pickCopyTarget(now, c.source, failed, copyMemory, false)
	if !ok || search.replaces && t.Place == c.source.Place {
		c.failure = errNoCopyTarget
		searches.record(now, search, tokens)
		return false
	}
	c.releaseTarget()
	c.releaseTarget = f.Fleet.ReserveCopy(t.ID, tokens)
	if c.current == nil {
		c.unusable = f.Fleet.Unusable(now, t.ID)
	}
	c.explicitTarget = &t
	return true
}

// failedTargets returns the ids of the targets to which a copy has just failed.
func (c *copier) failedTargets(now time.Time) map[string]bool {
	failed := make(map[string]bool)
	for id, at := range c.failedAt {
		if now.Sub(at) < failedCopyTime {
			failed[id] = true
		}
	}
	return failed
}

// latestCopy returns the copy from which a run that is lost may resume, nil if there is none. It
// may exist, and not only be planned: a target copies nothing of a run that has not begun.
func (c *copier) latestCopy(now time.Time) *standbyCopy {
	switch {
	case c.current != nil && (c.begun || c.explicit):
		return c.current
	case c.previous != nil && now.Before(c.previousUntil):
		return c.previous
	}
	return nil
}

// Reasons why a run has no copy.
var (
	errNoCopyTarget = errors.New("no other target has memory for it")
	errStreamsHeld  = errors.New("streams wait for its memory")
	errHolderLost   = errors.New("its holder was lost")
)

// missing returns why there is no copy from which the run may resume, for the log.
func (c *copier) missing() string {
	switch {
	case !c.stream.copiesRuns():
		return "the service keeps no copies"
	case !c.begun:
		return "the run had not begun"
	case c.failure != nil:
		return c.failure.Error()
	}
	return "none was complete"
}

func (c *copier) schedule(delay time.Duration) {
	if c.copyTimer == nil {
		c.copyTimer = time.NewTimer(delay)
		return
	}
	c.copyTimer.Reset(delay)
}

// retryLater schedules the next attempt after one that failed.
func (c *copier) retryLater() {
	c.schedule(c.retryDelay)
	c.retryDelay = min(maxCopyRetryDelay, 2*c.retryDelay)
}

// startCopy starts an explicit copy and does not wait for it. If there is no target for
// the copy, or only one in the run's place, it looks for another one first.
func (c *copier) startCopy(ctx context.Context) {
	if !c.begun {
		return // see start
	}
	if c.explicitTarget == nil || c.explicitTarget.Place == c.source.Place {
		found := c.chooseTarget(time.Now())
		if !found && c.explicitTarget == nil && c.explicit {
			c.explicitTarget = &c.current.holder // which gets an update meanwhile
		}
		if c.explicitTarget == nil {
			c.retryLater()
			return
		}
	}
	destination := *c.explicitTarget
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		newCopy, err := c.stream.forwarder.TargetClient.Copy(ctx, c.source, c.stream.request.ID, destination)
		if err != nil && !errors.Is(err, ErrCopyInProgress) {
			c.stream.forwarder.Events.Record(event.CopyFailed, c.stream.request.ID, event.F("from", c.source.ID), event.F("to", destination.ID), event.F("error", err.Error()))
		}
		sendUnlessDone(ctx, c.results, copyResult{standbyCopy: standbyCopy{destination, newCopy, byCopy}, err: err})
	}()
}

// finish ends copying when the run ends. intact reports whether the run ended without
// being lost. The explicit copy of an intact run is released; if the release fails, the
// copy stays until its target discards it. A continuous copy needs no release, since it
// ends with an intact run. After a loss, the copy stays for the next attempt.
func (c *copier) finish(intact bool) {
	c.releaseReservation()
	c.releaseTarget()
	if !intact {
		return
	}
	f, now := c.stream.forwarder, time.Now()
	// A copy that could not be updated may still be there.
	if p := c.previous; p != nil && p.origin == byCopy && now.Before(c.previousUntil) && f.isUsable(now, p.holder) && (c.current == nil || p.copy != c.current.copy) {
		go f.releaseCopy(c.stream.request.ID, c.source, *p)
	}
	if c.explicit && c.current != nil {
		go f.releaseCopy(c.stream.request.ID, c.source, *c.current)
	}
}

// releaseCopy releases a copy that the target source has made of a run's KV cache.
func (f *Forwarder) releaseCopy(requestID string, source fleet.Target, c standbyCopy) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	if err := f.TargetClient.Release(ctx, source, c.copy); err != nil {
		f.Events.Record(event.CopyFailed, requestID, event.F("from", source.ID), event.F("to", c.holder.ID), event.F("error", err.Error()))
	}
}

// handleResult handles the outcome of an explicit copy.
func (c *copier) handleResult(r copyResult) {
	now := time.Now()
	c.failure = r.err
	switch {
	case c.explicitTarget == nil || r.holder.ID != c.explicitTarget.ID:
		// another target was picked after this copy started
	case r.err == nil:
		c.replaceCurrent(r.standbyCopy)
		c.explicit, c.retryDelay = true, copyRetryDelay
		c.unusable = c.stream.forwarder.Fleet.Unusable(now, r.holder.ID)
		c.schedule(copyInterval)
		if c.isMisplaced() {
			c.schedule(maxCopyRetryDelay)
		}
	case errors.Is(r.err, ErrRunNotFound), errors.Is(r.err, ErrCopyInProgress):
		c.retryLater() // it says nothing of the destination
	default:
		c.failedAt[r.holder.ID] = now
		if c.current == nil || c.current.holder.ID == r.holder.ID {
			c.dropCurrent(now)
		}
		c.releaseTarget()
		c.explicitTarget, c.failure = nil, r.err
		c.retryLater()
	}
}

// replaceCurrent sets the current copy to an explicit one that is complete.
func (c *copier) replaceCurrent(latest standbyCopy) {
	old := c.current
	c.current = &latest
	if old != nil && old.holder.ID == latest.holder.ID {
		return // an update of it
	}
	before, release := c.releaseReservation, c.releaseTarget
	c.releaseReservation, c.releaseTarget = release, func() {}
	switch {
	case old == nil:
	case c.explicit && old.copy != latest.copy:
		before()
		go c.stream.forwarder.releaseCopy(c.stream.request.ID, c.source, *old)
	default: // A continuous copy stays at its holder, as does one with the same name, which targets may reuse.
		c.releaseReservation = func() { release(); before() }
	}
}
