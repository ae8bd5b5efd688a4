package placement

import (
	"maps"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/target"
)

// TargetState is a target with its newest report.
type TargetState struct {
	Target   configuration.Target
	Report   target.Load
	Reported bool // Report was read successfully for this plan
	Leaving  bool // according to the configuration, the VM list or the report
}

// canServe reports whether the target can serve the service now: it reports the
// service's model version and is not leaving.
func (t TargetState) canServe(s *configuration.ServiceView) bool {
	return t.Reported && !t.Leaving && t.Report.Models[s.Model] == s.Version
}

// upToDate reports whether the target reports its wanted state.
func (t TargetState) upToDate() bool {
	return maps.Equal(t.Target.Wanted, t.Report.Models) && (t.Target.WantedRole == "" || t.Target.WantedRole == t.Report.Role)
}

// orderable reports whether the target may receive orders.
func (t TargetState) orderable() bool {
	return t.Target.Wanted != nil && t.Target.System != configuration.OldSystem && t.Reported && !t.Leaving
}

// PlanInput is the input of Planner.Plan.
type PlanInput struct {
	Service *configuration.ServiceView
	Targets []TargetState // the service's targets, in the order of the configuration
	// Fencing is the fencing number of the lease held. AllowUnfenced reports
	// whether orders may be sent to targets that ignore fencing numbers.
	Fencing       int64
	AllowUnfenced bool
	// MaxLoads is the maximum number of targets of this service that load at the
	// same time.
	MaxLoads int
}

// TargetOrder is an order to send to a target.
type TargetOrder struct {
	Target string
	Order  target.Order
}

// Planner decides which orders to send for one service. It is not safe for
// concurrent use.
type Planner struct {
	settings Settings
	loading  map[string]pendingLoad
	backoff  map[string]backoff
}

// pendingLoad is an order that was sent and whose state the target has not yet
// reported.
type pendingLoad struct {
	sentAt      time.Time
	wanted      map[string]string
	incarnation uint64 // of the target when the order was sent
}

// backoff delays the next order to a target after failed orders.
type backoff struct {
	count     int       // number of failed orders
	notBefore time.Time // earliest time of the next order
}

// NewPlanner returns a planner without pending orders.
func NewPlanner(s Settings) *Planner {
	return &Planner{settings: s, loading: make(map[string]pendingLoad), backoff: make(map[string]backoff)}
}

// Plan returns the orders to send now. They go to targets whose reported state
// differs from the wanted one. At most MaxLoads targets load at the same time. The
// last target that can serve the service gets no order after which it could no
// longer serve.
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

// keepsServing reports whether the target can still serve the service in its
// wanted state.
func keepsServing(s *configuration.ServiceView, t TargetState) bool {
	return t.Target.Wanted[s.Model] == s.Version
}

// countServing returns the number of targets that can serve now and that can still
// serve once their pending orders are carried out.
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
	if _, pending := p.loading[t.Target.Name]; pending {
		return false
	}
	return !now.Before(p.backoff[t.Target.Name].notBefore)
}

// reconcile removes pending loads that completed, failed or timed out, whose
// wanted state changed or whose target was removed.
func (p *Planner) reconcile(now time.Time, in PlanInput, random *rand.Rand) {
	present := make(map[string]bool, len(in.Targets))
	for _, t := range in.Targets {
		name := t.Target.Name
		present[name] = true
		l, pending := p.loading[name]
		switch {
		case !pending:
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

// Bounds of the exponential backoff after a failed order.
const (
	backoffMin      = 2 * time.Second
	backoffMax      = 5 * time.Minute
	maxBackoffShift = 8 // maximum number of doublings of backoffMin
)

// RecordFailure records that an order to a target failed. The next order waits for
// an exponential backoff, with jitter so that failed targets are not retried all
// at the same time.
func (p *Planner) RecordFailure(now time.Time, name string, random *rand.Rand) {
	delete(p.loading, name)
	b := p.backoff[name]
	delay := min(backoffMin<<min(b.count, maxBackoffShift), backoffMax)
	b.count++
	b.notBefore = now.Add(delay/2 + time.Duration(random.Int64N(int64(delay/2)+1)))
	p.backoff[name] = b
}

// Reset removes all pending orders. It is called when this daemon becomes the
// holder of the lease.
func (p *Planner) Reset() {
	clear(p.loading)
}

// LoadShare returns how many targets of one service may load at the same time. This
// is the service's part of maxLoads, the limit of the site, so that the lease
// holders of different services need no coordination. rank is the position of the
// service among the site's services, starting at 0. Every service gets at least 1,
// so a site with more services than maxLoads can exceed the limit.
func LoadShare(maxLoads, services, rank int) int {
	share := maxLoads / services
	if rank < maxLoads%services {
		share++
	}
	return max(share, 1)
}
