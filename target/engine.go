// Package target is the client of what stands behind the system: model engines
// and plain services. The contracts are docs/contracts/engine.md and
// docs/contracts/plain-service.md.
package target

import (
	"context"

	"github.com/pkg/errors"
)

// Errors of targets.
var (
	// ErrNotSent: the target can't have seen the request.
	ErrNotSent = errors.New("request not sent")
	// ErrLost: the connection failed after the request may have been seen.
	ErrLost = errors.New("connection to target lost")
	// ErrRefused: the target answered that it won't run the request now.
	ErrRefused = errors.New("target refused")
	// ErrNoStream: the target doesn't know the stream that was asked for.
	ErrNoStream = errors.New("target has no such stream")
	// ErrFenced: the target refused an order with an old fencing number.
	ErrFenced = errors.New("fencing number is old")
)

// Priority orders work on an engine; a greater value goes first.
type Priority int

// Priorities. Urgent is kept for confirmations and what callers mark urgent.
const (
	Batch  Priority = 0
	Normal Priority = 1
	Urgent Priority = 2
)

// StreamID names one attempt of a request on an engine.
type StreamID struct {
	Request string `json:"request"`
	Attempt int64  `json:"attempt"`
}

// GenerateRequest starts an attempt. The engine continues after Forced as if
// it had generated those tokens itself.
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

// EventKind is the type of one stream event.
type EventKind string

// Stream event kinds.
const (
	TokenEvent     EventKind = "token"
	KeepAliveEvent EventKind = "keep_alive"
	DoneEvent      EventKind = "done"
	ErrorEvent     EventKind = "error"
)

// StreamEvent is one event of an engine's stream. Position counts from 0 over
// the whole answer, forced tokens included; at done it is the answer's length.
type StreamEvent struct {
	Kind     EventKind `json:"kind"`
	Position int64     `json:"position"`
	Text     string    `json:"text,omitempty"`
	Message  string    `json:"message,omitempty"`
}

// Stream reads the events of one attempt. Next returns ErrLost when the
// connection ends without done. Close leaves the attempt running.
type Stream interface {
	Next() (StreamEvent, error)
	Close() error
}

// Load is an engine's report. It lags behind the truth by AgeMillis and more.
type Load struct {
	Running       int               `json:"running"`
	Queued        int               `json:"queued"`
	Slots         int               `json:"slots"`
	TokensPerSec  float64           `json:"tokens_per_sec"`
	MemoryTokens  int64             `json:"memory_tokens"`
	Models        map[string]string `json:"models"` // name to version
	Role          string            `json:"role"`
	Leaving       bool              `json:"leaving"`
	Incarnation   uint64            `json:"incarnation"`
	AgeMillis     int64             `json:"age_ms"`
	FencingNumber int64             `json:"fencing_number"`
}

// CacheEvent tells that an engine's prefix cache gained or dropped a block.
// Sequence numbers rise by one; a gap means that events were lost. Block is
// the hash that BlockHashes gives.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Dropped  bool   `json:"dropped,omitempty"`
	Cleared  bool   `json:"cleared,omitempty"`
}

// Order tells an engine what to serve. It states desired state, so that
// repeating it does no harm.
type Order struct {
	FencingNumber int64             `json:"fencing_number"`
	Models        map[string]string `json:"models"` // name to version
	Adapters      map[string]string `json:"adapters,omitempty"`
	Role          string            `json:"role,omitempty"`
}

// Engine is the interface to one model engine.
type Engine interface {
	// Generate starts an attempt.
	Generate(ctx context.Context, req GenerateRequest) (Stream, error)
	// Attach joins a running or finished attempt from a position, or ErrNoStream.
	Attach(ctx context.Context, id StreamID, from int64) (Stream, error)
	// Cancel ends an attempt; nil means that it has ended or never ran.
	Cancel(ctx context.Context, id StreamID) error
	// Probe asks on a new connection whether the engine lives. incarnation
	// rises when the engine restarts.
	Probe(ctx context.Context) (incarnation uint64, err error)
	// Load reads the load report.
	Load(ctx context.Context) (Load, error)
	// CacheEvents reads events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Order changes what the engine serves.
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

// PlainService is the interface to one plain service target.
type PlainService interface {
	// Call runs the call once. ErrNotSent means that it did not and will not
	// run; any other error means that it may have run.
	Call(ctx context.Context, call Call) (Reply, error)
	// Load reads the load report.
	Load(ctx context.Context) (Load, error)
}
