package gateway

import (
	"time"

	"github.com/vanillaroad/vanillaroad/internal/recent"
)

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
func (p *stopPlan) admits(now, answerBy time.Time, route string, durations *recent.Durations) bool {
	switch {
	case !now.Before(p.refuseAll):
		return false
	case !answerBy.IsZero() && answerBy.Before(p.deadline):
		return true
	case !now.Before(p.refuseUnsure):
		return false
	}
	return durations.ShareAbove(route, p.deadline.Sub(now)) <= maxOverrunShare
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
