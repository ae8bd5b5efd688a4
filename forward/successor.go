package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// A target that is not at fault may be silent for a second or more and then go on. A
// request is therefore taken from a silent target only once another target can get it:
// the retry budget for the next attempt is consumed first. Without a successor the
// request stays where it is until its target answers, breaks the connection or is known
// to have terminated.

// reserveRetry reports whether a request that was sent to so many targets can be sent to
// another one, and consumes retry budget for it if so. criteria must exclude the former.
func (f *Forwarder) reserveRetry(now time.Time, r *Request, attempts int, criteria fleet.Criteria) bool {
	if !r.Route.Repeatable() || !r.attemptsLeft(attempts) {
		return false
	}
	if _, err := f.Fleet.Pick(now, criteria); err != nil {
		return false
	}
	return f.RetryBudget.AllowRetry(now, r.Service)
}

// reserveSuccessor reports whether the stream can continue at another target than the
// current one. If so, the next attempt has its retry budget.
func (s *stream) reserveSuccessor(now time.Time, current string) bool {
	if s.retryReserved || s.returned {
		return s.retryReserved
	}
	criteria := s.targetCriteria(nil)
	criteria.Exclude = withID(s.tried, current)
	s.retryReserved = s.forwarder.reserveRetry(now, s.request, len(criteria.Exclude), criteria)
	return s.retryReserved
}

// giveUp ends the attempt because its target is silent, and returns how and true. If the
// stream has no successor, giveUp returns false and the attempt goes on.
func (a *streamAttempt) giveUp(reason string) (attemptEnd, bool) {
	if !a.stream.reserveSuccessor(time.Now(), a.attempt.Target.ID) {
		a.keep(reason)
		return 0, false
	}
	return a.abandonSilent(reason), true
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
	a.stream.silent = append(a.stream.silent, a.incarnation)
	return a.abandon(reason)
}

// handleSuspected handles the suspicion or the end of the attempt's target.
func (a *streamAttempt) handleSuspected() (attemptEnd, bool) {
	now := time.Now()
	if a.incarnation.Terminated(now) {
		return a.abandon("the target has terminated"), true
	}
	a.lost = nil
	if id := a.attempt.Target.ID; a.stream.forwarder.Fleet.Has(id) {
		a.lost = a.stream.forwarder.Fleet.Lost(id) // the next suspicion
	}
	return a.giveUp("the target is taken for dead")
}

// handleStall handles a stream that was silent for too long: its run moves to another
// target, or is abandoned.
func (a *streamAttempt) handleStall(ctx context.Context) (attemptEnd, bool) {
	const reason = "the stream is silent"
	switch {
	case a.moving:
		return 0, false
	case !a.stream.reserveSuccessor(time.Now(), a.attempt.Target.ID):
		a.keep(reason)
		a.stream.forwarder.Prober.Probe(a.attempt.Target, a.probeResults)
		return 0, false
	case a.startMove(ctx):
		return 0, false
	}
	return a.abandonSilent(reason), true
}

// planReturn plans an attempt at a target that was given up for silence, once no other
// target can get the request. The request is sent to no further target, so the route's
// limit on them allows it.
func (s *stream) planReturn(ctx context.Context) (Attempt, bool) {
	for len(s.silent) > 0 {
		last := len(s.silent) - 1
		previous := s.silent[last]
		s.silent = s.silent[:last]
		id, now := previous.Target.ID, time.Now()
		if state := s.forwarder.Fleet.State(now, id); previous.Terminated(now) || !s.allowsVersion(previous.Target) || state == fleet.Unknown || state == fleet.Leaving {
			continue
		}
		allowed, refusal := s.forwarder.allowSend(ctx, s.request, !s.retryReserved)
		s.retryReserved, s.returned = false, true // no changes back and forth between targets that are silent by turns
		if refusal != nil {
			s.lastErr = refusal
		}
		if !allowed {
			return Attempt{}, false
		}
		return Attempt{Request: s.request, Target: previous.Target, LastEventID: s.formatLastEventID(), ObjectiveMissed: s.objectiveMissed(now)}, true
	}
	return Attempt{}, false
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
			if gaveUp = c.reserveSuccessor(time.Now(), a.Target.ID); gaveUp {
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

// reserveSuccessor reports whether the call can be sent to another target than the
// current one. If so, the next attempt has its retry budget.
func (c *call) reserveSuccessor(now time.Time, current string) bool {
	exclude := withID(c.tried, current)
	c.retryReserved = c.forwarder.reserveRetry(now, c.request, len(exclude), fleet.Criteria{Service: c.request.Service, Exclude: exclude})
	return c.retryReserved
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
