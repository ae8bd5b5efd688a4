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
	n      *Node
	id     uint64
	target configuration.Target
	back   func(ended bool) // gives it to the daemon that lent it; nil for an own one

	mu      sync.Mutex
	streams map[target.StreamID]bool // that may run under it
}

// release gives the permit back. With ended false the attempt may still run;
// the daemon then finds out when it has ended. Releasing twice does no harm.
func (p *permit) release(ended bool) {
	if p.back != nil {
		p.back(ended)
		return
	}
	_ = p.n.loop.Post(func(now time.Time) { p.n.admission.release(now, p, ended) })
}

func (p *permit) note(id target.StreamID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams == nil {
		p.streams = make(map[target.StreamID]bool)
	}
	p.streams[id] = true
}

func (p *permit) noted() []target.StreamID {
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
	reconcilePeriod = 2 * time.Second
	maxReconciling  = 16 // at one time
	// idleSlack is how much older than its age a report may be.
	idleSlack = 5 * time.Second
)

// leftAttempt is an attempt whose end is not known.
type leftAttempt struct {
	permit *permit
	asking bool
}

func (a *admitter) release(now time.Time, p *permit, ended bool) {
	_, left := a.left[p.id]
	if !a.controller.HoldsPermit(p.id) {
		return
	}
	if ended {
		delete(a.left, p.id)
	} else if !left {
		a.left[p.id] = &leftAttempt{permit: p}
	}
	if ended {
		a.loads.AddOwn(now, p.target.Name, -1)
	}
	a.step(now, admission.Release{ID: p.id, Ended: ended})
}

// reconcile asks targets that live to cancel the streams of left attempts: when
// they have, or know none of them, the attempt has ended.
func (a *admitter) reconcile(now time.Time) {
	a.forgetEnded(now)
	asking := 0
	for _, l := range a.left {
		if l.asking {
			asking++
		}
	}
	for _, l := range a.left {
		streams := l.permit.noted()
		if l.asking || len(streams) == 0 || asking >= maxReconciling || a.loads.Down(l.permit.target.Name) {
			continue
		}
		asking++
		l.asking = true
		a.n.spawn(func() {
			ended := cancelAll(a.n.targets.client(l.permit.target.Address), streams)
			_ = a.n.loop.Post(func(now time.Time) {
				l.asking = false
				if ended {
					a.release(now, l.permit, true)
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

// forgetEnded drops left attempts whose permits the controller gave back.
func (a *admitter) forgetEnded(now time.Time) {
	for id, l := range a.left {
		if !a.controller.HoldsPermit(id) {
			delete(a.left, id)
			a.loads.AddOwn(now, l.permit.target.Name, -1)
		}
	}
}

// freeGone gives back the left permits of targets whose VM is gone.
func (a *admitter) freeGone(now time.Time) {
	gone := make(map[string]bool)
	for _, l := range a.left {
		if vm := l.permit.target.VM; vm != "" && a.plan.view.RemovedVMs[vm] {
			gone[l.permit.target.Name] = true
		}
	}
	for name := range gone {
		a.step(now, admission.Gone{Target: name})
	}
	a.forgetEnded(now)
}

// freeIdle gives back the left permits of a target that reports to run nothing.
func (a *admitter) freeIdle(now time.Time, name string, l target.Load) {
	if l.Running+l.Queued > 0 || !a.anyLeft(name) {
		return
	}
	_, at := a.loads.Report(name)
	a.step(now, admission.Restarted{Target: name, Before: a.clock(at.Add(-idleSlack))})
	a.forgetEnded(now)
}

func (a *admitter) anyLeft(name string) bool {
	for _, l := range a.left {
		if l.permit.target.Name == name {
			return true
		}
	}
	return false
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
