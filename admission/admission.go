// Package admission implements admission control: it decides when a request may
// run on a target, by permits, priorities, bounded queues, deadlines and fair
// sharing between workspaces.
//
// Only Controller grants permits. It does no I/O and reads no clock: its
// decisions depend on the times and messages passed to Step. Fleet and Shares
// determine which part of each target's permits belongs to a daemon.
package admission

import (
	"time"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/target"
)

// Settings configures the queues, the retry budget and the permit shares of a
// daemon.
type Settings struct {
	// MaxQueued is the maximum number of requests queued on this daemon.
	MaxQueued int `json:"max_queued" validate:"min=1"`
	// MaxQueuedBytes is the maximum total size of the prompts of queued requests.
	MaxQueuedBytes int64 `json:"max_queued_bytes" validate:"min=1"`
	// FirstTokenDeadline is the deadline of requests that don't specify one, as a
	// time after arrival.
	FirstTokenDeadline jsontime.Duration `json:"first_token_deadline" validate:"gt=0"`
	// MaxWorkspaceQueued is the maximum number of queued requests of a workspace
	// that doesn't configure max_queued.
	MaxWorkspaceQueued int `json:"max_workspace_queued" validate:"min=1"`
	// AgeStep is the time in one class after which a queued request is promoted
	// to the next higher class.
	AgeStep jsontime.Duration `json:"age_step" validate:"gt=0"`
	// RetryBurst is the capacity of the retry budget: the number of retries that
	// may be granted before new work in a burst.
	RetryBurst int `json:"retry_burst" validate:"min=1"`
	// RetryRate is the refill rate of the retry budget, in retries per second.
	RetryRate float64 `json:"retry_rate" validate:"gt=0"`
	// GrowDelay is the delay before this daemon uses a larger share of a target's
	// permits. The set of daemons must not change during the delay. It must exceed
	// the time that the membership views of all daemons need to converge.
	GrowDelay jsontime.Duration `json:"grow_delay" validate:"gte=0"`
}

// DefaultSettings returns the settings that apply where the settings file
// specifies none.
func DefaultSettings() Settings {
	return Settings{
		MaxQueued: 4096, MaxQueuedBytes: 32 << 20, MaxWorkspaceQueued: 1024,
		FirstTokenDeadline: jsontime.Duration(10 * time.Second),
		AgeStep:            jsontime.Duration(2 * time.Second),
		RetryBurst:         64, RetryRate: 32,
		GrowDelay: jsontime.Duration(2 * time.Second),
	}
}

// Ticket is a request for a permit. Its ID is unique within a daemon and also
// identifies the permit once the ticket is granted.
type Ticket struct {
	ID        uint64          `json:"id"`
	Request   string          `json:"request"`
	Workspace string          `json:"workspace"`
	Lane      string          `json:"lane"` // see LaneName
	Priority  target.Priority `json:"priority"`
	Deadline  time.Time       `json:"deadline"`        // latest time to grant the permit
	Bytes     int64           `json:"bytes"`           // size of the prompt
	Retry     bool            `json:"retry,omitempty"` // a new attempt after the previous one was lost

	// Limits of the workspace on this daemon.
	Weight      int `json:"weight"`                  // relative share of the permits of a lane
	MaxInFlight int `json:"max_in_flight,omitempty"` // maximum number of permits; 0 for no limit
	MaxQueued   int `json:"max_queued"`              // maximum number of queued tickets
}

// LaneName returns the name of a lane. A lane is the queue of the requests that
// compete for the same targets: the targets of one service in the old or the new
// system of a migration.
func LaneName(service, system string) string { return service + "/" + system }
