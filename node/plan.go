package node

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/routing"
)

// planCheckPeriod is how often the daemon checks whether the configuration or the
// members changed, and whether increased shares may be used.
const planCheckPeriod = 250 * time.Millisecond

// plan is the part of a configuration that this daemon serves, given a view of the
// members. A daemon is a home of a target if it has a share of the target's permits. A
// plan is immutable.
type plan struct {
	snapshot         *configuration.Snapshot
	view             *membership.View
	daemons          int // in the fleet
	fleetFingerprint uint64
	wantedShares     map[string]admission.Share           // by target: this daemon's share of the permits
	targets          map[string]configuration.Target      // targets that this daemon is a home of, by name
	lanes            map[string][]configuration.Target    // by lane: its targets that are in targets
	serviceKinds     map[string]configuration.ServiceKind // by target
	regions          map[string]string                    // by place
	otherHomes       map[string][]string                  // by lane: IDs of the other daemons that are homes of its targets
}

// maxLenderTargets is the maximum number of targets of a lane whose homes become its
// lenders, the daemons from which permits for the lane are borrowed.
const maxLenderTargets = 8

func laneName(service string, system configuration.System) string {
	return admission.LaneName(service, string(system))
}

// newPlan computes this daemon's plan. It runs outside the control loop because its
// duration grows with the number of targets and daemons.
func newPlan(snapshot *configuration.Snapshot, view *membership.View) *plan {
	p := &plan{
		snapshot: snapshot, view: view, wantedShares: make(map[string]admission.Share),
		targets: make(map[string]configuration.Target), lanes: make(map[string][]configuration.Target),
		serviceKinds: make(map[string]configuration.ServiceKind), regions: make(map[string]string),
		otherHomes: make(map[string][]string),
	}
	for _, m := range view.Members {
		p.regions[m.Place] = m.Region
	}
	fleet := fleetOf(view)
	p.daemons, p.fleetFingerprint = fleet.Size(), fleet.Fingerprint()
	for _, t := range snapshot.Document.Targets {
		if s := fleet.Share(t.Name, t.Permits, t.Reserved); s.Permits > 0 {
			p.wantedShares[t.Name], p.targets[t.Name] = s, t
		}
	}
	for _, svc := range snapshot.Document.Services {
		p.addLanes(svc.Name)
		p.addHomes(svc.Name, fleet)
	}
	return p
}

// addHomes records the homes of some targets of each lane, from which this daemon
// borrows when it has no free permit.
func (p *plan) addHomes(service string, fleet *admission.Fleet) {
	svc, _ := p.snapshot.Service(service)
	targetsSeen := make(map[string]int)
	added := make(map[string]bool)
	for _, t := range svc.Targets {
		lane := laneName(service, routing.SystemOf(&t))
		if targetsSeen[lane] == maxLenderTargets {
			continue
		}
		targetsSeen[lane]++
		for _, id := range fleet.Homes(t.Name, t.Permits) {
			if id != p.view.Self.ID && !added[lane+id] {
				added[lane+id] = true
				p.otherHomes[lane] = append(p.otherHomes[lane], id)
			}
		}
	}
}

// lenders returns the other homes of a lane's targets that are alive in view. view may
// be newer than the view of the plan.
func (p *plan) lenders(lane string, view *membership.View) []membership.Member {
	var out []membership.Member
	for _, id := range p.otherHomes[lane] {
		members := view.Members // sorted by ID
		i := sort.Search(len(members), func(i int) bool { return members[i].ID >= id })
		if i < len(members) && members[i].ID == id && members[i].State == membership.Alive {
			out = append(out, members[i])
		}
	}
	return out
}

// fleetOf returns the daemons that may hold permits: all except those that are known
// to have terminated. A silent daemon may only be paused and continue with its
// permits, so its share is not given to others.
func fleetOf(view *membership.View) *admission.Fleet {
	var ids []string
	for _, m := range view.Members {
		if m.State != membership.Gone {
			ids = append(ids, m.ID)
		}
	}
	return admission.NewFleet(view.Self.ID, ids)
}

func (p *plan) addLanes(service string) {
	svc, _ := p.snapshot.Service(service)
	for _, t := range svc.Targets {
		if _, isHome := p.targets[t.Name]; isHome {
			lane := laneName(service, routing.SystemOf(&t))
			p.lanes[lane] = append(p.lanes[lane], t)
			p.serviceKinds[t.Name] = svc.Kind
		}
	}
}

// limitShare returns one daemon's share of a limit that applies to the fleet, rounded
// up; 0 stays 0. The sum of the shares exceeds the limit by less than the number of
// daemons.
func (p *plan) limitShare(limit int) int {
	return (limit + max(1, p.daemons) - 1) / max(1, p.daemons)
}

// replan starts to compute a new plan if the configuration or the fleet changed, and
// puts increased shares into use once the fleet has not changed for the grow delay.
func (a *admitter) replan(now time.Time) {
	a.refreshPlan(now)
	if a.shares.Update(now, a.plan.fleetFingerprint, a.plan.wantedShares) {
		a.configure(now)
	}
	if a.plan.snapshot != nil && a.plan.snapshot.Version > 0 && a.shares.AllInUse(a.plan.wantedShares) {
		a.n.markReady()
	}
}

// markReady reports to the members, once, that this daemon can serve callers: it has
// a configuration and its shares of the targets' permits.
func (n *Node) markReady() {
	if n.wasReady.CompareAndSwap(false, true) {
		n.membership.post(membership.InForce{Version: n.snapshot.Load().Version})
	}
}

func (a *admitter) refreshPlan(now time.Time) {
	snapshot, view := a.n.snapshot.Load(), a.n.view.Load()
	if a.planPending || (a.plan.snapshot == snapshot && a.plan.view == view) {
		return
	}
	if a.plan.snapshot == snapshot && a.plan.fleetFingerprint == fleetOf(view).Fingerprint() {
		next := *a.plan
		next.view = view
		a.plan = &next
		a.releaseOnRemovedVMs(now)
		return
	}
	a.planPending = true
	a.n.spawn(func() {
		next := newPlan(snapshot, view)
		_ = a.n.loop.Post(func(now time.Time) { a.setPlan(now, next) })
	})
}

func (a *admitter) setPlan(now time.Time, next *plan) {
	a.planPending = false
	snapshotChanged := a.plan.snapshot != next.snapshot
	a.plan = next
	isHome := func(name string) bool {
		_, ok := next.targets[name]
		return ok
	}
	a.loads.Retain(isHome)
	a.prefixes.Retain(isHome)
	if a.shares.Update(now, next.fleetFingerprint, next.wantedShares) || snapshotChanged {
		a.configure(now)
	}
	a.releaseOnRemovedVMs(now)
}

// configure passes the shares in use and the targets of lanes to the controller.
func (a *admitter) configure(now time.Time) {
	m := admission.Configure{Lanes: make(map[string][]string)}
	for _, t := range a.plan.snapshot.Document.Targets {
		if s := a.shares.InUse(t.Name); s.Permits > 0 {
			m.Targets = append(m.Targets, admission.TargetLimit{Name: t.Name, Permits: s.Permits, Reserved: s.Reserved})
		}
	}
	for lane, targets := range a.plan.lanes {
		for _, t := range targets {
			m.Lanes[lane] = append(m.Lanes[lane], t.Name)
		}
	}
	a.step(now, m)
	a.blocked = make(map[string]bool)
	a.updateBlocked(now)
}
