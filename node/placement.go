package node

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/placement"
)

// leaseKind is the kind of the platform objects that hold leases, one a service.
const leaseKind = "vanillaroad-lease"

// leaseTick is how often leases look at the time.
const leaseTick = 200 * time.Millisecond

// maxCandidates bounds the daemons that read a service's lease object, so that
// the platform's calls don't grow with the fleet.
const maxCandidates = 3

// orders holds the leases of this daemon and orders targets about. Its maps
// are owned by the control loop.
type orders struct {
	n        *Node
	ctx      context.Context
	leases   map[string]*placement.Lease
	planners map[string]*placement.Planner
	stopped  bool
}

func (n *Node) buildPlacement() {
	n.orders = &orders{n: n, leases: make(map[string]*placement.Lease), planners: make(map[string]*placement.Planner)}
	n.loop.Every(leaseTick, n.orders.tick)
}

func (n *Node) runPlacement(ctx context.Context) {
	_ = n.loop.Post(func(time.Time) { n.orders.ctx = ctx })
}

// orderedServices returns the generation services of which some target has a
// wanted state, sorted by name.
func orderedServices(s *configuration.Snapshot) []string {
	var out []string
	for _, svc := range s.Document.Services {
		if v, ok := s.Service(svc.Name); ok && svc.Kind == configuration.Generation && v.HasManagedTargets() {
			out = append(out, svc.Name)
		}
	}
	sort.Strings(out)
	return out
}

// tick runs on the control loop.
func (o *orders) tick(now time.Time) {
	if o.stopped || o.ctx == nil {
		return
	}
	wanted := make(map[string]bool)
	for _, name := range orderedServices(o.n.snapshot.Load()) {
		wanted[name] = true
		if o.leases[name] == nil {
			owner := placement.Candidate{ID: o.n.self.ID, Incarnation: o.n.self.Incarnation}
			o.leases[name] = placement.NewLease(o.n.settings.Placement, owner)
			o.planners[name] = placement.NewPlanner(o.n.settings.Placement)
		}
		o.step(now, name, placement.LeaseTick{Rank: o.rank(name)})
	}
	for name, lease := range o.leases {
		if !wanted[name] {
			o.carryOut(name, lease.Release())
			delete(o.leases, name)
			delete(o.planners, name)
		}
	}
}

// rank returns this daemon's place among the candidates of a service, by
// rendezvous hashing over the live daemons; negative if it is none.
func (o *orders) rank(service string) int {
	score := func(id string) uint64 { return xxhash.Sum64String(service + "\x00" + id) }
	view := o.n.view.Load()
	self, rank, live := score(o.n.self.ID), 0, false
	for _, m := range view.Live() {
		if m.ID == o.n.self.ID {
			live = true
		} else if score(m.ID) > self {
			rank++
		}
	}
	if !live || view.Isolated || rank >= maxCandidates {
		return -1
	}
	return rank
}

func (o *orders) step(now time.Time, name string, in placement.LeaseInput) {
	lease := o.leases[name]
	if lease == nil {
		return
	}
	o.carryOut(name, lease.Step(now, in))
}

func (o *orders) carryOut(name string, ds []placement.LeaseDecision) {
	for _, d := range ds {
		switch d := d.(type) {
		case placement.ReadLease:
			o.n.spawn(func() { o.read(name) })
		case placement.WriteLease:
			o.n.spawn(func() { o.write(name, d) })
		case placement.LeaseAcquired:
			o.n.events.Record(event.LeaseAcquired, "", event.F("service", name), event.F("fencing", strconv.FormatInt(d.Fencing, 10)))
			o.planners[name].Reset()
			o.n.spawn(func() { o.run(name, d.Fencing) })
		case placement.LeaseLost:
			o.n.events.Record(event.LeaseLost, "", event.F("service", name))
		}
	}
}

func (o *orders) read(name string) {
	object, err := o.n.platform.Get(o.ctx, leaseKind, name)
	in := placement.LeaseReadResult{Found: err == nil, Version: object.Version}
	if err == nil {
		err = json.Unmarshal(object.Value, &in.Record)
	}
	in.Failed = err != nil && !errors.Is(err, objectstore.ErrNotFound)
	_ = o.n.loop.Post(func(now time.Time) { o.step(now, name, in) })
}

func (o *orders) write(name string, d placement.WriteLease) {
	value, err := json.Marshal(d.Record)
	if err != nil {
		return
	}
	object, err := o.n.platform.Put(o.ctx, leaseKind, name, value, d.Expected)
	in := placement.LeaseWriteResult{WriteID: d.Record.WriteID, Version: object.Version, Outcome: placement.ClassifyWrite(err)}
	_ = o.n.loop.Post(func(now time.Time) { o.step(now, name, in) })
}

// release gives all leases up at a planned stop, so that others need not wait.
func (o *orders) release() {
	_ = o.n.loop.Post(func(time.Time) {
		o.stopped = true
		for name, lease := range o.leases {
			o.carryOut(name, lease.Release())
		}
	})
}
