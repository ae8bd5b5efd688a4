package forward

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// simEntries writes the entries of the simulated targets to a fleet, as a store does.
type simEntries struct {
	*simulation
	fleet *fleet.Fleet
	next  int // number of the next target
}

func (e *simEntries) put(t fleet.Target) { e.fleet.Put(t) }

// startProcess starts a process at an address and registers it.
func (e *simEntries) startProcess(id, address, place string) *simProcess {
	e.mu.Lock()
	e.started++
	version := fmt.Sprint("v", e.started%e.versions)
	e.mu.Unlock()
	t := fleet.Target{ID: id, Service: "svc", Address: address, Place: place, Slots: 8, StartMillis: time.Now().UnixMilli(), SoftwareVersion: version}
	p := &simProcess{Target: t, broken: make(chan struct{}), runs: make(map[string]*simRun), copies: make(map[string]bool)}
	e.mu.Lock()
	e.processes[address] = p
	e.logf("target %s starts at %s in %s", id, address, place)
	e.mu.Unlock()
	e.put(t)
	return p
}

func (e *simEntries) newID() string {
	e.next++
	return fmt.Sprintf("t%d", e.next)
}

// breakConnections ends the connections of a process and the runs on them.
func (e *simEntries) breakConnections(p *simProcess) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logf("target %s breaks its connections", p.ID)
	close(p.broken)
	p.broken = make(chan struct{})
}

// terminate ends a process.
func (e *simEntries) terminate(p *simProcess) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logf("target %s ends", p.ID)
	if !p.ended {
		p.ended, p.endedAt = true, time.Now()
		close(p.broken)
	}
}

// silence makes a process silent for a time.
func (e *simEntries) silence(p *simProcess, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.silent != nil || p.ended {
		return
	}
	e.logf("target %s is silent for %v", p.ID, d)
	p.silent = make(chan struct{})
	go func() {
		time.Sleep(d)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.logf("target %s goes on", p.ID)
		close(p.silent)
		p.silent = nil
	}()
}

// during sets a flag of a process for a time.
func (e *simEntries) during(p *simProcess, what string, flag *bool, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.logf("target %s %s for %v", p.ID, what, d)
	*flag = true
	go func() {
		time.Sleep(d)
		e.mu.Lock()
		defer e.mu.Unlock()
		*flag = false
	}()
}

// updateReports lets each process that is not silent update its report. A report has
// the runs that have begun and sent an event.
func (e *simEntries) updateReports() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.processes {
		if p.silent != nil {
			continue
		}
		reported, queued := make(map[string]RunStatus), 0
		for id, r := range p.runs {
			switch {
			case r.waits:
				queued++
			case r.events > 0:
				reported[id] = RunStatus{Tokens: 5000 + r.events, Events: r.events}
			}
		}
		p.reported, p.queued = reported, queued
	}
}

// simFault is one fault of a target.
type simFault struct {
	at      time.Duration
	address string
	kind    string
	d, back time.Duration // how long it lasts, and when the target or its entry returns
}

// simFaultWeights are the kinds of faults. A kind that occurs more often is there more
// than once.
var simFaultWeights = []string{
	"silent", "silent", "silent", "silent", "silent", "silent", "break", "crash", "restart", "refuse", "refuse",
	"unreachable", "leave", "leave without notice", "vanish", "vanish for a while", "superseded", "suspected by a peer",
}

// planFaults draws faults that come in series. A series may hit all targets at once.
func planFaults(random *rand.Rand, addresses []string, length time.Duration) []simFault {
	var faults []simFault
	for range 1 + random.IntN(8) {
		start := time.Duration(random.Int64N(int64(length)))
		kind, all := "", random.IntN(4) == 0
		if random.IntN(2) == 0 {
			kind = simFaultWeights[random.IntN(len(simFaultWeights))]
		}
		for i := range 1 + random.IntN(5) {
			f := simFault{
				at: start + between(random, 0, 1500*time.Millisecond), address: addresses[random.IntN(len(addresses))], kind: kind,
				d: between(random, 300*time.Millisecond, 2*time.Second), back: between(random, 300*time.Millisecond, 3*time.Second),
			}
			if f.kind == "" {
				f.kind = simFaultWeights[random.IntN(len(simFaultWeights))]
			}
			if all {
				f.address, f.at = addresses[i%len(addresses)], start+between(random, 0, 50*time.Millisecond)
			}
			faults = append(faults, f)
		}
	}
	return faults
}

// between returns a random duration.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// apply carries out a fault. It returns once the fault is over.
func (e *simEntries) apply(f simFault) {
	time.Sleep(f.at)
	p := e.process(f.address)
	if p == nil {
		return
	}
	switch f.kind {
	case "silent":
		e.silence(p, f.d)
	case "break":
		e.breakConnections(p)
	case "crash", "restart": // under another id, as on the platform, or the same
		e.terminate(p)
		time.Sleep(f.back)
		id := p.ID
		if f.kind == "crash" {
			id = e.newIDLocked()
		}
		if e.process(f.address) == nil {
			e.startProcess(id, f.address, p.Place)
		}
		if id != p.ID {
			time.Sleep(f.d)
			e.fleet.Remove(time.Now(), p.ID, false)
		}
	case "refuse":
		e.during(p, "refuses", &p.refusing, f.d)
	case "unreachable":
		e.during(p, "is unreachable", &p.unreachable, f.d)
	case "leave", "leave without notice":
		if f.kind == "leave" {
			e.leave(p)
		} else {
			e.remove(p, false)
		}
		time.Sleep(3 * f.back)
		e.terminate(p)
		e.fleet.Remove(time.Now(), p.ID, false)
		if e.process(f.address) == nil {
			e.startProcess(e.newIDLocked(), f.address, p.Place)
		}
	case "vanish", "vanish for a while": // the process runs on
		e.remove(p, f.kind == "vanish for a while")
		time.Sleep(f.back)
		if e.process(f.address) == p {
			e.restore(p)
		}
	case "superseded":
		e.terminate(p)
		e.startProcess(e.newIDLocked(), f.address, p.Place)
		time.Sleep(f.back)
		e.fleet.Remove(time.Now(), p.ID, false)
	case "suspected by a peer":
		e.fleet.ApplyPeerSuspicion(time.Now(), p.ID)
	}
}

func (e *simEntries) newIDLocked() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newID()
}

// leave marks the entry of a target as leaving.
func (e *simEntries) leave(p *simProcess) {
	e.mu.Lock()
	e.logf("target %s leaves", p.ID)
	p.Leaving = true
	t := p.Target
	e.mu.Unlock()
	e.put(t)
}

// remove removes the entry of a target that runs on.
func (e *simEntries) remove(p *simProcess, mayReturn bool) {
	e.mu.Lock()
	e.logf("the entry of target %s is removed, may return: %v", p.ID, mayReturn)
	e.mu.Unlock()
	e.fleet.Remove(time.Now(), p.ID, mayReturn)
}

// restore writes the entry of a target again.
func (e *simEntries) restore(p *simProcess) {
	e.mu.Lock()
	e.logf("the entry of target %s is back", p.ID)
	t := p.Target
	e.mu.Unlock()
	e.put(t)
}
