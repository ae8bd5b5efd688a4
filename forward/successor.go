package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// A target that is not at fault may be silent for a second or more and then go on. A
// request is therefore taken from a silent target only once another target can get it:
// the retry budget for the next attempt is consumed first, and that for the return if the
// other target refuses. Without a successor the request stays where it is until its target
// answers, breaks the connection or is known to have terminated.

// maxReturns is how often a request returns to targets that it was taken from.
const maxReturns = 2

// succession is the state of a request that was taken from silent targets.
type succession struct {
	silent         []fleet.Incarnation // targets that it was taken from, latest last
	retryReserved  bool                // the next attempt has its retry budget
	returnReserved bool                // the next return has its retry budget
	returns        int
}

// takeRetry uses the retry budget that is reserved for the next attempt, if there is any.
func (c *succession) takeRetry() (reserved bool) {
	reserved, c.retryReserved = c.retryReserved, false
	return reserved
}

// reserveSuccessor reports whether a request can be sent to another target than the
// current one. tried are the targets that it was sent to so far. If so, the next attempt
// and a return have their retry budget.
func (f *Forwarder) reserveSuccessor(r *Request, c *succession, tried map[string]bool, current string, criteria fleet.Criteria) bool {
	if c.retryReserved {
		return true
	}
	now := time.Now()
	criteria.Exclude = withID(tried, current)
	if c.returns > 0 || !r.Route.Repeatable() || !r.attemptsLeft(len(criteria.Exclude)) { // after a return, no more changes back and forth
		return false
	}
	if _, err := f.Fleet.Pick(now, criteria); err != nil {
		return false
	}
	if f.CrashTracker.Check(doneContext, r) != nil {
		return false
	}
	retries := 2
	if c.returnReserved {
		retries = 1
	}
	if !f.RetryBudget.AllowRetries(now, r.Service, retries) {
		return false
	}
	c.retryReserved, c.returnReserved = true, true
	return true
}

// doneContext makes calls that may block return at once.
var doneContext = func() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}()

// releaseReturn gives back the retry budget for a return that is not needed.
func (f *Forwarder) releaseReturn(r *Request, c *succession) {
	if c.returnReserved {
		c.returnReserved = false
		f.RetryBudget.Release(r.Service)
	}
}

// releaseRetries gives back all retry budget that a request did not use.
func (f *Forwarder) releaseRetries(r *Request, c *succession) {
	f.releaseReturn(r, c)
	if c.takeRetry() {
		f.RetryBudget.Release(r.Service)
	}
}

// planReturn returns the target to which a request returns once no other target can get
// it, and false if there is none. The request is sent to no further target, so the route's
// limit on them allows it. suits decides whether a target may still be used. refusal is as
// in allowSend.
func (f *Forwarder) planReturn(ctx context.Context, r *Request, c *succession, suits func(fleet.Target) bool) (t fleet.Target, ok bool, refusal *failure.Error) {
	for len(c.silent) > 0 && c.returns < maxReturns {
		last := len(c.silent) - 1
		previous := c.silent[last]
		c.silent = c.silent[:last]
		now := time.Now()
		if state := f.Fleet.State(now, previous.Target.ID); previous.Terminated(now) || !suits(previous.Target) || state == fleet.Unknown || state == fleet.Leaving {
			continue
		}
		reserved := c.takeRetry()
		if !reserved {
			reserved, c.returnReserved = c.returnReserved, false
		}
		allowed, refusal := f.allowSend(ctx, r, !reserved)
		if !allowed {
			return fleet.Target{}, false, refusal
		}
		c.returns++
		f.Events.Record(event.RequestReturned, r.ID, event.F("target", previous.Target.ID))
		return previous.Target, true, nil
	}
	return fleet.Target{}, false, nil
}

// giveUp ends the attempt because its target is silent, and returns how and true. If the
// stream has no successor, giveUp returns false and the attempt goes on.
func (a *streamAttempt) giveUp(reason string) (attemptEnd, bool) {
	if !a.hasSuccessor() {
		a.keep(reason)
		return 0, false
	}
	return a.abandonSilent(reason), true
}

func (a *streamAttempt) hasSuccessor() bool {
	s := a.stream
	return s.forwarder.reserveSuccessor(s.request, &s.succession, s.tried, a.attempt.Target.ID, s.targetCriteria(nil))
}

// keep records that the attempt goes on although its target is silent.
func (a *streamAttempt) keep(reason string) {
	if a.kept {
		return
	}
	a.kept = true
	s := a.stream
	s.forwarder.Events.Record(event.AttemptKept, s.request.ID, event.F("target", a.attempt.Target.ID), event.F("reason", reason),
		event.F("attempts", strconv.Itoa(len(withID(s.tried, a.attempt.Target.ID)))), event.F("last_event", strconv.FormatInt(s.lastEventID, 10)))
}

// abandonSilent abandons an attempt whose target may still run.
func (a *streamAttempt) abandonSilent(reason string) attemptEnd {
	a.stream.succession.silent = append(a.stream.succession.silent, a.incarnation)
	return a.abandon(reason)
}

// abandonBroken abandons an attempt whose connection broke. After a return, that may be
// the effect of an earlier move which the target has carried out late.
func (a *streamAttempt) abandonBroken(reason string) attemptEnd {
	if a.stream.succession.returns > 0 {
		return a.abandonSilent(reason)
	}
	return a.abandon(reason)
}

// handleSuspected handles the suspicion or the end of the attempt's target.
func (a *streamAttempt) handleSuspected() (attemptEnd, bool) {
	now := time.Now()
	if a.incarnation.Terminated(now) {
		return a.abandon("the target has terminated"), true
	}
	a.lost = nil // without an entry there is no next suspicion
	if id := a.attempt.Target.ID; a.stream.forwarder.Fleet.Has(id) {
		a.lost = a.stream.forwarder.Fleet.Lost(id) // the next suspicion
	}
	return a.giveUp("the target is taken for dead")
}

// handleTimer handles a stream that was silent for a time: its target is probed, the run
// moves to another target, or the attempt is abandoned. If the attempt goes on,
// handleTimer returns the time until the next call.
func (a *streamAttempt) handleTimer(ctx context.Context) (wait time.Duration, end attemptEnd, done bool) {
	action, wait := a.detector.next(time.Now())
	switch {
	case a.moving:
		return gapProbeInterval, 0, false
	case action == stallAbandon && a.hasSuccessor():
		if a.startMove(ctx) {
			return gapProbeInterval, 0, false
		}
		return 0, a.abandonSilent("the stream is silent"), true
	case action == stallAbandon:
		a.keep("the stream is silent")
		wait = gapProbeInterval
	case a.kept:
		if end, done := a.giveUp("the target is silent"); done {
			return 0, end, true
		}
	}
	if action != stallWait {
		a.stream.forwarder.Prober.Probe(a.attempt.Target, a.probeResults)
	}
	return wait, 0, false
}

// send sends the call to one target and reads the answer. While another target can get
// the call, it is given up after attemptTimeoutFactor times the route's latency
// objective.
func (c *call) send(ctx context.Context, a Attempt) (answer *Answer, body []byte, gaveUp bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.request.Route.Repeatable() || c.request.Route.LatencyObjective <= 0 || !c.request.attemptsLeft(len(c.tried)+1) {
		answer, body, err = c.exchange(ctx, a)
		return answer, body, false, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		answer, body, err = c.exchange(ctx, a)
	}()
	timer := time.NewTimer(attemptTimeoutFactor * c.request.Route.LatencyObjective)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return answer, body, gaveUp, err
		case <-timer.C:
			gaveUp = c.forwarder.reserveSuccessor(c.request, &c.succession, c.tried, a.Target.ID, fleet.Criteria{Service: c.request.Service})
			if gaveUp {
				cancel() // done follows
				continue
			}
			timer.Reset(c.request.Route.LatencyObjective)
		}
	}
}

// exchange sends the call to one target and reads the answer.
func (c *call) exchange(ctx context.Context, a Attempt) (*Answer, []byte, error) {
	answer, err := c.forwarder.TargetClient.Send(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	body, err := readBody(answer.Body)
	return answer, body, err
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
