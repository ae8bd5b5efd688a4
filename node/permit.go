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
	returnToLender func(ended bool) // gives it to the daemon that lent it; nil for an own one

	mu      sync.Mutex
	streams map[target.StreamID]bool // that may run under it
}

// release gives the permit back. With ended false the attempt may still run;
// the daemon then finds out when it has ended. Releasing twice does no harm.
func (p *permit) release(ended bool) {
	if p.returnToLender != nil {
		p.returnToLender(ended)
		return
	}
	_ = p.n.loop.Post(func(now time.Time) { p.n.admission.release(now, p, ended) })
}

func (p *permit) addStream(id target.StreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams == nil {
		p.streams = make(map[target.StreamID]bool)
	}
	p.streams[id] = true
}

func (p *permit) streamIDs() []target.StreamID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []target.StreamID
	for id := range p.streams {
		out = append(out, id)
	}
	return out
}

// Reconciling left attempts.
const (
	reconcilePeriod         = 2 * time.Second
	maxConcurrentReconciles = 16 // at one time
	// reportAgeSlack is how much older than its age a report may be.
	reportAgeSlack = 5 * time.Second
)

// abandonedAttempt is an attempt whose end is not known.
type abandonedAttempt struct {
	permit    *permit
	canceling bool
}

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

// reconcile asks targets that live to cancel the streams of left attempts: when
// they have, or know none of them, the attempt has ended.
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

// cancelAll tells whether all streams are known to have ended.
func cancelAll(client *target.Client, streams []target.StreamID) bool {
	for _, id := range streams {
		if err := client.Cancel(context.Background(), id); err != nil && !errors.Is(err, target.ErrNoStream) {
			return false
		}
	}
	return true
}

// dropReleased drops left attempts whose permits the controller gave back.
func (a *admitter) dropReleased(now time.Time) {
	for id, attempt := range a.abandoned {
		if !a.controller.HoldsPermit(id) {
			delete(a.abandoned, id)
			a.loads.AddOwn(now, attempt.permit.target.Name, -1)
		}
	}
}

// releaseOnRemovedVMs gives back the left permits of targets whose VM is gone.
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

// releaseOnIdleTarget gives back the left permits of a target that reports to run nothing.
func (a *admitter) releaseOnIdleTarget(now time.Time, name string, load target.Load) {
	if load.Running+load.Queued > 0 || !a.hasAbandoned(name) {
		return
	}
	_, reportedAt := a.loads.Report(name)
	a.step(now, admission.Restarted{Target: name, Before: a.wallTime(reportedAt.Add(-reportAgeSlack))})
	a.dropReleased(now)
}

func (a *admitter) hasAbandoned(name string) bool {
	for _, attempt := range a.abandoned {
		if attempt.permit.target.Name == name {
			return true
		}
	}
	return false
}

func formatMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
