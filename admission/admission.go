// Package admission decides when a request may run on a target: permits,
// priorities, bounded queues, deadlines and fairness between workspaces.
//
// Controller is the only place where a permit is given out. It is pure: the
// time and messages go in, decisions come out. Shares tells a daemon which part
// of each target's permits is its own.
package admission

import (
	"time"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/target"
)

// Settings bound the queues of a daemon.
type Settings struct {
	// MaxQueued bounds the requests that wait on this daemon.
	MaxQueued int `json:"max_queued" validate:"min=1"`
	// MaxQueuedBytes bounds the prompts of requests that wait.
	MaxQueuedBytes int64 `json:"max_queued_bytes" validate:"min=1"`
	// FirstTokenDeadline applies to requests that name no deadline.
	FirstTokenDeadline jsontime.Duration `json:"first_token_deadline" validate:"gt=0"`
	// MaxWorkspaceQueued applies to workspaces that name no max_queued.
	MaxWorkspaceQueued int `json:"max_workspace_queued" validate:"min=1"`
	// AgeStep is how long a request waits before it moves up one class.
	AgeStep jsontime.Duration `json:"age_step" validate:"gt=0"`
	// RetryBurst bounds the attempts after a loss that go ahead of new work at
	// one time.
	RetryBurst int `json:"retry_burst" validate:"min=1"`
	// RetryRate is how many such attempts a second the budget regains.
	RetryRate float64 `json:"retry_rate" validate:"gt=0"`
	// GrowDelay is how long the set of daemons has to stay the same before this
	// one uses a greater share of a target's permits. It must exceed the time in
	// which the views of all daemons converge.
	GrowDelay jsontime.Duration `json:"grow_delay" validate:"gte=0"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{
		MaxQueued: 4096, MaxQueuedBytes: 32 << 20, MaxWorkspaceQueued: 1024,
		FirstTokenDeadline: jsontime.Duration(10 * time.Second),
		AgeStep:            jsontime.Duration(2 * time.Second),
		RetryBurst:         64, RetryRate: 32,
		GrowDelay: jsontime.Duration(2 * time.Second),
	}
}

// Ticket is one request that wants to run. Its ID is unique in one daemon and
// names the permit that it becomes.
type Ticket struct {
	ID        uint64          `json:"id"`
	Request   string          `json:"request"`
	Workspace string          `json:"workspace"`
	Lane      string          `json:"lane"` // see Lane
	Priority  target.Priority `json:"priority"`
	Deadline  time.Time       `json:"deadline"` // latest time of the grant
	Bytes     int64           `json:"bytes"`
	Retry     bool            `json:"retry,omitempty"` // a new attempt after a loss

	// Limits of the workspace on this daemon; 0 MaxInFlight means none.
	Weight      int `json:"weight"`
	MaxInFlight int `json:"max_in_flight,omitempty"`
	MaxQueued   int `json:"max_queued"`
}

// LaneName names the queue of requests that compete for one set of targets: those
// of one service on one side of a migration.
func LaneName(service, system string) string { return service + "/" + system }
