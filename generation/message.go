package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// Input is something the machine learns.
type Input interface{ input() }

// Routed: the router granted a target for an attempt.
type Routed struct {
	Attempt     int64
	Target      string
	Version     string
	Incarnation uint64 // 0 when not known
}

// RouteFailed: no target for now, or none at all.
type RouteFailed struct {
	Attempt int64
	Err     *failure.Error
}

// Received is one event of an attempt's stream.
type Received struct {
	Attempt    int64
	Connection int64
	Event      target.StreamEvent
}

// BreakCause tells why a connection of an attempt failed.
type BreakCause string

// Causes of a failed connection.
const (
	BreakLost    BreakCause = "lost"     // after the target may have seen the request
	BreakNotSent BreakCause = "not_sent" // the target can't have seen the request
	BreakRefused BreakCause = "refused"  // the target won't run the request now
)

// Broken: a connection of an attempt failed or could not be opened.
type Broken struct {
	Attempt    int64
	Connection int64
	Cause      BreakCause
}

// Probed is the answer of a probe on a new connection.
type Probed struct {
	Attempt     int64
	Connection  int64 // the Probe's
	Alive       bool
	Incarnation uint64 // 0 when not known
}

// NoStream: the target lives but does not know the attempt's stream.
type NoStream struct {
	Attempt    int64
	Connection int64
}

// Cancel ends the generation on purpose, with the answer Err.
type Cancel struct{ Err *failure.Error }

// TakenOver: another daemon continues the generation. Its streams must not be
// canceled at their targets.
type TakenOver struct{ By string }

// Woken: this daemon did not run for a while, so that the silence of that time
// tells nothing of targets.
type Woken struct{}

// Tick lets time pass.
type Tick struct{}

func (Routed) input()      {}
func (RouteFailed) input() {}
func (Received) input()    {}
func (Broken) input()      {}
func (Probed) input()      {}
func (NoStream) input()    {}
func (Cancel) input()      {}
func (TakenOver) input()   {}
func (Woken) input()       {}
func (Tick) input()        {}

// Decision is something the shell must do.
type Decision interface{ decision() }

// Route asks for a target for an attempt. The answer is one Routed or
// RouteFailed.
type Route struct {
	Attempt int64
	Target  string   // the target that runs the attempt already; empty for any
	Exclude []string // targets that this answer left
	Version string   // model version to go on with; empty for any
}

// Open starts the attempt on its target with the forced prefix.
type Open struct {
	Attempt    int64
	Connection int64
	Forced     []string
}

// Attach joins the attempt's stream on a new connection in place of its
// present one.
type Attach struct {
	Attempt    int64
	Connection int64
	From       int64
}

// Probe asks the attempt's target on a new connection whether it lives.
type Probe struct {
	Attempt    int64
	Connection int64
}

// EndCause tells why an attempt no longer holds its target.
type EndCause string

// Causes of an attempt's end.
const (
	EndCompleted  EndCause = "completed"   // the answer is whole
	EndDied       EndCause = "died"        // the target died or restarted
	EndSilent     EndCause = "silent"      // the target answers nothing
	EndStreamLost EndCause = "stream_lost" // the target lives, the stream does not
	EndStalled    EndCause = "stalled"     // the target sent no token for too long
	EndRefused    EndCause = "refused"     // the target would not run it or never saw it
	EndSuperseded EndCause = "superseded"  // another attempt goes on
	EndCanceled   EndCause = "canceled"    // the answer ended early
	EndTakenOver  EndCause = "taken_over"  // another daemon goes on with the stream
)

// TargetFailed tells whether the target failed under the attempt.
func (c EndCause) TargetFailed() bool { return c == EndDied || c == EndSilent || c == EndStreamLost }

// End gives up an attempt's hold of its target: its stream is canceled unless
// it completed or was taken over, and its permit goes back once its end is
// known. Each Routed is followed by one End of its attempt.
type End struct {
	Attempt int64
	Cause   EndCause
	Fresh   bool // fewer than freshTokens tokens came from this attempt
}

// Emit passes a token on to the caller.
type Emit struct {
	Attempt  int64
	Position int64
	Text     string
	Version  string        // model version of the answer
	Resumed  time.Duration // the caller's wait after a loss; 0 without one
}

// Drop counts a late, crossed or repeated token.
type Drop struct{ Attempt, Position int64 }

// Finish ends the answer after Position tokens. A nil Err means that it is
// whole.
type Finish struct {
	Position int64
	Err      *failure.Error
}

func (Route) decision()  {}
func (Open) decision()   {}
func (Attach) decision() {}
func (Probe) decision()  {}
func (End) decision()    {}
func (Emit) decision()   {}
func (Drop) decision()   {}
func (Finish) decision() {}
