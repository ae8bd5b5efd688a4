package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// Timing of explicit copies and moves. The target of a run updates a continuous copy by
// itself. Once the holder of that copy is unusable, explicit copies are requested one
// by one.
const (
	// copyInterval is the time between two explicit copies. After the loss of a run,
	// the tokens since its last copy are prefilled again, which takes some tens of
	// milliseconds. The interval is well below the seconds for which targets keep a
	// copy.
	copyInterval = time.Second
	// copyRetryDelay is the time from a failed copy to the next attempt. A copy fails,
	// for instance, because the run has not begun.
	copyRetryDelay = 400 * time.Millisecond
	// copyTimeout bounds one copy, which takes some tens of milliseconds.
	copyTimeout = time.Second
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
// target of the run updates a continuous copy as the cache grows. Once the holder of
// that copy is unusable, the copier requests explicit copies.
type copier struct {
	stream         *stream
	source         fleet.Target
	current        *standbyCopy    // latest copy; nil if there is none
	explicitTarget *fleet.Target   // receives the explicit copies; nil during continuous copying
	unusable       <-chan struct{} // closed when the holder becomes unusable
	copyTimer      *time.Timer     // for the next explicit copy; nil if none is scheduled
	results        chan copyResult // of explicit copies
	// failedTargets holds the ids of targets to which a copy failed.
	failedTargets      map[string]bool
	explicit           bool   // current is an explicit copy and must be released
	releaseReservation func() // ends the reservation of the copy's memory
}

func newCopier(s *stream, a Attempt) *copier {
	c := &copier{stream: s, source: a.Target, results: make(chan copyResult, 1), failedTargets: make(map[string]bool), releaseReservation: func() {}}
	if a.CopyTo != nil {
		c.releaseReservation = s.forwarder.Fleet.ReserveCopy(a.CopyTo.ID, s.memoryTokens())
		c.current = &standbyCopy{*a.CopyTo, Copy{a.CopyTo.Address, s.request.ID}, byBackup}
		c.unusable = s.forwarder.Fleet.Unusable(time.Now(), a.CopyTo.ID)
	}
	return c
}

// timerChannel returns the channel of the timer for the next explicit copy.
func (c *copier) timerChannel() <-chan time.Time {
	if c.copyTimer == nil {
		return nil
	}
	return c.copyTimer.C
}

// replaceTarget picks another target for the copy.
func (c *copier) replaceTarget(now time.Time) {
	c.releaseReservation()
	c.current, c.explicitTarget, c.unusable = nil, nil, nil
	if t, ok := c.stream.pickCopyTarget(now, c.source, c.failedTargets, copyMemory, false); ok {
		c.releaseReservation = c.stream.forwarder.Fleet.ReserveCopy(t.ID, c.stream.memoryTokens())
		c.explicitTarget, c.unusable = &t, c.stream.forwarder.Fleet.Unusable(now, t.ID)
		c.schedule(0)
		return
	}
	c.schedule(copyRetryDelay)
}

func (c *copier) schedule(delay time.Duration) {
	if c.copyTimer == nil {
		c.copyTimer = time.NewTimer(delay)
		return
	}
	c.copyTimer.Reset(delay)
}

// startCopy starts an explicit copy and does not wait for it. If there is no target for
// the copy, it picks one, which schedules the copy.
func (c *copier) startCopy(ctx context.Context) {
	if c.explicitTarget == nil {
		c.replaceTarget(time.Now())
		return
	}
	destination := *c.explicitTarget
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		newCopy, err := c.stream.forwarder.TargetClient.Copy(ctx, c.source, c.stream.request.ID, destination)
		if err != nil {
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
	if !intact || !c.explicit || c.current == nil {
		return
	}
	current := *c.current
	go c.stream.forwarder.releaseCopy(c.stream.request.ID, c.source, current)
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
	switch {
	case c.explicitTarget == nil || r.holder.ID != c.explicitTarget.ID:
		// another target was picked after this copy started
	case r.err == nil:
		c.current, c.explicit = &r.standbyCopy, true
		c.schedule(copyInterval)
	case errors.Is(r.err, ErrRunNotFound):
		c.schedule(copyRetryDelay)
	default:
		c.failedTargets[r.holder.ID] = true
		c.explicitTarget, c.unusable = nil, nil
		c.schedule(copyRetryDelay)
	}
}
