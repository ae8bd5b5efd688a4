// Package failure defines the typed error that is passed between packages and
// processes. It holds a stable code, whether the request ran, when to retry, and
// the step and peer at which the error occurred.
package failure

import (
	stderrors "errors"
	"fmt"
	"time"
)

// Outcome states whether a request ran at a target.
type Outcome string

// Outcomes of a request. NotRun guarantees that no target has received the request
// and that none will.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// Code is a stable machine-readable error code.
type Code string

// Error codes. They are part of the API, and their meaning never changes.
const (
	BadRequest   Code = "bad_request"
	NotFound     Code = "not_found"
	Unauthorized Code = "unauthorized"
	TooLarge     Code = "too_large"

	HeaderTooLarge Code = "header_too_large"

	Conflict            Code = "conflict"
	Overloaded          Code = "overloaded"
	Draining            Code = "draining"
	Starting            Code = "starting"
	NoTarget            Code = "no_target"
	Isolated            Code = "isolated"
	Quarantined         Code = "quarantined"
	DeadlineExceeded    Code = "deadline_past"
	TargetLost          Code = "target_lost"
	PlatformUnavailable Code = "platform_unavailable"
	UnknownOutcome      Code = "unknown_outcome"
	Canceled            Code = "canceled"
	Internal            Code = "internal"
)

// Error is the typed error of the system. A zero RetryAfter means that a retry is
// useless. Step and Peer state where the error occurred. Addresses lists the daemons
// to use instead, if any.
type Error struct {
	Code       Code
	Message    string
	Outcome    Outcome
	RetryAfter time.Duration
	Step       string
	Peer       string
	Addresses  []string
	cause      error
}

// New returns an Error that occurred in step at peer. An empty peer means this
// process.
func New(code Code, outcome Outcome, step, peer, format string, args ...any) *Error {
	return &Error{Code: code, Outcome: outcome, Step: step, Peer: peer, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with the given code and outcome whose cause is err.
func Wrap(err error, code Code, outcome Outcome, step, peer string) *Error {
	return &Error{Code: code, Outcome: outcome, Step: step, Peer: peer, Message: err.Error(), cause: err}
}

// WithRetryAfter sets the time after which the caller may retry and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error implements error.
func (e *Error) Error() string {
	location := e.Step
	if e.Peer != "" {
		location += " at " + e.Peer
	}
	return fmt.Sprintf("%s: %s (%s, %s)", location, e.Message, e.Code, e.Outcome)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// From returns the first Error in the chain of err. If there is none, it wraps err
// in an Error with the code Internal and the outcome Unknown.
func From(err error) *Error {
	var e *Error
	if stderrors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, Unknown, "unclassified", "")
}
