package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// waitReport is how an engine reports a run that it has preempted.
type waitReport int

const (
	waitQueued   waitReport = iota // in the queue; it can't be moved
	waitListed                     // among the runs; it can be moved
	waitUnlisted                   // nowhere; it can't be moved
)

// waitReportOf is the manner of an engine with a number. One that goes on with runs whose
// connection has closed lists them, so that they can be stopped.
func waitReportOf(i int) waitReport {
	return [...]waitReport{waitQueued, waitListed, waitUnlisted, waitListed}[i%4]
}

// preemption is what an engine knows of the runs that it lets wait. The engine's mutex
// protects it.
type preemption struct {
	report  waitReport
	due     map[string]time.Duration // how long runs wait after their next event, by request id
	waiting map[string]int           // events made by the runs that wait, by request id
}

// preempt lets an engine preempt some streams that have begun, as if more urgent requests took
// their memory. One in four waits at the next engine again.
func preempt(s *site, rng *rand.Rand) {
	e := s.engines[rng.IntN(len(s.engines))]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(e.running)) {
		if rng.IntN(3) > 0 {
			continue
		}
		e.preemption.due[id] = drawWait(rng)
		if rng.IntN(4) == 0 {
			s.again.Store(id, drawWait(rng))
		}
	}
}

// waitingSite returns what a site in which runs wait is like: whether there are copies, and the
// slots of each engine.
func waitingSite(seed uint64) (copies bool, slots func(engine int) int) {
	few, most := -1, manySlots // the engine with few slots, and the slots of the others
	switch seed % 4 {
	case 1:
		few = 4
	case 3:
		most = 8
	}
	return seed%4 != 2, func(engine int) int {
		if engine == few {
			return 3
		}
		return most
	}
}

func drawWait(rng *rand.Rand) time.Duration {
	return 500*time.Millisecond + upTo(rng, 6500*time.Millisecond)
}

// admit waits until the engine has a slot for a run, which may have one reserved.
func (e *engine) admit(r *http.Request, id string) bool {
	for {
		e.mu.Lock()
		_, running := e.running[id]
		reserved := e.takeReservation(r.Header.Get("Vanillaroad-Hold"))
		if !running && (reserved || len(e.running)+e.openReservations() < e.slots) {
			e.running[id], running = 0, true
		}
		e.mu.Unlock()
		if running {
			return true
		}
		if !e.pause(r, 5*time.Millisecond) {
			return false
		}
	}
}

// wait lets a run that was preempted wait, without its slot. It returns false if the run ends
// meanwhile.
func (e *engine) wait(r *http.Request, this *run, id string, events int) bool {
	e.mu.Lock()
	d := e.preemption.due[id]
	if d == 0 {
		e.mu.Unlock()
		return true
	}
	delete(e.preemption.due, id)
	delete(e.running, id)
	e.preemption.waiting[id] = events
	e.mu.Unlock()
	e.ledger.beginWait(this)
	if !e.pause(r, d) || !e.admit(r, id) {
		return false
	}
	e.mu.Lock()
	delete(e.preemption.waiting, id)
	e.running[id] = events
	e.mu.Unlock()
	e.ledger.endWait(this)
	return true
}

// movable returns the events made by a run that can be moved.
func (e *engine) movable(id string) (events int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if events, ok = e.running[id]; !ok && e.preemption.report == waitListed {
		events, ok = e.preemption.waiting[id]
	}
	return events, ok
}

// preemptAgain lets a run that has begun at another engine wait there, too.
func (e *engine) preemptAgain(id string) {
	if d, ok := e.site.again.LoadAndDelete(id); ok {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.preemption.due[id] = d.(time.Duration)
	}
}

// resumeTime returns how long the engine takes to begin a run that has begun elsewhere. One in
// six begins late at all engines, but for those that go on: nothing ends a run there that has
// not begun.
func (e *engine) resumeTime(id string, copied bool) time.Duration {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id)
	rng, d := rand.New(rand.NewPCG(hash.Sum64(), 5)), time.Millisecond
	if !copied {
		d += 100 * time.Millisecond
	}
	if rng.IntN(6) == 0 && !e.goesOn {
		d += 300*time.Millisecond + upTo(rng, 2*time.Second)
	}
	return d
}

func (l *ledger) beginWait(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.waits = append(r.waits, span{kind: "wait", from: time.Now()})
}

func (l *ledger) endWait(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.waits[len(r.waits)-1].until = time.Now()
}

// waitsSince returns the start of the wait in which a run ended, and zero if there is none.
func (r run) waitsSince() time.Time {
	if n := len(r.waits); n > 0 && r.waits[n-1].until.IsZero() {
		return r.waits[n-1].from
	}
	return time.Time{}
}

// lastWork returns when the engine last worked on a run.
func (r run) lastWork() time.Time {
	if from := r.waitsSince(); !from.IsZero() {
		return from
	}
	return r.ended
}

// waitTime returns for how long any of the runs waited between two times.
func waitTime(from, until time.Time, runs ...run) (waited time.Duration) {
	var waits []span
	for _, r := range runs {
		waits = append(waits, r.waits...)
	}
	slices.SortFunc(waits, func(a, b span) int { return a.from.Compare(b.from) })
	for _, w := range waits {
		begin, end := w.from, w.until
		if begin.Before(from) {
			begin = from
		}
		if end.IsZero() || end.After(until) {
			end = until
		}
		if end.After(begin) {
			waited += end.Sub(begin)
			from = end // overlapping waits count once
		}
	}
	return waited
}

// reaction is the time within which a daemon can have a stream that waits at another engine:
// the pause that shows the wait, and the time of a move.
const reaction = time.Second

// couldBegin looks for engines that could have begun a stream, which waited when its daemon
// stopped, before the end of the grace period. waited reports whether the stream waited.
func (s *site) couldBegin(a *attempt, runs []run, signaled time.Time) (engines []string, waited bool) {
	var since time.Time
	sent, begun := make(map[string]bool), make(map[string]bool)
	for _, r := range runs {
		sent[r.engine] = true
		if !r.firstEvent.IsZero() {
			begun[r.engine], since = true, r.waitsSince()
		}
	}
	if since.IsZero() || len(sent) >= streamAttempts {
		return nil, !since.IsZero()
	}
	for _, e := range s.engines {
		last := signaled.Add(grace - reaction - e.resumeTime(a.id, s.copies))
		if e.service == modelService && !begun[e.id] && s.hadRoom(e, since, last) {
			engines = append(engines, e.id)
		}
	}
	return engines, true
}

// hadRoom reports whether an engine had fewer streams than slots for the time of a reaction that
// begins between two times.
func (s *site) hadRoom(e *engine, from, until time.Time) bool {
	const step = 50 * time.Millisecond
	free := time.Duration(0)
	for at := from; at.Before(until.Add(reaction)); at = at.Add(step) {
		free += step
		if s.ledger.streams(e.id, at) >= e.slots {
			free = 0
		}
		if free >= reaction {
			return true
		}
	}
	return false
}

// streams returns how many streams an engine had, also in its queue.
func (l *ledger) streams(engine string, at time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.engine == engine && !r.began.After(at) && (r.ended.IsZero() || r.ended.After(at)) {
				n++
			}
		}
	}
	return n
}

// describeWaits returns the waits of a run for the traces.
func (r run) describeWaits(at func(time.Time) string) (text string) {
	for _, w := range r.waits {
		text += fmt.Sprintf(", waits from %s to %s", at(w.from), at(w.until))
	}
	return text
}

// describeAllWaits counts the waits by the second after the SIGTERM of their daemon in which they
// began, -1 for those before.
func (s *site) describeAllWaits() string {
	others, stopping := 0, make(map[int]int)
	for _, a := range s.record.attempts {
		for _, r := range s.ledger.of(a.id) {
			for _, w := range r.waits {
				i := slices.IndexFunc(s.planned, func(p span) bool {
					return p.kind == "SIGTERM" && s.callersOf(p.daemon) == a.daemon && !a.ended.Before(p.from) && !w.from.After(p.until)
				})
				if i < 0 {
					others++
					continue
				}
				stopping[int(math.Floor(max(-1, w.from.Sub(s.planned[i].from).Seconds())))]++
			}
		}
	}
	return fmt.Sprintf("waits by the second of a stop: %v, others %d", stopping, others)
}
