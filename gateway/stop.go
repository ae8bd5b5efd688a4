package gateway

import (
	"sync"
	"time"
)

// routeDurations records how long the latest requests of each route took that were
// answered completely and with success.
type routeDurations struct {
	mu     sync.Mutex
	routes map[string][]time.Duration // oldest first, at most durationSamples each
}

// durationSamples is the number of requests of a route whose durations are kept.
const durationSamples = 32

func newRouteDurations() *routeDurations {
	return &routeDurations{routes: make(map[string][]time.Duration)}
}

// record adds the duration of a request.
func (d *routeDurations) record(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.routes[route]
	if len(samples) == durationSamples {
		copy(samples, samples[1:])
		samples = samples[:durationSamples-1]
	}
	d.routes[route] = append(samples, took)
}

// shareAbove returns the share of a route's recent requests that took longer than limit.
// It is 1 if there are none.
func (d *routeDurations) shareAbove(route string, limit time.Duration) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	samples := d.routes[route]
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

// stopPlan holds the times of a planned stop and decides which new requests are served
// meanwhile. Others are refused, so that their callers go to another daemon at once
// instead of losing an answer that has begun.
type stopPlan struct {
	refuseUnsure time.Time // from then on only requests are served that certainly end in time
	refuseAll    time.Time
	deadline     time.Time // running requests are canceled
	// alone reports whether callers know of no other daemon that serves; nil for never.
	alone func() bool
}

const (
	// unsureFraction is the fraction of the grace period in which requests are served
	// that probably, but not certainly, end in time. Those sent later would have been
	// cut after a short time if they didn't.
	unsureFraction = 1.0 / 4
	// maxOverrunShare is the largest share of a route's recent requests that took longer
	// than what is left for a request to count as probably in time.
	maxOverrunShare = 0.1
	// restartDelay is about the time from the exit of a daemon until callers can use it
	// again.
	restartDelay = 600 * time.Millisecond
)

// newStopPlan returns the plan of a stop that starts now.
func newStopPlan(now time.Time, grace, directoryTTL time.Duration) *stopPlan {
	return &stopPlan{
		refuseUnsure: now.Add(time.Duration(unsureFraction * float64(grace))),
		refuseAll:    now.Add(min(staleDirectoryTTLs*directoryTTL, grace/2)),
		deadline:     now.Add(grace - shutdownReserve),
	}
}

// stopsAt returns the deadline of the planned stop, zero if there is none.
func (g *Gateway) stopsAt() time.Time {
	if p := g.stopping.Load(); p != nil {
		return p.deadline
	}
	return time.Time{}
}

// admits reports whether to serve a request that must be answered by answerBy, which is
// zero if it has no deadline.
func (p *stopPlan) admits(now, answerBy time.Time, route string, durations *routeDurations) bool {
	switch {
	case !now.Before(p.refuseAll):
		return false
	case !answerBy.IsZero() && answerBy.Before(p.deadline):
		return true
	case !now.Before(p.refuseUnsure):
		return false
	}
	return durations.shareAbove(route, p.deadline.Sub(now)) <= maxOverrunShare
}

// retryAfter returns the delay after which a caller that is refused may try again. If all
// daemons stop, an earlier retry would be refused by another one of them.
func (p *stopPlan) retryAfter(now time.Time) time.Duration {
	if !p.isAlone() {
		return drainRetryAfter
	}
	return p.deadline.Sub(now) + shutdownReserve + restartDelay
}

func (p *stopPlan) isAlone() bool { return p.alone != nil && p.alone() }
