package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the time to come back that callers are told.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// holdSampleWeight is the weight of the newest sample in the mean hold time.
const holdSampleWeight = 1.0 / 32

// waitMargin is by what part the actual wait may exceed the expected one before
// a request that was let in misses its deadline.
const waitMargin = 0.1

// holdTime estimates how long a permit is held: the mean over those given back
// and, while there are few of them, twice the age of those still held.
type holdTime struct {
	mean         time.Duration
	samples      int
	held         int
	grantOffsets int64 // sum of grant times of permits still held, in ns since base
	base         time.Time
}

func (h *holdTime) start(now time.Time) {
	if h.base.IsZero() {
		h.base = now
	}
	h.held++
	h.grantOffsets += int64(now.Sub(h.base))
}

func (h *holdTime) end(granted, now time.Time) {
	h.held--
	h.grantOffsets -= int64(granted.Sub(h.base))
	h.samples++
	weight := max(holdSampleWeight, 1/float64(h.samples))
	h.mean += time.Duration(weight * float64(now.Sub(granted)-h.mean))
}

// estimate returns the expected hold time, 0 while nothing is known.
func (h *holdTime) estimate(now time.Time) time.Duration {
	if h.held == 0 || float64(h.samples) >= 1/holdSampleWeight {
		return h.mean
	}
	age := time.Duration(int64(now.Sub(h.base)) - h.grantOffsets/int64(h.held))
	return max(h.mean, 2*age)
}

// retryAfter spreads callers that were told the same wait: each comes back up
// to a quarter later, by a hash of its request.
func retryAfter(wait time.Duration, request string) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	const parts = 1024
	return wait + wait/4*time.Duration(xxhash.Sum64String(request)%parts)/parts
}
