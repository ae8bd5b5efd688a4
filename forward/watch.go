package forward

import "time"

// Thresholds for the detection of stalled streams.
const (
	// prefillProbeInterval is the time between two probes of a target before the first
	// event: while a stream has had no event yet, its target is probed each time this
	// interval passes in silence. A prefill takes a second, so a few probes are normal.
	prefillProbeInterval = 350 * time.Millisecond
	// gapProbeInterval is the silence between two events after which the target is
	// probed. Events arrive some tens of milliseconds apart, or two to three hundred
	// milliseconds while the target prefills another prompt.
	gapProbeInterval = 130 * time.Millisecond
	// abandonShare is a fraction of the route's longest event gap. A stream with a
	// standby copy that is silent for this part of the gap continues on another target,
	// even if its own target is alive. The rest of the gap is left for the move.
	abandonShare = 0.65
	// resumeTimeout is the longest time from the send of an attempt that resumes from a
	// copy to its first event. Such a run has almost nothing left to prefill.
	resumeTimeout = 350 * time.Millisecond
	// minUndeliveredEvents is the smallest number of events in a target's report at
	// which a stream that has received none counts as disconnected. The report is older
	// than the events that arrive with it, so the events that it counts should have
	// arrived.
	minUndeliveredEvents = 3
	// defaultMaxGap is the longest event gap of a route that configures none.
	defaultMaxGap = 1500 * time.Millisecond
	// maxReportAge is the largest age of the state in a target's report.
	maxReportAge = 700 * time.Millisecond
)

// stallAction is what a stallDetector requests.
type stallAction int

const (
	stallWait stallAction = iota
	stallProbe
	stallAbandon
)

// stallDetector decides when the target of a silent stream is probed and when the
// attempt is abandoned. It does no I/O and reads no clock.
type stallDetector struct {
	maxGap         time.Duration // longest event gap of a stream that is on time
	resumed        bool          // the run resumes from a copy
	hasCopy        bool          // another target holds a standby copy and can continue without another prefill
	firstEventSeen bool
	startInterval  time.Duration // between two probes before the first event
	lastProgress   time.Time     // time of the send or of the last event
	lastProbe      time.Time     // time of the last probe
}

func newStallDetector(now time.Time, maxGap time.Duration, resumed, hasCopy bool) *stallDetector {
	if maxGap <= 0 {
		maxGap = defaultMaxGap
	}
	return &stallDetector{maxGap: maxGap, resumed: resumed, hasCopy: hasCopy, startInterval: prefillProbeInterval, lastProgress: now}
}

// recordEvent records an event of the stream.
func (d *stallDetector) recordEvent(now time.Time) { d.firstEventSeen, d.lastProgress = true, now }

// isStalled reports whether a run that has begun is silent for as long as a stream with a
// standby copy may be.
func (d *stallDetector) isStalled(now time.Time, late time.Duration) bool {
	return d.firstEventSeen && now.Sub(d.lastProgress)-late >= d.limit()
}

// limit is the silence after which a stream with a standby copy continues elsewhere.
func (d *stallDetector) limit() time.Duration {
	return time.Duration(abandonShare * float64(d.maxGap))
}

// next returns what to do now and the time until the next call. late is how late this daemon
// was since the last progress: events may have waited here for so long.
func (d *stallDetector) next(now time.Time, late time.Duration) (stallAction, time.Duration) {
	silence := now.Sub(d.lastProgress) - late
	if d.firstEventSeen && d.hasCopy {
		limit := d.limit()
		if silence >= limit {
			return stallAbandon, 0
		}
		return d.probeOrWait(now, gapProbeInterval, limit-silence)
	}
	if d.firstEventSeen {
		return d.probeOrWait(now, gapProbeInterval, d.maxGap)
	}
	if d.resumed && silence >= resumeTimeout {
		return stallAbandon, 0
	}
	return d.probeOrWait(now, d.startInterval, d.startInterval)
}

// probeOrWait requests a probe if neither an event nor a probe occurred for interval.
// It returns the time until the next call, at most maxWait.
func (d *stallDetector) probeOrWait(now time.Time, interval, maxWait time.Duration) (stallAction, time.Duration) {
	lastActivity := d.lastProgress
	if d.lastProbe.After(lastActivity) {
		lastActivity = d.lastProbe
	}
	if wait := interval - now.Sub(lastActivity); wait > 0 {
		return stallWait, min(wait, maxWait)
	}
	d.lastProbe = now
	return stallProbe, min(interval, maxWait)
}

// eventsUndelivered reports whether the target has produced events of the request
// according to its report r, although none has arrived.
func (d *stallDetector) eventsUndelivered(id string, r Report) bool {
	return !d.firstEventSeen && r.Running[id].Events >= minUndeliveredEvents
}

// runMissing reports whether the target no longer has a request according to its report
// r. The report may leave out requests whose first event is more recent than
// maxReportAge, and requests whose prompts are still being prefilled.
func runMissing(now, firstEventAt time.Time, id string, r Report) bool {
	if now.Sub(firstEventAt) < maxReportAge || r.Running == nil || r.Queued > 0 {
		return false
	}
	_, running := r.Running[id]
	return !running
}
