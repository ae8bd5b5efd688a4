package exchange

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Properties of the simulated fleet: the numbers of daemons and of relays of a broadcast,
// as at the largest site, and the rates of their links.
const (
	simDaemons       = 91
	simFanout        = 8
	simLinkRate      = 1.25e6 // bytes a second in each direction
	simStoreLinkRate = 125e6
	simLatency       = time.Millisecond
	simPeriod        = 400 * time.Millisecond // between reads of the store
	simRetry         = time.Second            // between calls to an unavailable store
)

// maxSpread is the longest time from the acknowledgement of a configuration to its use
// on every daemon that the users allow at the largest site.
const maxSpread = 3 * time.Second

// simLink is one direction of a link, which sends one message after the other.
type simLink struct {
	rate      float64 // bytes a second
	busyUntil time.Time
}

// send returns when a message of the given size that is ready at now has passed the link.
func (l *simLink) send(now time.Time, bytes int) time.Time {
	if now.Before(l.busyUntil) {
		now = l.busyUntil
	}
	l.busyUntil = now.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	return l.busyUntil
}

type simDaemon struct {
	dataset  *Dataset
	in, out  simLink
	reading  bool
	readTook time.Duration // by the last read
}

type simEvent struct {
	at  time.Time
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simFleet simulates daemons that share their reads of the store. Only the links take
// time.
type simFleet struct {
	now       time.Time
	random    *rand.Rand
	events    simEvents
	daemons   []*simDaemon
	storeOut  simLink
	storeDown bool
	reads     int // calls that the store answered
	stored    simStore
	period    time.Duration // between reads of the store
	loss      float64       // share of the messages between daemons that are lost
	maxDelay  time.Duration // of messages between daemons and of the store's answers, beyond what links take
}

// simStore is the content of the store.
type simStore struct {
	at      objectstore.Position
	objects []objectstore.Object // sorted by name
}

// put returns the content after an object was written.
func (s simStore) put(name string, value []byte) simStore {
	s.at.Revision++
	s = s.remove(name, s.at.Revision)
	s.objects = append(s.objects, objectstore.Object{Name: name, Revision: s.at.Revision, Value: value})
	return s
}

// remove returns the content at a revision after an object was deleted.
func (s simStore) remove(name string, revision int64) simStore {
	s.at.Revision = revision
	s.objects = slices.DeleteFunc(slices.Clone(s.objects), func(o objectstore.Object) bool { return o.Name == name })
	return s
}

// restored returns the content of a store that was restored from a copy with the content
// of c.
func (s simStore) restored(c simStore) simStore {
	c.at.Era = s.at.Era + 1
	return c
}

func (s simStore) bytes() (n int) {
	for _, o := range s.objects {
		n += len(o.Value)
	}
	return n
}

func newSimFleet(seed uint64, value []byte) *simFleet {
	return newSimFleetWithPeriod(seed, value, simPeriod)
}

func newSimFleetWithPeriod(seed uint64, value []byte, period time.Duration) *simFleet {
	f := &simFleet{
		now: start, random: rand.New(rand.NewPCG(seed, seed)), storeOut: simLink{rate: simStoreLinkRate},
		stored: simStore{}.put("main", value), period: period,
	}
	for range simDaemons {
		d := &simDaemon{dataset: f.newDataset(), in: simLink{rate: simLinkRate}, out: simLink{rate: simLinkRate}}
		d.dataset.ApplyRead(f.now, f.stored.objects, f.stored.at)
		f.daemons = append(f.daemons, d)
		f.scheduleRead(d)
	}
	return f
}

func (f *simFleet) newDataset() *Dataset {
	d := NewDataset("k", f.period, f.random.Uint64())
	d.SetReaders(simDaemons)
	return d
}

// restart lets a daemon lose its entries.
func (f *simFleet) restart(d *simDaemon) {
	d.dataset = f.newDataset()
	f.scheduleRead(d)
}

func (f *simFleet) schedule(at time.Time, run func()) { heap.Push(&f.events, simEvent{at, run}) }

// run simulates until the given time.
func (f *simFleet) run(until time.Time) {
	for len(f.events) > 0 && f.events[0].at.Before(until) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = until
}

func (f *simFleet) scheduleRead(d *simDaemon) {
	at := d.dataset.NextRead()
	if at.Before(f.now) {
		at = f.now
	}
	f.schedule(at, func() { f.readIfDue(d) })
}

// readIfDue lets a daemon read the store if its read is due.
func (f *simFleet) readIfDue(d *simDaemon) {
	if d.reading || d.dataset.NextRead().After(f.now) {
		return
	}
	d.reading = true
	if f.storeDown {
		f.schedule(f.now.Add(simRetry/2+time.Duration(f.random.Int64N(int64(simRetry)))), func() {
			d.reading = false
			f.readIfDue(d)
		})
		return
	}
	f.reads++
	claim, after := ClaimRead("k", d.readTook, f.period)
	f.schedule(f.now.Add(after), func() {
		if d.reading {
			f.broadcast(d, claim, func(o *simDaemon) { o.dataset.ApplyClaim(f.now, claim) })
		}
	})
	sentAt, read := f.now, f.stored
	sendUpdate := func(u Update) {
		f.broadcast(d, u, func(o *simDaemon) { o.dataset.ApplyUpdate(f.now, u) })
	}
	dataset := d.dataset
	f.transfer(&f.storeOut, &d.in, read.bytes(), func() {
		d.reading = false
		if d.dataset != dataset {
			f.scheduleRead(d)
			return // the daemon has started again
		}
		d.readTook = f.now.Sub(sentAt)
		_, update := d.dataset.ApplyRead(sentAt, read.objects, read.at)
		update.Age = f.now.Sub(sentAt)
		sendUpdate(update)
		if len(update.Announced) > 0 {
			f.schedule(f.now.Add(AnnounceDelay), func() {
				if values, ok := d.dataset.AnnouncedValues(); ok {
					sendUpdate(values)
				}
			})
		}
		f.scheduleRead(d)
	})
}

// broadcast sends a message to all other daemons along a tree, like the transport of the
// daemons, and calls handle at each of them.
func (f *simFleet) broadcast(from *simDaemon, message any, handle func(*simDaemon)) {
	body, err := msgpack.Marshal(message)
	if err != nil {
		panic(err)
	}
	to := slices.DeleteFunc(slices.Clone(f.daemons), func(d *simDaemon) bool { return d == from })
	f.random.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	f.relay(from, to, len(body), handle)
}

func (f *simFleet) relay(from *simDaemon, to []*simDaemon, bytes int, handle func(*simDaemon)) {
	branches := make([][]*simDaemon, min(simFanout, len(to)))
	for i, d := range to {
		branches[i%simFanout] = append(branches[i%simFanout], d)
	}
	for _, branch := range branches {
		if f.random.Float64() < f.loss {
			continue
		}
		f.transfer(&from.out, &branch[0].in, bytes, func() {
			f.relay(branch[0], branch[1:], bytes, handle)
			handle(branch[0])
			f.scheduleRead(branch[0])
		})
	}
}

// transfer sends a message over two links and runs arrived when it has arrived.
func (f *simFleet) transfer(out, in *simLink, bytes int, arrived func()) {
	delay := simLatency
	if f.maxDelay > 0 {
		delay += time.Duration(f.random.Int64N(int64(f.maxDelay)))
	}
	f.schedule(out.send(f.now, bytes).Add(delay), func() {
		f.schedule(in.send(f.now, bytes), arrived)
	})
}

// store writes the configuration.
func (f *simFleet) store(value []byte) { f.stored = f.stored.put("main", value) }

// outdated returns the number of daemons whose entries are not those of the store.
func (f *simFleet) outdated() int {
	n := 0
	for _, d := range f.daemons {
		if !d.matches(f.stored) {
			n++
		}
	}
	return n
}

// matches reports whether a daemon has the entries of the store.
func (d *simDaemon) matches(s simStore) bool {
	if len(d.dataset.entries) != len(s.objects) {
		return false
	}
	for _, o := range s.objects {
		if e, ok := d.dataset.entries[o.Name]; !ok || e.Revision != o.Revision || !bytes.Equal(e.Value, o.Value) {
			return false
		}
	}
	return true
}

// simConfiguration returns a configuration with the given number of routes. Keys of
// workspaces change with each version.
func simConfiguration(version, routes int) []byte {
	random := rand.New(rand.NewPCG(1, 1))
	out := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for range routes {
		out = fmt.Appendf(out, `{"name":"r-%07x","host":"h%04x.example","path_prefix":"/p%04x/q%03x/","kind":"non_idempotent","timeout_ms":2500,"slo_ms":150,"priority":2,"service":"service%d","max_attempts":3,"public":false,"sticky":false,"resumable":false},`,
			random.IntN(1<<28), random.IntN(4), random.IntN(1<<16), random.IntN(1<<12), random.IntN(2))
	}
	keys := rand.New(rand.NewPCG(uint64(version), 2))
	return fmt.Appendf(out, `{}],"workspaces":[{"name":"w","keys":["%016x"]}]}`, keys.Uint64())
}

// TestLargeConfigurationReachesAllInTime guards against inc1: after a change that adds
// 1,600 routes, daemons on slow links sent each other so many copies of the
// configuration that the next versions became active seconds too late.
func TestLargeConfigurationReachesAllInTime(t *testing.T) {
	const smallRoutes, largeRoutes = 60, 1660
	for seed := range uint64(5) {
		Convey(fmt.Sprintf("Given 91 daemons on links of 10 Mbit/s, seed %d", seed), t, func() {
			f := newSimFleet(seed, simConfiguration(1, smallRoutes))
			f.run(f.now.Add(5 * time.Second))

			Convey("a change that adds 1,600 routes, and the changes after it, reach all in time", func() {
				for version := 2; version <= 6; version++ {
					f.store(simConfiguration(version, largeRoutes))
					f.run(f.now.Add(maxSpread))
					So(f.outdated(), ShouldEqual, 0)
				}
			})
			Convey("changes in quick succession reach all in time after the last one", func() {
				for version := 2; version <= 20; version++ {
					f.store(simConfiguration(version, largeRoutes))
					f.run(f.now.Add(250 * time.Millisecond))
				}
				f.run(f.now.Add(maxSpread))
				So(f.outdated(), ShouldEqual, 0)
			})
			Convey("changes reach all in time while half of the daemons start again", func() {
				f.store(simConfiguration(2, largeRoutes))
				f.run(f.now.Add(maxSpread))
				for version := 3; version <= 6; version++ {
					for _, d := range f.daemons[:simDaemons/2] {
						f.restart(d)
					}
					f.store(simConfiguration(version, largeRoutes))
					f.run(f.now.Add(maxSpread))
					So(f.outdated(), ShouldEqual, 0)
				}
			})
			Convey("a change during an outage reaches all in time after its end", func() {
				f.storeDown = true
				f.run(f.now.Add(8 * time.Second))
				f.store(simConfiguration(2, largeRoutes))
				f.storeDown = false
				f.run(f.now.Add(maxSpread))
				So(f.outdated(), ShouldEqual, 0)
			})
		})
	}
}

// TestOlderStoreIsFollowed guards against daemons that keep what they have although the
// store was restored from an older copy, until its revisions have passed their old
// height, and that take two values of one revision for the same.
func TestOlderStoreIsFollowed(t *testing.T) {
	for _, after := range []int{1, 4, 9} { // changes after the restoration
		Convey(fmt.Sprintf("After a restoration that loses four changes, %d more reach all in time", after), t, func() {
			f := newSimFleet(uint64(after), simConfiguration(1, 60))
			f.run(f.now.Add(5 * time.Second))
			var copied simStore
			for version := 2; version <= 10; version++ {
				f.store(simConfiguration(version, 60))
				if version == 6 {
					copied = f.stored
				}
				f.run(f.now.Add(250 * time.Millisecond))
			}
			f.run(f.now.Add(maxSpread))
			f.stored = f.stored.restored(copied)
			f.run(f.now.Add(time.Second))
			for version := 11; version < 11+after; version++ {
				f.store(simConfiguration(version, 60))
				f.run(f.now.Add(100 * time.Millisecond))
			}
			f.run(f.now.Add(maxSpread))
			So(f.outdated(), ShouldEqual, 0)
		})
	}
}
