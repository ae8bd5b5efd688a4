// Package confirmation runs non-idempotent calls at most once and keeps their
// outcomes for callers that ask again.
//
// Keys fall into shards. The platform assigns each shard an ordered pair of
// daemons and a third for an epoch; see Replica for the rules that keep a key
// from running twice, and Pairs for what connects them to sockets and clocks.
package confirmation

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// Modes of Settings.
const (
	ModePairs  = "pairs"  // pairs of daemons
	ModeWrites = "writes" // one platform write before each dispatch
)

// Settings bound confirmations.
type Settings struct {
	// Retention is how long an outcome is kept for a caller that asks again.
	Retention jsontime.Duration `json:"retention" validate:"gt=0"`
	// Deadline is the longest wait of a caller that names none.
	Deadline jsontime.Duration `json:"deadline" validate:"gt=0"`
	// Skew is the largest difference between the clocks of two daemons.
	Skew jsontime.Duration `json:"skew" validate:"gt=0"`
	// Mode is "pairs", or "writes" to measure the alternative.
	Mode string `json:"mode" validate:"oneof=pairs writes"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
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

// Record is what is known of a key. Same key, same record, at any daemon. An
// unknown outcome with a RetryAfter may still become known.
type Record struct {
	Key        string          `msgpack:"key"`
	Outcome    failure.Outcome `msgpack:"outcome"`
	Status     int             `msgpack:"status"`
	Answer     string          `msgpack:"answer"`
	RetryAfter time.Duration   `msgpack:"retry_after"`
}

// Service runs confirmations.
type Service interface {
	// Confirm runs r at most once and returns its outcome. A typed error means
	// that this call was refused; its Outcome tells whether the key can have run.
	Confirm(ctx context.Context, r Request) (Record, *failure.Error)
	// Lookup returns the outcome of a key that was confirmed before and never
	// runs anything.
	Lookup(ctx context.Context, key string) (Record, *failure.Error)
	// IssueKey returns a fresh key.
	IssueKey(ctx context.Context) (string, *failure.Error)
}

// Dispatcher sends one call to a plain service target.
type Dispatcher interface {
	// Dispatch sends r once. The outcome is NotRun only if no target can have
	// seen it.
	Dispatch(ctx context.Context, r Request) Record
}
