package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// streamAttempt is one attempt of a stream at one target.
type streamAttempt struct {
	stream       *stream
	attempt      Attempt
	firstEventAt time.Time         // zero before the first event
	incarnation  fleet.Incarnation // of the target
	active       *fleet.ActiveRequest
	detector     *stallDetector
	lost         <-chan struct{} // closed when the target is declared failed
	probeResults chan ProbeResult
	parts        chan answerPart
	ahead        *readAhead // of parts; nil unless Forwarder.ReadAhead is set
	copier       *copier
	moveResults  chan copyResult // outcome of the move to another target
	moving       bool            // a move was started, its outcome is pending
	unmovable    bool            // the target has the run in its queue, and can't move it
	reserving    bool            // another target was asked for a reservation, its answer is pending
	reservations chan reservation
	queuedAt     time.Time // when the target last reported a queue; zero if it hasn't
	preemptedAt  time.Time // when it last did so without the run, which had begun
	moveSlot     *heldSlot // for the move, if it is not the one for the next attempt; nil for none
	endedInMove  bool      // the answer ended, or broke off, during the move
	framed       bool      // see Answer.Framed
	endedAt      time.Time // when an answer that is not framed ended, if that is not confirmed yet; zero otherwise
	patient      bool      // a probe without a short timeout is under way or was made
	refused      bool      // the target refused the request for want of room
	failed       bool      // the attempt failed because of the target
	faulty       bool      // the target broke the answer, or sent an invalid one
	targetLost   bool      // the target itself seems lost
	observed     observation
	endReported  bool     // the run's end was reported to the crash tracker
	progressed   bool     // the run's progress was reported
	kept         bool     // the attempt goes on although its stream is silent, see keep
	noSuccessor  string   // the latest reason; empty if the stream isn't silent
	overdue      bool     // the run has not begun in time, see startLimit
	keptFor      []string // the reasons that were logged since the latest event
	stopped      bool     // the target has stopped the run, or knows of none
	unnumbered   []byte   // events without an id that were not passed on yet
	idleBytes    int      // see maxIdleBytes
	nextRepeated int64    // id after the last event that the caller had received before
}

// answerPart is one result of the reading goroutine: the head (status and header) of
// the answer, an event, or the end of the answer.
type answerPart struct {
	answer *Answer
	event  Event
	err    error
}

// read sends the attempt and passes its answer to parts, until the answer or ctx ends.
func (a *streamAttempt) read(ctx context.Context) {
	answer, err := a.stream.forwarder.send(ctx, a.attempt)
	if !sendUnlessDone(ctx, a.parts, answerPart{answer: answer, err: err}) || err != nil {
		if answer != nil {
			_ = answer.Body.Close()
		}
		return
	}
	if !isEventStream(answer) {
		return // relay reads the body
	}
	events := newEventReader(answer.Body, a.stream.forwarder.Buffers.NewShare())
	send := func(p answerPart) bool { return sendUnlessDone(ctx, a.parts, p) }
	if a.ahead != nil {
		send = func(p answerPart) bool { return a.ahead.push(ctx, p) }
	}
	defer events.close()
	for {
		ev, err := events.next()
		if !send(answerPart{event: ev, err: err}) || err != nil {
			return
		}
	}
}

// sendUnlessDone sends a value to a channel and returns true, or returns false if ctx
// ends first.
func sendUnlessDone[T any](ctx context.Context, ch chan<- T, value T) bool {
	select {
	case ch <- value:
		return true
	case <-ctx.Done():
		return false
	}
}

// relay passes the answer on to the caller until the answer ends, the target is lost,
// or ctx is done.
func (a *streamAttempt) relay(ctx context.Context) attemptEnd {
	timer := time.NewTimer(a.detector.startInterval)
	defer timer.Stop()
	headReceived := false
	for {
		select {
		case <-ctx.Done():
			a.stream.mayHaveRun = true
			a.stream.lastErr = contextError(ctx, failure.Unknown, "await answer", a.attempt.Target.ID)
			return endCanceled
		case <-a.lost:
			if a.eventArrived() {
				continue
			}
			if end, done := a.handleSuspected(); done {
				return end
			}
		case p := <-a.probeResults:
			if a.awaitsConfirmation() {
				if end, done := a.handleConfirmation(p); done {
					return end
				}
				continue
			}
			if a.eventArrived() {
				continue
			}
			if p.Alive && a.stream.request.Route.Repeatable() && a.detector.eventsUndelivered(a.stream.request.ID, p.Report) {
				if end, done := a.giveUp("the target runs the request, and its answer does not arrive", isLost); done {
					return end
				}
			}
			if p.Alive && a.detector.firstEventSeen && runMissing(p.completedAt, a.firstEventAt, a.stream.request.ID, p.Report) {
				if end, done := a.giveUp("the target no longer reports the request", isLost); done { // the report of a target that was silent may be old
					return end
				}
			}
			if p.Alive && p.Report.Queued > 0 {
				a.queuedAt = p.completedAt
				if a.isPreemptedIn(p) {
					a.preemptedAt = p.completedAt
				}
			}
			if p.Alive && a.isQueued(p) {
				if end, done := a.leaveQueue(ctx); done {
					return end
				}
			}
		case <-a.copier.unusable:
			a.copier.replaceTarget(time.Now())
		case <-a.copier.timerChannel():
			a.copier.startCopy(ctx)
		case c := <-a.copier.results:
			a.copier.handleResult(c)
			a.detector.hasCopy = a.detector.hasCopy || a.copier.current != nil
		case <-timer.C:
			if a.eventArrived() {
				timer.Reset(time.Millisecond)
				continue
			}
			wait, end, done := a.handleTimer(ctx)
			if done {
				return end
			}
			timer.Reset(max(wait, time.Millisecond))
		case r := <-a.reservations:
			if end, done := a.handleReservation(r); done {
				return end
			}
		case m := <-a.moveResults:
			if m.err == nil || errors.Is(m.err, ErrRunNotFound) {
				a.stopped = true
				a.stream.openMoves[a.attempt.Target.ID]--
			}
			a.moving = false
			a.settleMoveSlot(m)
			if errors.Is(m.err, ErrRunNotFound) && a.awaitsConfirmation() && !a.mayBeMoved() {
				a.probeEnd() // the run had ended before the move
				continue
			}
			if m.unanswered && !a.endedInMove {
				continue // the probe that follows shows whether the target is only silent
			}
			if errors.Is(m.err, ErrRunNotFound) && !a.endedInMove && a.keepsPlace(time.Now()) {
				a.unmovable, a.stopped = true, false // it is in the queue, and may go on from there
				continue
			}
			if m.err != nil {
				return a.abandonSilent("the stream is silent, and not moved: " + m.err.Error())
			}
			a.copier.current = &m.standbyCopy
			end := a.abandonSilent("the stream is silent, and was moved")
			if m.holder.ID == a.attempt.Target.ID {
				delete(a.stream.tried, a.attempt.Target.ID) // the target stopped the run and still holds the KV cache, so the run can resume there
			}
			return end
		case p := <-a.parts:
			if a.ahead != nil {
				a.ahead.refill()
			}
			if ctx.Err() != nil {
				continue // the error results from the end of ctx, not from the target
			}
			if a.moving && p.err != nil && !(isEndOfStream(p.err) && a.framed) {
				a.endedInMove = true
				if isEndOfStream(p.err) {
					a.endedAt = time.Now()
				}
				continue // the move ended the stream at its target; the outcome of the move follows
			}
			if !headReceived {
				headReceived = true
				if end, done := a.handleHead(ctx, p); done {
					return end
				}
				continue
			}
			if end, done := a.handleEvent(ctx, p); done {
				return end
			}
		}
	}
}

// eventArrived reports whether a part of the answer waits to be passed on, for instance
// because the caller takes its events slowly. What is known of the target counts only
// after that.
func (a *streamAttempt) eventArrived() bool { return len(a.parts) > 0 }

// abandon ends the attempt because its target is lost or stalled.
func (a *streamAttempt) abandon(reason string) attemptEnd {
	a.stream.mayHaveRun, a.failed = true, true
	if !a.endReported {
		a.stream.forwarder.CrashTracker.ReportLoss(a.stream.request, a.incarnation, a.atStart(a.endTime()))
	}
	// Before the first event, while the target prefills the prompt, a copy seldom
	// exists. An attempt to resume from a copy that does not exist uses up an
	// attempt and a part of the retry budget.
	a.stream.standby, a.stream.noCopy = a.copier.latestCopy(time.Now()), a.copier.missing()
	a.stopRun()
	a.stream.tried[a.attempt.Target.ID] = true
	a.stream.lostPlaces = append(a.stream.lostPlaces, a.attempt.Target.Place)
	a.stream.recordLoss(failure.New(failure.TargetLost, failure.Unknown, "stream", a.attempt.Target.ID, "%s", reason), a.attempt)
	return endTargetLost
}

// atStart reports whether the run has just started.
func (a *streamAttempt) atStart(now time.Time) bool {
	return !a.detector.firstEventSeen || now.Sub(a.firstEventAt) < startPeriod
}

// reportBroken reports that the connection of the run broke.
func (a *streamAttempt) reportBroken(ctx context.Context) {
	a.endReported = true
	a.targetLost = a.stream.forwarder.reportBrokenRun(ctx, a.stream.request, a.attempt.Target, a.incarnation, a.atStart(time.Now()))
}

// handleHead handles the head of the answer, or the error of an attempt without one. If
// the attempt has ended, it returns how and true.
func (a *streamAttempt) handleHead(ctx context.Context, p answerPart) (attemptEnd, bool) {
	s, t := a.stream, a.attempt.Target
	s.framed = describeFrame(p.answer)
	if !errors.Is(p.err, ErrNotSent) && (p.answer == nil || !p.answer.NotRun) {
		s.succession.arrived(t.ID)
	}
	switch {
	case errors.Is(p.err, ErrNotSent):
		s.markUnused(a.attempt, noCopyUnreachable)
		s.recordLoss(s.forwarder.handleUnreachable(t, p.err), a.attempt)
		s.forwarder.Prober.Check(t)
		return endNotSent, true
	case p.err != nil:
		s.forwarder.Prober.Check(t) // other streams on the target need the result at once
		a.reportBroken(ctx)
		return a.abandonBroken(p.err.Error()), true
	case p.answer.NotRun:
		_ = p.answer.Body.Close()
		a.active.MarkRefused()
		a.observed.abandon(time.Now(), false)
		if a.refused = p.answer.lacksRoom(); !s.keepReservation(a.attempt) {
			s.tried[t.ID] = true
		}
		s.markUnused(a.attempt, noCopyRefused)
		s.recordLoss(s.forwarder.handleRefusal(t, p.answer, a.attempt.Resume != (Copy{})), a.attempt)
		if p.answer.OtherTarget {
			s.forwarder.Prober.CheckPlace(t)
		}
		return endTargetLost, true
	case !isEventStream(p.answer):
		return a.handleNonStream(ctx, p.answer), true
	}
	s.mayHaveRun, a.framed = true, p.answer.Framed
	s.forwarder.Fleet.MarkAnswered(t.ID)
	if s.headSent {
		return 0, false
	}
	if err := s.responder.Begin(p.answer.Status, p.answer.Header); err != nil {
		s.lastErr = failure.Wrap(err, failure.Canceled, failure.Unknown, "answer the caller", "")
		return endCanceled, true
	}
	s.headSent = true
	return 0, false
}

// handleNonStream handles an answer that is not a stream, which is a failure of the
// target.
func (a *streamAttempt) handleNonStream(ctx context.Context, answer *Answer) attemptEnd {
	s := a.stream
	s.mayHaveRun, a.failed = true, true
	a.faulty = answer.Status >= http.StatusInternalServerError || answer.Status < http.StatusMultipleChoices
	s.tried[a.attempt.Target.ID] = true
	end := endTargetLost
	err := s.keepFailure(answer, func() error {
		ctx, cancel := context.WithTimeout(ctx, failureTimeout)
		defer cancel()
		return s.forwarder.confirmEnd(ctx, s.request, a.attempt.Target, a.incarnation)
	})
	if err != nil {
		a.reportBroken(ctx)
		a.targetLost = a.targetLost && answer.Status >= http.StatusMultipleChoices // an unsigned success is an invalid answer
	} else {
		err = errors.Errorf("status %d", answer.Status)
		if answer.Status < 500 {
			end = endNoRetry
		}
	}
	s.recordLoss(failure.Wrap(err, failure.TargetLost, failure.Ran, "send", a.attempt.Target.ID), a.attempt)
	return end
}

// handleEvent handles an event or the end of the stream. If the attempt has ended, it
// returns how and true.
func (a *streamAttempt) handleEvent(ctx context.Context, p answerPart) (attemptEnd, bool) {
	s, now := a.stream, time.Now()
	err := p.err
	if isEndOfStream(err) {
		switch {
		case a.framed:
			return a.endStream(), true
		case s.request.atTimeLimit():
			return 0, false // ctx ends
		case a.mayBeMoved():
			s.succession.returns = max(0, s.succession.returns-1) // the move may have undone the return
			return a.abandonSilent("an earlier move may have ended the answer"), true
		case a.mayBeComplete():
			a.awaitConfirmation()
			return 0, false
		}
		err = errNoEvents
	}
	if err != nil {
		s.forwarder.Prober.Check(a.attempt.Target)
		a.reportBroken(ctx)
		return a.abandonBroken(err.Error()), true
	}
	if !s.isProgress(p.event) {
		return a.handleIdleEvent(p.event)
	}
	if !a.detector.firstEventSeen {
		a.firstEventAt = now
		a.copier.start()
		s.forwarder.starts.Record(startKind(s.request.Service, a.attempt.Resume != (Copy{})), now.Sub(s.request.SentAt))
		s.forwarder.late.forget(a.attempt.Target.ID)
		s.wasOverdue = false
		a.active.MarkFirstEvent(now)
		a.observed.respond(now)
	}
	if !a.progressed && !a.atStart(now) {
		a.progressed = true
		s.forwarder.CrashTracker.ReportProgress(s.request)
	}
	a.detector.recordEvent(now)
	a.unmovable = false
	s.forwarder.releaseReturn(s.request, &s.succession)
	s.succession.releaseSlot()
	a.kept, a.noSuccessor, a.keptFor = false, "", nil
	if s.lastEventID >= 0 && p.event.ID != s.lastEventID+1 {
		return a.abandonFaulty("event " + strconv.FormatInt(p.event.ID, 10) + " follows " + strconv.FormatInt(s.lastEventID, 10)), true
	}
	if !s.originRecorded {
		s.beginAt(a.attempt.Target.SoftwareVersion)
	}
	s.endPause(now)
	s.waitFor(pauseSlowCaller)
	if err := a.deliver(a.takeUnnumbered(p.event.Raw)); err != nil {
		s.lastErr = failure.Wrap(err, failure.Canceled, failure.Unknown, "answer the caller", "")
		return endCanceled, true
	}
	s.waitFor(pauseSilent)
	s.recordDelivery(now, p.event.ID)
	if !s.lostAt.IsZero() {
		s.forwarder.recordDuration(metricResume, now.Sub(s.lostAt))
		s.forwarder.Events.Record(event.AnswerResumed, s.request.ID, event.F("target", a.attempt.Target.ID), event.F("version", a.attempt.Target.SoftwareVersion), event.F("after", now.Sub(s.lostAt).String()),
			event.F("from_copy", strconv.FormatBool(a.attempt.Resume != (Copy{}))))
		s.lostAt = time.Time{}
	}
	return 0, false
}
