package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/vanillaroad/vanillaroad/allowance"
)

// Parameters of the phases.
const (
	// switchStart is the part of the duration after which the switch phase begins.
	switchStart = 0.94
	// completeMargin is how long before the time limit the final state is written, as a part of
	// the duration, within leastMargin and mostMargin and at most half of the switch phase. A
	// write takes up to two answers of the store, and another daemon may have to make it: with
	// 300 ms, a second writer was up to 0.1 s late in 4 of 108 simulated orders of 12 s.
	completeMargin = 0.02
	leastMargin    = 500 * time.Millisecond
	mostMargin     = 2 * time.Second
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
	finalJudged  bool // the exact test at the end was made
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

// DropEvidence frees the evidence once the roll-out has ended.
func (m *Machine) DropEvidence() {
	m.resetEvidence()
	clear(m.requests)
}

func (m *Machine) resetEvidence() {
	m.pool = newPool()
	m.own = m.pool.source("", 0, 1)
	m.ownSince = make(map[int]uint64)
	m.sequence++
	m.judged, m.judgement, m.finalJudged = time.Time{}, judgement{}, false
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

// stored returns the state in the store if it is about the target of the order.
func (m *Machine) stored() State {
	if m.statusTarget != m.order.Target {
		return ""
	}
	return m.state
}

func (m *Machine) completed() bool { return m.stored() == Completed }

// advance notes the time.
func (m *Machine) advance(now time.Time) {
	if now.After(m.latest) {
		m.latest = now
	}
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
	threshold := float64(badThreshold)
	if !m.judges {
		// Each daemon may judge by its own counters. The bound on false alarms holds for all
		// of them together.
		threshold *= float64(max(1, m.daemons))
	}
	if m.bad == "" && j.wealth >= threshold {
		m.bad = fmt.Sprintf("%s (evidence %.1g)", j.reason, j.wealth)
	}
	d := Decision{Verdict: Undecided, LittleEvidence: m.little}
	responses := j.responses()
	if responses >= littleEvidence {
		d.Verdict = Good
	}
	age := m.age(now)
	due := !m.order.Presumed() && age >= m.completeAt()
	if due && m.bad == "" {
		d.LittleEvidence = responses < littleEvidence
		switch {
		case !m.judges || m.noTargets:
		case d.LittleEvidence:
			if reason := j.exact(littleLevels); reason != "" {
				m.bad, m.little = "little evidence: "+reason, true
			}
		case !m.finalJudged: // once: each look has the probability of a false alarm
			m.finalJudged = true
			m.bad = j.exact(finalLevels)
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
