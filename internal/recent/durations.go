// Package recent keeps the durations of the latest work of each kind.
package recent

import (
	"math"
	"slices"
	"sync"
	"time"
)

// MaxSamples is the number of durations of a kind that are kept.
const MaxSamples = 32

// Durations records how long the latest work of each kind took. The zero value is ready for
// use. It is safe for concurrent use.
type Durations struct {
	mu    sync.Mutex
	kinds map[string][]time.Duration // oldest first, at most MaxSamples each
}

// Record adds a duration.
func (d *Durations) Record(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.kinds == nil {
		d.kinds = make(map[string][]time.Duration)
	}
	samples := d.kinds[kind]
	if len(samples) == MaxSamples {
		copy(samples, samples[1:])
		samples = samples[:MaxSamples-1]
	}
	d.kinds[kind] = append(samples, took)
}

// ShareAbove returns the share of the recent durations of a kind that are longer than limit.
// It is 1 if there are none.
func (d *Durations) ShareAbove(kind string, limit time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.kinds[kind]
	if len(samples) == 0 {
		return 1
	}
	longer := 0
	for _, s := range samples {
		if s > limit {
			longer++
		}
	}
	return float64(longer) / float64(len(samples))
}

// Quantile returns the duration that the given share of the recent durations of a kind don't
// exceed, and false if there are fewer than samples. q is above 0 and at most 1, samples at least 1.
func (d *Durations) Quantile(kind string, q float64, samples int) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.kinds[kind]) < samples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(d.kinds[kind]))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1], true
}
