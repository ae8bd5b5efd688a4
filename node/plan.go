package node

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/routing"
)

// planPeriod is how often the daemon looks whether configuration or members
// changed, and whether greater shares may be used.
const planPeriod = 250 * time.Millisecond

// plan is what this daemon serves by one configuration version and one view. It
// is immutable.
type plan struct {
	snapshot *configuration.Snapshot
	view     *membership.View
	daemons  int
	fleet    uint64
	wanted   map[string]admission.Share
	targets  map[string]configuration.Target // those that this daemon is a home of
	lanes    map[string][]configuration.Target
	kinds    map[string]configuration.ServiceKind // of targets
	regions  map[string]string                    // by place
	homes    map[string][]string                  // ids of homes of each lane's targets, without this daemon
}

// lenderTargets is how many targets of a lane are looked at for lenders.
const lenderTargets = 8

func laneOf(service string, side configuration.System) string {
	return admission.LaneName(service, string(side))
}

// newPlan works out this daemon's part. It takes time with the number of
// targets and daemons, so that it runs beside the control loop.
func newPlan(snapshot *configuration.Snapshot, view *membership.View) *plan {
	p := &plan{
		snapshot: snapshot, view: view, wanted: make(map[string]admission.Share),
		targets: make(map[string]configuration.Target), lanes: make(map[string][]configuration.Target),
		kinds: make(map[string]configuration.ServiceKind), regions: make(map[string]string),
		homes: make(map[string][]string),
	}
	for _, m := range view.Members {
		p.regions[m.Place] = m.Region
	}
	fleet := fleetOf(view)
	p.daemons, p.fleet = fleet.Size(), fleet.Fingerprint()
	for _, t := range snapshot.Document.Targets {
		if s := fleet.Share(t.Name, t.Permits, t.Reserved); s.Permits > 0 {
			p.wanted[t.Name], p.targets[t.Name] = s, t
		}
	}
	for _, svc := range snapshot.Document.Services {
		p.addLanes(svc.Name)
		p.addHomes(svc.Name, fleet)
	}
	return p
}

// addHomes notes the homes of some targets of each lane: who to ask when this
// daemon has no permit.
func (p *plan) addHomes(service string, fleet *admission.Fleet) {
	svc, _ := p.snapshot.Service(service)
	looked := make(map[string]int)
	known := make(map[string]bool)
	for _, t := range svc.Targets {
		lane := laneOf(service, routing.SideOf(&t))
		if looked[lane] == lenderTargets {
			continue
		}
		looked[lane]++
		for _, id := range fleet.Homes(t.Name, t.Permits) {
			if id != p.view.Self.ID && !known[lane+id] {
				known[lane+id] = true
				p.homes[lane] = append(p.homes[lane], id)
			}
		}
	}
}

// lenders returns the homes of a lane's targets that serve by a view, which may
// be newer than the plan's.
func (p *plan) lenders(lane string, view *membership.View) []membership.Member {
	var out []membership.Member
	for _, id := range p.homes[lane] {
		members := view.Members // sorted by id
		i := sort.Search(len(members), func(i int) bool { return members[i].ID >= id })
		if i < len(members) && members[i].ID == id && members[i].State == membership.Alive {
			out = append(out, members[i])
		}
	}
	return out
}

// fleetOf returns the daemons that may hold permits: all but those that have
// certainly ended. One that is only silent may be paused and wake up with its
// permits, so that its share is not given to others.
func fleetOf(view *membership.View) *admission.Fleet {
	var present []string
	for _, m := range view.Members {
		if m.State != membership.Gone {
			present = append(present, m.ID)
		}
	}
	return admission.NewFleet(view.Self.ID, present)
}

func (p *plan) addLanes(service string) {
	svc, _ := p.snapshot.Service(service)
	for _, t := range svc.Targets {
		if _, home := p.targets[t.Name]; home {
			lane := laneOf(service, routing.SideOf(&t))
			p.lanes[lane] = append(p.lanes[lane], t)
			p.kinds[t.Name] = svc.Kind
		}
	}
}

// part returns one daemon's part of a limit for the whole system, rounded up;
// 0 stays 0. All parts together exceed the limit by less than the daemons.
func (p *plan) part(limit int) int {
	return (limit + max(1, p.daemons) - 1) / max(1, p.daemons)
}

// replan starts working out a plan when configuration or fleet changed, and puts
// shares in use that have been wanted for long enough.
func (a *admitter) replan(now time.Time) {
	a.follow(now)
	if a.shares.Update(now, a.plan.fleet, a.plan.wanted) {
		a.configure(now)
	}
	if a.plan.snapshot != nil && a.plan.snapshot.Version > 0 && a.shares.AllInUse(a.plan.wanted) {
		a.n.ready()
	}
}

// ready tells the members, once, that this daemon can serve callers: it has a
// configuration and its share of the targets' permits.
func (n *Node) ready() {
	if n.served.CompareAndSwap(false, true) {
		n.members.tell(membership.InForce{Version: n.snapshot.Load().Version})
	}
}

func (a *admitter) follow(now time.Time) {
	snapshot, view := a.n.snapshot.Load(), a.n.view.Load()
	if a.planning || (a.plan.snapshot == snapshot && a.plan.view == view) {
		return
	}
	if a.plan.snapshot == snapshot && a.plan.fleet == fleetOf(view).Fingerprint() {
		next := *a.plan
		next.view = view
		a.plan = &next
		a.freeGone(now)
		return
	}
	a.planning = true
	a.n.spawn(func() {
		next := newPlan(snapshot, view)
		_ = a.n.loop.Post(func(now time.Time) { a.adopt(now, next) })
	})
}

func (a *admitter) adopt(now time.Time, next *plan) {
	a.planning = false
	changed := a.plan.snapshot != next.snapshot
	a.plan = next
	home := func(name string) bool {
		_, ok := next.targets[name]
		return ok
	}
	a.loads.Retain(home)
	a.prefixes.Retain(home)
	if a.shares.Update(now, next.fleet, next.wanted) || changed {
		a.configure(now)
	}
	a.freeGone(now)
}

// configure tells the controller the shares in use and the targets of lanes.
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
	a.block(now)
}
