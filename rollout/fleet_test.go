package rollout

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const tick = 50 * time.Millisecond

var epoch = time.Unix(1_800_000_000, 0)

// response is what a target does with one request.
type response struct {
	failed  bool
	latency time.Duration
}

// site is the input of a simulated roll-out of v2 over v1.
type site struct {
	daemons  int
	rate     float64 // requests a second
	duration time.Duration
	// respond returns the response of a version at an age of the order; load is the number of
	// requests that the version got in the last second.
	respond func(r *rand.Rand, isNew bool, route string, age time.Duration, load int) response
	// fault is called each tick.
	fault func(f *fleet)
	// storeDown states whether the store refuses calls, storeLost whether it loses answers.
	storeDown, storeLost func(age time.Duration) bool
	settle               time.Duration // how long the simulation goes on after the time limit
	// targets is the number of targets of the new version, 0 for one. With more, load is that of the
	// target that gets a request, as if all had as much: its requests of the last quarter of a second,
	// times four, times the number of targets.
	targets int
}

// daemon is one simulated daemon.
type daemon struct {
	name              string
	number            int
	incarnation       uint64
	up, before        bool
	side              int // of a partition; daemons of two sides don't hear each other
	storeCut          bool
	pausedUntil       time.Time
	knowsAt, knownBy  time.Time
	m                 *Machine
	w                 *Writer
	told              bool
	rankAt            time.Time
	judges            []*daemon
	rank              int
	nextTick, nextGet time.Time
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

// fleet is a simulated fleet with its store.
type fleet struct {
	site
	r       *rand.Rand
	now     time.Time
	daemons []*daemon
	order   []*daemon         // by rank
	events  map[int64][]event // by tick
	object  Object
	routes  []string

	requests, sent, newBad, wrongVersion int
	requestsInTime                       int // until the time limit
	fiftieth                             time.Time
	sentLate                             int                    // sends to the new version after fiftieth + 5 s
	loads                                map[string][]time.Time // by target; of the old version under ""
	ids                                  []string               // of the new version's targets
	judgedAt, finalAt                    time.Duration
	reason                               string
	states                               []State
}

var settings = Settings{Share: 0.1, Slack: 50, RollbackWithin: 5 * time.Second}

func newFleet(s site, seed uint64) *fleet {
	f := &fleet{
		site: s, r: rand.New(rand.NewPCG(seed, 7)), now: epoch, events: make(map[int64][]event),
		loads:  make(map[string][]time.Time),
		object: Object{Revision: 412, Instance: 9, Target: "v2"}, routes: []string{"/a", "/b", "/c", "/d"},
	}
	for i := range s.daemons {
		f.start(i, true)
	}
	for i := range max(1, s.targets) {
		f.ids = append(f.ids, "i-"+strconv.Itoa(i))
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.now.Add(max(d, tick))
	key := at.Sub(epoch).Milliseconds() / tick.Milliseconds()
	f.events[key] = append(f.events[key], event{at, do})
}

func (f *fleet) age() time.Duration { return f.now.Sub(epoch) }

// start starts a daemon, or starts it again without what it knew.
func (f *fleet) start(i int, before bool) {
	if i == len(f.daemons) {
		f.daemons = append(f.daemons, &daemon{number: i, name: "vm-" + strconv.Itoa(i)})
		f.order = append(f.order, f.daemons[i])
		f.r.Shuffle(len(f.order), func(a, b int) { f.order[a], f.order[b] = f.order[b], f.order[a] })
	}
	d := f.daemons[i]
	*d = daemon{
		number: i, name: d.name, incarnation: d.incarnation + 1, up: true, before: before, side: d.side,
		knowsAt: f.now.Add(time.Duration(f.r.Float64() * float64(time.Second))),
		knownBy: f.now.Add(time.Duration(f.r.Float64() * 2 * float64(time.Second))),
	}
	d.nextTick = d.knowsAt
	d.m = nil
}

// learn gives a daemon a machine: first for a version beside another one, then for the order.
func (f *fleet) learn(d *daemon) {
	if d.m == nil && !f.now.Before(d.knowsAt) {
		d.m = NewMachine(settings, Order{Service: "s", Target: "v2", Created: f.now}, f.now, d.before)
		d.m.SetDaemons(f.site.daemons)
		d.m.SetDither(float64(d.number) / float64(f.site.daemons))
	}
	if d.m != nil && d.w == nil && !f.now.Before(d.knownBy) && !f.down(d) {
		o := Order{Service: "s", Target: "v2", Duration: f.duration, Created: epoch, Instance: 9, Revision: 412}
		if o.Created = f.now.Add(-time.Second); o.Created.Before(epoch) {
			o.Created = epoch
		}
		d.m.UpdateOrder(o)
		d.w = NewWriter(o)
		d.w.Saw(f.now, f.object, false)
		d.m.ApplyStatus(f.object.State, f.object.StatusTarget)
	}
}

func (f *fleet) down(d *daemon) bool {
	// The first second is left out: without it no daemon reads the order.
	return d.storeCut || f.storeDown != nil && f.storeDown(f.age())
}

// hears reports whether two daemons hear each other.
func (f *fleet) hears(a, b *daemon) bool {
	return a.up && b.up && a.side == b.side && !f.now.Before(a.pausedUntil) && !f.now.Before(b.pausedUntil)
}

// ranked updates a daemon's view of who ranks first, each second.
func (f *fleet) ranked(d *daemon) {
	if f.now.Sub(d.rankAt) < time.Second {
		return
	}
	d.rankAt, d.rank, d.judges = f.now, 0, nil
	for _, o := range f.order {
		if o == d {
			break
		}
		if f.hears(d, o) {
			d.rank++
		}
	}
	for _, o := range f.order {
		if len(d.judges) < 2 && (o == d || f.hears(d, o)) {
			d.judges = append(d.judges, o)
		}
	}
	d.m.SetJudge(d.rank < 2)
}

// send delivers a message to a daemon if both hear each other; one in 50 is lost.
func (f *fleet) send(from, to *daemon, do func(m *Machine)) {
	f.after(time.Duration(20+f.r.IntN(60))*time.Millisecond, func() {
		if to.m != nil && f.hears(from, to) && f.r.IntN(50) > 0 {
			do(to.m)
		}
	})
}

// turn is what the shell of a daemon does several times a second.
func (f *fleet) turn(d *daemon) {
	if f.learn(d); d.m == nil {
		return
	}
	f.ranked(d)
	if d.m.ReportDue(f.now) {
		packed, _ := msgpack.Marshal(d.m.Own())
		for _, to := range d.judges {
			if to != d {
				var e Evidence
				if err := msgpack.Unmarshal(packed, &e); err != nil {
					panic(err)
				}
				name, incarnation := d.name, d.incarnation
				f.send(d, to, func(m *Machine) { m.Merge(f.now, name, incarnation, e) })
			}
		}
	}
	decision := d.m.Decide(f.now)
	if decision.Verdict == Bad && !d.told {
		d.told = true
		if f.judgedAt == 0 {
			f.judgedAt, f.reason = f.age(), decision.Reason
		}
		for _, to := range f.daemons {
			if to != d {
				f.send(d, to, func(m *Machine) { m.MarkBad(decision.Reason) })
			}
		}
	}
	if d.w == nil {
		return
	}
	if !f.now.Before(d.nextGet) && !f.down(d) {
		d.nextGet = f.now.Add(time.Second)
		d.w.Saw(f.now, f.object, false)
		d.m.ApplyStatus(f.object.State, f.object.StatusTarget)
	}
	f.call(d, d.w.Next(f.now, decision, d.rank))
}

// call makes a call to the store.
func (f *fleet) call(d *daemon, a Action) {
	if a.Kind == Nothing {
		return
	}
	incarnation := d.incarnation
	answer := func(do func()) {
		f.after(tick, func() {
			if d.up && d.incarnation == incarnation {
				do()
			}
		})
	}
	if f.down(d) {
		answer(func() { d.w.Failed(f.now, Unavailable) })
		return
	}
	lost := f.storeLost != nil && f.storeLost(f.age())
	carryOut := func() {
		if a.Kind == Write && a.Revision == f.object.Revision && (f.object.State != a.State || f.object.StatusTarget != a.Target) {
			f.object.Revision++
			f.object.State, f.object.StatusTarget = a.State, a.Target
			f.states = append(f.states, a.State)
			if a.State.Final() && f.finalAt == 0 {
				f.finalAt = f.age()
			}
		}
	}
	if lost {
		// Half of the calls that get no answer take effect, some of them only later.
		if f.r.IntN(2) == 0 {
			f.after(time.Duration(f.r.IntN(2000))*time.Millisecond, carryOut)
		}
		answer(func() { d.w.Failed(f.now, Lost) })
		return
	}
	carryOut()
	object := f.object
	answer(func() {
		d.w.Saw(f.now, object, true)
		d.m.ApplyStatus(object.State, object.StatusTarget)
	})
}

// request sends a caller's request to a daemon that is up.
func (f *fleet) request() {
	d := f.daemons[f.r.IntN(len(f.daemons))]
	if !d.up || f.now.Before(d.pausedUntil) {
		return
	}
	f.learn(d)
	if f.requests++; f.age() < f.duration {
		f.requestsInTime++
	}
	isNew, version := false, "v1"
	if d.m != nil {
		d.m.CountRequest(f.now)
		wants := d.m.Prefers(f.now) && !d.m.Control(f.now)
		if isNew = !d.m.Allows("v1") || wants && d.m.Available(f.now) && d.m.Allow(f.now); isNew {
			version = "v2"
		}
		if final := f.object.State; final.Final() && f.age() > f.finalAt+1200*time.Millisecond && isNew != (final == Completed) && f.storeDown == nil {
			f.wrongVersion++
		}
	}
	route := f.routes[f.r.IntN(len(f.routes))]
	target := ""
	if isNew {
		focus := d.m.Focus(f.now, f.ids)
		target = focus[f.r.IntN(len(focus))]
		if f.age() < f.duration && !f.object.State.Final() {
			f.sent++
		}
		if !f.fiftieth.IsZero() && f.now.Sub(f.fiftieth) > settings.RollbackWithin {
			f.sentLate++
		}
	}
	load := append(f.loads[target], f.now)
	window, times := time.Second, 1
	if len(f.ids) > 1 {
		window, times = time.Second/4, 4*len(f.ids)
	}
	for f.now.Sub(load[0]) > window {
		load = load[1:]
	}
	f.loads[target] = load
	answer := f.respond(f.r, isNew, route, f.age(), len(load)*times)
	var id uint64
	if d.m != nil {
		id = d.m.Begin(f.now, version, route)
	}
	m := d.m
	f.after(answer.latency, func() {
		if isNew && (answer.failed || answer.latency > 3*usual) {
			if f.newBad++; f.newBad == 50 {
				f.fiftieth = f.now
			}
		}
		if m != nil && d.m == m && d.up {
			m.Record(f.now, Outcome{Service: "s", Version: version, Route: route, Failed: answer.failed, Latency: answer.latency, Request: id})
		}
	})
}

// run simulates the roll-out.
func (f *fleet) run() *fleet {
	for f.now = epoch; f.age() < f.duration+f.settle; f.now = f.now.Add(tick) {
		key := f.age().Milliseconds() / tick.Milliseconds()
		for i := 0; i < len(f.events[key]); i++ {
			f.events[key][i].do()
		}
		delete(f.events, key)
		if f.fault != nil {
			f.fault(f)
		}
		for expected := f.rate * tick.Seconds(); expected > 0; expected-- {
			if f.r.Float64() < expected {
				f.request()
			}
		}
		for _, d := range f.daemons {
			if d.up && !f.now.Before(d.nextTick) && !f.now.Before(d.pausedUntil) {
				d.nextTick = f.now.Add(4 * tick)
				f.turn(d)
			}
		}
	}
	return f
}

// usual is the median latency of the simulated service.
const usual = 80 * time.Millisecond

// answer returns a response with a part of failures and a latency that is slower times as long.
func answer(r *rand.Rand, failures, slower float64) response {
	latency := float64(usual) * slower * math.Exp(0.4*r.NormFloat64())
	return response{r.Float64() < failures, time.Duration(latency)}
}
