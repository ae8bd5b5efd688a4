package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// Input is an input of Machine.Step.
type Input interface{ input() }

// Routed means that the router granted a target for an attempt.
type Routed struct {
	Attempt     int64
	Target      string
	Version     string
	Incarnation uint64 // 0 for unknown
}

// RouteFailed means that the router refused a Route. Whether it may be retried
// depends on the code of Err.
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

// BreakCause is the reason why a connection of an attempt failed.
type BreakCause string

// Causes of Broken.
const (
	BreakLost    BreakCause = "lost"     // the target may have received the request
	BreakNotSent BreakCause = "not_sent" // the target can't have received the request
	BreakRefused BreakCause = "refused"  // the target refused to run the request
)

// Broken means that a connection of an attempt failed or could not be opened.
type Broken struct {
	Attempt    int64
	Connection int64
	Cause      BreakCause
}

// Probed is the result of a Probe.
type Probed struct {
	Attempt     int64
	Connection  int64 // Connection of the Probe
	Alive       bool
	Incarnation uint64 // 0 for unknown
}

// NoStream means that the target is alive but does not have the attempt's stream.
type NoStream struct {
	Attempt    int64
	Connection int64
}

// Cancel ends the generation with the error Err.
type Cancel struct{ Err *failure.Error }

// TakenOver means that another daemon continues the generation, so that its
// streams must not be canceled at their targets. By is the peer address of that
// daemon, or empty.
type TakenOver struct{ By string }

// Woken means that this daemon was paused or overloaded, so that it may have missed
// the events of targets. The silence up to now does not count against them.
type Woken struct{}

// Tick makes the machine check its deadlines.
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

// Decision is an action that the caller of Machine.Step must carry out.
type Decision interface{ decision() }

// Route requests a target for an attempt. The result is one Routed or
// RouteFailed.
type Route struct {
	Attempt int64
	Target  string   // target that already runs the attempt; empty for any
	Exclude []string // suspected, failed or refusing targets, which must not be used
	Version string   // model version to continue with; empty for any
}

// Open starts the attempt on its target with a forced prefix.
type Open struct {
	Attempt    int64
	Connection int64
	Forced     []string // tokens of the answer so far, after which the target continues
}

// Attach reads the attempt's stream on a new connection from position From on.
// It replaces the previous connection.
type Attach struct {
	Attempt    int64
	Connection int64
	From       int64
}

// Probe checks on a new connection whether the attempt's target is alive.
type Probe struct {
	Attempt    int64
	Connection int64
}

// EndCause is the reason why an attempt ended.
type EndCause string

// Causes of an attempt's end.
const (
	EndCompleted  EndCause = "completed"   // the answer is complete
	EndDied       EndCause = "died"        // the target crashed or restarted
	EndSilent     EndCause = "silent"      // the target does not respond
	EndStreamLost EndCause = "stream_lost" // the target is alive, but the stream failed
	EndStalled    EndCause = "stalled"     // the target sent no token for StallLimit
	EndRefused    EndCause = "refused"     // the target refused or never received the request, or has another model version
	EndSuperseded EndCause = "superseded"  // another attempt continues
	EndCanceled   EndCause = "canceled"    // the answer ended before it was complete
	EndTakenOver  EndCause = "taken_over"  // another daemon continues the stream
)

// TargetFailed reports whether the target failed while it ran the attempt.
func (c EndCause) TargetFailed() bool { return c == EndDied || c == EndSilent || c == EndStreamLost }

// End ends an attempt. The attempt is canceled at its target unless it completed, was
// refused or was taken over. Its permit is released once its end is known. Each
// Routed is followed by exactly one End of its attempt.
type End struct {
	Attempt int64
	Cause   EndCause
	Fresh   bool // the attempt had just started: it produced fewer than startTokenThreshold tokens
}

// Emit passes a token to the caller.
type Emit struct {
	Attempt  int64
	Position int64
	Text     string
	Version  string        // model version of the answer
	Resumed  time.Duration // caller's wait from the loss to this token; 0 without a loss
}

// Drop reports that a token was discarded because it is late, out of order or a
// duplicate.
type Drop struct{ Attempt, Position int64 }

// Finish ends the answer after Position tokens. A nil Err means that it is
// complete.
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
