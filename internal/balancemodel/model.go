// Package balancemodel simulates the daemons of a fleet that choose among the targets of a
// plain service by outdated views of their load. It compares the choice of package fleet
// with other methods. It uses no clock and no network, and a seed determines its result.
package balancemodel

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Parameters of the model.
const (
	service = "s"
	// hop is the time of a message between a daemon and a target.
	hop = 500 * time.Microsecond
	// Work takes between minWork and maxWork on a VM of speed 1 that is not slow.
	minWork, maxWork = 15 * time.Millisecond, 60 * time.Millisecond
	// A VM is slowFactor times slower for slowTime on average, in slowShare of the time.
	slowFactor = 2.5
	slowShare  = 0.15
	slowTime   = 300 * time.Millisecond
	usualTime  = 1700 * time.Millisecond // = slowTime * (1 - slowShare) / slowShare
	// Objective is the time within which a call should be answered.
	Objective = 150 * time.Millisecond
	// warmUp is not measured.
	warmUp = 10 * time.Second
	// sampleInterval is the time between two looks at the targets, and window the time over
	// which their loads are averaged for Result.Spread.
	sampleInterval = time.Millisecond
	window         = time.Second
	// Reports of peers: see the constants of package gateway and exchange.
	directDaemons  = 100
	digestInterval = 250 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	maxDirect      = 500 * time.Millisecond
	// sumInterval is the time for which a sum of all reports is reused, to save time.
	sumInterval = 10 * time.Millisecond
	unscaled    = 400
)

// Config describes a run of the model.
type Config struct {
	Daemons     int
	Slots       int           // of each target
	Speeds      []float64     // of the targets
	Utilization float64       // of all targets together
	Duration    time.Duration // that is measured
	StatesSlow  bool          // the targets state their slowness
	Seed        uint64
}

// Result is what a run measured.
type Result struct {
	Spread float64       // largest over mean load per slot of the targets, in windows of a second, on average
	Uneven float64       // share of time in which a target has a slot free while another one has a queue
	Idle   float64       // share of time in which a target has half of its slots free while another one has a queue
	Mean   time.Duration // of a call
	P99    time.Duration
	Late   float64 // fraction of calls above Objective
	Whole  float64 // largest over mean load per slot over the whole run
}

// String returns the figures as a row of a table.
func (r Result) String() string {
	return fmt.Sprintf("%.2f | %.2f | %.0f %% | %.0f %% | %.0f ms | %.0f ms | %.1f %%", r.Whole, r.Spread, 100*r.Uneven, 100*r.Idle,
		r.Mean.Seconds()*1000, r.P99.Seconds()*1000, 100*r.Late)
}

// call is a request in the model.
type call struct {
	daemon, target int
	sentAt         time.Duration
	work           time.Duration // on a VM of speed 1
	active         *fleet.ActiveRequest
	load           fleet.LoadStatement // stated in the answer
}

// target is a back end with a queue.
type target struct {
	speed, slow float64
	random      *rand.Rand
	running     int
	queue       []*call
}

// daemon is a daemon with its view.
type daemon struct {
	fleet   *fleet.Fleet
	views   []view
	running []int
}

// view is what the other methods know of a target.
type view struct {
	stated    float64 // requests, by the latest answer or report
	at        time.Duration
	sentSince int
	callTime  float64 // seconds, moving average
}

type event struct {
	at time.Duration
	do func()
	n  int // order of events at the same time
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// model is the state of a run.
type model struct {
	config   Config
	method   Method
	random   *rand.Rand // of the daemons
	calls    *rand.Rand // of arrivals and work, the same for all methods
	now      time.Duration
	events   events
	pushed   int
	targets  []*target
	daemons  []*daemon
	reports  []map[string]fleet.DaemonLoad // latest report of each daemon
	sum      map[string]int                // of the reports, by target, at summedAt
	summedAt time.Duration

	durations   []time.Duration
	windowLoad  []float64
	runLoad     []float64
	spreads     []float64
	looks       int
	uneven      int
	idle        int
	windowLooks int
}

var epoch = time.Unix(1_800_000_000, 0)

func (m *model) clock() time.Time { return epoch.Add(m.now) }

func (m *model) after(d time.Duration, do func()) {
	m.pushed++
	heap.Push(&m.events, event{m.now + d, do, m.pushed})
}

// Run simulates a fleet whose daemons choose by a method.
func Run(c Config, method Method) Result {
	m := &model{config: c, method: method, random: newRandom(c.Seed, 1), calls: newRandom(c.Seed, 2), windowLoad: make([]float64, len(c.Speeds)), runLoad: make([]float64, len(c.Speeds))}
	for i, speed := range c.Speeds {
		t := &target{speed: speed, slow: 1, random: newRandom(c.Seed, 10+uint64(i))}
		m.targets = append(m.targets, t)
		m.after(uniform(t.random, usualTime), func() { m.toggleSlow(t) })
	}
	for i := range c.Daemons {
		d := &daemon{fleet: fleet.New("p0", c.Seed+uint64(i)), views: make([]view, len(c.Speeds)), running: make([]int, len(c.Speeds))}
		d.fleet.SetStaleness(m.directInterval())
		d.fleet.SetReportAge(m.staleness())
		for j := range c.Speeds {
			d.fleet.Put(fleet.Target{ID: id(j), Service: service, Address: id(j), Place: fmt.Sprint("p", j%3), Slots: c.Slots})
		}
		m.daemons, m.reports = append(m.daemons, d), append(m.reports, nil)
	}
	for i := range m.daemons {
		interval := m.directInterval()
		if c.Daemons > directDaemons {
			interval = m.relayedInterval()
			m.after(uniform(m.random, digestInterval), func() { m.readDigest(i) })
		}
		m.after(uniform(m.random, interval), func() { m.report(i, interval) })
	}
	m.after(0, m.arrive)
	m.after(warmUp, m.look)
	for end := warmUp + c.Duration; len(m.events) > 0 && m.now < end; {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.result()
}

func id(target int) string { return fmt.Sprint("t", target) }

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(random.ExpFloat64() * float64(mean))
}

func uniform(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(limit))
}

// directInterval returns the time between two reports that each daemon sends to all others.
func (m *model) directInterval() time.Duration {
	others := m.config.Daemons - 1
	return min(4*time.Millisecond+time.Duration(others*others)*100*time.Microsecond, maxDirect)
}

// staleness returns the maximum age of reports, as the daemons know it.
func (m *model) staleness() time.Duration {
	if m.config.Daemons > directDaemons {
		return m.relayedInterval() + digestInterval
	}
	return m.directInterval()
}

// relayedInterval returns the time between two reports to the reporters of a place.
func (m *model) relayedInterval() time.Duration {
	return reportInterval * time.Duration(max(unscaled, m.config.Daemons)) / unscaled
}

func (m *model) toggleSlow(t *target) {
	if t.slow > 1 {
		t.slow = 1
		m.after(exponential(t.random, usualTime), func() { m.toggleSlow(t) })
		return
	}
	t.slow = slowFactor
	m.after(exponential(t.random, slowTime), func() { m.toggleSlow(t) })
}

// report lets a daemon report its load.
func (m *model) report(i int, interval time.Duration) {
	m.reports[i] = m.daemons[i].fleet.OwnLoads()
	if m.config.Daemons <= directDaemons {
		m.after(hop, func() {
			for j, d := range m.daemons {
				if j != i {
					d.fleet.SetPeerLoads(fmt.Sprint("d", i), m.reports[i])
					m.updateViews(j)
				}
			}
		})
	}
	m.after(interval, func() { m.report(i, interval) })
}

// readDigest lets a daemon of a large fleet learn the sum of the latest reports.
func (m *model) readDigest(i int) {
	if m.summedAt == 0 || m.now-m.summedAt >= sumInterval {
		m.summedAt = m.now
		m.sum = make(map[string]int)
		for _, loads := range m.reports {
			for id, l := range loads {
				m.sum[id] += l.Running
			}
		}
	}
	sum := make(map[string]fleet.DaemonLoad, len(m.sum))
	for id, running := range m.sum {
		if others := running - m.reports[i][id].Running; others > 0 {
			sum[id] = fleet.DaemonLoad{Running: others}
		}
	}
	m.after(digestInterval/2, func() { // reports of other places take two digests
		m.daemons[i].fleet.SetPeerLoads("others", sum)
		m.updateViews(i)
	})
	m.after(digestInterval, func() { m.readDigest(i) })
}

// updateViews replaces statements that are older than what the peers reported.
func (m *model) updateViews(i int) {
	d := m.daemons[i]
	for j := range d.views {
		if v := &d.views[j]; m.now-v.at > m.staleness() {
			running, _ := d.fleet.TotalLoad(id(j))
			v.stated, v.at, v.sentSince = float64(running), m.now-m.staleness()/2, 0
		}
	}
}

func (m *model) arrive() {
	var rate float64 // of the targets together, calls a second
	for _, t := range m.targets {
		rate += t.speed * float64(m.config.Slots)
	}
	rate /= (minWork + maxWork).Seconds() / 2 * (1 + slowShare*(slowFactor-1))
	m.after(exponential(m.calls, time.Duration(float64(time.Second)/(rate*m.config.Utilization))), m.arrive)

	i := m.calls.IntN(len(m.daemons))
	d := m.daemons[i]
	picked := m.method.pick(m, d)
	d.views[picked].sentSince++
	c := &call{daemon: i, target: picked, sentAt: m.now, work: minWork + uniform(m.calls, maxWork-minWork)}
	c.active = d.fleet.Begin(m.clock(), id(picked), fleet.Demand{})
	m.after(hop, func() {
		t := m.targets[picked]
		t.queue = append(t.queue, c)
		m.startNext(t)
	})
}

// startNext starts the calls of a target's queue for which there are slots.
func (m *model) startNext(t *target) {
	for len(t.queue) > 0 && t.running < m.config.Slots {
		c := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		m.after(time.Duration(float64(c.work)*t.slow/t.speed), func() {
			c.load = fleet.LoadStatement{Running: t.running, Waiting: len(t.queue), Slots: m.config.Slots, Slowness: 1}
			if m.config.StatesSlow {
				c.load.Slowness = t.slow / t.speed
			}
			t.running--
			m.startNext(t)
			m.after(hop, func() { m.answer(c) })
		})
	}
}

// answer lets the daemon of a call receive its answer.
func (m *model) answer(c *call) {
	d, took := m.daemons[c.daemon], m.now-c.sentAt
	if m.method.usesStatements {
		d.fleet.RecordLoad(m.clock(), fleet.Target{ID: id(c.target)}, c.load)
	}
	c.active.Done(m.clock(), false)
	v := &d.views[c.target]
	v.stated, v.at, v.sentSince = float64(c.load.Running+c.load.Waiting-1), m.now, 0
	if v.callTime == 0 {
		v.callTime = took.Seconds()
	}
	v.callTime += 0.1 * (took.Seconds() - v.callTime)
	if m.now > warmUp {
		m.durations = append(m.durations, took)
	}
}

// look samples the loads of the targets.
func (m *model) look() {
	queued, free, half := false, false, false
	for j, t := range m.targets {
		load := float64(t.running+len(t.queue)) / float64(m.config.Slots)
		m.windowLoad[j] += load
		m.runLoad[j] += load
		queued = queued || len(t.queue) > 0
		free = free || t.running < m.config.Slots
		half = half || 2*t.running <= m.config.Slots
	}
	m.looks++
	if queued && free {
		m.uneven++
	}
	if queued && half {
		m.idle++
	}
	if m.windowLooks++; m.windowLooks == int(window/sampleInterval) {
		m.spreads = append(m.spreads, spread(m.windowLoad))
		clear(m.windowLoad)
		m.windowLooks = 0
	}
	m.after(sampleInterval, m.look)
}

// spread returns the largest load over the mean.
func spread(loads []float64) float64 {
	var sum float64
	for _, l := range loads {
		sum += l
	}
	return slices.Max(loads) / sum * float64(len(loads))
}

func (m *model) result() Result {
	slices.Sort(m.durations)
	r := Result{Uneven: float64(m.uneven) / float64(m.looks), Idle: float64(m.idle) / float64(m.looks)}
	var sum time.Duration
	for _, d := range m.durations {
		sum += d
		if d > Objective {
			r.Late += 1 / float64(len(m.durations))
		}
	}
	r.Mean = sum / time.Duration(len(m.durations))
	r.P99 = m.durations[int(math.Ceil(0.99*float64(len(m.durations))))-1]
	for _, s := range m.spreads {
		r.Spread += s / float64(len(m.spreads))
	}
	r.Whole = spread(m.runLoad)
	return r
}
