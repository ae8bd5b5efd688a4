package forward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// While the daemon stops, a stream whose caller has received events must not be without a
// target that works on it when the stop ends. It leaves its target only if the next attempt, by
// what is known of it, begins before the end. If the target may go on with the run, the stream
// stays until the latest time at which the next attempt still does.

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
}

// check returns why the stream stays, nil if it leaves.
func (d departure) check() error {
	switch {
	case d.left <= d.start:
		return errStopsSoon
	case d.mayGoOn && d.left > time.Duration(lateStart*float64(d.start))+lastLook:
		return errMayGoOn
	}
	return nil
}

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
	d := departure{left: f.stopsAt().Sub(now)}
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

// isOverdue reports whether the run has not begun although most would have. It waits in a queue,
// perhaps of a target that lacks memory and not slots.
func (a *streamAttempt) isOverdue(now time.Time, late time.Duration) bool {
	start := a.stream.forwarder.expectedStart(a.stream.request, a.attempt.Resume != (Copy{}))
	return !a.detector.firstEventSeen && now.Sub(a.detector.lastProgress)-late >= max(resumeTimeout, time.Duration(lateStart*float64(start)))
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
