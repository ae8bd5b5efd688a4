package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/placement"
)

// orderPeriod is the time between two looks at the targets of a held service.
const orderPeriod = time.Second

// maxReportCalls bounds the load reports that are read at once.
const maxReportCalls = 16

// run orders a service's targets about while this daemon holds its lease.
func (o *orders) run(name string, fencing int64) {
	for o.ctx.Err() == nil {
		plan, held := o.plan(name, fencing, o.reports(name))
		if !held {
			return
		}
		for _, s := range plan {
			o.send(name, fencing, s)
		}
		pause.For(o.ctx, orderPeriod)
	}
}

// reports reads the newest report of each ordered target of a service.
func (o *orders) reports(name string) []placement.TargetState {
	svc, ok := o.n.snapshot.Load().Service(name)
	if !ok {
		return nil
	}
	view := o.n.view.Load()
	out := make([]placement.TargetState, len(svc.Targets))
	var g errgroup.Group
	g.SetLimit(maxReportCalls)
	for i, t := range svc.Targets {
		out[i] = placement.TargetState{Target: t, Leaving: t.Leaving || (t.VM != "" && view.LeavingVMs[t.VM])}
		g.Go(func() error {
			report, err := o.n.targets.client(t.Address).Load(o.ctx)
			out[i].Report, out[i].Reported = report, err == nil
			out[i].Leaving = out[i].Leaving || report.Leaving
			return nil
		})
	}
	_ = g.Wait() // a failed read is a target that is not known
	return out
}

// plan asks the planner on the control loop. held is false once the lease with
// this fencing number is gone.
func (o *orders) plan(name string, fencing int64, states []placement.TargetState) (plan []placement.TargetOrder, held bool) {
	type result struct {
		plan []placement.TargetOrder
		held bool
	}
	r, err := control.Call(o.ctx, o.n.loop, func(now time.Time) result {
		lease, planner := o.leases[name], o.planners[name]
		snapshot := o.n.snapshot.Load()
		svc, ok := snapshot.Service(name)
		if lease == nil || !ok {
			return result{}
		}
		current, unchecked, holds := lease.Holds(now)
		if !holds || current != fencing {
			return result{held: lease.Fencing() == fencing}
		}
		services := orderedServices(snapshot)
		rank := slices.Index(services, name)
		if rank < 0 {
			return result{}
		}
		loads := placement.LoadShare(o.n.settings.Placement.MaxLoads, len(services), rank)
		in := placement.PlanInput{Service: svc, Targets: states, Fencing: fencing, AllowUnfenced: unchecked, MaxLoads: loads}
		return result{plan: planner.Plan(now, in, newRandom()), held: true}
	})
	return r.plan, err == nil && r.held
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// send sends one order, if the lease is still held just before.
func (o *orders) send(name string, fencing int64, s placement.TargetOrder) {
	held, err := control.Call(o.ctx, o.n.loop, func(now time.Time) bool {
		lease := o.leases[name]
		if lease == nil {
			return false
		}
		current, _, ok := lease.Holds(now)
		return ok && current == fencing
	})
	t, known := o.n.snapshot.Load().Target(s.Target)
	if err != nil || !held || !known {
		o.failed(name, s.Target, "lease no longer held")
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.n.settings.Placement.OrderTimeout.Std())
	defer cancel()
	if err := o.n.targets.client(t.Address).Order(ctx, s.Order); err != nil {
		o.failed(name, s.Target, err.Error())
		return
	}
	o.n.events.Record(event.OrderSent, "", event.F("target", s.Target), event.F("service", name))
}

func (o *orders) failed(service, target, why string) {
	o.n.events.Record(event.OrderFailed, "", event.F("target", target), event.F("service", service), event.F("error", why))
	_ = o.n.loop.Post(func(now time.Time) {
		if p := o.planners[service]; p != nil {
			p.RecordFailure(now, target, newRandom())
		}
	})
}
