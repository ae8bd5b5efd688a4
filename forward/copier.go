package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// Timing of copies that are made by hand, after the target that held the growing
// one was lost.
const (
	// copyEvery is the time between two copies: what came since the last is read
	// anew after a loss, some tens of milliseconds' worth. It is well below the
	// seconds for which targets keep a copy.
	copyEvery = time.Second
	// copyRetry is the pause after a copy that failed, as before the run begins.
	copyRetry = 400 * time.Millisecond
	// copyTimeout bounds one copy; it takes some tens of milliseconds.
	copyTimeout = time.Second
	// moveTimeout bounds the move of a silent run, which takes some tens of
	// milliseconds; the caller waits meanwhile.
	moveTimeout = 200 * time.Millisecond
)

// heldCopy is a copy of a run's memory and the target that holds it.
type heldCopy struct {
	at   fleet.Target
	copy Copy
}

// copyResult is the outcome of a copy by hand.
type copyResult struct {
	heldCopy
	err error
}

// copier sees to it that a run has a copy of its memory in another place. The
// first one grows by itself; once its holder is lost, copies are made by hand.
type copier struct {
	s      *stream
	from   fleet.Target
	held   *heldCopy       // nil while there is none
	next   *fleet.Target   // gets copies by hand; nil while the copy grows by itself
	unfit  <-chan struct{} // closed when the holder is not to be relied on
	timer  *time.Timer     // of the next copy by hand; nil for none
	copied chan copyResult // of copies by hand
	// failed holds the targets that could not take a copy.
	failed  map[string]bool
	byHand  bool   // held was made by hand and is to be released
	release func() // ends the count of the copy's memory
}

func newCopier(s *stream, a Attempt) *copier {
	c := &copier{s: s, from: a.Target, copied: make(chan copyResult, 1), failed: make(map[string]bool), release: func() {}}
	if a.CopyTo != nil {
		c.release = s.f.Fleet.ReserveCopy(a.CopyTo.ID, s.memory())
		c.held = &heldCopy{*a.CopyTo, Copy{a.CopyTo.Address, s.r.ID}}
		c.unfit = s.f.Fleet.Unusable(time.Now(), a.CopyTo.ID)
	}
	return c
}

// again returns the channel of the time of the next copy by hand.
func (c *copier) again() <-chan time.Time {
	if c.timer == nil {
		return nil
	}
	return c.timer.C
}

// move chooses another holder.
func (c *copier) move(now time.Time) {
	c.release()
	c.held, c.next, c.unfit = nil, nil, nil
	if t, ok := c.s.copyTarget(now, c.from, c.failed); ok {
		c.release = c.s.f.Fleet.ReserveCopy(t.ID, c.s.memory())
		c.next, c.unfit = &t, c.s.f.Fleet.Unusable(now, t.ID)
		c.schedule(0)
		return
	}
	c.schedule(copyRetry)
}

func (c *copier) schedule(wait time.Duration) {
	if c.timer == nil {
		c.timer = time.NewTimer(wait)
		return
	}
	c.timer.Reset(wait)
}

// refresh has the memory copied, without waiting for it.
func (c *copier) refresh(ctx context.Context) {
	if c.next == nil {
		c.move(time.Now())
		return
	}
	to := *c.next
	go func() {
		ctx, cancel := context.WithTimeout(ctx, copyTimeout)
		defer cancel()
		made, err := c.s.f.TargetClient.Copy(ctx, c.from, c.s.r.ID, to)
		if err != nil {
			c.s.f.Events.Record(event.CopyFailed, c.s.r.ID, event.F("from", c.from.ID), event.F("to", to.ID), event.F("error", err.Error()))
		}
		hand(ctx, c.copied, copyResult{heldCopy{to, made}, err})
	}()
}

// end ends the copy with its run. One that was made by hand stays, where it is not
// released, until its target gives it up; one that grew by itself ends with a run
// that is whole.
func (c *copier) end(whole bool) {
	c.release()
	if !whole || !c.byHand || c.held == nil {
		return
	}
	held, from := *c.held, c.from
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
		defer cancel()
		if err := c.s.f.TargetClient.Release(ctx, from, held.copy); err != nil {
			c.s.f.Events.Record(event.CopyFailed, c.s.r.ID, event.F("from", from.ID), event.F("to", held.at.ID), event.F("error", err.Error()))
		}
	}()
}

// took takes the outcome of a copy by hand.
func (c *copier) took(r copyResult) {
	switch {
	case c.next == nil || r.at.ID != c.next.ID:
		// another holder was chosen meanwhile
	case r.err == nil:
		c.held, c.byHand = &r.heldCopy, true
		c.schedule(copyEvery)
	case errors.Is(r.err, ErrRunNotFound):
		c.schedule(copyRetry)
	default:
		c.failed[r.at.ID] = true
		c.next, c.unfit = nil, nil
		c.schedule(copyRetry)
	}
}
