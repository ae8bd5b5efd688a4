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

// placementPeriod is the pause between two plans for a service whose lease is held.
const placementPeriod = time.Second

// maxConcurrentReports bounds the load reports that are read concurrently.
const maxConcurrentReports = 16

// runPlanner plans and sends orders to a service's targets while this daemon holds
// the lease with this fencing number.
func (o *placementRunner) runPlanner(name string, fencing int64) {
	for o.ctx.Err() == nil {
		plan, leaseHeld := o.plan(name, fencing, o.readReports(name))
		if !leaseHeld {
			return
		}
		for _, order := range plan {
			o.sendOrder(name, fencing, order)
		}
		pause.For(o.ctx, placementPeriod)
	}
}

// readReports reads the load report of each target of a service.
func (o *placementRunner) readReports(name string) []placement.TargetState {
	svc, ok := o.n.snapshot.Load().Service(name)
	if !ok {
		return nil
	}
	view := o.n.view.Load()
	states := make([]placement.TargetState, len(svc.Targets))
	var g errgroup.Group
	g.SetLimit(maxConcurrentReports)
	for i, t := range svc.Targets {
		states[i] = placement.TargetState{Target: t, Leaving: t.Leaving || (t.VM != "" && view.LeavingVMs[t.VM])}
		g.Go(func() error {
			report, err := o.n.targets.client(t.Address).Load(o.ctx)
			states[i].Report, states[i].Reported = report, err == nil
			states[i].Leaving = states[i].Leaving || report.Leaving
			return nil
		})
	}
	_ = g.Wait() // if a read failed, Reported is false
	return states
}

// plan runs the planner on the control loop. leaseHeld is false once the lease with
// this fencing number is lost or the service is no longer managed.
func (o *placementRunner) plan(name string, fencing int64, states []placement.TargetState) (plan []placement.TargetOrder, leaseHeld bool) {
	type result struct {
		plan      []placement.TargetOrder
		leaseHeld bool
	}
	r, err := control.Call(o.ctx, o.n.loop, func(now time.Time) result {
		lease, planner := o.leases[name], o.planners[name]
		snapshot := o.n.snapshot.Load()
		svc, ok := snapshot.Service(name)
		if lease == nil || !ok {
			return result{}
		}
		current, allowUnfenced, valid := lease.Holds(now)
		if !valid || current != fencing {
			return result{leaseHeld: lease.Fencing() == fencing}
		}
		services := managedServices(snapshot)
		rank := slices.Index(services, name)
		if rank < 0 {
			return result{}
		}
		maxLoads := placement.LoadShare(o.n.settings.Placement.MaxLoads, len(services), rank)
		in := placement.PlanInput{Service: svc, Targets: states, Fencing: fencing, AllowUnfenced: allowUnfenced, MaxLoads: maxLoads}
		return result{plan: planner.Plan(now, in, newRandom()), leaseHeld: true}
	})
	return r.plan, err == nil && r.leaseHeld
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// sendOrder sends one order. Just before, it checks that the lease with this fencing
// number is still held.
func (o *placementRunner) sendOrder(name string, fencing int64, order placement.TargetOrder) {
	leaseHeld, err := control.Call(o.ctx, o.n.loop, func(now time.Time) bool {
		lease := o.leases[name]
		if lease == nil {
			return false
		}
		current, _, valid := lease.Holds(now)
		return valid && current == fencing
	})
	t, found := o.n.snapshot.Load().Target(order.Target)
	if err != nil || !leaseHeld || !found {
		o.recordFailure(name, order.Target, "lease no longer held")
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.n.settings.Placement.OrderTimeout.Std())
	defer cancel()
	if err := o.n.targets.client(t.Address).Order(ctx, order.Order); err != nil {
		o.recordFailure(name, order.Target, err.Error())
		return
	}
	o.n.events.Record(event.OrderSent, "", event.F("target", order.Target), event.F("service", name))
}

// recordFailure records that an order failed, so that the planner retries it with
// backoff.
func (o *placementRunner) recordFailure(service, target, reason string) {
	o.n.events.Record(event.OrderFailed, "", event.F("target", target), event.F("service", service), event.F("error", reason))
	_ = o.n.loop.Post(func(now time.Time) {
		if p := o.planners[service]; p != nil {
			p.RecordFailure(now, target, newRandom())
		}
	})
}
