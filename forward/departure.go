package forward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// While the daemon stops, a stream whose caller has received events must not be without a
// target that works on it when the stop ends. It leaves its target only if the next attempt, by
// what is known of it, begins before the end. If the target may go on with the run, the stream
// stays until the latest time at which the next attempt still does. A run that waits may begin late
// at the next target, too, so that time allows for an attempt at each target that the stream may
// still be sent to, and each of them gets its share of the time that is left.

// startQuantile is the quantile of the recent times from a send to a first event that the next
// attempt is expected to take: if half of the runs begin in time, it is better to leave than to
// be cut. lateStart is how many times as long a late one takes. Longer ones were queued, which a
// held slot avoids.
const (
	startQuantile = 0.5
	lateStart     = 1.5
)

// minCopiedStarts is how many runs from a copy show their usual time. They are rare, so an odd
// one would count for long.
const minCopiedStarts = 4

// lastLook is the time before the latest time to leave in which a stream leaves a target that
// may go on: streams are looked at once in gapProbeInterval.
const lastLook = 2 * gapProbeInterval

// Reasons why a stream stays at a target while the daemon stops.
var (
	errStopsSoon = errors.New("the daemon stops, and no other target is expected to begin before")
	errMayGoOn   = errors.New("the daemon stops, and the target may go on before another one has to begin")
)

// departure is what decides whether a stream leaves its target while the daemon stops.
type departure struct {
	left    time.Duration // until the daemon stops
	start   time.Duration // expected from the send of the next attempt to its first event
	silent  bool          // no probe shows that the target is up since the latest event
	mayGoOn bool          // the run may go on where it is, with less lost than by leaving
	tries   int           // how many targets the stream may still be sent to, at least 1
}

// check returns why the stream stays, nil if it leaves.
func (d departure) check() error {
	switch {
	case d.left <= d.start:
		return errStopsSoon
	case d.mayGoOn && d.left > max(d.search(), longStart(d.start)+lastLook):
		return errMayGoOn
	}
	return nil
}

// search is the time that a stream needs if only the last target that it may be sent to begins it. It
// is at most about as long as a stream stays at a target that lets it wait. A target that is silent
// is left for one attempt only: it and the next one may work on the stream at the same time.
func (d departure) search() time.Duration {
	if d.silent {
		return longStart(d.start) + lastLook
	}
	return min(time.Duration(d.tries)*longStart(d.start), longestSilence) + lastLook
}

// startLimit is the time from the send of an attempt to its first event after which the stream
// goes on to the next target. left and tries are those at the send, and start is the time expected of
// the attempt. The first target gets the longest time allowed for a run from a copy, or its share
// of the time left if that is shorter, but no less than a late start takes. If the run did not begin
// there in time, it may be the run that begins late, and not the targets: the next ones get no more
// than a late start takes, so that the rest of the time is left for the last one.
func startLimit(left, start time.Duration, tries int, wasOverdue bool) time.Duration {
	if wasOverdue {
		return max(longStart(start), gapProbeInterval)
	}
	return max(longStart(start), min(resumeTimeout, left/time.Duration(tries+2)))
}

// longStart is how long a late start takes if so much is expected.
func longStart(start time.Duration) time.Duration { return time.Duration(lateStart * float64(start)) }

// startKind is the kind of a start in Forwarder.starts.
func startKind(service string, copied bool) string {
	if copied {
		return service + " from a copy"
	}
	return service
}

// expectedStart returns how long an attempt takes from its send to its first event. Before enough
// of them are known, that is the longest time allowed for one that resumes from a copy, and the
// objective of the route for others.
func (f *Forwarder) expectedStart(r *Request, copied bool) time.Duration {
	samples := 1
	if copied {
		samples = minCopiedStarts
	}
	start, ok := f.starts.Quantile(startKind(r.Service, copied), startQuantile, samples)
	switch {
	case ok:
		return start
	case copied:
		return resumeTimeout
	case r.Route.LatencyObjective > 0:
		return r.Route.LatencyObjective
	}
	return longestSilence
}

// planDeparture describes the choice of a stream that has a slot held for the next attempt, or
// would wait in a queue if that is nil.
func (a *streamAttempt) planDeparture(now time.Time, slot *heldSlot, evidence evidence) departure {
	s, id := a.stream, a.attempt.Target.ID
	f, since := s.forwarder, a.detector.lastProgress
	d := departure{left: f.stopsAt().Sub(now), tries: max(1, a.countTries(now))}
	d.silent = f.Fleet.State(now, id) == fleet.Suspected || !f.Prober.answeredSince(a.attempt.Target, since)
	// A run that is moved begins as soon as one that resumes from a copy.
	standby := a.copier.latestCopy(now)
	copied := slot != nil && (standby != nil && slot.target.ID == standby.holder.ID || evidence == isSilent && !d.silent && a.mayMove(now))
	d.start = f.expectedStart(s.request, copied)
	if d.silent {
		d.mayGoOn = now.Sub(since) < longestSilence || f.Fleet.IsSilent(now, id, longestSilence-probeTimeout)
	} else {
		// Elsewhere the prompt would be prefilled again, which costs less than a longer wait.
		d.mayGoOn = evidence == isSilent && !copied && !a.isPreempted(now) && now.Sub(since) < longestSilence
	}
	return d
}

// countTries returns how many other targets the stream may still be sent to: the route allows so
// many attempts, and the targets have room.
func (a *streamAttempt) countTries(now time.Time) int {
	s, criteria := a.stream, a.stream.targetCriteria(nil)
	criteria.Exclude, criteria.NeedsRoom = withID(s.tried, a.attempt.Target.ID), true
	return s.forwarder.Fleet.CountReady(now, criteria, s.request.maxAttempts()-len(criteria.Exclude))
}

// startLimit returns how long the stream waits for the first event of the attempt while the daemon
// stops.
func (a *streamAttempt) startLimit(now time.Time) time.Duration {
	f := a.stream.forwarder
	start := f.expectedStart(a.stream.request, a.attempt.Resume != (Copy{}))
	return startLimit(f.stopsAt().Sub(a.detector.lastProgress), start, a.countTries(now), a.stream.wasOverdue)
}

// untilOverdue returns how long the run may still take to begin, of which most would have begun once
// that is 0. It waits in a queue then, perhaps of a target that lacks memory and not slots.
func (a *streamAttempt) untilOverdue(now time.Time, late time.Duration) time.Duration {
	if a.overdue {
		return 0
	}
	return max(0, a.startLimit(now)-(now.Sub(a.detector.lastProgress)-late))
}

// markOverdue records that the run has not begun in time.
func (a *streamAttempt) markOverdue(now time.Time) {
	a.overdue, a.stream.wasOverdue = true, true
	a.stream.forwarder.late.record(now, a.attempt.Target.ID)
}

// isStalledAtEnd reports whether a run that has begun is silent in the last moments of a stop, in
// which the search of another target needs all the time that is left.
func (a *streamAttempt) isStalledAtEnd(now time.Time, late time.Duration) bool {
	if !a.detector.firstEventSeen || now.Sub(a.detector.lastProgress)-late < lastLook {
		return false
	}
	d := a.planDeparture(now, a.stream.succession.slot, isSilent)
	return !d.silent && d.left <= d.search()
}

// isStopping reports whether the daemon stops and the caller has received events.
func (s *stream) isStopping() bool {
	return !s.firstEventAt.IsZero() && !s.forwarder.stopsAt().IsZero()
}

// stopsAt returns when the daemon stops, zero if no stop is planned.
func (f *Forwarder) stopsAt() time.Time {
	if f.StopsAt == nil {
		return time.Time{}
	}
	return f.StopsAt()
}
