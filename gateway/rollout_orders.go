package gateway

import (
	"bytes"
	"maps"
	"slices"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/rollout"
)

const (
	// rolloutReadPeriod is the read period of the orders. The time limit counts from the order, and
	// the switch phase of a short roll-out takes 0.6 s.
	rolloutReadPeriod = 500 * time.Millisecond
	// maxOrderAge bounds the age of an order that this daemon sees for the first time. It is that
	// of the previous read, but none was possible while the store was down, and no order either.
	maxOrderAge = 3 * rolloutReadPeriod
	// oldVersionGrace is how long after this daemon heard of the end of a roll-out the versions that
	// it sees for the first time still count as those from before.
	oldVersionGrace = 10 * time.Second
)

// applyChange applies changed and removed orders.
func (r *rollouts) applyChange(c exchange.Change, origin changeOrigin) {
	now := time.Now()
	r.mu.Lock()
	defer r.unlockAndRecord()
	for _, e := range c.Changed {
		seen := r.orders[e.Name]
		if seen.entry.Created != e.Created || !bytes.Equal(seen.entry.Value, e.Value) {
			seen = storedOrder{created: now, startedBefore: !origin.lastMatch.IsZero()}
			if seen.startedBefore {
				seen.created = now.Add(-min(max(now.Sub(origin.lastMatch), 0), maxOrderAge))
			}
		}
		seen.entry = e
		r.orders[e.Name] = seen
		r.applyOrder(now, seen, c.NewEra)
	}
	for _, name := range c.Removed {
		s := r.services[name]
		delete(r.orders, name)
		delete(r.refused, name)
		if s == nil || s.order == nil || c.NewEra && (s.order.ended() || s.order.decision.Verdict == rollout.Bad) {
			continue // a restoration that lost the order does not make a bad version good
		}
		r.record(event.RolloutEnded, event.F("service", name), event.F("target", s.order.target()), event.F("state", "deleted"))
		s.order, s.barred = nil, nil
	}
	r.wakeUp()
}

// storedOrder is an order in the store.
type storedOrder struct {
	entry         exchange.Entry
	created       time.Time // the earliest time at which it may have been written
	startedBefore bool      // this daemon knew the orders before
}

// applyOrder applies an order.
func (r *rollouts) applyOrder(now time.Time, stored storedOrder, newEra bool) {
	e := stored.entry
	decoded, duration, err := r.check(e)
	if err != "" {
		if r.refused[e.Name] != err && err != errNoConfiguration {
			r.record(event.RolloutInvalid, event.F("service", e.Name), event.F("error", err))
		}
		r.refused[e.Name] = err
		if s := r.services[e.Name]; s != nil {
			s.order = nil
		}
		return
	}
	delete(r.refused, e.Name)
	s := r.service(decoded.Service)
	order := rollout.Order{Service: decoded.Service, Target: decoded.Target, Duration: duration, Created: stored.created, Instance: e.Created, Revision: e.Revision}
	current := s.order
	if current == nil || current.target() != order.Target || current.machine.Order().Instance != order.Instance {
		current = r.begin(now, s, order, stored.startedBefore)
		r.record(event.RolloutStarted, event.F("service", order.Service), event.F("target", order.Target), event.F("duration", order.Duration.String()),
			event.F("age", now.Sub(current.machine.Order().Created).Round(time.Millisecond).String()), event.F("state", string(decoded.State)))
	} else if known := current.machine.Order(); known.Duration != order.Duration {
		order.Created = known.Created
		current.machine.UpdateOrder(order)
	}
	// After a restoration of the store, the order has an older revision than before.
	current.writer.Saw(now, rollout.Object{Revision: e.Revision, Instance: e.Created, Target: decoded.Target, State: decoded.State, StatusTarget: decoded.StatusTarget}, newEra)
	current.machine.ApplyStatus(decoded.State, decoded.StatusTarget)
}

// begin begins the roll-out of an order. What the version got before its order was known counts.
func (r *rollouts) begin(now time.Time, s *serviceRollouts, order rollout.Order, startedBefore bool) *roll {
	o := s.presumed[order.Target]
	if o != nil {
		o.machine.UpdateOrder(order)
		delete(s.presumed, order.Target)
	} else {
		o = &roll{machine: rollout.NewMachine(r.settings, order, now, startedBefore)}
	}
	o.writer, o.reportFailed = rollout.NewWriter(order), true
	if v, ok := r.verdicts[order.Service]; ok && v.matches(order) {
		v.apply(o)
	}
	delete(r.verdicts, order.Service)
	if replaced := s.order; replaced != nil && replaced.target() != order.Target {
		s.barReplaced()
		if !replaced.ended() {
			r.record(event.RolloutEnded, event.F("service", order.Service), event.F("target", replaced.target()), event.F("state", "replaced"))
		}
	}
	s.setBarred(false, order.Target)
	s.order = o
	return o
}

// check decodes an order. err is why it is invalid, empty if it is valid.
func (r *rollouts) check(e exchange.Entry) (decoded platform.RolloutOrder, duration time.Duration, err string) {
	decoded, decodeErr := platform.DecodeRollout(toObject(e))
	if decodeErr != nil {
		return decoded, 0, decodeErr.Error()
	}
	duration, durationErr := rollout.ParseDuration(decoded.Seconds)
	switch {
	case decoded.Target == "":
		return decoded, 0, "the order has no target"
	case durationErr != nil:
		return decoded, 0, durationErr.Error()
	case r.g.table.Load() == nil:
		return decoded, 0, errNoConfiguration
	case !r.knowsService(decoded.Service):
		return decoded, 0, errUnknownService
	}
	return decoded, duration, ""
}

// Reasons why an order is invalid for a while.
const (
	errNoConfiguration = "no configuration is active"
	errUnknownService  = "neither a route nor a target has the service"
)

func (r *rollouts) knowsService(name string) bool {
	table := r.g.table.Load()
	return table != nil && table.HasService(name) || len(r.g.fleet.SoftwareVersions(name)) > 0
}

// recheck applies the orders again whose service was unknown. The caller holds the lock.
func (r *rollouts) recheck(now time.Time) {
	for name, err := range maps.Clone(r.refused) {
		if err == errNoConfiguration && r.g.table.Load() != nil || err == errUnknownService && r.knowsService(name) {
			r.applyOrder(now, r.orders[name], false)
		}
	}
}

// noteTargets notes the software versions of the registered targets after a change.
func (r *rollouts) noteTargets(c exchange.Change) {
	if r == nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.unlockAndRecord()
	services := make(map[string]bool)
	for _, e := range c.Changed {
		if t, err := platform.DecodeTarget(toObject(e)); err == nil {
			services[t.Service] = true
		}
	}
	if len(c.Removed) > 0 {
		for name := range r.services {
			services[name] = true
		}
	}
	for name := range services {
		s, registered := r.service(name), r.g.fleet.SoftwareVersions(name)
		for _, version := range registered {
			if _, known := s.versions[version]; !known {
				s.versions[version] = now
			}
		}
		gone := func(version string) bool { return !slices.Contains(registered, version) }
		maps.DeleteFunc(s.versions, func(version string, _ time.Time) bool { return gone(version) })
		s.setBarred(false, slices.DeleteFunc(slices.Collect(maps.Keys(s.barred)), func(version string) bool { return !gone(version) })...)
		r.presume(now, name, s)
	}
	r.recheck(now)
	r.wakeUp()
}

// presume treats versions as under roll-out that this daemon sees beside another one, as long as
// the orders that it knows may be older than their targets: an order is written before the targets
// of its version start. One version, at first the one with the oldest target, counts as the old
// one. The caller holds the lock.
func (r *rollouts) presume(now time.Time, service string, s *serviceRollouts) {
	matched := r.g.datasets.lastMatch(platform.RolloutKind)
	var others, unknown []string // than the target of the order
	for version, seen := range s.versions {
		if s.order != nil && s.order.target() == version {
			continue
		}
		others = append(others, version)
		// The match may be known a moment before the orders that it brought are applied.
		if !matched.Add(-rolloutReadPeriod).After(seen) {
			unknown = append(unknown, version)
		}
	}
	if len(unknown) == len(others) && len(unknown) > 0 {
		starts := r.g.fleet.EarliestStarts(service)
		slices.SortFunc(unknown, func(a, b string) int {
			if d := starts[a] - starts[b]; d != 0 {
				return int(max(min(d, 1), -1))
			}
			return s.versions[a].Compare(s.versions[b])
		})
		unknown = unknown[1:]
	}
	maps.DeleteFunc(s.presumed, func(version string, _ *roll) bool { return !slices.Contains(unknown, version) })
	for _, version := range unknown {
		if s.presumed[version] == nil {
			order := rollout.Order{Service: service, Target: version, Created: s.versions[version]}
			startedBefore := false
			for _, seen := range s.versions {
				startedBefore = startedBefore || seen.Before(s.versions[version])
			}
			s.presumed[version] = &roll{machine: rollout.NewMachine(r.settings, order, now, startedBefore)}
			r.record(event.RolloutStarted, event.F("service", service), event.F("target", version), event.F("duration", "unknown"))
		}
	}
}
