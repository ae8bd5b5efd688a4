package allowance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

const service = "s"

// loanWait is how long a stream waits for a loan, as in package forward.
const loanWait = 150 * time.Millisecond

// faults are those of a simulated fleet.
type faults struct {
	lost, duplicated, delayed float64 // fractions of the messages
	deaths                    int     // of daemons, which restart
	oldBuilds                 float64 // fraction of the daemons
	partition                 bool    // half of the fleet does not hear the other half for a time
	fresh                     bool    // all daemons have just started
}

// losses are the targets' losses: count moments at which some daemons lose streams.
type losses struct {
	count                  int
	minDaemons, maxDaemons int
	minStreams, maxStreams int
}

// simFleet is a fleet of daemons without a network, over simulated time.
type simFleet struct {
	settings      Settings
	faults        faults
	random        *rand.Rand
	now, end      time.Time
	events        eventHeap
	daemons       []*simDaemon
	cutFrom, cut  time.Time // of the partition
	requests      []time.Time
	uses          []time.Time
	served        int
	denied        int
	messages      int
	deniedAtFree  float64 // largest fraction of the fleet's credits that could be lent at a denial
	lastWaitOfAll time.Duration
}

type simDaemon struct {
	index   int
	borrows Borrower
	budget  *Budget
	alive   bool
	diedAt  time.Time
	old     bool
	waiting []*simStream
	pumpAt  time.Time
}

// simStream is a stream that was lost and waits for a credit.
type simStream struct {
	key   string
	since time.Time
	until time.Time
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap struct {
	list []simEvent
	seq  int
}

func (h *eventHeap) Len() int { return len(h.list) }
func (h *eventHeap) Less(i, j int) bool {
	a, b := h.list[i], h.list[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (h *eventHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *eventHeap) Push(x any)    { h.list = append(h.list, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

func newSimFleet(seed uint64, n int, s Settings, f faults, length time.Duration) *simFleet {
	w := &simFleet{settings: s, faults: f, random: rand.New(rand.NewPCG(seed, uint64(n))), now: epoch, end: epoch.Add(length)}
	for i := range n {
		d := &simDaemon{index: i, old: w.random.Float64() < f.oldBuilds}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		started := epoch.Add(-time.Hour)
		if f.fresh {
			started = epoch
		}
		w.start(d, started)
	}
	return w
}

func (w *simFleet) start(d *simDaemon, at time.Time) {
	d.alive, d.waiting, d.pumpAt = true, nil, time.Time{}
	d.borrows = Borrower{ID: fmt.Sprint("d", d.index), Incarnation: d.borrows.Incarnation + 1}
	d.budget = NewBudget(at, w.settings)
	d.budget.SetDaemons(len(w.daemons))
	if !d.old {
		d.budget.EnableLending()
	}
}

func (w *simFleet) after(d time.Duration, do func()) {
	w.events.seq++
	heap.Push(&w.events, simEvent{w.now.Add(d), w.events.seq, do})
}

func (w *simFleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)+1))
}

func (w *simFleet) run() {
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
}

// addRequests lets callers send streams to each daemon, perSecond on average.
func (w *simFleet) addRequests(perSecond float64, streamLength time.Duration) {
	for _, d := range w.daemons {
		var next func()
		next = func() {
			if !w.now.Before(w.end) {
				return
			}
			w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), next)
			if !d.alive {
				return
			}
			w.requests = append(w.requests, w.now)
			b := d.budget
			b.CountRequest(w.now, service)
			if w.random.IntN(20) == 0 && b.Spend(w.now, service, 1, false) {
				w.uses = append(w.uses, w.now)
			}
			w.after(w.between(200*time.Millisecond, time.Second), func() { b.AddStreams(w.now, service, 1) })
			w.after(time.Second+w.between(0, 2*streamLength), func() { b.AddStreams(w.now, service, -1) })
		}
		w.after(time.Duration(w.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
}

// addLosses lets targets vanish, at random times from a time on.
func (w *simFleet) addLosses(l losses, from time.Duration) {
	for range l.count {
		w.after(from+w.between(0, w.end.Sub(epoch)-from), func() {
			for range l.minDaemons + w.random.IntN(l.maxDaemons-l.minDaemons+1) {
				w.lose(w.daemons[w.random.IntN(len(w.daemons))], l.minStreams+w.random.IntN(l.maxStreams-l.minStreams+1))
			}
		})
	}
}

// addEvenLosses lets most streams be lost in ten seconds, from a time on: at eight moments, each
// time 6 to 12 streams of a few daemons.
func (w *simFleet) addEvenLosses(most int, from time.Duration) {
	const interval = 10 * time.Second / 8
	for at := from; at < w.end.Sub(epoch); at += interval {
		w.after(at, func() {
			for left := most / 8; left >= 6; {
				n := min(left, 6+w.random.IntN(7))
				left -= n
				w.lose(w.daemons[w.random.IntN(len(w.daemons))], n)
			}
		})
	}
}

// lose lets a daemon lose n streams now.
func (w *simFleet) lose(d *simDaemon, n int) {
	if !d.alive {
		return
	}
	for i := range n {
		s := &simStream{key: fmt.Sprint(w.events.seq, "-", i), since: w.now, until: w.now.Add(loanWait)}
		if !w.resume(d) {
			d.budget.Want(w.now, service, s.key, 1)
			d.waiting = append(d.waiting, s)
		}
	}
	b := d.budget
	w.after(loanWait, func() {
		if d.alive && d.budget == b {
			w.resumeWaiting(d)
		}
	})
	w.pump(d)
}

// resume sends a stream to another target if the daemon has a credit. The send may take place
// later than it was paid for.
func (w *simFleet) resume(d *simDaemon) bool {
	own, _ := d.budget.Available(w.now, service)
	if !d.budget.Spend(w.now, service, 1, true) {
		return false
	}
	if w.random.IntN(4) == 0 { // the send was not made
		d.budget.Release(w.now, service)
		if !d.budget.Spend(w.now, service, 1, true) {
			panic("a use that was taken back can't be paid for again")
		}
	}
	at := w.now
	if own < One {
		at = at.Add(w.between(0, useDelay))
	}
	w.uses = append(w.uses, at)
	w.served++
	return true
}

func (w *simFleet) resumeWaiting(d *simDaemon) {
	d.waiting = slices.DeleteFunc(d.waiting, func(s *simStream) bool {
		switch {
		case w.resume(d):
			w.lastWaitOfAll = max(w.lastWaitOfAll, w.now.Sub(s.since))
		case !w.now.Before(s.until):
			w.denied++
			if w.faults == (faults{}) {
				w.deniedAtFree = max(w.deniedAtFree, w.lendableFraction())
			}
		default:
			return false
		}
		d.budget.Unwant(service, s.key)
		return true
	})
}

// lendableFraction returns the credits that daemons would lend now, as a fraction of what all have
// without uses.
func (w *simFleet) lendableFraction() float64 {
	var lendable, capacity Credits
	for _, d := range w.daemons {
		a := d.budget.account(w.now, service)
		capacity += a.capacity(w.now, w.settings, d.budget.slackShare(w.now))
		if d.alive && !d.old {
			lendable += max(0, d.budget.lendable(w.now, a, w.now.Add(countedValidity), true))
		}
	}
	return float64(lendable) / float64(capacity)
}

// pump carries out what a daemon plans.
func (w *simFleet) pump(d *simDaemon) {
	b := d.budget
	for _, ask := range b.PlanAsks(w.now, func() []string { return w.live(d) }, w.random.IntN) {
		w.deliver(d, ask)
	}
	for _, r := range b.PlanReturns(w.now) {
		to := w.byID(r.To)
		from := d.borrows
		w.send(d, to, func() { to.budget.AcceptReturn(w.now, from, r.Seq, r.Amount) })
	}
	next := b.NextAt(w.now)
	if next.IsZero() || !w.now.Before(w.end) || !d.pumpAt.IsZero() && !next.Before(d.pumpAt) && d.pumpAt.After(w.now) {
		return
	}
	d.pumpAt = next
	w.after(max(time.Millisecond, next.Sub(w.now)), func() {
		if d.alive && d.budget == b && !d.pumpAt.After(w.now) {
			d.pumpAt = time.Time{}
			w.pump(d)
		}
	})
}

func (w *simFleet) byID(id string) *simDaemon {
	i, _ := strconv.Atoi(id[1:])
	return w.daemons[i]
}

// deliver sends a request and its reply.
func (w *simFleet) deliver(d *simDaemon, ask Ask) {
	to, from, b := w.byID(ask.To), d.borrows, d.budget
	w.send(d, to, func() {
		if to.old {
			w.send(to, d, func() { b.Fail(w.now, ask.Seq, true) })
			return
		}
		granted := to.budget.Grant(w.now, from, ask.Seq, service, ask.Amount, ask.Urgent)
		w.pump(to)
		w.send(to, d, func() {
			if d.budget == b {
				b.Receive(w.now, ask.Seq, granted)
				w.resumeWaiting(d)
				w.pump(d)
			}
		})
	})
}

// send delivers a message, or loses, delays or duplicates it.
func (w *simFleet) send(from, to *simDaemon, do func()) {
	w.messages++
	copies := 1
	if w.random.Float64() < w.faults.duplicated {
		copies = 2
	}
	for range copies {
		delay := w.between(500*time.Microsecond, 4*time.Millisecond)
		if w.random.Float64() < w.faults.delayed {
			delay = w.between(0, 3*time.Second)
		}
		if w.random.Float64() < w.faults.lost || !w.hears(from, to) {
			continue
		}
		w.after(delay, func() {
			if to.alive {
				do()
			}
		})
	}
}

// hears reports whether no partition is between two daemons now.
func (w *simFleet) hears(a, b *simDaemon) bool {
	return w.now.Before(w.cutFrom) || !w.now.Before(w.cut) || a.index%2 == b.index%2
}

// live returns the daemons that seem live to d, for a second also those that have died.
func (w *simFleet) live(d *simDaemon) (out []string) {
	for _, o := range w.daemons {
		if o != d && (o.alive || w.now.Sub(o.diedAt) < time.Second) && w.hears(d, o) {
			out = append(out, o.borrows.ID)
		}
	}
	return out
}

// addFaults schedules the deaths and the partition.
func (w *simFleet) addFaults() {
	length := w.end.Sub(epoch)
	for range w.faults.deaths {
		d := w.daemons[w.random.IntN(len(w.daemons))]
		w.after(w.between(0, length), func() {
			d.alive, d.diedAt = false, w.now
			w.after(w.between(10*time.Millisecond, 3*time.Second), func() {
				if !d.alive {
					w.start(d, w.now)
				}
			})
		})
	}
	if w.faults.partition {
		w.cutFrom = epoch.Add(w.between(0, length))
		w.cut = w.cutFrom.Add(w.between(time.Second, 20*time.Second))
	}
}

// checkLimit returns the windows in which the fleet exceeded the limit.
func (w *simFleet) checkLimit() (violations []string) {
	slices.SortFunc(w.uses, time.Time.Compare)
	slices.SortFunc(w.requests, time.Time.Compare)
	count := func(times []time.Time, end time.Time) float64 {
		after := func(t time.Time) int { return sort.Search(len(times), func(i int) bool { return times[i].After(t) }) }
		return float64(after(end) - after(end.Add(-w.settings.Window)))
	}
	for _, end := range w.uses {
		window := w.settings.Window
		requests := max(count(w.requests, end), count(w.requests, end.Add(-window/2)), count(w.requests, end.Add(-window)))
		if n, limit := count(w.uses, end), w.settings.Ratio*requests+w.settings.Slack; n > limit {
			violations = append(violations, fmt.Sprintf("%g uses in the window to %v, %g are allowed", n, end.Sub(epoch), limit))
		}
	}
	return violations
}

// mostUses returns the largest number of uses in any window.
func (w *simFleet) mostUses() (most int) {
	for i, end := range w.uses {
		start := end.Add(-w.settings.Window)
		first := sort.Search(len(w.uses), func(j int) bool { return w.uses[j].After(start) })
		most = max(most, i+1-first)
	}
	return most
}
