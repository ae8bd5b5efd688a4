// Package rollout decides on the roll-out of a version of a service: how many requests the new
// version gets, whether the evidence speaks against it, and which status is written to the order.
// Its types do no I/O, read no clock and start no goroutine; time, messages and the results of
// store calls are inputs. They are not safe for concurrent use. See docs/design/roll-outs.md.
package rollout

import "time"

// Order is an order to move the traffic of a service to the targets of one version.
type Order struct {
	Service, Target string
	// Duration is the time limit of the roll-out, counted from Created. An order with a
	// duration of 0 is presumed: a version was seen beside another one, and no order for it is
	// known yet. Its version gets the share of the watch phase, and no status is written.
	Duration time.Duration
	// Created is the earliest time at which the order may have been written.
	Created  time.Time
	Revision int64
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
	Overdue    Phase = "overdue"    // the time limit is over and no final state is stored
	Completing Phase = "completing" // the verdict is in, the state is not stored
	Reverting  Phase = "reverting"  // the new version gets nothing, the state is not stored
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
	// Only the daemon that writes uses it; see Writer.
	Write State
	// Reason explains the verdict or the state in one line for the log.
	Reason string
	// LittleEvidence is set if the state was chosen with fewer responses than a verdict needs.
	LittleEvidence bool
}
