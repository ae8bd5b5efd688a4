package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the retry delay sent to callers.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// holdSampleWeight is the weight of the newest sample in the moving average of
// the hold time.
const holdSampleWeight = 1.0 / 32

// waitMargin is the safety margin of an expected wait, as a fraction of it. A request
// is admitted only if it meets its deadline after the expected wait plus the margin.
const waitMargin = 0.1

// holdTime estimates how long a permit is held, by a moving average over released
// permits. With fewer than 1/holdSampleWeight samples, the estimate is at least twice
// the mean age of the permits still held.
type holdTime struct {
	mean         time.Duration
	samples      int       // number of released permits
	held         int       // number of permits still held
	grantOffsets int64     // sum of the grant times of permits still held, in ns since base
	base         time.Time // time of the first grant
}

func (h *holdTime) start(now time.Time) {
	if h.base.IsZero() {
		h.base = now
	}
	h.held++
	h.grantOffsets += int64(now.Sub(h.base))
}

func (h *holdTime) end(grantedAt, now time.Time) {
	h.held--
	h.grantOffsets -= int64(grantedAt.Sub(h.base))
	h.samples++
	weight := max(holdSampleWeight, 1/float64(h.samples))
	h.mean += time.Duration(weight * float64(now.Sub(grantedAt)-h.mean))
}

// estimate returns the expected hold time, or 0 if there is no data.
func (h *holdTime) estimate(now time.Time) time.Duration {
	if h.held == 0 || float64(h.samples) >= 1/holdSampleWeight {
		return h.mean
	}
	age := time.Duration(int64(now.Sub(h.base)) - h.grantOffsets/int64(h.held))
	return max(h.mean, 2*age)
}

// retryAfter returns the retry delay for a caller with an expected wait. It adds
// up to a quarter, by a hash of the request, so that callers with the same wait
// don't retry at the same time.
func retryAfter(wait time.Duration, request string) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	const parts = 1024
	return wait + wait/4*time.Duration(xxhash.Sum64String(request)%parts)/parts
}
