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

// freshTokens is how many tokens an attempt must have brought before its
// request is unlikely to be what made the target die.
const freshTokens = 16

// maxAttaches bounds new connections to one stream without a new token.
const maxAttaches = 3

// attempt is one try to produce the answer on one target.
type attempt struct {
	number      int64
	phase       phase
	target      string
	version     string
	incarnation uint64
	connection  int64 // the one whose events count
	pulse       pulse
	acked       bool      // an event came from the target
	broken      bool      // the connection failed
	excused     bool      // the present silence began anew once, see Woken
	probe       int64     // connection of the last Probe
	probeAt     time.Time // of the last Probe
	tokenAt     time.Time // of the last token, or of the open
	tokens      int64     // accepted from this attempt
	attaches    int       // since the last token
}

func (a *attempt) end(cause EndCause) End {
	return End{Attempt: a.number, Cause: cause, Fresh: a.tokens < freshTokens}
}

// holds tells whether the attempt holds a target.
func (a *attempt) holds() bool { return a.phase == streaming || a.phase == probing }

// silenceMultiple is how many of its widest recent gaps a stream may be silent.
const silenceMultiple = 4

// peakDecay is the part of the widest gap that is forgotten with each event.
const peakDecay = 32

// pulse judges the silence of a stream from its own gaps.
type pulse struct {
	heard time.Time
	peak  time.Duration // widest recent gap; 0 before the second event
	beats int
}

// restart begins a new silence without learning a gap.
func (p *pulse) restart(now time.Time) { p.heard = now }

// beat takes one event, keep-alive or token.
func (p *pulse) beat(now time.Time) {
	if p.beats > 0 {
		p.peak = max(now.Sub(p.heard), p.peak-p.peak/peakDecay)
	}
	p.beats++
	p.heard = now
}

// limit returns the silence after which the target is suspected.
func (p *pulse) limit(s Settings) time.Duration {
	longest, shortest := s.Silence.Std(), min(s.SilenceMin.Std(), s.Silence.Std())
	if p.peak == 0 {
		return longest
	}
	return min(max(silenceMultiple*p.peak, shortest), longest)
}

func (p *pulse) silent(now time.Time, s Settings) bool { return now.Sub(p.heard) > p.limit(s) }
