// Package confirmation runs non-idempotent calls at most once and keeps their
// outcomes for callers that ask again.
package confirmation

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// Settings bound confirmations.
type Settings struct {
	// Retention is how long an outcome is kept for a caller that asks again.
	Retention jsontime.Duration `json:"retention" validate:"gt=0"`
	// Deadline is the longest wait of a caller that names none.
	Deadline jsontime.Duration `json:"deadline" validate:"gt=0"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{Retention: jsontime.Duration(10 * time.Minute), Deadline: jsontime.Duration(5 * time.Second)}
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

// Record is what is known of a key. Same key, same record, at any daemon.
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
	// that the call is refused and did not run, unless its Outcome says
	// otherwise.
	Confirm(ctx context.Context, r Request) (Record, *failure.Error)
	// Lookup returns the outcome of a key that was confirmed before.
	Lookup(ctx context.Context, key string) (Record, *failure.Error)
}

// Dispatcher sends one call to a plain service target.
type Dispatcher interface {
	// Dispatch sends r once. The outcome is NotRun only if no target can have
	// seen it.
	Dispatch(ctx context.Context, r Request) Record
}
