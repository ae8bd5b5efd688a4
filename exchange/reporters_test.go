package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// reportingFleet is a fleet of daemons that report through reporters. Messages take
// messageDelay; time advances in steps of digestStep.
type reportingFleet struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	daemons []*reportingDaemon
	byID    map[string]*reportingDaemon
	// cut reports whether messages from a to b are lost.
	cut      func(a, b *reportingDaemon) bool
	inFlight []func()
}

const (
	digestStep   = 250 * time.Millisecond
	placesOfTest = 6
)

type reportingDaemon struct {
	Member
	incarnation, sequence uint64
	down                  bool
	offset                int // of its reports, in steps
	load                  string
	list                  *MemberList
	builder               *DigestBuilder
	reader                *DigestReader
	loads                 map[string]string // of other daemons, as this one knows them
	sent, received, bytes int
}

func newReportingFleet(t *testing.T, daemons int, seed uint64) *reportingFleet {
	f := &reportingFleet{t: t, random: rand.New(rand.NewPCG(seed, seed)), now: start, byID: make(map[string]*reportingDaemon), cut: func(_, _ *reportingDaemon) bool { return false }}
	for i := range daemons {
		f.daemons = append(f.daemons, &reportingDaemon{Member: Member{ID: fmt.Sprintf("vm-%03d", i), Place: fmt.Sprint("place-", i%placesOfTest)}})
	}
	for _, d := range f.daemons {
		f.byID[d.ID] = d
		f.start(d)
	}
	return f
}

// start starts a daemon, which knows the entries of all.
func (f *reportingFleet) start(d *reportingDaemon) {
	d.incarnation, d.sequence, d.down = uint64(f.now.UnixNano())+f.random.Uint64N(1000), 0, false
	d.list, d.builder, d.reader = NewMemberList(d.ID, d.incarnation), NewDigestBuilder(), NewDigestReader()
	d.offset, d.loads = f.random.IntN(8), make(map[string]string)
	d.list.UseReporters(true)
	for _, o := range f.daemons {
		d.list.Put(f.now, o.Member)
	}
}

// send delivers a message at the next step.
func (f *reportingFleet) send(from *reportingDaemon, to Member, size int, handle func(*reportingDaemon)) {
	receiver := f.byID[to.ID]
	from.sent++
	from.bytes += size
	f.inFlight = append(f.inFlight, func() {
		if !receiver.down && !f.cut(from, receiver) {
			receiver.received++
			receiver.bytes += size
			handle(receiver)
		}
	})
}

// apply applies a digest. It returns false if a full one is needed.
func (d *reportingDaemon) apply(now time.Time, digest Digest) bool {
	news, alive, complete := d.reader.Read(digest)
	for _, r := range alive {
		d.list.RecordAlive(now, r.ID, r.Incarnation)
	}
	for _, r := range news {
		var load string
		if r.ID != d.ID && msgpack.Unmarshal(r.Body, &load) == nil {
			d.list.RecordHeartbeat(now, r.ID, r.Incarnation, false)
			d.loads[r.ID] = load
		}
	}
	return complete
}

// applyOrAsk applies the digest of a reporter and asks it for all reports if some are missing.
func (f *reportingFleet) applyOrAsk(d, reporter *reportingDaemon, digest Digest) {
	if d.apply(f.now, digest) {
		return
	}
	f.send(d, reporter.Member, 0, func(r *reportingDaemon) {
		full := r.builder.Full(f.now)
		f.send(r, d.Member, full.Size(), func(d *reportingDaemon) { d.apply(f.now, full) })
	})
}

func (f *reportingFleet) report(d *reportingDaemon) {
	d.sequence++
	body, _ := msgpack.Marshal(d.load)
	r := MemberReport{ID: d.ID, Incarnation: d.incarnation, Sequence: d.sequence, Body: body}
	reporters, rank := d.list.Reporters(f.now, d.Place)
	if rank >= 0 {
		d.builder.AddOwn(f.now, r, rank == 0)
	}
	for i, to := range reporters {
		if to.ID != d.ID {
			f.send(d, to, len(body), func(o *reportingDaemon) {
				o.builder.AddOwn(f.now, r, i == 0)
				o.apply(f.now, Digest{Reports: []MemberReport{r}})
			})
		}
	}
	for _, to := range d.list.Unrelayed(f.now, int(d.sequence), 1) {
		f.send(d, to, len(body), func(o *reportingDaemon) { o.list.RecordHeartbeat(f.now, d.ID, d.incarnation, false) })
	}
}

func (f *reportingFleet) digest(d *reportingDaemon) {
	place, remote := d.builder.Next(f.now)
	if place.Empty() {
		return
	}
	for _, to := range d.list.Neighbors(d.Place) {
		f.send(d, to, place.Size(), func(o *reportingDaemon) { f.applyOrAsk(o, d, place) })
	}
	for _, to := range d.list.RemoteReporters(f.now, d.Place, int(d.sequence)) {
		f.send(d, to, remote.Size(), func(o *reportingDaemon) {
			_, rank := o.list.Reporters(f.now, o.Place)
			o.builder.AddRemote(f.now, remote, rank == 0)
			f.applyOrAsk(o, d, remote)
		})
	}
}

func (f *reportingFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(digestStep) {
		due := f.inFlight
		f.inFlight = nil
		for _, deliver := range due {
			deliver()
		}
		for _, daemon := range f.daemons {
			if daemon.down {
				continue
			}
			steps := int((daemon.list.ReportInterval() + digestStep - 1) / digestStep)
			if (int(f.now.Sub(start)/digestStep)+daemon.offset)%steps == 0 {
				f.report(daemon)
			}
			f.digest(daemon)
		}
	}
}

// check fails unless each daemon that runs takes exactly the others that run and that it is
// not cut off from for live, and knows their loads.
func (f *reportingFleet) check(what string) {
	f.t.Helper()
	wrong := 0
	for _, d := range f.daemons {
		for _, o := range f.daemons {
			if d.down || d == o {
				continue
			}
			want := !o.down && !f.cut(o, d)
			if live := d.list.Live(f.now, o.ID); live != want || live && d.loads[o.ID] != o.load {
				wrong++
				if wrong < 5 {
					f.t.Errorf("%s: %s takes %s for live: %t, it is: %t; load %q, it is %q", what, d.ID, o.ID, live, want, d.loads[o.ID], o.load)
				}
			}
		}
	}
	if wrong > 0 {
		f.t.Fatalf("%s: %d of %d views are wrong", what, wrong, len(f.daemons)*(len(f.daemons)-1))
	}
}

func (f *reportingFleet) changeLoads() {
	for _, d := range f.daemons {
		d.load = fmt.Sprint(d.ID, " at ", f.now.Sub(start))
	}
}

// TestReportersKeepViewsTrue guards against views of a large fleet that stay wrong: after
// the start of all daemons at once, after a third of them vanished with the reporters of all
// places, after a place was cut off, and after all restarted.
func TestReportersKeepViewsTrue(t *testing.T) {
	for seed := range uint64(6) {
		f := newReportingFleet(t, 104, seed)
		f.changeLoads()
		f.run(3 * time.Second)
		f.check("started at once")

		for i, d := range f.daemons {
			_, rank := d.list.Reporters(f.now, d.Place)
			d.down = rank >= 0 || i%4 == 0
		}
		f.run(2 * relayedSilenceTimeout)
		f.changeLoads()
		f.run(2 * time.Second)
		f.check("reporters and others vanished")

		for _, d := range f.daemons {
			if d.down {
				f.start(d)
			}
		}
		f.run(2 * relayedSilenceTimeout)
		f.changeLoads()
		f.run(2 * time.Second)
		f.check("they are back")

		f.cut = func(a, b *reportingDaemon) bool { return (a.Place == "place-2") != (b.Place == "place-2") }
		f.run(2 * relayedSilenceTimeout)
		f.changeLoads()
		f.run(2 * time.Second)
		f.check("a place is cut off")
		f.cut = func(_, _ *reportingDaemon) bool { return false }
		f.run(relayedSilenceTimeout + fullDigestPeriod*digestStep)
		f.check("the place is back")

		for _, d := range f.daemons {
			f.start(d)
		}
		f.changeLoads()
		f.run(3 * time.Second)
		f.check("all restarted")
	}
}

// TestReporterSilenceHidesNobody guards against a fleet that counts daemons as gone because
// the reporters of their place ended: callers would no longer be directed to them.
func TestReporterSilenceHidesNobody(t *testing.T) {
	for seed := range uint64(6) {
		f := newReportingFleet(t, 104, seed)
		f.run(3 * time.Second)
		for _, d := range f.daemons {
			if _, rank := d.list.Reporters(f.now, d.Place); rank >= 0 && d.Place == "place-1" {
				d.down = true
			}
		}
		for range 5 * int(time.Second/digestStep) {
			f.run(digestStep)
			for _, d := range f.daemons {
				for _, o := range f.daemons {
					if d != o && !d.down && !o.down && !d.list.Live(f.now, o.ID) {
						t.Fatalf("seed %d: %s takes %s for silent after %v", seed, d.ID, o.ID, f.now.Sub(start))
					}
				}
			}
		}
	}
}

// TestReportsOfLargeFleets guards against reports that cost each daemon in proportion to the
// fleet: the target is 15 KB/s for control at each daemon, from 100 daemons on to 760.
func TestReportsOfLargeFleets(t *testing.T) {
	const seconds, targetBytes = 4, 15_000
	for _, daemons := range []int{100, 300, 760} {
		f := newReportingFleet(t, daemons, 1)
		f.run(3 * time.Second)
		for _, d := range f.daemons {
			d.sent, d.received, d.bytes = 0, 0, 0
		}
		f.run(seconds * time.Second)
		messages, mostMessages, bytes, mostBytes := 0, 0, 0, 0
		for _, d := range f.daemons {
			messages, bytes = messages+d.sent+d.received, bytes+d.bytes
			mostMessages, mostBytes = max(mostMessages, d.sent+d.received), max(mostBytes, d.bytes)
		}
		t.Logf("%d daemons: messages a second %d, at most %d; bytes a second %d, at most %d", daemons,
			messages/daemons/seconds, mostMessages/seconds, bytes/daemons/seconds, mostBytes/seconds)
		if bytes/daemons/seconds > targetBytes {
			t.Errorf("%d daemons: %d bytes a second at each, at most %d are due", daemons, bytes/daemons/seconds, targetBytes)
		}
		if messages/daemons/seconds > daemons {
			t.Errorf("%d daemons: %d messages a second at each", daemons, messages/daemons/seconds)
		}
	}
}

// TestOlderBuildsGetReports guards against daemons of an older build, which don't know
// reporters, that get no reports while the daemons of a large fleet are replaced.
func TestOlderBuildsGetReports(t *testing.T) {
	l := NewMemberList("vm-0", 1)
	l.UseReporters(true)
	for i := range 12 {
		id := fmt.Sprint("vm-", i)
		l.Put(start, Member{ID: id, Place: fmt.Sprint("place-", i%2)})
		if i > 0 {
			l.RecordHeartbeat(start, id, 1, false)
			l.MarkBuild(id, i%3 == 0)
		}
	}
	direct := make(map[string]bool)
	for _, m := range l.Unrelayed(start, 0, 1) {
		direct[m.ID] = true
	}
	reporters, _ := l.Reporters(start, "place-0")
	reporters = append(reporters, l.RemoteReporters(start, "place-0", 0)...)
	for i := 1; i < 12; i++ {
		if id := fmt.Sprint("vm-", i); direct[id] != (i%3 == 0) {
			t.Errorf("%s, of an older build: %t, gets reports directly: %t", id, i%3 == 0, direct[id])
		}
	}
	for _, m := range append(reporters, l.Neighbors("place-0")...) {
		if direct[m.ID] {
			t.Errorf("%s, of an older build, gets reports or digests", m.ID)
		}
	}
	if later := start.Add(silenceTimeout); l.Live(later, "vm-3") || !l.Live(later, "vm-1") {
		t.Error("daemons of an older build must count as silent after silenceTimeout, others later")
	}
	if len(reporters) != 2*reportersPerPlace || len(l.Neighbors("place-0")) != 4 {
		t.Errorf("%d reporters of two places, want %d", len(reporters), 2*reportersPerPlace)
	}
}
