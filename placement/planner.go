package placement

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/target"
)

// TargetState is one target with what it last reported.
type TargetState struct {
	Target   configuration.Target
	Report   target.Load
	Reported bool // a report was read lately
	Leaving  bool // from any source
}

// canServe tells whether the target can serve a generation service now.
func (t TargetState) canServe(s *configuration.ServiceView) bool {
	return t.Reported && !t.Leaving && t.Report.Models[s.Model] == s.Version
}

// upToDate tells whether the target reports what is wanted.
func (t TargetState) upToDate() bool {
	return maps.Equal(t.Target.Wanted, t.Report.Models) && (t.Target.WantedRole == "" || t.Target.WantedRole == t.Report.Role)
}

// orderable tells whether the target is to be ordered about at all.
func (t TargetState) orderable() bool {
	return t.Target.Wanted != nil && t.Target.System != configuration.OldSystem && t.Reported && !t.Leaving
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Service *configuration.ServiceView
	Targets []TargetState // the service's targets, in document order
	// Fencing is the number of the lease held; Unchecked tells whether targets
	// that ignore it may be ordered.
	Fencing       int64
	AllowUnfenced bool
	// MaxLoads bounds the targets of this service that load at once.
	MaxLoads int
}

// TargetOrder is one order to one target.
type TargetOrder struct {
	Target string
	Order  target.Order
}

// Planner decides which orders to send for one service.
type Planner struct {
	settings Settings
	loading  map[string]pendingLoad
	backoff  map[string]backoff
}

// pendingLoad is an order that was sent and is not yet reported as done.
type pendingLoad struct {
	sentAt      time.Time
	wanted      map[string]string
	incarnation uint64
}

type backoff struct {
	count     int
	notBefore time.Time
}

// NewPlanner returns a planner that knows of no order.
func NewPlanner(s Settings) *Planner {
	return &Planner{settings: s, loading: make(map[string]pendingLoad), backoff: make(map[string]backoff)}
}

// Plan returns the orders to send now. Only the difference between wanted and
// reported state is ordered, a few targets at a time, and never the last target
// able to serve.
func (p *Planner) Plan(now time.Time, in PlanInput, random *rand.Rand) []TargetOrder {
	p.reconcile(now, in, random)
	serving := p.countServing(in)
	var out []TargetOrder
	for _, t := range in.Targets {
		if len(p.loading) >= in.MaxLoads {
			break
		}
		if !p.needsOrder(now, in, t) {
			continue
		}
		if t.canServe(in.Service) && !keepsServing(in.Service, t) {
			if serving <= 1 {
				continue
			}
			serving--
		}
		p.loading[t.Target.Name] = pendingLoad{sentAt: now, wanted: t.Target.Wanted, incarnation: t.Report.Incarnation}
		out = append(out, TargetOrder{t.Target.Name, target.Order{
			FencingNumber: in.Fencing, Models: t.Target.Wanted, Role: t.Target.WantedRole,
		}})
	}
	return out
}

// keepsServing tells whether the wanted state still serves the service.
func keepsServing(s *configuration.ServiceView, t TargetState) bool {
	return t.Target.Wanted[s.Model] == s.Version
}

// countServing counts the targets that can serve and are not being changed away.
func (p *Planner) countServing(in PlanInput) int {
	var n int
	for _, t := range in.Targets {
		_, changing := p.loading[t.Target.Name]
		if t.canServe(in.Service) && (!changing || keepsServing(in.Service, t)) {
			n++
		}
	}
	return n
}

func (p *Planner) needsOrder(now time.Time, in PlanInput, t TargetState) bool {
	if !t.orderable() || t.upToDate() || (!t.Target.ChecksFencing && !in.AllowUnfenced) {
		return false
	}
	if _, sent := p.loading[t.Target.Name]; sent {
		return false
	}
	return !now.Before(p.backoff[t.Target.Name].notBefore)
}

// reconcile ends loads that were reported, that failed, or whose wish changed.
func (p *Planner) reconcile(now time.Time, in PlanInput, random *rand.Rand) {
	present := make(map[string]bool, len(in.Targets))
	for _, t := range in.Targets {
		name := t.Target.Name
		present[name] = true
		l, sent := p.loading[name]
		switch {
		case !sent:
		case t.Reported && t.upToDate():
			delete(p.loading, name)
			delete(p.backoff, name)
		case !maps.Equal(l.wanted, t.Target.Wanted):
			delete(p.loading, name)
		case now.Sub(l.sentAt) >= p.settings.LoadTimeout.Std(), t.Reported && t.Report.Incarnation != l.incarnation:
			p.RecordFailure(now, name, random)
		}
	}
	for name := range p.loading {
		if !present[name] {
			delete(p.loading, name)
		}
	}
	for name := range p.backoff {
		if !present[name] {
			delete(p.backoff, name)
		}
	}
}

// Bounds of the pause after a failed order.
const (
	backoffMin      = 2 * time.Second
	backoffMax      = 5 * time.Minute
	maxBackoffShift = 8
)

// RecordFailure tells that an order failed. The target is left alone for a while,
// longer each time, with jitter so that targets don't come back together.
func (p *Planner) RecordFailure(now time.Time, name string, random *rand.Rand) {
	delete(p.loading, name)
	f := p.backoff[name]
	delay := min(backoffMin<<min(f.count, maxBackoffShift), backoffMax)
	f.count++
	f.notBefore = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay/2)+1)))
	p.backoff[name] = f
}

// Reset forgets orders under way, for a daemon that became the holder.
func (p *Planner) Reset() {
	clear(p.loading)
}

// LoadShare splits the site's bound on loads among its services by rank, so that
// their holders need not talk to each other. Every service gets one at least:
// a site with more ordered services than its bound loads one target for each.
func LoadShare(maxLoads, services, rank int) int {
	share := maxLoads / services
	if rank < maxLoads%services {
		share++
	}
	return max(share, 1)
}
