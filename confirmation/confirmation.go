// Package confirmation runs non-idempotent calls at most once and keeps their
// outcomes for callers that repeat a request or look it up.
//
// Keys are hashed onto shards. A map on the platform assigns three daemons to
// each shard. The first and the second form a pair and record the shard's keys.
// The third keeps no records; if the two lose contact with each other, it
// decides which of them continues alone (the grant). An epoch is the period
// between two changes of a shard's assignment. Replica implements the protocol
// that keeps a key from running twice. PairService connects replicas to the
// network, the clock and the platform.
package confirmation

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// Modes of Settings.
const (
	ModePairs  = "pairs"  // PairService
	ModeWrites = "writes" // StoreService
)

// Settings configures confirmations.
type Settings struct {
	// Retention is how long an outcome is kept for repeated requests.
	Retention jsontime.Duration `json:"retention" validate:"gt=0"`
	// Deadline is the longest wait of a caller that sets no deadline.
	Deadline jsontime.Duration `json:"deadline" validate:"gt=0"`
	// Skew is the largest difference between the clocks of two daemons.
	Skew jsontime.Duration `json:"skew" validate:"gt=0"`
	// Mode is "pairs", or "writes" to measure the alternative that records each
	// call on the platform.
	Mode string `json:"mode" validate:"oneof=pairs writes"`
}

// DefaultSettings returns the settings of a daemon whose settings file sets
// none.
func DefaultSettings() Settings {
	return Settings{
		Retention: jsontime.Duration(10 * time.Minute), Deadline: jsontime.Duration(5 * time.Second),
		Skew: jsontime.Duration(2 * time.Second), Mode: ModePairs,
	}
}

// Request is one non-idempotent call.
type Request struct {
	Key       string            `msgpack:"key"`
	Workspace string            `msgpack:"workspace"`
	Service   string            `msgpack:"service"`
	Body      string            `msgpack:"body"`
	Deadline  time.Duration     `msgpack:"deadline"`
	Labels    map[string]string `msgpack:"labels"`
}

// Record is the known state of a key. Every daemon returns the same record for
// the same key. An unknown outcome with a RetryAfter may still become known.
type Record struct {
	Key        string          `msgpack:"key"`
	Outcome    failure.Outcome `msgpack:"outcome"`
	Status     int             `msgpack:"status"`
	Answer     string          `msgpack:"answer"`
	RetryAfter time.Duration   `msgpack:"retry_after"`
}

// Service runs non-idempotent calls and returns their outcomes.
type Service interface {
	// Confirm runs r at most once and returns its outcome. A typed error means
	// that this call was refused; its Outcome reports whether the key can have
	// run.
	Confirm(ctx context.Context, r Request) (Record, *failure.Error)
	// Lookup returns the outcome of a key that was confirmed earlier. It never
	// runs anything.
	Lookup(ctx context.Context, key string) (Record, *failure.Error)
	// IssueKey returns a new key.
	IssueKey(ctx context.Context) (string, *failure.Error)
}

// Dispatcher sends calls to the targets of plain services.
type Dispatcher interface {
	// Dispatch sends r once. The outcome is NotRun only if no target can have
	// received r.
	Dispatch(ctx context.Context, r Request) Record
}
