package generation

import "time"

// phase is the state of one attempt.
type phase int

const (
	routing   phase = iota // waits for the result of a Route
	pausing                // the last Route failed; waits for retryAt
	streaming              // a connection is open or being opened
	probing                // the target is suspected; waits for the result of a Probe
)

// startTokenThreshold is the number of tokens below which an attempt counts as
// just started. Once it has produced that many, a crash of its target is unlikely
// to be caused by the request.
const startTokenThreshold = 16

// maxAttaches is the maximum number of new connections to one stream between two
// tokens.
const maxAttaches = 3

// attempt is one execution of the request on one target.
type attempt struct {
	number           int64
	phase            phase
	target           string
	version          string
	incarnation      uint64
	connection       int64 // number of the newest connection; events of older ones are ignored
	silence          silenceDetector
	acked            bool      // the target has sent an event
	connectionFailed bool      // the newest connection failed; false if it is only silent
	restartedByWoken bool      // a Woken (this daemon was paused) restarted silence since the last event
	probeConnection  int64     // connection number of the last Probe
	probedAt         time.Time // start of the probe timeout: the last Probe, or a Woken after it
	lastTokenAt      time.Time // start of the stall limit: the last token, Routed or Woken
	tokenCount       int64     // tokens accepted from this attempt
	attachCount      int       // new connections since the last token
}

func (a *attempt) end(cause EndCause) End {
	return End{Attempt: a.number, Cause: cause, Fresh: a.tokenCount < startTokenThreshold}
}

// holdsTarget reports whether the attempt holds a permit on its target.
func (a *attempt) holdsTarget() bool { return a.phase == streaming || a.phase == probing }

// silenceGapMultiple is the tolerated silence of a stream, as a multiple of its
// widest recent gap between events.
const silenceGapMultiple = 4

// gapDecayDivisor makes the widest gap decay by 1/gapDecayDivisor with each event.
const gapDecayDivisor = 32

// silenceDetector derives the tolerated silence of a stream from the gaps between
// its past events.
type silenceDetector struct {
	lastEvent  time.Time     // time of the last event or restart
	widestGap  time.Duration // widest recent gap; 0 before the second event
	eventCount int
}

// restart resets the start of the silence without recording a gap.
func (d *silenceDetector) restart(now time.Time) { d.lastEvent = now }

// observe records one event, which may be a keep-alive.
func (d *silenceDetector) observe(now time.Time) {
	if d.eventCount > 0 {
		d.widestGap = max(now.Sub(d.lastEvent), d.widestGap-d.widestGap/gapDecayDivisor)
	}
	d.eventCount++
	d.lastEvent = now
}

// limit returns the silence above which the target is suspected.
func (d *silenceDetector) limit(s Settings) time.Duration {
	longest, shortest := s.Silence.Std(), min(s.SilenceMin.Std(), s.Silence.Std())
	if d.widestGap == 0 {
		return longest
	}
	return min(max(silenceGapMultiple*d.widestGap, shortest), longest)
}

// exceeded reports whether the silence is above the limit.
func (d *silenceDetector) exceeded(now time.Time, s Settings) bool {
	return now.Sub(d.lastEvent) > d.limit(s)
}
