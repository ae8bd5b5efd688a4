package admission

import (
	"time"
)

// Message is something the controller learns.
type Message interface{ message() }

// TargetLimit is this daemon's share of one target's permits.
type TargetLimit struct {
	Name     string `json:"name"`
	Permits  int    `json:"permits"`
	Reserved int    `json:"reserved,omitempty"` // part of Permits for urgent requests only
}

// Configure replaces the limits and the targets of each lane. Permits of
// targets that are no longer named stay taken until they are released.
type Configure struct {
	Targets []TargetLimit       `json:"targets"`
	Lanes   map[string][]string `json:"lanes"` // lane to target names
}

// Submit asks for a permit. The ticket gets exactly one of Grant and Refuse,
// unless it is cancelled first.
type Submit struct{ Ticket Ticket }

// Adopt takes a permit for an attempt that runs on a target already, such as one
// whose caller came from another daemon. It may exceed the limit; no new work is
// granted on the target until it is back within it.
type Adopt struct {
	Ticket Ticket
	Target string
}

// Cancel tells that the caller of a ticket went away. A ticket that was granted
// already is not affected; its permit is released as any other.
type Cancel struct{ ID uint64 }

// Release gives a permit back. With Ended false the attempt may still run: the
// permit stays taken until a Release with Ended true, Restarted or Gone.
type Release struct {
	ID    uint64
	Ended bool
}

// Restarted tells that a target restarted, so that everything that was granted on
// it before a time has ended.
type Restarted struct {
	Target string
	Before time.Time
}

// Gone tells that a target's VM is gone and nothing can run on it.
type Gone struct{ Target string }

// Block tells that a target must not be used, because it is dead or leaving, or
// that it may be used again. Its permits don't count for expected waits.
type Block struct {
	Target  string
	Blocked bool
}

// Wake tells that tickets may find targets that they did not before.
type Wake struct{}

// Tick lets time pass.
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

// Decision is something the daemon must do.
type Decision interface{ decision() }

// Grant gives a ticket a permit on a target.
type Grant struct {
	ID     uint64        `json:"id"`
	Target string        `json:"target"`
	Waited time.Duration `json:"waited"`
}

// Reason tells why a ticket was refused.
type Reason string

// Reasons.
const (
	QueueFull     Reason = "queue_full"     // the daemon's queue, by count or bytes
	WorkspaceFull Reason = "workspace_full" // the workspace's queue
	TooLate       Reason = "too_late"       // the expected wait exceeds the deadline
	Expired       Reason = "expired"        // the deadline passed in the queue
	NoTarget      Reason = "no_target"      // no target could run it, busy or not
)

// Refuse ends a ticket that did not run and never will.
type Refuse struct {
	ID         uint64        `json:"id"`
	Reason     Reason        `json:"reason"`
	RetryAfter time.Duration `json:"retry_after"`
}

// Delayed tells that an attempt after a loss found the retry budget spent and
// waits with new work.
type Delayed struct {
	ID uint64 `json:"id"`
}

func (Grant) decision()   {}
func (Refuse) decision()  {}
func (Delayed) decision() {}

// PlacementResult is a placer's answer.
type PlacementResult string

// Placements.
const (
	Placed       PlacementResult = "placed"
	AllBusy      PlacementResult = "busy" // a target could run it, but has no free permit
	NoneEligible PlacementResult = "none" // no target could run it now
)

// Placer picks the target of a ticket among those for which free is true. It
// must be a function of the daemon's state at now.
type Placer interface {
	Place(now time.Time, t Ticket, free func(target string) bool) (string, PlacementResult)
}
