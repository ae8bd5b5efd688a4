// Package generation streams the answer to a generation request and resumes it
// on another target when a target fails, without a lost or repeated token. It
// retains answers for callers that reconnect.
//
// Machine is the pure decision logic: it maps inputs and the time to decisions.
// The type run executes the decisions, and Hub manages the runs of a daemon.
package generation

import (
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/target"
)

// Settings are the timeouts and bounds of generations.
type Settings struct {
	// Silence is the longest time without any event of a stream before its target
	// is suspected.
	Silence jsontime.Duration `json:"silence" validate:"gt=0"`
	// SilenceMin is the shortest time without any event of a stream before its
	// target is suspected. The time in use is between this and Silence; it depends
	// on the gaps between the stream's past events.
	SilenceMin jsontime.Duration `json:"silence_min" validate:"gt=0"`
	// ProbeTimeout is the longest time in which a suspected target must answer a
	// probe.
	ProbeTimeout jsontime.Duration `json:"probe_timeout" validate:"gt=0"`
	// ResumeDeadline is the longest time from a loss until a target runs the
	// request again. After it the answer ends incomplete.
	ResumeDeadline jsontime.Duration `json:"resume_deadline" validate:"gt=0"`
	// StallLimit is the longest time for which a target may send keep-alives but
	// no token before the answer moves to another target.
	StallLimit jsontime.Duration `json:"stall_limit" validate:"gt=0"`
	// RoutePause is the delay before a failed search for a target is retried
	// during a resume.
	RoutePause jsontime.Duration `json:"route_pause" validate:"gt=0"`
	// Retention is how long a final answer is kept for a caller that reconnects.
	Retention jsontime.Duration `json:"retention" validate:"gt=0"`
	// Unwatched is how long a run continues while no caller reads its answer.
	Unwatched jsontime.Duration `json:"unwatched" validate:"gt=0"`
	// CallerKeepAlive is the longest time without a byte on a caller's stream.
	CallerKeepAlive jsontime.Duration `json:"caller_keep_alive" validate:"gt=0"`
	// CallerLag is the longest time for which a caller may read the rest of an
	// answer once the answer is final.
	CallerLag jsontime.Duration `json:"caller_lag" validate:"gt=0"`
	// MaxRetained is the number of answers, running ones included, above which
	// final answers are removed.
	MaxRetained int `json:"max_retained" validate:"min=1"`
	// MaxRetainedBytes bounds the total size of the tokens of final answers.
	MaxRetainedBytes int64 `json:"max_retained_bytes" validate:"min=1"`
}

// DefaultSettings returns the defaults of settings that the settings file omits.
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

// Request is a caller's request for a generation.
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
	Held      []string // tokens that the caller already holds
	Cursor    Cursor   // source of the last event that the caller received
	Objective configuration.Objective
	// Retain keeps the memory that the request uses counted until release is called; nil if it
	// is not counted.
	Retain func() (release func())
}
