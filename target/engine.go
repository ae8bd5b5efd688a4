// Package target is the client of the targets that requests are sent to: model engines
// and plain services. The contracts are docs/contracts/engine.md and
// docs/contracts/plain-service.md.
package target

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of calls to targets.
var (
	// ErrNotSent means that the target can't have received the request.
	ErrNotSent = errors.New("request not sent")
	// ErrLost means that the connection failed when the target may have received the
	// request already.
	ErrLost = errors.New("connection to target lost")
	// ErrRefused means that the target answered that it won't run the request now.
	ErrRefused = errors.New("target refused")
	// ErrNoStream means that the target doesn't have the requested stream.
	ErrNoStream = errors.New("target has no such stream")
	// ErrFenced means that the target refused an order with an outdated fencing number.
	ErrFenced = errors.New("fencing number is old")
)

// Priority is the scheduling priority of an attempt on an engine. Greater values are
// scheduled first.
type Priority int

// Priorities. Urgent is reserved for confirmations and for requests that callers mark as
// urgent.
const (
	Batch  Priority = 0
	Normal Priority = 1
	Urgent Priority = 2
)

// StreamID identifies one attempt of a request on an engine.
type StreamID struct {
	Request string `json:"request"`
	Attempt int64  `json:"attempt"`
}

// GenerateRequest is the request that starts an attempt. The engine continues after the
// tokens in Forced as if it had generated them itself.
type GenerateRequest struct {
	Stream    StreamID `json:"stream"`
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Prompt    string   `json:"prompt"`
	Forced    []string `json:"forced,omitempty"`
	Seed      int64    `json:"seed"`
	MaxTokens int64    `json:"max_tokens"`
	Priority  Priority `json:"priority"`
	Workspace string   `json:"workspace"`
}

// EventKind is the kind of a stream event.
type EventKind string

// Kinds of stream events.
const (
	TokenEvent     EventKind = "token"
	KeepAliveEvent EventKind = "keep_alive"
	DoneEvent      EventKind = "done"
	ErrorEvent     EventKind = "error"
)

// StreamEvent is one event of an engine's stream. Position is the index, from 0, of a
// token in the complete answer, forced tokens included. In a DoneEvent it is the number
// of tokens of the answer.
type StreamEvent struct {
	Kind     EventKind `json:"kind"`
	Position int64     `json:"position"`
	Text     string    `json:"text,omitempty"`
	Message  string    `json:"message,omitempty"`
}

// Stream reads the events of one attempt. Next returns ErrLost when the connection ends
// before a DoneEvent. Close closes the connection and leaves the attempt running.
type Stream interface {
	Next() (StreamEvent, error)
	Close() error
}

// Load is the load report of a target. It is at least AgeMillis milliseconds old.
type Load struct {
	Running       int               `json:"running"`
	Queued        int               `json:"queued"`
	Slots         int               `json:"slots"`
	TokensPerSec  float64           `json:"tokens_per_sec"`
	MemoryTokens  int64             `json:"memory_tokens"`
	Models        map[string]string `json:"models"` // version by model name
	Role          string            `json:"role"`
	Leaving       bool              `json:"leaving"`
	Incarnation   uint64            `json:"incarnation"`
	AgeMillis     int64             `json:"age_ms"`
	FencingNumber int64             `json:"fencing_number"`
}

// CacheEvent reports that an engine's prefix cache added or evicted a block, or was
// cleared. Sequence numbers increase by one; a gap means that events were lost. Block is
// a hash as computed by BlockHashes.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Dropped  bool   `json:"dropped,omitempty"` // the block was evicted
	Cleared  bool   `json:"cleared,omitempty"` // the cache was cleared
}

// Order is the desired state of what an engine serves. Orders are idempotent. An engine
// that checks fencing refuses an order whose fencing number is lower than that of an
// earlier one.
type Order struct {
	FencingNumber int64             `json:"fencing_number"`
	Models        map[string]string `json:"models"` // version by model name
	Adapters      map[string]string `json:"adapters,omitempty"`
	Role          string            `json:"role,omitempty"`
}

// Engine is the interface to one model engine.
type Engine interface {
	// Generate starts an attempt.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Attach opens a stream of a running or finished attempt from a position on. It
	// returns ErrNoStream if the engine doesn't have the attempt.
	Attach(ctx context.Context, id StreamID, from int64) (Stream, error)
	// Cancel ends an attempt. A nil error means that it has ended or never ran.
	Cancel(ctx context.Context, id StreamID) error
	// Probe checks over a new connection that the engine is alive. incarnation
	// increases when the engine restarts.
	Probe(ctx context.Context) (incarnation uint64, err error)
	// Load reads the load report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Order sends the desired state of what the engine serves.
	Order(ctx context.Context, o Order) error
}

// Call is a request to a plain service.
type Call struct {
	Key       string `json:"key"`
	Workspace string `json:"workspace"`
	Body      string `json:"body"`
}

// Reply is a plain service's answer.
type Reply struct {
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// PlainService is the interface to one target of a plain service.
type PlainService interface {
	// Call sends the call once. ErrNotSent means that it did not and will not run; any
	// other error means that it may have run.
	Call(ctx context.Context, call Call) (Reply, error)
	// Load reads the load report.
	Load(ctx context.Context) (Load, error)
}
