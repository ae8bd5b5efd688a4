package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/allowance"
)

// Parameters of the phases and of the use of the allowance.
const (
	// switchStart is the part of the duration after which the switch phase begins.
	switchStart = 0.94
	// completeMargin is how long before the time limit the final state is written, as a part of
	// the duration, within leastMargin and mostMargin and at most half of the switch phase. A
	// write takes up to two answers of the store, and another daemon may have to make it: with
	// 300 ms, a second writer was up to 0.1 s late in 4 of 60 simulated orders of 12 s.
	completeMargin = 0.02
	leastMargin    = 500 * time.Millisecond
	mostMargin     = 2 * time.Second
	// watchFraction is the part of the share that the watch phase uses. The rest pays for the
	// switch phase.
	watchFraction = 0.4
	// switchFraction is the part of the share that all phases together use. The rest is a reserve
	// for the rounding of credits.
	switchFraction = 0.95
	// slackFactor is the part of the slack that the daemons share. The rest is a reserve for
	// daemons that other daemons don't know of yet.
	slackFactor = 0.9
	// slackPeriod is the part of the duration over which the slack becomes available. If all of
	// it were used in the first second, the new version would get half of the requests then and
	// hardly any later, and a version that turns bad later would not be seen.
	slackPeriod = 0.5
	// presumedSlack is the part of the slack that a version without a known order gets.
	presumedSlack = 0.25
	// watchPace is the largest part of a daemon's requests that goes to the new version before the
	// switch phase, whatever the slack. With more, too few requests of the old version would be
	// left to compare with.
	watchPace = 1.0 / 3
	// focusFraction is the part of the new version's targets that are used before the switch
	// phase. The version gets between 4 % and a third of the requests then.
	focusFraction = 0.15
	// controlInterval is the number of requests of the switch phase of which one goes to the old
	// version, for comparison.
	controlInterval = 5
)

// Parameters of slices.
const (
	slicesPerDuration = 24
	leastSlice        = time.Second
	mostSlice         = 10 * time.Second
)

// Parameters of judgements.
const (
	// Judgements are made at most every leastJudgeInterval, because a judge gets some hundred
	// reports a second, and every mostJudgeInterval while only the age of requests changes.
	leastJudgeInterval = 50 * time.Millisecond
	mostJudgeInterval  = 250 * time.Millisecond
	// The responses of the switch phase are compared also with those that the old version gave
	// in the last part of the duration before it, at least for compareLeast.
	comparePart  = 0.15
	compareLeast = 3 * time.Second
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

// Machine decides on one order for one daemon.
type Machine struct {
	settings      Settings
	order         Order
	startedBefore bool
	daemons       int
	dithered      bool
	noTargets     bool
	judges        bool // the others send it their evidence

	allowance allowance.Cumulative
	control   int // requests in the switch phase

	pool     *pool
	own      *source
	ownSince map[int]uint64 // sequence number of the report that a slice changed in
	sequence uint64         // of the next report
	requests map[uint64]pending
	lastID   uint64
	latest   time.Time // the greatest time that the machine was called with

	reported        time.Time
	changed, urgent bool
	judged          time.Time
	judgement       judgement

	bad          string // reason of a verdict against the version
	little       bool
	state        State
	statusTarget string
}

// pending is a request that waits for its response.
type pending struct {
	since time.Time
	isNew bool
	route string
}

// NewMachine returns the machine of an order. startedBefore states that this process runs since
// before the order was written; only then it has a part of the slack.
func NewMachine(s Settings, o Order, now time.Time, startedBefore bool) *Machine {
	m := &Machine{settings: s, order: o, startedBefore: startedBefore, requests: make(map[uint64]pending), latest: now}
	m.allowance.Ratio = s.Share
	m.resetEvidence()
	return m
}

func (m *Machine) resetEvidence() {
	m.pool = newPool()
	m.own = m.pool.source("", 0, 1)
	m.ownSince = make(map[int]uint64)
	m.sequence++
	m.judged, m.judgement = time.Time{}, judgement{}
}

// UpdateOrder replaces the order by one with the same target: a presumed order by the one in the
// store, or an order by the same one with another duration. What was sent so far counts. The
// evidence of a presumed order is dropped, because other daemons have other slices for it.
func (m *Machine) UpdateOrder(o Order) {
	if m.order.Presumed() != o.Presumed() || m.order.Instance != o.Instance || m.order.Duration != o.Duration {
		m.resetEvidence()
	} else if m.order.Created.Before(o.Created) {
		o.Created = m.order.Created
	}
	m.order = o
}

// Order returns the order. Its Created is the earliest that any daemon knows.
func (m *Machine) Order() Order { return m.order }

// SetDaemons sets the number of daemons that share the slack: all that have an entry in the store
// or are known as members, whether they are heard or not. The largest number counts.
func (m *Machine) SetDaemons(n int) {
	m.daemons = max(m.daemons, n)
	if m.startedBefore && m.daemons > 0 {
		m.allowance.Slack = slackFactor * m.settings.Slack / float64(m.daemons)
	}
}

// SetDither sets a number in [0, 1) that differs between daemons and is spread evenly over them,
// such as the rank of the daemon divided by the number of daemons. It decides how fractions of a
// credit are rounded, so that 760 daemons with a fraction of a credit each send some requests to
// the new version. Only the first call takes effect, and none for a daemon that started after the
// order: one that restarts often would get the same fraction many times.
func (m *Machine) SetDither(u float64) {
	if m.startedBefore && !m.dithered {
		m.dithered = true
		m.allowance.Dither = min(max(u, 0), math.Nextafter(1, 0))
	}
}

// SetJudge states whether this daemon is one of the two that the others send their evidence to.
// Only these decide at the end if there is little evidence; others know hardly more than their own.
func (m *Machine) SetJudge(judge bool) { m.judges = judge }

// SetTargets states whether any target of the order's version is known. It is assumed until the
// first call.
func (m *Machine) SetTargets(known bool) { m.noTargets = !known }

// CountRequest counts a caller's request for the service. It is called when the request is first
// sent to a target, once for each request.
func (m *Machine) CountRequest(now time.Time) {
	m.advance(now)
	m.allowance.CountRequest()
	if m.switching(now) {
		m.control++
	}
}

// Allow reports whether a request may be sent to the new version, and spends a credit if so. It
// is called for each send, also for retries, resumes and returns. Release takes back a credit
// whose send was not made.
func (m *Machine) Allow(now time.Time) bool {
	m.advance(now)
	if m.completed() {
		return true
	}
	return m.Allows(m.order.Target) && m.allowance.Take(m.use(now))
}

// Available reports whether Allow would return true. It spends nothing.
func (m *Machine) Available(now time.Time) bool {
	if m.completed() {
		return true
	}
	fraction, part, pace := m.use(now)
	return m.Allows(m.order.Target) && m.allowance.Left(fraction, part, pace) >= 1
}

// Spend counts a send to the new version that can go nowhere else, such as the resume of a stream
// that this version began. The allowance may be exceeded by it; later sends make up for that.
// Allows still has to be asked.
func (m *Machine) Spend(now time.Time) {
	m.advance(now)
	if !m.completed() {
		m.allowance.Spend()
	}
}

// Release takes back a credit of Allow, because the request was not sent to the new version.
func (m *Machine) Release() { m.allowance.Release() }

// use returns the fraction of the share and of the slack that may be used now, and the largest
// part of the requests.
func (m *Machine) use(now time.Time) (fraction, part, pace float64) {
	if m.order.Presumed() {
		return watchFraction, presumedSlack, watchPace
	}
	if m.switching(now) {
		return switchFraction, 1, 1
	}
	part = float64(m.age(now)) / (slackPeriod * float64(m.order.Duration))
	return watchFraction, min(max(part, 0), 1), watchPace
}

// Prefers reports whether new work is due to go to the new version: always in the switch phase,
// and whenever a credit is left in the watch phase, so that evidence arises as fast as the
// allowance permits and not as slowly as targets of both versions happen to be chosen. Allow is
// still asked for each send.
func (m *Machine) Prefers(now time.Time) bool {
	if m.completed() {
		return true
	}
	return m.Allows(m.order.Target) && m.switching(now) || m.Available(now)
}

// Control reports whether the request that was counted last is one of those that go to the old
// version for comparison although Prefers returns true. It is asked for plain calls only, because
// streams on the old version may not end before completed.
func (m *Machine) Control(now time.Time) bool {
	return !m.completed() && m.switching(now) && m.control%controlInterval == 0
}

// Allows reports whether a version may get any request at all: none for the new version after a
// verdict against it or after rolled_back, none for other versions after completed.
func (m *Machine) Allows(version string) bool {
	if version != m.order.Target {
		return !m.completed()
	}
	return m.completed() || m.bad == "" && m.stored() != RolledBack
}

// stored returns the state in the store if it is about the target of the order.
func (m *Machine) stored() State {
	if m.statusTarget != m.order.Target {
		return ""
	}
	return m.state
}

func (m *Machine) completed() bool { return m.stored() == Completed }

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

// advance notes the time.
func (m *Machine) advance(now time.Time) {
	if now.After(m.latest) {
		m.latest = now
	}
}

// Focus returns the targets of the new version that get its requests before the switch phase: a
// part of them as large as the part of the requests that the version gets, so that each of them
// has about the load that it would have after the switch. Another part is taken in each slice,
// because one VM may be slower than others. All daemons take the same.
func (m *Machine) Focus(now time.Time, targets []string) []string {
	if m.completed() || m.switching(now) || len(targets) < 2 {
		return targets
	}
	ranked := slices.Sorted(slices.Values(targets))
	n := int(math.Ceil(focusFraction * float64(len(ranked))))
	first := m.slice(now) * n % len(ranked)
	return append(ranked[first:], ranked[:first]...)[:n]
}

// age returns the age of the order.
func (m *Machine) age(now time.Time) time.Duration { return now.Sub(m.order.Created) }

// part returns a part of the duration.
func (m *Machine) part(of float64) time.Duration {
	return time.Duration(of * float64(m.order.Duration))
}

// switching reports whether new work goes to the new version.
func (m *Machine) switching(now time.Time) bool {
	age := m.age(now)
	return !m.order.Presumed() && age >= m.part(switchStart) && age < m.order.Duration
}

// completeAt is the age of the order at which the final state is written.
func (m *Machine) completeAt() time.Duration {
	margin := min(max(m.part(completeMargin), leastMargin), mostMargin, m.part(1-switchStart)/2)
	return m.order.Duration - margin
}

// sliceLength returns the length of a slice. The switch phase is a slice of its own.
func (m *Machine) sliceLength() time.Duration {
	return min(max(m.part(1.0/slicesPerDuration), leastSlice), mostSlice)
}

// slice returns the index of the slice at a time.
func (m *Machine) slice(now time.Time) int {
	age, length := max(m.age(now), 0), m.sliceLength()
	if m.order.Presumed() || age < m.part(switchStart) {
		return int(age / length)
	}
	if age < m.order.Duration {
		return m.switchSlice()
	}
	return m.switchSlice() + 1 + int((age-m.order.Duration)/length)
}

// switchSlice returns the index of the slice of the switch phase.
func (m *Machine) switchSlice() int {
	if m.order.Presumed() {
		return math.MaxInt
	}
	return int((m.part(switchStart) + m.sliceLength() - 1) / m.sliceLength())
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

// MarkBad records a verdict of another daemon against the new version. It is final.
func (m *Machine) MarkBad(reason string) {
	if m.bad == "" {
		if reason == "" {
			reason = "verdict of another daemon"
		}
		m.bad = reason
	}
}

// ApplyStatus takes the status of the order as read from the store. A final state for the target
// of the order stays.
func (m *Machine) ApplyStatus(state State, target string) {
	if !m.stored().Final() {
		m.state, m.statusTarget = state, target
	}
}

// Decide judges the evidence and returns the phase, the verdict and the status to write. It is
// called at least every 250 ms, and after Merge.
func (m *Machine) Decide(now time.Time) Decision {
	m.advance(now)
	if s := m.stored(); s.Final() {
		d := Decision{Phase: Ended, Verdict: Good, Reason: "the order has the status " + string(s)}
		if s == RolledBack {
			d.Verdict = Bad
		}
		return d
	}
	j := m.judge(now)
	if m.bad == "" && j.wealth >= badThreshold {
		m.bad = fmt.Sprintf("%s (evidence %.1g)", j.reason, j.wealth)
	}
	d := Decision{Verdict: Undecided, LittleEvidence: m.little}
	responses := j.responses()
	if responses >= littleEvidence {
		d.Verdict = Good
	}
	age := m.age(now)
	due := !m.order.Presumed() && age >= m.completeAt()
	if due && m.bad == "" && responses < littleEvidence {
		if d.LittleEvidence = true; m.judges && !m.noTargets {
			m.bad = j.little()
			m.little = m.bad != ""
		}
	}
	switch {
	case m.bad != "":
		d.Phase, d.Verdict, d.Reason = Reverting, Bad, m.bad
	case m.order.Presumed() || age < m.part(switchStart):
		d.Phase = Watch
	case age >= m.order.Duration:
		d.Phase = Overdue
	case due:
		d.Phase = Completing
	default:
		d.Phase = Switch
	}
	if m.order.Presumed() {
		return d
	}
	switch {
	case d.Verdict == Bad:
		d.Write = RolledBack
	case due && m.noTargets:
		d.Phase, d.Write = Reverting, RolledBack
		d.Reason = "no target has the version " + m.order.Target
	case due:
		d.Write = Completed
		d.Reason = fmt.Sprintf("%d responses, evidence %.1g of %d", responses, j.wealth, badThreshold)
		if d.LittleEvidence {
			d.Reason = "little evidence: " + d.Reason
		}
	case m.stored() != Running:
		d.Write = Running
	}
	return d
}

// judge judges the evidence, or returns the last judgement if that is recent or nothing has
// changed.
func (m *Machine) judge(now time.Time) judgement {
	if since := now.Sub(m.judged); since < leastJudgeInterval || since < mostJudgeInterval && !m.pool.changed {
		return m.judgement
	}
	m.own.waiting, m.own.at = m.countWaiting(now), now
	compareFrom := m.switchSlice() - max(1, int(max(m.part(comparePart), compareLeast)/m.sliceLength()))
	if m.pool.changed || m.pool.waits(now) {
		m.judgement = m.pool.judge(now, m.switchSlice(), compareFrom)
	}
	m.judged, m.pool.changed = now, false
	return m.judgement
}

// Usage returns what the new version got from this daemon: the service's requests that were
// counted, the sends to the new version, and the credits left now.
func (m *Machine) Usage(now time.Time) (requests, sent, left int) {
	return m.allowance.Requests(), m.allowance.Spent(), max(0, m.allowance.Left(m.use(now)))
}
