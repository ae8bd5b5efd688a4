package forward

import (
	"cmp"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// pauseCause is what a stream waited for.
type pauseCause string

// Causes of pauses.
const (
	pauseForTarget  pauseCause = "no_target"     // no target was ready or had room, or placements were limited
	pauseForCredit  pauseCause = "retry_credit"  // no retry budget was left
	pauseForPrefill pauseCause = "prefill"       // the first run had not sent an event, perhaps in a queue
	pauseNoCopy     pauseCause = "no_copy"       // the same for a run that continued without a copy
	pauseForCopy    pauseCause = "copy"          // a run that resumed from a copy had not sent an event
	pauseSilent     pauseCause = "silent_target" // the target of a run that had begun sent nothing
	pauseSlowCaller pauseCause = "slow_caller"   // the caller did not take an event
)

// metricLate counts the streams that were late, by cause.
const metricLate = "forward.late_streams."

// pauseLog adds up what a stream waited for since its last event. It reads no clock.
type pauseLog struct {
	spent    map[pauseCause]time.Duration
	current  pauseCause
	since    time.Time // when current began
	reported map[pauseCause]bool
}

func newPauseLog(now time.Time) *pauseLog {
	return &pauseLog{spent: make(map[pauseCause]time.Duration), current: pauseForTarget, since: now, reported: make(map[pauseCause]bool)}
}

// enter records that the stream waits for something else from now on.
func (l *pauseLog) enter(now time.Time, cause pauseCause) {
	l.spent[l.current] += max(0, now.Sub(l.since))
	l.current, l.since = cause, now
}

// finish ends a pause, after which the stream waits for its target. It returns what the stream
// waited for longest.
func (l *pauseLog) finish(now time.Time) pauseCause {
	l.enter(now, pauseSilent)
	longest := pauseSilent
	for _, cause := range []pauseCause{pauseForTarget, pauseForCredit, pauseForPrefill, pauseNoCopy, pauseForCopy, pauseSlowCaller} {
		if l.spent[cause] > l.spent[longest] {
			longest = cause
		}
	}
	clear(l.spent)
	return longest
}

// isFirst reports whether no pause of the stream had this cause before.
func (l *pauseLog) isFirst(cause pauseCause) bool {
	first := !l.reported[cause]
	l.reported[cause] = true
	return first
}

// waitFor records what the stream waits for from now on.
func (s *stream) waitFor(cause pauseCause) { s.pauses.enter(time.Now(), cause) }

// attemptWait returns what a stream waits for until the first event of an attempt.
func (s *stream) attemptWait(a Attempt) pauseCause {
	switch {
	case a.Resume != (Copy{}):
		return pauseForCopy
	case s.version != nil:
		return pauseNoCopy
	}
	return pauseForPrefill
}

// endPause ends the time without an event, and records it if it was longer than the route allows.
// The write of the event to the caller belongs to the next pause.
func (s *stream) endPause(now time.Time) {
	from, limit := s.lastEventAt, s.request.Route.MaxEventGap
	if s.firstEventAt.IsZero() {
		from, limit = s.request.Received, s.request.Route.LatencyObjective
	}
	cause := s.pauses.finish(now)
	length := now.Sub(from)
	if limit <= 0 || length <= limit || !s.pauses.isFirst(cause) {
		return
	}
	metrics.GetOrRegisterCounter(metricLate+string(cause), s.forwarder.Metrics).Inc(1)
	fields := []event.Field{
		event.F("route", s.request.Route.Name), event.F("cause", string(cause)), event.F("length", length.String()), event.F("limit", limit.String()),
		event.F("first", strconv.FormatBool(s.firstEventAt.IsZero())), event.F("last_event", strconv.FormatInt(s.lastEventID, 10)), event.F("attempts", strconv.Itoa(len(s.tried))),
	}
	if s.latest != nil {
		fields = append(fields, event.F("target", s.latest.attempt.Target.ID))
	}
	if cause == pauseNoCopy {
		fields = append(fields, event.F("why", cmp.Or(s.noCopy, "not known")))
	}
	s.forwarder.Events.Record(event.StreamPaused, s.request.ID, fields...)
}

// planWait returns what a stream waits for if no attempt can be planned.
func (s *stream) planWait() pauseCause {
	if s.noAttempt == errBudgetExhausted.Error() || s.succession.denialRecorded {
		return pauseForCredit
	}
	return pauseForTarget
}

// keptWait returns what a stream waits for that stays at a silent target for a reason.
func (a *streamAttempt) keptWait(noSuccessor error) pauseCause {
	switch {
	case noSuccessor == errBudgetExhausted:
		return pauseForCredit
	case a.detector.firstEventSeen:
		return pauseSilent
	}
	return a.stream.attemptWait(a.attempt)
}

// Reasons why a run did not resume from a copy that was believed to exist.
const (
	noCopyRefused     = "its holder refused"
	noCopyUnreachable = "its holder can't be reached"
)

// markUnused records why a run did not resume from the copy of an attempt, if there was one.
func (s *stream) markUnused(a Attempt, why string) {
	if a.Resume != (Copy{}) {
		s.noCopy = why
	}
}

// whyNotResumed returns why the next attempt does not resume from the standby copy.
func (s *stream) whyNotResumed(now time.Time) string {
	holder := s.standby.holder
	state := s.forwarder.Fleet.State(now, holder.ID)
	switch {
	case !s.allowsVersion(holder):
		return "its holder has another software version"
	case !s.forwarder.Fleet.IsCurrent(holder):
		return "its holder has restarted"
	case state != fleet.Ready:
		return "its holder is " + string(state)
	case s.tried[holder.ID]:
		return "the stream was sent to its holder before"
	case s.succession.slot != nil && s.succession.slot.target.ID != holder.ID:
		return "its holder has no slot"
	}
	return "its holder may get no request"
}
