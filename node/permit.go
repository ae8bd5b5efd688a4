package node

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/target"
)

// permit is the right to run one attempt on a target.
type permit struct {
	n              *Node
	id             uint64
	target         configuration.Target
	returnToLender func(ended bool) // returns a borrowed permit to its lender; nil if it is not borrowed

	mu      sync.Mutex
	streams map[target.StreamID]bool // streams that may run under this permit
}

// release releases the permit. If ended is false, the attempt may still run: the
// permit stays in use until the daemon knows that the attempt has ended. Further
// calls have no effect.
func (p *permit) release(ended bool) {
	if p.returnToLender != nil {
		p.returnToLender(ended)
		return
	}
	_ = p.n.loop.Post(func(now time.Time) { p.n.admission.release(now, p, ended) })
}

// addStream records that a stream may run under the permit.
func (p *permit) addStream(id target.StreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams == nil {
		p.streams = make(map[target.StreamID]bool)
	}
	p.streams[id] = true
}

// streamIDs returns the streams that may run under the permit.
func (p *permit) streamIDs() []target.StreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []target.StreamID
	for id := range p.streams {
		out = append(out, id)
	}
	return out
}

// Limits of reconciling abandoned attempts.
const (
	reconcilePeriod         = 2 * time.Second
	maxConcurrentReconciles = 16
	// reportAgeSlack is subtracted from the time of a load report, because the
	// report may be older than its stated age.
	reportAgeSlack = 5 * time.Second
)

// abandonedAttempt is an attempt that was given up but may still run. Its permit stays
// in use until it has ended.
type abandonedAttempt struct {
	permit    *permit
	canceling bool // its streams are being canceled
}

// release releases a permit of this daemon, see permit.release.
func (a *admitter) release(now time.Time, p *permit, ended bool) {
	_, wasAbandoned := a.abandoned[p.id]
	if !a.controller.HoldsPermit(p.id) {
		return
	}
	if ended {
		delete(a.abandoned, p.id)
	} else if !wasAbandoned {
		a.abandoned[p.id] = &abandonedAttempt{permit: p}
	}
	if ended {
		a.loads.AddOwn(now, p.target.Name, -1)
	}
	a.step(now, admission.Release{ID: p.id, Ended: ended})
}

// reconcile cancels the streams of abandoned attempts on targets that are not down.
// An attempt has ended when its target has canceled all of its streams or doesn't
// know them.
func (a *admitter) reconcile(now time.Time) {
	a.dropReleased(now)
	running := 0
	for _, attempt := range a.abandoned {
		if attempt.canceling {
			running++
		}
	}
	for _, attempt := range a.abandoned {
		streams := attempt.permit.streamIDs()
		if attempt.canceling || len(streams) == 0 || running >= maxConcurrentReconciles || a.loads.Down(attempt.permit.target.Name) {
			continue
		}
		running++
		attempt.canceling = true
		a.n.spawn(func() {
			ended := cancelAll(a.n.targets.client(attempt.permit.target.Address), streams)
			_ = a.n.loop.Post(func(now time.Time) {
				attempt.canceling = false
				if ended {
					a.release(now, attempt.permit, true)
				}
			})
		})
	}
}

// cancelAll cancels streams and reports whether all are known to have ended.
func cancelAll(client *target.Client, streams []target.StreamID) bool {
	for _, id := range streams {
		if err := client.Cancel(context.Background(), id); err != nil && !errors.Is(err, target.ErrNoStream) {
			return false
		}
	}
	return true
}

// dropReleased drops the abandoned attempts whose permits the controller has
// released.
func (a *admitter) dropReleased(now time.Time) {
	for id, attempt := range a.abandoned {
		if !a.controller.HoldsPermit(id) {
			delete(a.abandoned, id)
			a.loads.AddOwn(now, attempt.permit.target.Name, -1)
		}
	}
}

// releaseOnRemovedVMs releases the permits of abandoned attempts on targets whose VM
// was removed.
func (a *admitter) releaseOnRemovedVMs(now time.Time) {
	removed := make(map[string]bool)
	for _, attempt := range a.abandoned {
		if vm := attempt.permit.target.VM; vm != "" && a.plan.view.RemovedVMs[vm] {
			removed[attempt.permit.target.Name] = true
		}
	}
	for name := range removed {
		a.step(now, admission.Gone{Target: name})
	}
	a.dropReleased(now)
}

// releaseOnIdleTarget releases the permits of abandoned attempts on a target whose
// report contains no running or queued request.
func (a *admitter) releaseOnIdleTarget(now time.Time, name string, load target.Load) {
	if load.Running+load.Queued > 0 || !a.hasAbandoned(name) {
		return
	}
	_, reportedAt := a.loads.Report(name)
	a.step(now, admission.Restarted{Target: name, Before: a.wallTime(reportedAt.Add(-reportAgeSlack))})
	a.dropReleased(now)
}

// hasAbandoned reports whether a target may run an abandoned attempt.
func (a *admitter) hasAbandoned(name string) bool {
	for _, attempt := range a.abandoned {
		if attempt.permit.target.Name == name {
			return true
		}
	}
	return false
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
