package peer

import (
	"context"
	"time"
)

// Arrival says when a frame arrived on its connection.
type Arrival struct {
	First time.Time // its first byte
	Last  time.Time // its last byte
}

type arrivalKey struct{}

// ArrivalOf returns the arrival of the frame whose handler got ctx, and false if ctx is not
// that of a handler.
func ArrivalOf(ctx context.Context) (Arrival, bool) {
	a, ok := ctx.Value(arrivalKey{}).(Arrival)
	return a, ok
}
