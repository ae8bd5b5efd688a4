package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
)

// ErrStopping is the cancellation cause of requests that still run at the end of a
// planned stop.
var ErrStopping = errors.New("the daemon stops")

// canceledByCaller reports whether ctx ended because the caller disconnected.
func canceledByCaller(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), ErrStopping)
}

// contextError returns the error of a request whose ctx ended before it was answered.
func contextError(ctx context.Context, outcome failure.Outcome, step, peer string) *failure.Error {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return failure.New(failure.Draining, outcome, step, peer, "the daemon stops, and the request was not done in time")
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.New(failure.DeadlineExceeded, outcome, step, peer, "no answer in time")
	}
	return failure.New(failure.Canceled, outcome, step, peer, "the caller left")
}
