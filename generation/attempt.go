package generation

import "time"

// phase is the state of one attempt.
type phase int

const (
	routing   phase = iota // a Route is out
	pausing                // the last Route failed; the next one waits
	streaming              // a connection is open or being opened
	probing                // suspected; a Probe is out
)

// freshTokenThreshold is how many tokens an attempt must have brought before its
// request is unlikely to be what made the target die.
const freshTokenThreshold = 16

// maxAttaches bounds new connections to one stream without a new token.
const maxAttaches = 3

// attempt is one try to produce the answer on one target.
type attempt struct {
	number           int64
	phase            phase
	target           string
	version          string
	incarnation      uint64
	connection       int64 // the one whose events count
	silence          silenceDetector
	acked            bool      // an event came from the target
	connectionFailed bool      // the connection failed
	restartedByWoken bool      // the present silence began anew once, see Woken
	probeConnection  int64     // connection of the last Probe
	probedAt         time.Time // of the last Probe
	lastTokenAt      time.Time // of the last token, or of the open
	tokenCount       int64     // accepted from this attempt
	attachCount      int       // since the last token
}

func (a *attempt) end(cause EndCause) End {
	return End{Attempt: a.number, Cause: cause, Fresh: a.tokenCount < freshTokenThreshold}
}

// holdsTarget tells whether the attempt holds a target.
func (a *attempt) holdsTarget() bool { return a.phase == streaming || a.phase == probing }

// silenceGapMultiple is how many of its widest recent gaps a stream may be silent.
const silenceGapMultiple = 4

// gapDecayDivisor is the part of the widest gap that is forgotten with each event.
const gapDecayDivisor = 32

// silenceDetector judges the silence of a stream from its own gaps.
type silenceDetector struct {
	lastEvent  time.Time
	widestGap  time.Duration // widest recent gap; 0 before the second event
	eventCount int
}

// restart begins a new silence without learning a gap.
func (d *silenceDetector) restart(now time.Time) { d.lastEvent = now }

// observe takes one event, keep-alive or token.
func (d *silenceDetector) observe(now time.Time) {
	if d.eventCount > 0 {
		d.widestGap = max(now.Sub(d.lastEvent), d.widestGap-d.widestGap/gapDecayDivisor)
	}
	d.eventCount++
	d.lastEvent = now
}

// limit returns the silence after which the target is suspected.
func (d *silenceDetector) limit(s Settings) time.Duration {
	longest, shortest := s.Silence.Std(), min(s.SilenceMin.Std(), s.Silence.Std())
	if d.widestGap == 0 {
		return longest
	}
	return min(max(silenceGapMultiple*d.widestGap, shortest), longest)
}

func (d *silenceDetector) exceeded(now time.Time, s Settings) bool {
	return now.Sub(d.lastEvent) > d.limit(s)
}
