// Package admission decides when a request may run on a target: permits,
// priorities, bounded queues, deadlines and fairness between workspaces.
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
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{
		MaxQueued: 4096, MaxQueuedBytes: 32 << 20,
		FirstTokenDeadline: jsontime.Duration(10 * time.Second),
	}
}

// Ticket is one request that wants to run.
type Ticket struct {
	ID        uint64
	Workspace string
	Service   string
	Priority  target.Priority
	Deadline  time.Time
	Bytes     int64
	Retry     bool // a new attempt after a loss
}
