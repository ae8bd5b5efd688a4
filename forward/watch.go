package forward

import "time"

// Timing of the watch over a running stream.
const (
	// firstProbe is how long a stream may be silent before its first event until
	// its target is asked, and how long each further silence may be. Reading a
	// prompt takes a second, so most streams are asked about a few times.
	firstProbe = 350 * time.Millisecond
	// pauseProbe is the silence between two events after which the target is asked.
	// Events come some tens of milliseconds apart, and two to three hundred where
	// the target reads another prompt meanwhile.
	pauseProbe = 130 * time.Millisecond
	// pauseShare is the part of the route's longest pause after which a stream goes
	// on elsewhere though its target lives: the rest is for the move.
	pauseShare = 0.65
	// resumeLimit is how long a run that goes on from a copy may take to its next
	// event; it reads next to nothing.
	resumeLimit = 350 * time.Millisecond
	// mutedEvents is how many events a target must have made, as it reports, for a
	// stream without any to count as cut off. Reports are older than events.
	mutedEvents = 3
	// defaultPause stands for a route's longest pause where none is stated.
	defaultPause = 1500 * time.Millisecond
	// reportLag is the age that a target's report may have.
	reportLag = 700 * time.Millisecond
)

// watchAction is what a watch wants done.
type watchAction int

const (
	watchWait watchAction = iota
	watchProbe
	watchLeave
)

// watch decides when a silent stream is asked about and when it is left. It is
// pure: times go in, actions come out.
type watch struct {
	pause    time.Duration // longest pause of a stream that is on time
	resumed  bool          // the run goes on from a copy
	copied   bool          // another target can go on without reading anew
	started  bool
	progress time.Time // the send, or the last event
	asked    time.Time // last probe
}

func newWatch(now time.Time, pause time.Duration, resumed, copied bool) *watch {
	if pause <= 0 {
		pause = defaultPause
	}
	return &watch{pause: pause, resumed: resumed, copied: copied, progress: now}
}

// event notes an event of the stream.
func (w *watch) event(now time.Time) { w.started, w.progress = true, now }

// next returns what to do now and when to ask again.
func (w *watch) next(now time.Time) (watchAction, time.Duration) {
	silent := now.Sub(w.progress)
	if w.started && w.copied {
		leave := time.Duration(pauseShare * float64(w.pause))
		if silent >= leave {
			return watchLeave, 0
		}
		return w.probe(now, pauseProbe, leave-silent)
	}
	if w.started {
		return w.probe(now, pauseProbe, w.pause)
	}
	if w.resumed && silent >= resumeLimit {
		return watchLeave, 0
	}
	return w.probe(now, firstProbe, firstProbe)
}

// probe asks for a probe once the stream was silent, and not asked about, for
// every.
func (w *watch) probe(now time.Time, every, most time.Duration) (watchAction, time.Duration) {
	since := w.progress
	if w.asked.After(since) {
		since = w.asked
	}
	if wait := every - now.Sub(since); wait > 0 {
		return watchWait, min(wait, most)
	}
	w.asked = now
	return watchProbe, min(every, most)
}

// muted tells whether a report shows that the target runs a request whose events
// don't arrive.
func (w *watch) muted(id string, r Report) bool {
	return !w.started && r.Running[id].Events >= mutedEvents
}

// lostRun tells whether a report shows that the target no longer has a request
// that began to run long enough ago. Reports leave out requests whose prompts are
// still read.
func lostRun(now, started time.Time, id string, r Report) bool {
	if now.Sub(started) < reportLag || r.Running == nil || r.Queued > 0 {
		return false
	}
	_, running := r.Running[id]
	return !running
}
