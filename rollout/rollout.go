// Package rollout decides on the roll-out of a version of a service: how many requests the new
// version gets, whether the evidence speaks against it, and which status is written to the order.
// Its types do no I/O, read no clock and start no goroutine; time, messages and the results of
// store calls are inputs. They are not safe for concurrent use. See docs/design/roll-outs.md.
package rollout

import (
	"fmt"
	"math"
	"time"
)

// Order is an order to move the traffic of a service to the targets of one version.
type Order struct {
	Service, Target string
	// Duration is the time limit of the roll-out, counted from Created. An order with a
	// duration of 0 is presumed: a version was seen beside another one, and no order for it is
	// known yet. Its version gets the share of the watch phase, and no status is written.
	Duration time.Duration
	// Created is the earliest time at which the order may have been written.
	Created time.Time
	// Instance distinguishes an object from a deleted one of the same name: metadata.created of the
	// store. It is 0 for a presumed order.
	Instance int64
	Revision int64
}

// Presumed reports whether no order is known for the version.
func (o Order) Presumed() bool { return o.Duration == 0 }

// MaxDuration is the longest duration of a valid order.
const MaxDuration = 24 * time.Hour

// ParseDuration returns the duration of an order. seconds is duration_s as decoded from JSON.
func ParseDuration(seconds any) (time.Duration, error) {
	s, ok := seconds.(float64)
	switch {
	case !ok:
		return 0, fmt.Errorf("duration_s is %v, which is not a number", seconds)
	case math.IsNaN(s) || s <= 0:
		return 0, fmt.Errorf("duration_s is %v, which is not positive", s)
	case s > MaxDuration.Seconds():
		return 0, fmt.Errorf("duration_s is %v, the longest roll-out takes %v", s, MaxDuration)
	}
	return max(time.Duration(s*float64(time.Second)), time.Millisecond), nil
}

// State is the state of a roll-out as stored in the status of its order. It is empty while the
// order has no status.
type State string

// States of a roll-out. Completed and RolledBack are final.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Final reports whether the state ends the roll-out.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Settings bound the requests that reach a version under roll-out.
type Settings struct {
	Share          float64       // of the service's requests over all daemons
	Slack          float64       // requests in addition, for all daemons together
	RollbackWithin time.Duration // after the 50th bad response
}

// Phase is a part of a roll-out.
type Phase string

// Phases of a roll-out.
const (
	Watch      Phase = "watch"      // the new version gets a fraction of its allowance
	Switch     Phase = "switch"     // new work goes to the new version
	Completing Phase = "completing" // as Switch; completed is to be written
	Reverting  Phase = "reverting"  // the new version gets nothing; rolled_back is to be written
	Overdue    Phase = "overdue"    // as Watch; the time limit is over and no final state is stored
	Ended      Phase = "ended"      // a final state is stored
)

// Verdict is what the evidence says of the new version.
type Verdict string

// Verdicts.
const (
	Undecided Verdict = "undecided" // too little evidence
	Good      Verdict = "good"
	Bad       Verdict = "bad" // final
)

// Outcome of one request at a target, as evidence. Refusals are no evidence; see Abandon for
// requests that their caller ended.
type Outcome struct {
	Service, Version, Route string
	// Failed is set for a 5xx of the target itself, a broken stream and an invalid response.
	Failed bool
	// Broken is set with Failed if the connection to the target was lost, and Target is the id
	// of the target then. All connections that one target loses within a slice are one failure,
	// because the end of one VM breaks many streams at once and says little of its version.
	Broken bool
	Target string
	// Latency is the time to the response or to the first event.
	Latency time.Duration
	// Request is the number that Begin returned, 0 if Begin was not called.
	Request uint64
}

// Decision is what Decide returns.
type Decision struct {
	Phase   Phase
	Verdict Verdict
	// Write is the state that the status of the order should have, empty if it needs no change.
	// Only the daemons that write use it; see Writer.
	Write State
	// Reason explains the verdict or the state in one line for the log.
	Reason string
	// LittleEvidence is set if the state was chosen with fewer responses than a verdict needs.
	LittleEvidence bool
}
