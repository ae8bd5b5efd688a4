package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// Timing of probes.
const (
	// probeTimeout is how long a target has to answer a probe. A round trip takes a few
	// milliseconds; the rest allows for CPU scheduling delays of this process.
	probeTimeout = 200 * time.Millisecond
	// probeResultTTL is how long the result of a successful probe is reused.
	probeResultTTL = 100 * time.Millisecond
	// maxPlaceProbes is how many targets in the place of a lost target are probed at most, in
	// addition to those that this daemon uses. They are drawn at random, so other
	// daemons probe other targets.
	maxPlaceProbes = 5
	// In fleets of more than fullProbeDaemons, all daemons together probe each such target
	// about probesPerTarget times.
	fullProbeDaemons = 100
	probesPerTarget  = 2
	// maxChecks is how many probes are in flight at a time that no stream waits for. Each
	// costs about a millisecond of processor time, and a silent target takes probeTimeout.
	maxChecks = 8
	// maxLateness is how late this daemon may be while it waits for the answer to a probe
	// that then shows that the target is silent. If it is later than that, the answer may
	// have waited here. The target is probed again at once, with twice the time, at most
	// maxLateProbes times in a row.
	maxLateness   = 25 * time.Millisecond
	maxLateProbes = 2
	// reprobeDelay is the time until a target that did not answer is probed again. It
	// lets the second probe complete before the suspicion ends.
	reprobeDelay = fleet.SuspectDuration - 2*probeTimeout
)

// ProbeResult is the outcome of a probe.
type ProbeResult struct {
	Alive       bool
	Report      Report
	running     bool // the target's process answered, perhaps without a report
	terminated  bool // it has certainly ended
	startedAt   time.Time
	completedAt time.Time
}

// Prober checks whether targets are alive. At most one probe of a target is in flight,
// and all streams on the target share its result. Probes that no stream waits for, the
// checks, wait for each other, so that their number doesn't grow with that of the targets
// that seem silent. It is safe for concurrent use.
type Prober struct {
	client TargetClient
	fleet  *fleet.Fleet
	events *event.Recorder
	// OnSuspect, if set, is called for each target that becomes suspected. terminated
	// reports whether the target's process has certainly ended.
	OnSuspect func(t fleet.Target, terminated bool)

	// Lateness returns how late this daemon was at most from a time on, because its
	// processor was busy. It may be nil.
	Lateness func(since, now time.Time) time.Duration

	daemons atomic.Int64 // that share the targets
	probes  atomic.Int64 // that were made

	mu          sync.Mutex
	pending     map[string][]chan<- ProbeResult // channels for the result of the probe in flight, by target id
	lastResults map[string]ProbeResult          // by target id
	checks      checkQueue
	recheckDue  map[string]bool // by target id: a check is due after reprobeDelay
	lateProbes  map[string]int  // by target id: probes in a row that ended too late to show anything
}

// NewProber returns a prober that reports its results to the fleet.
func NewProber(client TargetClient, f *fleet.Fleet, events *event.Recorder) *Prober {
	return &Prober{client: client, fleet: f, events: events, pending: make(map[string][]chan<- ProbeResult), lastResults: make(map[string]ProbeResult), checks: newCheckQueue(maxChecks), recheckDue: make(map[string]bool), lateProbes: make(map[string]int)}
}

// Probe probes t and sends the outcome to reply, unless reply is full.
func (p *Prober) Probe(t fleet.Target, reply chan<- ProbeResult) {
	p.ProbeSince(t, reply, time.Time{})
}

// ProbeSince is like Probe, but reuses only results of probes that started at a time or
// later. The result of a probe that is in flight may be older.
func (p *Prober) ProbeSince(t fleet.Target, reply chan<- ProbeResult, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.reusable(t); ok && !last.startedAt.Before(since) {
		deliver(reply, last)
		return
	}
	waiters, inFlight := p.pending[t.ID]
	p.pending[t.ID] = append(waiters, reply)
	if !inFlight {
		go p.runProbe(t)
	}
}

// reusable returns the result of the last probe of t, and false if it is too old or the
// target was not alive. p.mu is held.
func (p *Prober) reusable(t fleet.Target) (ProbeResult, bool) {
	last, ok := p.lastResults[t.ID]
	return last, ok && last.Alive && time.Since(last.completedAt) < probeResultTTL
}

// answeredSince reports whether a probe of t that ended after a time shows that it runs.
func (p *Prober) answeredSince(t fleet.Target, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lastResults[t.ID]
	return last.running && last.completedAt.After(since)
}

// Probes returns how many probes were made so far.
func (p *Prober) Probes() int64 { return p.probes.Load() }

func (p *Prober) runProbe(t fleet.Target) {
	p.probes.Add(1)
	p.mu.Lock()
	timeout := probeTimeout << p.lateProbes[t.ID]
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	startedAt := time.Now()
	accepts := p.startConnect(ctx, t, timeout/2)
	report, err := p.client.Report(ctx, t)
	now := time.Now()
	if isRunning(err) && !restarted(t, report) {
		recordLoad(p.fleet, p.events, "", t, report.Load)
	}
	terminated := hasTerminated(t, report, err)
	result := ProbeResult{Alive: err == nil && !terminated, Report: report, running: isRunning(err) && !terminated, terminated: terminated, startedAt: startedAt, completedAt: now}
	p.mu.Lock()
	waiters := p.pending[t.ID]
	delete(p.pending, t.ID)
	p.lastResults[t.ID] = result
	// A failure proves nothing while this daemon is late, unless it was for several probes.
	late := !result.running && !terminated && p.lateProbes[t.ID] < maxLateProbes && p.lateness(startedAt, now) > maxLateness
	if late {
		p.lateProbes[t.ID]++
	} else {
		delete(p.lateProbes, t.ID)
	}
	p.mu.Unlock()
	switch {
	case result.running: // also without a report, which targets without a model don't have
		p.fleet.MarkAlive(t.ID)
	case terminated:
		if p.fleet.MarkTerminated(now, t) {
			p.events.Record(event.TargetTerminated, "", event.F("target", t.ID), event.F("place", t.Place))
			p.reportSuspect(t, true)
		}
	case late:
		p.Check(t)
	default:
		p.suspect(now, t, ctx.Err() != nil && <-accepts, err)
	}
	for _, reply := range waiters {
		deliver(reply, result)
	}
}

// lateness returns how late this daemon was at most from a time on.
func (p *Prober) lateness(since, now time.Time) time.Duration {
	if p.Lateness == nil {
		return 0
	}
	return p.Lateness(since, now)
}

// hasTerminated reports whether the outcome of a probe shows that the process of a target
// has ended.
func hasTerminated(t fleet.Target, r Report, err error) bool {
	return errors.Is(err, ErrOtherTarget) || errors.Is(err, ErrNotListening) || err == nil && restarted(t, r)
}

// isRunning reports whether the process that was probed answered.
func isRunning(err error) bool { return err == nil || errors.Is(err, ErrNoReport) }

// restarted reports whether r comes from another process of the target than t, the
// registered one. That process has no record of the runs of t.
func restarted(t fleet.Target, r Report) bool {
	return t.StartMillis != 0 && r.StartMillis != 0 && r.StartMillis != t.StartMillis
}

// deliver sends a result without blocking. A caller that requested several probes needs
// only the first result.
func deliver(reply chan<- ProbeResult, result ProbeResult) {
	select {
	case reply <- result:
	default:
	}
}

// startConnect opens a connection to a target after delay, and closes it. The channel that it
// returns receives whether the target accepted it before ctx ended.
func (p *Prober) startConnect(ctx context.Context, t fleet.Target, delay time.Duration) <-chan bool {
	accepts := make(chan bool, 1)
	time.AfterFunc(delay, func() {
		accepts <- ctx.Err() == nil && p.client.Connect(ctx, t) == nil
	})
	return accepts
}

// suspect marks a target as suspected and probes it again before the suspicion ends, so
// that it gets no new work while it is down.
func (p *Prober) suspect(now time.Time, t fleet.Target, accepts bool, err error) {
	newlySuspected := p.fleet.Suspect(now, t.ID, accepts)
	p.recheckLater(t)
	if !newlySuspected {
		return
	}
	p.events.Record(event.TargetSuspected, "", event.F("target", t.ID), event.F("place", t.Place), event.F("accepts", strconv.FormatBool(accepts)), event.F("error", err.Error()))
	p.reportSuspect(t, false)
}

// reportSuspect probes other targets in the place, since targets of a place often fail
// together, and calls OnSuspect.
func (p *Prober) reportSuspect(t fleet.Target, terminated bool) {
	p.CheckPlace(t)
	if p.OnSuspect != nil {
		p.OnSuspect(t, terminated)
	}
}

// SetDaemons sets the number of daemons that share the targets.
func (p *Prober) SetDaemons(n int) { p.daemons.Store(int64(n)) }

// CheckPlace probes targets of t's service in t's place, since the targets of a place
// often restart together: those that this daemon uses, and a few others.
func (p *Prober) CheckPlace(t fleet.Target) {
	now := time.Now()
	idle := placeProbes(p.fleet.PlaceSize(t), int(p.daemons.Load()), rand.Float64())
	for _, neighbour := range p.fleet.SamePlaceTargets(now, t, idle) {
		p.Check(neighbour)
	}
}

// placeProbes returns how many idle targets of a place one of the daemons probes. draw is
// drawn from [0, 1): in large fleets, only some daemons probe one.
func placeProbes(targets, daemons int, draw float64) int {
	if daemons <= fullProbeDaemons {
		return maxPlaceProbes
	}
	share := float64(probesPerTarget*targets) / float64(daemons)
	return min(maxPlaceProbes, int(share+draw))
}

// recheckLater probes a suspected target again after reprobeDelay. Several failed probes of
// a target lead to one further check.
func (p *Prober) recheckLater(t fleet.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recheckDue[t.ID] {
		return
	}
	p.recheckDue[t.ID] = true
	time.AfterFunc(reprobeDelay, func() {
		p.mu.Lock()
		delete(p.recheckDue, t.ID)
		p.mu.Unlock()
		if p.fleet.ExtendSuspicion(time.Now(), t.ID) {
			p.Check(t)
		}
	})
}

// Check probes t to update the fleet, after the checks that are due already.
func (p *Prober) Check(t fleet.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, inFlight := p.pending[t.ID]
	if _, known := p.reusable(t); known || inFlight {
		return
	}
	if p.checks.add(time.Now(), t) {
		p.pending[t.ID] = nil
		go p.runCheck(t)
	}
}

// runCheck makes the check of t, and then those that are due.
func (p *Prober) runCheck(t fleet.Target) {
	for more := true; more; {
		p.runProbe(t)
		t, more = p.nextCheck()
	}
}

// nextCheck returns the target to check next, and false if there is none: the place of the
// last check is free then.
func (p *Prober) nextCheck() (fleet.Target, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		c, ok := p.checks.next()
		if !ok {
			return fleet.Target{}, false
		}
		_, inFlight := p.pending[c.target.ID]
		if inFlight || p.lastResults[c.target.ID].startedAt.After(c.at) || !p.fleet.Has(c.target.ID) {
			continue // probed since, or no longer registered
		}
		p.pending[c.target.ID] = nil
		return c.target, true
	}
}

// Forget drops the results of targets for which keep returns false.
func (p *Prober) Forget(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.lastResults, func(id string, _ ProbeResult) bool { return !keep(id) })
	maps.DeleteFunc(p.lateProbes, func(id string, _ int) bool { return !keep(id) })
}
