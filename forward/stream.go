package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// stream is one request with a streamed answer, over all its attempts.
type stream struct {
	forwarder    *Forwarder
	request      *Request
	responder    Responder
	headSent     bool          // the status and header of the answer were passed on
	lastEventID  int64         // id of the last event that the caller has received; -1 before the first
	lostAt       time.Time     // when the previous run was lost; zero unless the stream is interrupted
	firstEventAt time.Time     // when the caller received the first event; zero before
	lastEventAt  time.Time     // when the caller received the latest event
	longestGap   time.Duration // longest time between two events

	version        *string         // software version of the target that began the stream; nil before the first event
	originRecorded bool            // of this request
	tried          map[string]bool // targets that the request was sent to
	lostPlaces     []string        // places of targets that lost the request
	standby        *standbyCopy    // copy of the latest run's KV cache, once that run is lost
	targetFailure  *bufferedAnswer // server error of a target, used if no attempt succeeds
	lastErr        *failure.Error  // of the latest attempt
	mayHaveRun     bool            // a target may have run the request
	notSent        int             // attempts whose target was not reached
	succession     succession
	openMoves      map[string]int // moves of the run that a target may still carry out, by target
	framed         string         // whether the answer of the latest attempt is framed, for the log; see describeFrame
	noAttempt      string         // why no further attempt was planned, for the log; empty while there is one
	noCopy         string         // why the latest attempt did not resume from a copy, for the log
	pauses         *pauseLog
	latest         *streamAttempt // nil before the first attempt

	failureMemory *membudget.Share // of targetFailure; nil for none

	wasOverdue bool // while the daemon stops, a run has not begun in time since the latest event

	needsRoomFirst bool   // the first attempt is for a target with room, see admit
	admitted       func() // ends the hold of the stream by admit; nil if there was none
}

func newStream(f *Forwarder, r *Request, w Responder) *stream {
	s := &stream{forwarder: f, request: r, responder: w, lastEventID: -1, tried: make(map[string]bool), openMoves: make(map[string]int), pauses: newPauseLog(r.Received)}
	if id, err := strconv.ParseInt(r.LastEventID, 10, 64); err == nil {
		s.lastEventID = id
	}
	return s
}

// attemptEnd is how an attempt ended.
type attemptEnd int

const (
	endComplete   attemptEnd = iota // the answer is complete
	endCanceled                     // the caller disconnected or the deadline passed
	endTargetLost                   // continue on another target
	endNotSent                      // the target was not reached, so nothing was sent
	endNoRetry                      // no further attempt is allowed
)

// run sends the request to one target after another until its answer is complete or no
// attempt is left.
func (s *stream) run(ctx context.Context) {
	defer s.forwarder.releaseRetries(s.request, &s.succession)
	defer s.releaseFailure()
	defer s.markEnded()
	for {
		neededRoom := s.needsRoom(time.Now())
		s.waitFor(pauseForTarget)
		a, ok := s.planAttempt(ctx)
		if !ok {
			s.waitFor(s.planWait())
			if s.succession.awaitReturn(ctx) || neededRoom && !s.needsRoom(time.Now()) {
				continue
			}
			break
		}
		s.noAttempt = ""
		plannedAt := time.Now()
		s.waitFor(s.attemptWait(a))
		end := s.attempt(ctx, a)
		switch end {
		case endComplete:
			s.responder.End()
			s.forwarder.CrashTracker.ReportCompletion(s.request)
			s.recordRun(time.Now())
			s.forwarder.Events.Record(event.RequestAnswered, s.request.ID, event.F("route", s.request.Route.Name), event.F("target", a.Target.ID), event.F("version", a.Target.SoftwareVersion),
				event.F("resumes", s.request.Resumes), event.F("attempts", strconv.Itoa(len(s.tried))), event.F("first_event", s.firstEventAt.Sub(s.request.Received).String()),
				event.F("longest_pause", s.longestGap.String()), event.F("framed", s.framed), event.F("after", time.Since(s.request.Received).String()))
			return
		case endNotSent:
			s.notSent++
			s.succession.keepRetry(plannedAt, len(s.tried))
			continue
		case endTargetLost:
			if s.mayHaveRun && !s.request.Route.Repeatable() {
				break
			}
			continue
		}
		break
	}
	s.finish(ctx)
}

// finish ends an answer that is not complete.
func (s *stream) finish(ctx context.Context) {
	switch {
	case s.headSent:
		if s.noAttempt == "" && s.latest != nil {
			s.noAttempt = s.latest.noSuccessor
		}
		s.endPause(time.Now())
		s.forwarder.Events.Record(event.AnswerTruncated, s.request.ID, event.F("route", s.request.Route.Name), event.F("error", s.lastErr.Error()),
			event.F("attempts", strconv.Itoa(len(s.tried))), event.F("no_attempt", s.noAttempt),
			event.F("last_event", strconv.FormatInt(s.lastEventID, 10)), event.F("after", time.Since(s.request.Received).String()),
			event.F("silent_for", s.recordSilence(time.Now()).String()), event.F("last_attempt", s.latest.describe(time.Now())))
		s.responder.Abort()
	case canceledByCaller(ctx):
		s.forwarder.abortLeft(s.request, s.responder)
	case s.targetFailure != nil && s.targetFailure.check(s.latest.attempt.Target) != nil:
		s.forwarder.failRequest(s.request, s.responder, s.targetFailure.check(s.latest.attempt.Target))
	case s.targetFailure != nil:
		s.failureMemory.WaitFor(s.request.Caller)
		s.responder.Answer(s.targetFailure.status, s.targetFailure.header, s.targetFailure.body)
	default:
		if s.mayHaveRun {
			s.lastErr.Outcome = failure.Unknown
		}
		s.spreadRetry(s.lastErr)
		s.forwarder.failRequest(s.request, s.responder, s.lastErr)
	}
}

// memoryTokens returns the size of the KV cache that the run needs, in tokens.
func (s *stream) memoryTokens() int {
	return s.request.Prompt.Tokens + s.request.Prompt.MaxOutputTokens
}

// capacityTokens returns the size of the KV cache of the service's targets, in tokens;
// 0 if not known.
func (s *stream) capacityTokens() int {
	if m := s.forwarder.Model(s.request.Service); m != nil {
		return m.KVCacheTokens
	}
	return 0
}

// recordDelivery records that the caller received an event.
func (s *stream) recordDelivery(now time.Time, id int64) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
		s.forwarder.recordDuration(metricFirstEvent, now.Sub(s.request.Received))
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if id >= 0 {
		s.lastEventID = id
	}
}

// attempt sends the request to one target and passes on the answer.
func (s *stream) attempt(ctx context.Context, a Attempt) attemptEnd {
	callerCtx := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the connection closes before the next attempt
	now := time.Now()
	a.TimeLeft, s.framed = s.request.timeLeft(), describeFrame(nil)
	s.request.SentAt = now
	demand := fleet.Demand{PrefillTokens: s.request.Prompt.Tokens, MemoryTokens: s.memoryTokens()}
	if a.Resume != (Copy{}) {
		demand.PrefillTokens = 0
	}
	incarnation := s.forwarder.Fleet.Incarnation(a.Target.ID)
	active := s.forwarder.Fleet.Begin(now, a.Target.ID, demand)
	if s.admitted != nil {
		s.admitted()
	}
	s.succession.releaseSlot()
	observed := s.forwarder.observe(now, s.request, a.Target, &s.succession)
	if a.Resume != (Copy{}) {
		observed.abandon(now, false) // a start without the prompt is not comparable
	}
	attempt := &streamAttempt{
		stream: s, observed: observed, attempt: a, incarnation: incarnation, active: active, lost: s.forwarder.Fleet.Lost(a.Target.ID),
		detector:     newStallDetector(now, s.request.Route.MaxEventGap, a.Resume != (Copy{}), a.CopyTo != nil),
		probeResults: make(chan ProbeResult, 1), parts: make(chan answerPart, 1), moveResults: make(chan copyResult, 1), copier: newCopier(s, a),
		reservations: make(chan reservation),
	}
	if s.isStopping() { // a probe shows in time whether the target answers
		attempt.detector.startInterval = min(prefillProbeInterval, attempt.startLimit(now)/2)
	}
	defer func() {
		s.forwarder.releasePermit(s.request.ID, a.Target, attempt.refused)
		if attempt.moveSlot != nil {
			attempt.moveSlot.release()
		}
		attempt.active.Done(time.Now(), attempt.failed)
		attempt.copier.finish(!attempt.failed)
	}()
	if s.forwarder.ReadAhead {
		attempt.ahead = newReadAhead(attempt.parts, s.forwarder.Buffers.NewQueueShare(s.request.Caller))
		defer attempt.ahead.close()
	}
	s.latest = attempt
	go attempt.read(ctx)
	end := attempt.relay(ctx)
	attempt.observeEnd(time.Now(), end)
	if end == endCanceled && (callerCtx.Err() == nil || canceledByCaller(callerCtx)) {
		attempt.stopRun() // the caller has left; the target knows the deadline
	}
	return end
}

// recordLoss logs and keeps the reason why an attempt ended.
func (s *stream) recordLoss(err *failure.Error, a Attempt) {
	s.lastErr = err
	if s.lostAt.IsZero() {
		s.lostAt = time.Now()
	}
	s.forwarder.Events.Record(event.AttemptLost, s.request.ID, event.F("target", a.Target.ID), event.F("place", a.Target.Place), event.F("version", a.Target.SoftwareVersion),
		event.F("error", err.Error()), event.F("last_event", strconv.FormatInt(s.lastEventID, 10)), event.F("resumed_from_copy", strconv.FormatBool(a.Resume != (Copy{}))),
		event.F("copy", s.describeCopy()), event.F("framed", s.framed), event.F("load", s.describeLoad(a.Target)), event.F("reserved", strconv.FormatBool(a.Reservation != "")))
}

// recordSilence returns how long a stream that is cut short was without an event, and records it
// at the end of a stop.
func (s *stream) recordSilence(now time.Time) time.Duration {
	if s.lastEventAt.IsZero() {
		return now.Sub(s.request.Received)
	}
	silence := now.Sub(s.lastEventAt)
	if s.lastErr.Code == failure.Draining {
		s.forwarder.recordDuration(metricCutSilence, silence)
	}
	return silence
}

// describe returns what is known of an attempt and its target, for the log.
func (a *streamAttempt) describe(now time.Time) string {
	if a == nil {
		return "none"
	}
	f, t := a.stream.forwarder, a.attempt.Target
	begun := "not begun"
	if a.detector.firstEventSeen {
		begun = "begun"
	}
	probe := "no probe answered since"
	if f.Prober.answeredSince(t, a.detector.lastProgress) {
		probe = "probe answered since"
	}
	return strings.Join([]string{t.ID, string(f.Fleet.State(now, t.ID)), "by " + a.attempt.Cause, begun, probe}, ", ")
}

// describeLoad returns the load of a target by the daemons' books, for the log: running requests and
// tokens in memory, each of what the target has.
func (s *stream) describeLoad(t fleet.Target) string {
	running, memory := s.forwarder.Fleet.TotalLoad(t.ID)
	return fmt.Sprintf("%d of %d slots, %d of %d tokens", running, t.Slots, memory, s.capacityTokens())
}

// describeCopy returns the holder of the standby copy and its state, for the log.
func (s *stream) describeCopy() string {
	if s.standby == nil {
		return "none"
	}
	return s.standby.holder.ID + " in " + s.standby.holder.Place + " " + string(s.forwarder.Fleet.State(time.Now(), s.standby.holder.ID))
}

// failureTimeout bounds the body of a failure that a target answers a stream with. Body and
// head usually arrive together, and the stream has to go on; but the target may be silent
// in between.
const failureTimeout = longestSilence + 500*time.Millisecond

// keepFailure keeps the answer of a target that failed, in case no attempt succeeds.
// confirmEnd checks the end of a body that is not framed.
func (s *stream) keepFailure(a *Answer, confirmEnd func() error) error {
	if a.Status < http.StatusMultipleChoices && !a.Signed {
		_ = a.Body.Close()
		return errors.Wrap(ErrNoAnswer, "a success without the target's signature")
	}
	timer := time.AfterFunc(failureTimeout, func() { _ = a.Body.Close() })
	defer timer.Stop()
	memory := s.forwarder.Buffers.NewShare()
	body, err := readBody(memory, a.Body)
	if err != nil {
		return err
	}
	if !a.Framed {
		if err := confirmEnd(); err != nil {
			memory.Release()
			return err
		}
	}
	s.releaseFailure()
	s.targetFailure, s.failureMemory = &bufferedAnswer{a.Status, a.Header, body}, memory
	return nil
}

// releaseFailure releases the memory of targetFailure.
func (s *stream) releaseFailure() {
	if s.failureMemory != nil {
		s.failureMemory.Release()
	}
}

// isEventStream reports whether an answer's body is a stream of events.
func isEventStream(a *Answer) bool { return a.Status == http.StatusOK && a.Signed }

// isEndOfStream reports whether a stream that ends with err is complete.
func isEndOfStream(err error) bool { return err == io.EOF }
