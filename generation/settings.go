// Package generation keeps one streamed answer whole while targets fail under
// it: attempts, positions, resume, and retention for a caller that comes back.
//
// Machine is the pure decision logic: inputs and the time go in, decisions come
// out. Run is the shell that carries the decisions out, and Hub keeps the runs
// of a daemon.
package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/target"
)

// Settings bound generations.
type Settings struct {
	// Silence is the longest a stream may stay without any event before the
	// target is suspected.
	Silence jsontime.Duration `json:"silence" validate:"gt=0"`
	// SilenceMin is the shortest such time. In between, the stream's own gaps
	// decide.
	SilenceMin jsontime.Duration `json:"silence_min" validate:"gt=0"`
	// ProbeTimeout is the longest a suspected target may take to answer.
	ProbeTimeout jsontime.Duration `json:"probe_timeout" validate:"gt=0"`
	// ResumeDeadline is the longest time from a loss until a target runs the
	// answer again; later the answer ends incomplete.
	ResumeDeadline jsontime.Duration `json:"resume_deadline" validate:"gt=0"`
	// StallLimit is the longest a target may send keep-alives and no token
	// before the answer moves to another one.
	StallLimit jsontime.Duration `json:"stall_limit" validate:"gt=0"`
	// RoutePause is the time between two tries to find a target for a resume.
	RoutePause jsontime.Duration `json:"route_pause" validate:"gt=0"`
	// Retention is how long a final answer is kept for a caller that returns.
	Retention jsontime.Duration `json:"retention" validate:"gt=0"`
	// Unwatched is how long a run goes on without any caller reading it.
	Unwatched jsontime.Duration `json:"unwatched" validate:"gt=0"`
	// CallerKeepAlive is the longest a caller's stream stays without a byte.
	CallerKeepAlive jsontime.Duration `json:"caller_keep_alive" validate:"gt=0"`
	// CallerLag is the longest a caller may take to read what is left of an
	// answer once that is final.
	CallerLag jsontime.Duration `json:"caller_lag" validate:"gt=0"`
	// MaxRetained bounds the final answers kept.
	MaxRetained int `json:"max_retained" validate:"min=1"`
	// MaxRetainedBytes bounds their tokens.
	MaxRetainedBytes int64 `json:"max_retained_bytes" validate:"min=1"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{
		Silence:          jsontime.Duration(time.Second),
		SilenceMin:       jsontime.Duration(300 * time.Millisecond),
		ProbeTimeout:     jsontime.Duration(time.Second),
		ResumeDeadline:   jsontime.Duration(5 * time.Second),
		StallLimit:       jsontime.Duration(time.Minute),
		RoutePause:       jsontime.Duration(100 * time.Millisecond),
		Retention:        jsontime.Duration(30 * time.Second),
		Unwatched:        jsontime.Duration(10 * time.Second),
		CallerKeepAlive:  jsontime.Duration(500 * time.Millisecond),
		CallerLag:        jsontime.Duration(30 * time.Second),
		MaxRetained:      4096,
		MaxRetainedBytes: 32 << 20,
	}
}

// Request is one caller's wish.
type Request struct {
	ID        string
	Workspace string
	Service   string
	Prompt    string
	MaxTokens int64
	Seed      int64
	Priority  target.Priority
	Deadline  time.Duration // for the first token; 0 for the default
	Labels    map[string]string
	Held      []string // tokens that the caller holds already
	Cursor    Cursor   // where the caller's last event came from
	Objective configuration.Objective
}
