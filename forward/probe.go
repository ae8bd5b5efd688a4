package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// Timing of probes.
const (
	// probeTimeout is how long a target has to answer a probe. Round trips take a
	// few milliseconds; the rest is for pauses of this process's processor.
	probeTimeout = 200 * time.Millisecond
	// probeFresh is how long an answered probe stands for another one.
	probeFresh = 100 * time.Millisecond
	// placeProbes is how many targets of a place, beside those in use, a daemon asks
	// once one of them is lost. Its peers ask others.
	placeProbes = 5
	// suspectAgain is when a target that did not answer is asked again, in time
	// before the suspicion ends.
	suspectAgain = fleet.SuspectDuration - 2*probeTimeout
)

// Probe is the outcome of a question to a target.
type Probe struct {
	Alive  bool
	Report Report
	at     time.Time
}

// Prober asks targets whether they live. All streams on a target share one probe
// at a time and its result. It is safe for concurrent use.
type Prober struct {
	sender TargetClient
	fleet  *fleet.Fleet
	events *event.Recorder
	// Suspected, if set, is told of each target that is newly taken for dead, and
	// whether its process has certainly ended.
	OnSuspect func(t fleet.Target, ended bool)

	mu      sync.Mutex
	pending map[string][]chan<- Probe
	last    map[string]Probe
}

// NewProber returns a prober that tells the fleet what it finds.
func NewProber(s TargetClient, f *fleet.Fleet, events *event.Recorder) *Prober {
	return &Prober{sender: s, fleet: f, events: events, pending: make(map[string][]chan<- Probe), last: make(map[string]Probe)}
}

// Ask sends the outcome of a probe of t to reply, unless reply is full.
func (p *Prober) Ask(t fleet.Target, reply chan<- Probe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.last[t.ID]; ok && last.Alive && time.Since(last.at) < probeFresh {
		deliver(reply, last)
		return
	}
	waiting, running := p.pending[t.ID]
	p.pending[t.ID] = append(waiting, reply)
	if !running {
		go p.probe(t)
	}
}

func (p *Prober) probe(t fleet.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	report, err := p.sender.Report(ctx, t)
	now := time.Now()
	ended := errors.Is(err, ErrOtherTarget) || errors.Is(err, ErrNotListening) || err == nil && otherRun(t, report)
	result := Probe{Alive: err == nil && !ended, Report: report, at: now}
	p.mu.Lock()
	waiting := p.pending[t.ID]
	delete(p.pending, t.ID)
	p.last[t.ID] = result
	p.mu.Unlock()
	switch {
	case result.Alive:
		p.fleet.MarkAlive(t.ID)
	case ended:
		if p.fleet.MarkTerminated(now, t) {
			p.events.Record(event.TargetEnded, "", event.F("target", t.ID), event.F("place", t.Place))
			p.spread(t, true)
		}
	default:
		p.suspect(now, t, err)
	}
	for _, reply := range waiting {
		deliver(reply, result)
	}
}

// otherRun tells whether a report is of another run of a target, which knows nothing
// of the one that is asked about.
func otherRun(t fleet.Target, r Report) bool {
	return t.StartMillis != 0 && r.StartMillis != 0 && r.StartMillis != t.StartMillis
}

// deliver never blocks: who asks twice needs only the first outcome.
func deliver(reply chan<- Probe, result Probe) {
	select {
	case reply <- result:
	default:
	}
}

// suspect takes a target for dead, and asks it again before it would get new work.
func (p *Prober) suspect(now time.Time, t fleet.Target, err error) {
	fresh := p.fleet.Suspect(now, t.ID)
	time.AfterFunc(suspectAgain, func() {
		if p.fleet.State(time.Now(), t.ID) == fleet.Suspected {
			p.Check(t)
		}
	})
	if !fresh {
		return
	}
	p.events.Record(event.TargetSuspected, "", event.F("target", t.ID), event.F("place", t.Place), event.F("error", err.Error()))
	p.spread(t, false)
}

// spread asks others of the place, as they are often lost together, and tells who
// else wants to know.
func (p *Prober) spread(t fleet.Target, ended bool) {
	p.CheckPlace(t)
	if p.OnSuspect != nil {
		p.OnSuspect(t, ended)
	}
}

// CheckPlace probes targets of t's service in its place: those that run something for
// this daemon, and a few others. What restarted one of them often restarted all.
func (p *Prober) CheckPlace(t fleet.Target) {
	for _, neighbour := range p.fleet.SamePlaceTargets(time.Now(), t, placeProbes) {
		p.Check(neighbour)
	}
}

// Check probes t for what it tells the fleet alone.
func (p *Prober) Check(t fleet.Target) { p.Ask(t, make(chan Probe, 1)) }

// Forget drops what is remembered of targets for which keep returns false.
func (p *Prober) Forget(keep func(id string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.last, func(id string, _ Probe) bool { return !keep(id) })
}
