package forward

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// A target that is not at fault may be silent for a second or more and then go on. A
// request is therefore taken from a silent target only once another target can get it:
// the retry budget for the next attempt is consumed first, and that for the return if the
// other target refuses, and a stream has room there. Without a successor the request stays where it is until its target
// answers, breaks the connection or is known to have terminated.

const (
	// maxReturns is how often a request returns to targets that it was taken from. A
	// return that is refused or not sent doesn't count, nor one whose end is in doubt.
	maxReturns = 2
	// returnInterval is the time between two attempts to return. It is the shortest
	// backoff of a target that refused.
	returnInterval = 150 * time.Millisecond
	// longestSilence is the longest silence of a target that is not at fault. One that
	// accepts connections keeps its streams for so long: it may go on with them, and would
	// do so while another target works on them, too.
	longestSilence = 2 * time.Second
)

// mayTake reports whether a request may be taken from a target that is silent for so long.
// It can't return to a target that is leaving or has no entry, and stays there longer.
func (f *Forwarder) mayTake(now time.Time, i fleet.Incarnation, silence time.Duration) bool {
	state := f.Fleet.State(now, i.Target.ID)
	return silence >= longestSilence || i.Terminated(now) || state != fleet.Unknown && state != fleet.Leaving
}

// succession is the state of a request that was taken from silent targets.
type succession struct {
	silent         []fleet.Incarnation // targets that it was taken from, latest last
	retryReserved  time.Time           // when the retry budget of the next attempt was consumed; zero if it was not
	returnReserved time.Time           // the same of the next return
	returnedAt     time.Time           // when the latest return was sent; zero before the first
	returns        int
	returnFirst    bool                 // the next attempt is a return, if one is possible
	slot           *heldSlot            // for the next attempt; nil if none is held
	refusedAt      map[string]time.Time // when targets refused a reservation, by id
	denialRecorded bool                 // that the retry budget for a return is exhausted
	begun          bool                 // it is a stream that has begun
	version        *string              // that began the stream; nil before its first event
	credit         *string              // version under roll-out to which the next attempt may go, see takeCredit; nil for none
}

// recordDenial records once that a return has to wait for retry budget.
func (c *succession) recordDenial(f *Forwarder, r retry) {
	if !c.denialRecorded {
		c.denialRecorded = true
		f.recordDenial(r, 1)
	}
}

// arrived records that a target received the request and did not refuse it.
func (c *succession) arrived(id string) {
	before := len(c.silent)
	c.silent = slices.DeleteFunc(c.silent, func(i fleet.Incarnation) bool { return i.Target.ID == id })
	if len(c.silent) < before {
		c.returns++
	}
}

// awaitReturn waits until it is time to look again for a target, if the request may return
// to one that it was taken from. It returns false if there is none or ctx ends.
func (c *succession) awaitReturn(ctx context.Context) bool {
	now := time.Now()
	c.silent = slices.DeleteFunc(c.silent, func(i fleet.Incarnation) bool { return i.Terminated(now) })
	return len(c.silent) > 0 && c.returns < maxReturns && pause.For(ctx, returnInterval)
}

// take empties a reservation and returns it.
func take(reservation *time.Time) time.Time {
	reserved := *reservation
	*reservation = time.Time{}
	return reserved
}

// keepRetry keeps the retry budget that was just consumed for an attempt that is not made,
// if it is one after so many others.
func (c *succession) keepRetry(now time.Time, attempts int) {
	if attempts > 0 {
		c.retryReserved = now
	}
}

// Reasons why a request stays at a silent target.
var (
	errNotRepeatable   = errors.New("the request must not be sent again")
	errHasReturned     = errors.New("the request has returned to a target") // no more changes back and forth
	errAttemptsUsedUp  = errors.New("the attempts of the route are used up")
	errOnlySilent      = errors.New("the target accepts connections, and may go on")
	errNoReturn        = errors.New("the request can't return to its target")
	errBudgetExhausted = errors.New("the retry budget is exhausted")
)

// reserveSuccessor reserves what a request needs to be sent to another target than the
// current one: the next attempt and a return have their retry budget then. tried are the
// targets that it was sent to so far, and silence is the time since the current one sent
// anything. standby is the copy from which the next attempt may resume, nil for none. mayLeave
// returns why the request stays although there is another target, by the slot that is held
// there, nil for none; a nil mayLeave always lets it leave. The error is why the request stays.
func (f *Forwarder) reserveSuccessor(r *Request, c *succession, tried map[string]bool, current fleet.Incarnation, silence time.Duration, criteria fleet.Criteria, standby *standbyCopy, mayLeave func(*heldSlot) error) error {
	now := time.Now()
	c.releaseSlot()
	criteria.Exclude, criteria.Priority = withID(tried, current.Target.ID), f.priority(r)
	criteria.VersionFilter = f.allowedVersions(now, r.Service)
	if criteria.MemoryTokens > 0 {
		roomCriteria := criteria
		roomCriteria.Exclude = c.withRefusals(criteria.Exclude)
		slot, err := f.findTimelyRoom(now, roomCriteria, standby, c, mayLeave != nil)
		if err != nil && silence < maxRoomWait {
			return err
		}
		c.slot = slot
	}
	if mayLeave != nil {
		if err := mayLeave(c.slot); err != nil {
			c.releaseSlot()
			return err
		}
	}
	if !c.retryReserved.IsZero() {
		return nil
	}
	err := f.reserveRetry(now, r, c, current, silence, criteria, mayLeave != nil)
	if err != nil {
		c.releaseSlot()
	}
	return err
}

// reserveRetry is reserveSuccessor without the room at the next target. stopping is set if the
// daemon stops: there is hardly time for a return then.
func (f *Forwarder) reserveRetry(now time.Time, r *Request, c *succession, current fleet.Incarnation, silence time.Duration, criteria fleet.Criteria, stopping bool) error {
	switch {
	case !r.Route.Repeatable():
		return errNotRepeatable
	case !c.returnedAt.IsZero() && !stopping:
		return errHasReturned
	case !r.attemptsLeft(len(criteria.Exclude)):
		return errAttemptsUsedUp
	case !stopping && !f.mayTake(now, current, silence):
		return errNoReturn
	}
	if _, err := f.pickTarget(now, criteria, c); err != nil {
		return err
	}
	if refusal := f.CrashTracker.Check(doneContext, r); refusal != nil {
		return refusal
	}
	retries := 2
	if !c.returnReserved.IsZero() || stopping {
		retries = 1
	}
	if !f.RetryBudget.allow(now, retry{r, c.begun}, retries) {
		return errBudgetExhausted
	}
	c.retryReserved = now
	if c.returnReserved.IsZero() && !stopping {
		c.returnReserved = now
	}
	return nil
}

// doneContext makes calls that may block return at once.
var doneContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// releaseReturn gives back the retry budget for a return that is not needed.
func (f *Forwarder) releaseReturn(r *Request, c *succession) {
	if reserved := take(&c.returnReserved); !reserved.IsZero() {
		f.RetryBudget.Release(reserved, r.Service)
	}
}

// releaseRetries gives back all retry budget that a request did not use.
func (f *Forwarder) releaseRetries(r *Request, c *succession) {
	f.releaseReturn(r, c)
	f.releaseCredit(r.Service, c)
	c.releaseSlot()
	if reserved := take(&c.retryReserved); !reserved.IsZero() {
		f.RetryBudget.Release(reserved, r.Service)
	}
}

// planReturn returns the target to which a request returns once no other target can get
// it, and false if there is none. The request is sent to no further target, so the route's
// limit on them allows it. suits decides whether a target may still be used. refusal is as
// in allowSend.
func (f *Forwarder) planReturn(ctx context.Context, r *Request, c *succession, suits func(fleet.Target) bool) (t fleet.Target, ok bool, refusal *failure.Error) {
	now := time.Now()
	if c.returns >= maxReturns || now.Sub(c.returnedAt) < returnInterval {
		return fleet.Target{}, false, nil
	}
	for _, previous := range slices.Backward(c.silent) {
		switch state := f.Fleet.State(now, previous.Target.ID); {
		case previous.Terminated(now) || !suits(previous.Target):
			continue
		case f.stopper.mayRun(previous.Target.ID, r.ID):
			continue // a late end of the first run would end the next one, too
		case state == fleet.Unknown || state == fleet.Leaving || state == fleet.Avoided:
			continue
		case !f.allowsVersion(now, r.Service, previous.Target.SoftwareVersion):
			// It gets no requests any more, so nothing is to be awaited there.
			c.silent = slices.DeleteFunc(slices.Clone(c.silent), func(i fleet.Incarnation) bool { return i.Target.ID == previous.Target.ID })
			continue
		case !f.takeCredit(now, r.Service, previous.Target.SoftwareVersion, c):
			continue
		}
		criteria := fleet.Criteria{Priority: resumePriority, MemoryTokens: r.Prompt.Tokens + r.Prompt.MaxOutputTokens}
		if !f.takePermit(ctx, r.ID, previous.Target, criteria) {
			continue // awaitReturn looks again
		}
		reserved := take(&c.retryReserved)
		if reserved.IsZero() {
			reserved = take(&c.returnReserved)
		}
		if reserved.IsZero() {
			if !f.RetryBudget.allow(now, retry{r, c.begun}, 1) {
				f.releasePermit(r.ID, previous.Target, false)
				c.recordDenial(f, retry{r, c.begun})
				return fleet.Target{}, false, nil
			}
			reserved = now
		}
		allowed, refusal := f.allowSend(ctx, retry{r, c.begun}, true, reserved)
		if refusal != nil {
			c.silent = nil // no further send is allowed
		}
		if !allowed {
			f.releasePermit(r.ID, previous.Target, false)
			return fleet.Target{}, false, refusal
		}
		c.returnedAt = time.Now()
		f.stopper.forget(previous.Target.ID, r.ID)
		f.Events.Record(event.RequestReturned, r.ID, event.F("target", previous.Target.ID))
		return previous.Target, true, nil
	}
	return fleet.Target{}, false, nil
}

// giveUp ends the attempt because its target or its run seems lost, and returns how and true.
// If the stream has no successor, giveUp returns false and the attempt goes on.
func (a *streamAttempt) giveUp(reason string, evidence evidence) (attemptEnd, bool) {
	if err := a.reserveSuccessor(evidence); err != nil {
		a.keep(reason, err)
		return 0, false
	}
	return a.abandonSilent(reason), true
}

// evidence is what speaks against a run.
type evidence int

const (
	isSilent evidence = iota // nothing but the silence of the stream
	isLost                   // the target reports that it doesn't run the request, or its answer doesn't arrive
)

// reserveSuccessor reserves what the stream needs to continue at another target, if it may
// leave its own.
func (a *streamAttempt) reserveSuccessor(evidence evidence) error {
	s, now := a.stream, time.Now()
	var mayLeave func(*heldSlot) error
	switch {
	case a.incarnation.Terminated(now):
	case s.isStopping():
		if d := a.planDeparture(now, nil, evidence); d.silent && d.check() == errMayGoOn {
			return errMayGoOn // whatever the slot, which is not held for that
		}
		mayLeave = func(slot *heldSlot) error { return a.planDeparture(now, slot, evidence).check() }
	case s.forwarder.Fleet.IsSilent(now, a.attempt.Target.ID, longestSilence-probeTimeout):
		return errOnlySilent
	}
	standby := a.copier.latestCopy(now)
	if standby == nil {
		standby = a.copier.current
	}
	return s.forwarder.reserveSuccessor(s.request, &s.succession, s.tried, a.incarnation, now.Sub(a.detector.lastProgress), s.targetCriteria(nil), standby, mayLeave)
}

// keep records that the attempt goes on although its stream is silent, because there is no
// successor. Each reason is logged once between two events.
func (a *streamAttempt) keep(reason string, noSuccessor error) {
	a.kept = true
	s, why := a.stream, noSuccessor.Error()
	a.noSuccessor = why
	s.waitFor(a.keptWait(noSuccessor))
	if slices.Contains(a.keptFor, why) {
		return
	}
	a.keptFor = append(a.keptFor, why)
	s.forwarder.Events.Record(event.AttemptKept, s.request.ID, event.F("target", a.attempt.Target.ID), event.F("reason", reason), event.F("no_attempt", why),
		event.F("attempts", strconv.Itoa(len(withID(s.tried, a.attempt.Target.ID)))), event.F("last_event", strconv.FormatInt(s.lastEventID, 10)))
}

// abandonSilent abandons an attempt whose target may still run.
func (a *streamAttempt) abandonSilent(reason string) attemptEnd {
	c := &a.stream.succession
	c.silent = append(slices.DeleteFunc(c.silent, func(i fleet.Incarnation) bool { return i.Target.ID == a.attempt.Target.ID }), a.incarnation)
	return a.abandon(reason)
}

// abandonBroken abandons an attempt whose connection broke. After a return, that may be
// the effect of an earlier move which the target has carried out late.
func (a *streamAttempt) abandonBroken(reason string) attemptEnd {
	if a.stream.succession.returns > 0 {
		return a.abandonSilent(reason)
	}
	return a.abandonFaulty(reason)
}

// abandonFaulty abandons an attempt by a fault of its target.
func (a *streamAttempt) abandonFaulty(reason string) attemptEnd {
	a.faulty = true
	return a.abandon(reason)
}

// handleSuspected handles the suspicion or the end of the attempt's target.
func (a *streamAttempt) handleSuspected() (attemptEnd, bool) {
	now := time.Now()
	if a.incarnation.Terminated(now) {
		a.targetLost = true
		return a.abandonFaulty("the target has terminated"), true
	}
	a.lost = nil // without an entry there is no next suspicion
	if id := a.attempt.Target.ID; a.stream.forwarder.Fleet.Has(id) {
		a.lost = a.stream.forwarder.Fleet.Lost(id) // the next suspicion
	}
	if a.awaitsConfirmation() {
		return 0, false // see handleUnconfirmed
	}
	return a.giveUp("the target is taken for dead", isSilent)
}

// handleTimer handles a stream that was silent for a time: its target is probed, the run
// moves to another target, or the attempt is abandoned. If the attempt goes on,
// handleTimer returns the time until the next call.
func (a *streamAttempt) handleTimer(ctx context.Context) (wait time.Duration, end attemptEnd, done bool) {
	if a.awaitsConfirmation() {
		return a.handleUnconfirmed(ctx)
	}
	const reason = "the stream is silent"
	now := time.Now()
	late := a.stream.forwarder.Prober.lateness(a.detector.lastProgress, now)
	action, wait := a.detector.next(now, late)
	evidence := isSilent
	if a.detector.isStalled(now, late) && a.isPreempted(now) {
		action = stallAbandon
	}
	if a.stream.isStopping() {
		switch {
		case a.detector.isStalled(now, late), a.isStalledAtEnd(now, late):
			action = stallAbandon // also without a copy
		case !a.detector.firstEventSeen:
			left := a.untilOverdue(now, late)
			if wait = min(wait, left); left == 0 {
				action, evidence = stallAbandon, isLost
				a.markOverdue(now)
			}
		}
	}
	switch {
	case a.moving || a.reserving:
		return gapProbeInterval, 0, false
	case action == stallAbandon && a.isUnclear(now):
		action, wait = stallProbe, targetPollInterval // a move would be carried out when the target goes on, and a place lost
	case action == stallAbandon:
		wait = gapProbeInterval
		err := a.reserveSuccessor(evidence)
		if err == nil && a.startMove(ctx) {
			return wait, 0, false // until the move has ended
		}
		if err == nil {
			err = a.reserve(ctx, reason)
		}
		switch {
		case err == nil:
			return 0, a.abandonSilent(reason), true
		case errors.Is(err, errReserving):
			return wait, 0, false
		}
		a.keep(reason, err)
	case a.kept && a.stream.forwarder.Fleet.State(now, a.attempt.Target.ID) == fleet.Ready:
		a.kept = false // the target has answered
	case a.kept:
		if end, done := a.giveUp(reason, isSilent); done {
			return 0, end, true
		}
	}
	if action != stallWait {
		a.stream.forwarder.Prober.Probe(a.attempt.Target, a.probeResults)
	}
	return wait, 0, false
}

// isUnclear reports whether no probe has shown yet whether the target is silent, or only the stream
// is: the run has begun, or may have a place in the queue.
func (a *streamAttempt) isUnclear(now time.Time) bool {
	f, t := a.stream.forwarder, a.attempt.Target
	hasPlace := a.detector.firstEventSeen || f.reservationTime(a.stream.request.Service) > 0
	return hasPlace && f.Fleet.State(now, t.ID) == fleet.Ready && !f.Prober.answeredSince(t, a.detector.lastProgress)
}

// withID returns a copy of a set of ids with one more.
func withID(set map[string]bool, id string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	for k := range set {
		out[k] = true
	}
	out[id] = true
	return out
}
