package admission

import (
	"time"
)

// Message is an input of the controller.
type Message interface{ message() }

// TargetLimit is this daemon's share of one target's permits.
type TargetLimit struct {
	Name     string `json:"name"`
	Permits  int    `json:"permits"`
	Reserved int    `json:"reserved,omitempty"` // how many of Permits are reserved for urgent requests
}

// Configure replaces the permit limits and the targets of each lane. Permits of
// targets that are no longer listed stay in use until they are released.
type Configure struct {
	Targets []TargetLimit       `json:"targets"`
	Lanes   map[string][]string `json:"lanes"` // lane to target names
}

// Submit requests a permit. The ticket gets exactly one Grant or Refuse, unless
// it is canceled first.
type Submit struct{ Ticket Ticket }

// Adopt records a permit for an attempt that already runs on a target, for example
// one whose caller moved here from another daemon. The permits in use may then
// exceed the target's limit; the target gets no new grant until they are below it.
type Adopt struct {
	Ticket Ticket
	Target string
}

// Cancel reports that the caller of a ticket disconnected. It removes the ticket
// from the queue. A granted ticket is not affected: its permit needs a Release.
type Cancel struct{ ID uint64 }

// Release returns a permit if Ended is true. If Ended is false, the attempt is
// abandoned and may still run: the permit stays in use until a Release with Ended
// true, a Restarted or a Gone.
type Release struct {
	ID    uint64
	Ended bool
}

// Restarted reports that a target restarted, so that all attempts granted on it
// before the time Before have ended.
type Restarted struct {
	Target string
	Before time.Time
}

// Gone reports that a target's VM no longer exists, so that no attempt can still
// run on it.
type Gone struct{ Target string }

// Block states whether a target is blocked, because it failed or is leaving. A
// blocked target gets no grants, and its permits don't count for expected waits.
type Block struct {
	Target  string
	Blocked bool
}

// Wake makes the controller try the queued tickets again, after a change that may
// let the placer find a target for them.
type Wake struct{}

// Tick makes the controller apply everything that depends on the time: expired
// deadlines, promotion and load shedding. It is sent periodically.
type Tick struct{}

func (Configure) message() {}
func (Submit) message()    {}
func (Adopt) message()     {}
func (Cancel) message()    {}
func (Release) message()   {}
func (Restarted) message() {}
func (Gone) message()      {}
func (Block) message()     {}
func (Wake) message()      {}
func (Tick) message()      {}

// Decision is an output of the controller that the daemon must carry out.
type Decision interface{ decision() }

// Grant gives a ticket a permit on a target.
type Grant struct {
	ID     uint64        `json:"id"`
	Target string        `json:"target"`
	Waited time.Duration `json:"waited"`
}

// Reason is the reason why a ticket was refused.
type Reason string

// Reasons.
const (
	QueueFull     Reason = "queue_full"     // the daemon's queue is full, by number or bytes
	WorkspaceFull Reason = "workspace_full" // the workspace's queue is full
	TooLate       Reason = "too_late"       // the ticket is expected to miss its deadline
	Expired       Reason = "expired"        // the deadline passed while the ticket was queued
	NoTarget      Reason = "no_target"      // no target can run the request, not even a busy one
)

// Refuse rejects a ticket. No target has run its request or will run it. RetryAfter
// is the delay after which the caller should retry.
type Refuse struct {
	ID         uint64        `json:"id"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after"`
}

// Delayed reports that a retry was over the retry budget and queues with new
// work.
type Delayed struct {
	ID uint64 `json:"id"`
}

func (Grant) decision()   {}
func (Refuse) decision()  {}
func (Delayed) decision() {}

// PlacementResult is the result of an attempt to place a ticket.
type PlacementResult string

// Placement results.
const (
	Placed       PlacementResult = "placed"
	AllBusy      PlacementResult = "busy" // a target can run the request, but none has a free permit
	NoneEligible PlacementResult = "none" // no target can run the request now
)

// Placer picks a target for a ticket among those for which free returns true. The
// result must depend only on the daemon's state at now.
type Placer interface {
	Place(now time.Time, t Ticket, free func(target string) bool) (string, PlacementResult)
}
