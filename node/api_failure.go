package node

import (
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/operations"
)

// Names of the errors in the goa design, each of which has an HTTP status.
const (
	classBadRequest  = "bad_request"
	classNotFound    = "not_found"
	classConflict    = "conflict"
	classOverloaded  = "overloaded"
	classUnavailable = "unavailable"
	classUnknown     = "unknown_outcome"
)

// errorClass returns the name in the goa design for the code of e.
func errorClass(e *failure.Error) string {
	switch e.Code {
	case failure.BadRequest, failure.TooLarge:
		return classBadRequest
	case failure.NotFound:
		return classNotFound
	case failure.Conflict:
		return classConflict
	case failure.Overloaded, failure.NoTarget, failure.DeadlineExceeded:
		return classOverloaded
	case failure.UnknownOutcome, failure.Internal:
		return classUnknown
	default:
		return classUnavailable
	}
}

// wireFailure returns e as the API sends it. goa generates an identical Failure type
// for each service; the other services convert from this one.
func wireFailure(e *failure.Error) gen.Failure {
	return gen.Failure{
		Name: errorClass(e), Code: string(e.Code), Message: e.Message, Outcome: string(e.Outcome),
		RetryAfterMs: e.RetryAfter.Milliseconds(), Step: e.Step, Peer: e.Peer, Addresses: e.Addresses,
	}
}

// refusal returns why this daemon refuses new work, or nil.
func (n *Node) refusal() *failure.Error {
	view := n.view.Load()
	switch {
	case n.refusing.Load():
		e := failure.New(failure.Draining, failure.NotRun, "accept", n.self.ID, "this daemon is stopping").WithRetryAfter(defaultRetryAfter)
		e.Addresses = view.Directory(n.self.Place, "")
		return e
	case n.snapshot.Load().Version == 0:
		e := failure.New(failure.Starting, failure.NotRun, "accept", n.self.ID, "this daemon has no configuration yet").WithRetryAfter(defaultRetryAfter)
		e.Addresses = view.Directory(n.self.Place, "")
		return e
	case view.Isolated:
		return failure.New(failure.Isolated, failure.NotRun, "accept", n.self.ID, "this daemon is cut off").WithRetryAfter(defaultRetryAfter)
	}
	return nil
}
