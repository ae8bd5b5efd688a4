package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/rollout"
)

// Names of the metrics of roll-outs.
const (
	metricShareUsed   = "rollout.share_used" // part of this daemon's requests that the latest order's version got
	metricRolloutSent = "rollout.sent"       // requests sent to versions under roll-out
	metricRolloutFail = "rollout.failures"   // of them, with an outcome that counts as a failure
)

// rollouts takes part in the roll-outs of services. It implements forward.Rollouts. There is none
// if the settings have no block for it.
type rollouts struct {
	g        *Gateway
	settings rollout.Settings
	wake     chan struct{} // receives a value when there may be something to decide on

	mu       sync.Mutex
	orders   map[string]storedOrder // by name
	refused  map[string]string      // why an order is invalid, by name
	services map[string]*serviceRollouts
	verdicts map[string]earlyVerdict // on orders that this daemon doesn't know yet, by service
	events   []rolloutEvent          // to be recorded by unlockAndRecord

	recording sync.Mutex // held while events are recorded, so that they keep their order
}

// rolloutEvent is an event that is recorded once the lock is released.
type rolloutEvent struct {
	number event.Number
	fields []event.Field
}

// serviceRollouts is what is rolled out of one service.
type serviceRollouts struct {
	versions map[string]time.Time // of the registered targets, and when this daemon saw them first
	order    *roll                // nil without a valid order
	presumed map[string]*roll     // by version, see rollouts.presume
	// barred are versions that get no request, because an order was about them and another one
	// has replaced it. The map is replaced, never modified: rules refer to it.
	barred map[string]bool
}

// setBarred bars versions, or lifts that for a version that a new order is about.
func (s *serviceRollouts) setBarred(barred bool, versions ...string) {
	s.barred = maps.Clone(s.barred)
	if s.barred == nil {
		s.barred = make(map[string]bool)
	}
	for _, version := range versions {
		if s.barred[version] = barred; !barred {
			delete(s.barred, version)
		}
	}
}

// barReplaced bars the versions that a replaced order allows no request: its target, or the old
// versions if it was completed.
func (s *serviceRollouts) barReplaced() {
	if allowsOld := s.order.machine.Allows(""); allowsOld {
		s.setBarred(true, s.order.target())
		return
	}
	for version := range s.versions {
		if version != s.order.target() && !s.isLater(version) {
			s.setBarred(true, version)
		}
	}
}

// barredVersions returns the barred versions, sorted.
func (s *serviceRollouts) barredVersions() []string { return slices.Sorted(maps.Keys(s.barred)) }

// addBarred bars the versions that another daemon with the same order bars: this one may have started
// after the order that was about them.
func (s *serviceRollouts) addBarred(o *roll, versions []string) {
	for _, version := range versions {
		if s.order == o && version != o.target() && !s.barred[version] {
			s.setBarred(true, version)
		}
	}
}

// isLater reports whether a version appeared after the end of the order, so that it is no old one.
func (s *serviceRollouts) isLater(version string) bool {
	return s.versions[version].After(s.order.oldUntil) && !s.order.oldUntil.IsZero()
}

// effectiveBars returns the barred versions; none if the service has no other targets.
func (s *serviceRollouts) effectiveBars() map[string]bool {
	for version := range s.versions {
		if !s.barred[version] {
			return s.barred
		}
	}
	return nil
}

// roll is one roll-out.
type roll struct {
	machine  *rollout.Machine
	writer   *rollout.Writer  // nil for a presumed one
	decision rollout.Decision // the latest
	oldUntil time.Time        // versions seen later than this are no old ones, once the roll-out has ended
	// verdictSource is the daemon whose verdict against the version this one applied; empty if it
	// has none, or its own.
	verdictSource string
	verdictSent   bool
	reason        string    // of the latest verdict
	calledAt      time.Time // when the latest report to the judges was sent
	judges        string    // that got it
	reportFailed  bool      // at one of them, or no report was sent yet
	endSent       bool
	spared        map[string]bool // targets of the version that get no new work yet; nil in the switch phase
	failures      int             // of the version, that this daemon recorded
}

var _ forward.Rollouts = (*rollouts)(nil)

func newRollouts(g *Gateway, s Rollout) *rollouts {
	return &rollouts{
		g: g, settings: s.machineSettings(), wake: make(chan struct{}, 1), orders: make(map[string]storedOrder),
		refused: make(map[string]string), services: make(map[string]*serviceRollouts), verdicts: make(map[string]earlyVerdict),
	}
}

// service returns the state of a service. The caller holds the lock.
func (r *rollouts) service(name string) *serviceRollouts {
	s := r.services[name]
	if s == nil {
		s = &serviceRollouts{versions: make(map[string]time.Time), presumed: make(map[string]*roll)}
		r.services[name] = s
	}
	return s
}

// of returns the roll-out of a version, nil if there is none.
func (s *serviceRollouts) of(version string) *roll {
	if s == nil {
		return nil
	}
	if s.order != nil && s.order.target() == version {
		return s.order
	}
	return s.presumed[version]
}

// all returns the roll-outs of a service.
func (s *serviceRollouts) all() (out []*roll) {
	if s == nil {
		return nil
	}
	if s.order != nil {
		out = append(out, s.order)
	}
	for _, p := range s.presumed {
		out = append(out, p)
	}
	return out
}

func (o *roll) target() string { return o.machine.Order().Target }

// ended reports whether a final state is stored.
func (o *roll) ended() bool { return o.decision.Phase == rollout.Ended }

// CountRequest implements forward.Rollouts.
func (r *rollouts) CountRequest(now time.Time, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.services[service].all() {
		if !o.ended() {
			o.machine.CountRequest(now)
		}
	}
}

// Versions implements forward.Rollouts.
func (r *rollouts) Versions(now time.Time, service string) *forward.VersionRule {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[service]
	if s == nil {
		return nil
	}
	barred := s.effectiveBars()
	if s.order == nil && len(s.presumed) == 0 && len(barred) == 0 {
		return nil
	}
	rule := &forward.VersionRule{}
	presumed := make(map[string]bool, len(s.presumed)) // whether the version may get requests
	for version, p := range s.presumed {
		presumed[version] = p.machine.Allows(version)
	}
	if s.order == nil {
		rule.Allows = func(version string) bool {
			allowed, isPresumed := presumed[version]
			return !barred[version] && (!isPresumed || allowed)
		}
		rule.Limits = func(version string) bool { _, isPresumed := presumed[version]; return isPresumed }
		return rule
	}
	o, target := s.order, s.order.target()
	allowsTarget, allowsOthers, ended := o.machine.Allows(target), o.machine.Allows(""), o.ended()
	var later map[string]bool // versions that appeared after the end
	if !allowsOthers {
		later = make(map[string]bool)
		for version := range s.versions {
			later[version] = s.isLater(version)
		}
	}
	rule.Allows = func(version string) bool {
		if version == target {
			return allowsTarget
		}
		if barred[version] {
			return false
		}
		if allowed, isPresumed := presumed[version]; isPresumed {
			return allowed
		}
		return allowsOthers || later[version]
	}
	rule.Limits = func(version string) bool {
		_, isPresumed := presumed[version]
		return isPresumed || version == target && !ended
	}
	if !ended && o.machine.Prefers(now) {
		rule.Preferred, rule.Control, rule.Spared = &target, o.machine.Control(now), o.spared
	}
	return rule
}

// TakeCredit implements forward.Rollouts.
func (r *rollouts) TakeCredit(now time.Time, service, version string, began bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.services[service].of(version)
	switch {
	case o == nil || o.machine.Allow(now):
		return true
	case !began || !o.machine.Allows(version):
		return false
	}
	o.machine.Spend(now)
	return true
}

// ReleaseCredit implements forward.Rollouts.
func (r *rollouts) ReleaseCredit(service, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o := r.services[service].of(version); o != nil {
		o.machine.Release()
	}
}

// BeginRun implements forward.Rollouts.
func (r *rollouts) BeginRun(now time.Time, t fleet.Target, route string) forward.ObservedRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[t.Service]
	var begun []begunRun
	for _, o := range s.all() {
		// A barred version is no old one to compare with: it may be bad.
		if isTarget := o.target() == t.SoftwareVersion; !o.ended() && (isTarget || !s.barred[t.SoftwareVersion]) {
			begun = append(begun, begunRun{o, o.machine.Begin(now, t.SoftwareVersion, route)})
			if isTarget {
				metrics.GetOrRegisterCounter(metricRolloutSent, r.g.metrics).Inc(1)
			}
		}
	}
	if begun == nil {
		return nil
	}
	return &observedRun{rollouts: r, begun: begun, target: t, route: route}
}

// observedRun implements forward.ObservedRun.
type observedRun struct {
	rollouts *rollouts
	begun    []begunRun
	target   fleet.Target
	route    string
}

type begunRun struct {
	roll   *roll
	number uint64 // of the request at the machine; 0 once its outcome is recorded
}

// Record implements forward.ObservedRun.
func (o *observedRun) Record(now time.Time, end forward.RunEnd, latency time.Duration) {
	o.rollouts.mu.Lock()
	defer o.rollouts.mu.Unlock()
	outcome := rollout.Outcome{
		Service: o.target.Service, Version: o.target.SoftwareVersion, Target: o.target.ID, Route: o.route, Latency: latency,
		Failed: end != forward.Responded, Broken: end == forward.TargetLost,
	}
	for i, b := range o.begun {
		if b.roll.ended() {
			continue
		}
		outcome.Request, o.begun[i].number = b.number, 0
		b.roll.machine.Record(now, outcome)
		if outcome.Failed && b.roll.target() == outcome.Version {
			b.roll.failures++
			metrics.GetOrRegisterCounter(metricRolloutFail, o.rollouts.g.metrics).Inc(1)
		}
	}
}

// Abandon implements forward.ObservedRun.
func (o *observedRun) Abandon(now time.Time, ran bool) {
	o.rollouts.mu.Lock()
	defer o.rollouts.mu.Unlock()
	for i, b := range o.begun {
		if b.number != 0 {
			b.roll.machine.Abandon(now, b.number, ran)
			o.begun[i].number = 0
		}
	}
}

// record notes an event for unlockAndRecord. The caller holds the lock.
func (r *rollouts) record(n event.Number, fields ...event.Field) {
	r.events = append(r.events, rolloutEvent{n, fields})
}

// unlockAndRecord releases the lock, then records the noted events. Recording writes to the log and
// may block, and every request to a service needs the lock.
func (r *rollouts) unlockAndRecord() {
	noted := len(r.events) > 0
	r.mu.Unlock()
	if !noted {
		return
	}
	r.recording.Lock()
	defer r.recording.Unlock()
	r.mu.Lock()
	events := r.events
	r.events = nil
	r.mu.Unlock()
	for _, e := range events {
		r.g.events.Record(e.number, "", e.fields...)
	}
}

// wakeUp lets run look at the roll-outs.
func (r *rollouts) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// snapshot returns the roll-outs by service. The caller holds the lock.
func (r *rollouts) snapshot() map[string][]*roll {
	out := make(map[string][]*roll)
	for name := range maps.Keys(r.services) {
		if all := r.services[name].all(); len(all) > 0 {
			out[name] = all
		}
	}
	return out
}
