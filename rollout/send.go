package rollout

import (
	"math"
	"slices"
	"time"
)

// Parameters of the use of the allowance.
const (
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
	// phase while the slack is used. The version gets between 4 % and a third of the requests then.
	focusFraction = 0.15
	// lateFocusFraction is that part afterwards, when the version gets 4 % of the requests. With 0.15,
	// a target of it would have a quarter of its usual load.
	lateFocusFraction = 0.05
	// controlInterval is the number of requests of the switch phase of which one goes to the old
	// version, for comparison.
	controlInterval = 5
)

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

// Focus returns the targets of the new version that get its requests before the switch phase: a
// part of them as large as the part of the requests that the version gets, so that each of them
// has about the load that it would have after the switch. Another part is taken in each slice,
// because one VM may be slower than others. All daemons take the same.
func (m *Machine) Focus(now time.Time, targets []string) []string {
	if m.completed() || m.switching(now) || len(targets) < 2 {
		return targets
	}
	ranked := slices.Sorted(slices.Values(targets))
	fraction := focusFraction
	if !m.order.Presumed() && m.age(now) >= m.part(slackPeriod) {
		fraction = lateFocusFraction
	}
	n := int(math.Ceil(fraction * float64(len(ranked))))
	first := m.slice(now) * n % len(ranked)
	return append(ranked[first:], ranked[:first]...)[:n]
}

// Usage returns what the new version got from this daemon: the service's requests that were
// counted, the sends to the new version, and the credits left now.
func (m *Machine) Usage(now time.Time) (requests, sent, left int) {
	return m.allowance.Requests(), m.allowance.Spent(), max(0, m.allowance.Left(m.use(now)))
}
