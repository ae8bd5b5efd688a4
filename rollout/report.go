package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of reports. The intervals grow with the number of daemons, so that a judge receives
// at most some hundred reports a second.
const (
	urgentFraction  = 0.05 // of Settings.RollbackWithin, between reports of bad responses
	regularFraction = 0.4  // of Settings.RollbackWithin, between other reports
	urgentPerDaemon = 2 * time.Millisecond
	normalPerDaemon = 5 * time.Millisecond
	// fullInterval is the number of reports of which one holds all slices.
	fullInterval = 8
	// fullRoutes is the number of counters up to which each report holds all slices.
	fullRoutes = 30
)

// Begin records that a request was sent to a target and returns its number, which Record or
// Abandon then gets. The age of requests that have not ended is evidence of slowness.
func (m *Machine) Begin(now time.Time, version, route string) uint64 {
	m.advance(now)
	m.lastID++
	m.requests[m.lastID] = pending{now, version == m.order.Target, route}
	return m.lastID
}

// Record counts the outcome of a request.
func (m *Machine) Record(now time.Time, o Outcome) {
	m.advance(now)
	delete(m.requests, o.Request)
	isNew := o.Version == m.order.Target
	index, own, sum := m.counts(now, o.Route, isNew)
	bucket := bucketOf(o.Latency)
	switch {
	case o.Broken:
		m.urgent = true
		hash := uint32(xxhash.Sum64String(o.Target))
		for _, known := range own.Broken {
			if known == hash {
				return
			}
		}
		own.Broken = append(own.Broken, hash)
		m.pool.countBroken(index, o.Route, brokenTarget{isNew, hash})
	case o.Failed:
		m.urgent = true
		own.Responses++
		own.Failures++
		sum.responses++
		sum.failures++
		own.Unfinished = own.Unfinished.add(bucket, 1)
		sum.unfinished[bucket]++
	default:
		own.Responses++
		sum.responses++
		own.Latencies = own.Latencies.add(bucket, 1)
		sum.latencies[bucket]++
		m.urgent = m.urgent || m.late(o.Route, bucket)
	}
}

// late reports whether a latency is slow by the last judgement.
func (m *Machine) late(route string, bucket uint32) bool {
	limit := m.judgement.limits[route][slow]
	return limit > 0 && int(bucket) >= limit
}

// Abandon ends a request that its caller ended, that its target refused, or that the daemon broke
// off. It is no response; for one that ran, the time that it waited is a lower bound of its
// latency.
func (m *Machine) Abandon(now time.Time, request uint64, ran bool) {
	m.advance(now)
	p, ok := m.requests[request]
	delete(m.requests, request)
	if !ok || !ran {
		return
	}
	_, own, sum := m.counts(now, p.route, p.isNew)
	bucket := bucketOf(now.Sub(p.since))
	own.Unfinished = own.Unfinished.add(bucket, 1)
	sum.unfinished[bucket]++
	m.urgent = m.urgent || m.late(p.route, bucket)
}

// counts returns the counters of the current slice: this daemon's own and the sum.
func (m *Machine) counts(now time.Time, name string, isNew bool) (index int, own *Counts, sum *sideSum) {
	m.changed, m.pool.changed = true, true
	index = max(m.slice(now), m.pool.last-keptSlices+1)
	sum = m.pool.at(index).route(name).side(isNew)
	routes := m.own.slices[index]
	r := route(&routes, name)
	m.own.slices[index] = routes
	m.ownSince[index] = m.sequence
	return index, r.side(isNew), sum
}

// Own returns the counters of this daemon, to send to the judges.
func (m *Machine) Own() Evidence {
	now := m.latest
	e := Evidence{Target: m.order.Target, Instance: m.order.Instance, Sequence: m.sequence, Bad: m.bad}
	if !m.order.Presumed() {
		e.Age = m.age(now)
	}
	counters := 0
	for _, routes := range m.own.slices {
		counters += len(routes)
	}
	full := counters <= fullRoutes || m.sequence%fullInterval == 0
	for index, routes := range m.own.slices {
		// A slice that changed is in three reports, because a report may be lost.
		if full || m.ownSince[index]+2 >= m.sequence {
			e.Slices = append(e.Slices, Slice{Index: index, Routes: cloneRoutes(routes)})
		}
	}
	for index := range m.ownSince {
		if m.own.slices[index] == nil {
			delete(m.ownSince, index)
		}
	}
	e.Waiting = cloneRoutes(m.countWaiting(now))
	m.sequence++
	m.reported, m.changed, m.urgent = now, false, false
	return e
}

// countWaiting counts the requests that wait.
func (m *Machine) countWaiting(now time.Time) []RouteCounts {
	var routes []RouteCounts
	for _, p := range m.requests {
		side := route(&routes, p.route).side(p.isNew)
		side.Unfinished = side.Unfinished.add(bucketOf(now.Sub(p.since)), 1)
	}
	return routes
}

// ReportDue reports whether Own is due to be sent to the judges. It is asked several times a
// second. Failures and late responses of either version make a report urgent: if only those of
// the new version did, the judges would compare them with too few of the old one's.
func (m *Machine) ReportDue(now time.Time) bool {
	m.advance(now)
	since := now.Sub(m.reported)
	if m.urgent && since >= m.interval(urgentFraction, urgentPerDaemon) {
		return true
	}
	return (m.changed || len(m.requests) > 0 || m.bad != "" && !m.stored().Final()) &&
		since >= m.interval(regularFraction, normalPerDaemon)
}

func (m *Machine) interval(fraction float64, perDaemon time.Duration) time.Duration {
	return max(time.Duration(fraction*float64(m.settings.RollbackWithin)), time.Duration(m.daemons)*perDaemon)
}

// Merge takes the counters of another daemon. Older counters than the ones known and those for
// another order are ignored.
func (m *Machine) Merge(now time.Time, daemon string, incarnation uint64, e Evidence) {
	m.advance(now)
	if daemon == "" || e.Target != m.order.Target || e.Instance != m.order.Instance {
		return
	}
	s := m.pool.source(daemon, incarnation, e.Sequence)
	if s == nil {
		return
	}
	if created := now.Add(-e.Age); !m.order.Presumed() && created.Before(m.order.Created) {
		m.order.Created = created
	}
	current := m.slice(now)
	for _, slice := range e.Slices {
		// A daemon whose duration of the order differs has other slices.
		if slice.Index >= 0 && slice.Index <= current+1 {
			m.pool.replace(s, Slice{slice.Index, cloneRoutes(slice.Routes)})
		}
	}
	s.waiting, s.at = cloneRoutes(e.Waiting), now
	if e.Bad != "" {
		m.MarkBad(e.Bad)
	}
}
