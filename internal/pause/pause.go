// Package pause implements a wait that ends early when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns true. If ctx ends first, it returns false at once.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
