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

// leaseKind is the kind of the platform objects that contain leases, one per service.
const leaseKind = "vanillaroad-lease"

// leaseTickPeriod is how often leases check their timers.
const leaseTickPeriod = 200 * time.Millisecond

// maxCandidates bounds the daemons that read a service's lease object, so that the
// number of calls to the platform doesn't grow with the fleet.
const maxCandidates = 3

// placementRunner holds this daemon's leases on services and sends orders to the
// targets of the services whose lease it holds. Its maps are owned by the control
// loop.
type placementRunner struct {
	n        *Node
	ctx      context.Context
	leases   map[string]*placement.Lease
	planners map[string]*placement.Planner
	stopped  bool // releaseLeases was called
}

func (n *Node) buildPlacement() {
	n.placement = &placementRunner{n: n, leases: make(map[string]*placement.Lease), planners: make(map[string]*placement.Planner)}
	n.loop.Every(leaseTickPeriod, n.placement.tick)
}

func (n *Node) runPlacement(ctx context.Context) {
	_ = n.loop.Post(func(time.Time) { n.placement.ctx = ctx })
}

// managedServices returns the names of the generation services with a target that
// has a wanted state, sorted.
func managedServices(s *configuration.Snapshot) []string {
	var out []string
	for _, svc := range s.Document.Services {
		if v, ok := s.Service(svc.Name); ok && svc.Kind == configuration.Generation && v.HasManagedTargets() {
			out = append(out, svc.Name)
		}
	}
	sort.Strings(out)
	return out
}

// tick creates and steps the leases of managed services, and releases those of
// services that are no longer managed. It must run on the control loop.
func (o *placementRunner) tick(now time.Time) {
	if o.stopped || o.ctx == nil {
		return
	}
	managed := make(map[string]bool)
	for _, name := range managedServices(o.n.snapshot.Load()) {
		managed[name] = true
		if o.leases[name] == nil {
			candidate := placement.Candidate{ID: o.n.self.ID, Incarnation: o.n.self.Incarnation}
			o.leases[name] = placement.NewLease(o.n.settings.Placement, candidate)
			o.planners[name] = placement.NewPlanner(o.n.settings.Placement)
		}
		o.step(now, name, placement.LeaseTick{Rank: o.rank(name)})
	}
	for name, lease := range o.leases {
		if !managed[name] {
			o.execute(name, lease.Release())
			delete(o.leases, name)
			delete(o.planners, name)
		}
	}
}

// rank returns this daemon's position among the candidates of a service, starting at
// 0, by rendezvous hashing over the live daemons. It is negative if this daemon is no
// candidate.
func (o *placementRunner) rank(service string) int {
	score := func(id string) uint64 { return xxhash.Sum64String(service + "\x00" + id) }
	view := o.n.view.Load()
	ownScore, rank, live := score(o.n.self.ID), 0, false
	for _, m := range view.Live() {
		if m.ID == o.n.self.ID {
			live = true
		} else if score(m.ID) > ownScore {
			rank++
		}
	}
	if !live || view.Isolated || rank >= maxCandidates {
		return -1
	}
	return rank
}

func (o *placementRunner) step(now time.Time, name string, in placement.LeaseInput) {
	lease := o.leases[name]
	if lease == nil {
		return
	}
	o.execute(name, lease.Step(now, in))
}

func (o *placementRunner) execute(name string, decisions []placement.LeaseDecision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case placement.ReadLease:
			o.n.spawn(func() { o.readLease(name) })
		case placement.WriteLease:
			o.n.spawn(func() { o.writeLease(name, d) })
		case placement.LeaseAcquired:
			o.n.events.Record(event.LeaseAcquired, "", event.F("service", name), event.F("fencing", strconv.FormatInt(d.Fencing, 10)))
			o.planners[name].Reset()
			o.n.spawn(func() { o.runPlanner(name, d.Fencing) })
		case placement.LeaseLost:
			o.n.events.Record(event.LeaseLost, "", event.F("service", name))
		}
	}
}

func (o *placementRunner) readLease(name string) {
	object, err := o.n.platform.Get(o.ctx, leaseKind, name)
	in := placement.LeaseReadResult{Found: err == nil, Version: object.Version}
	if err == nil {
		err = json.Unmarshal(object.Value, &in.Record)
	}
	in.Failed = err != nil && !errors.Is(err, objectstore.ErrNotFound)
	_ = o.n.loop.Post(func(now time.Time) { o.step(now, name, in) })
}

func (o *placementRunner) writeLease(name string, d placement.WriteLease) {
	value, err := json.Marshal(d.Record)
	if err != nil {
		return
	}
	object, err := o.n.platform.Put(o.ctx, leaseKind, name, value, d.Expected)
	in := placement.LeaseWriteResult{WriteID: d.Record.WriteID, Version: object.Version, Outcome: placement.ClassifyWrite(err)}
	_ = o.n.loop.Post(func(now time.Time) { o.step(now, name, in) })
}

// releaseLeases releases all leases for a planned stop, so that other daemons need
// not wait until they expire.
func (o *placementRunner) releaseLeases() {
	_ = o.n.loop.Post(func(time.Time) {
		o.stopped = true
		for name, lease := range o.leases {
			o.execute(name, lease.Release())
		}
	})
}
