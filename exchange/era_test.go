package exchange

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// inEra returns a position of an era.
func inEra(era, revision int64) objectstore.Position {
	return objectstore.Position{Era: era, Revision: revision}
}

func valued(name string, revision int64, value string) objectstore.Object {
	return objectstore.Object{Name: name, Revision: revision, Value: []byte(value)}
}

func TestEras(t *testing.T) {
	Convey("Given two daemons with entries of era 1, and a store that was restored", t, func() {
		before := []objectstore.Object{valued("a", 3, "a"), valued("b", 7, "old"), valued("c", 9, "lost")}
		restored := []objectstore.Object{valued("a", 3, "a"), valued("b", 7, "other")}
		reader, peer := NewDataset("k", time.Second, 1), NewDataset("k", time.Second, 2)
		for _, d := range []*Dataset{reader, peer} {
			d.ApplyRead(start, before, inEra(1, 9))
		}
		now := start.Add(500 * time.Millisecond)
		change, update := reader.ApplyRead(now, restored, inEra(2, 7))

		Convey("a read replaces all entries and reports what differs by value, also under the same revision", func() {
			So(change.NewEra, ShouldBeTrue)
			So(change.Changed, ShouldResemble, Entries{{Name: "b", Revision: 7, Value: []byte("other")}})
			So(change.Removed, ShouldResemble, []string{"c"})
			So(reader.names(), ShouldResemble, []string{"a", "b"})
		})
		Convey("its update changes no entry of a peer, which reads the store within a period", func() {
			So(update.Changed, ShouldBeEmpty)
			So(peer.ApplyUpdate(now, update).Empty(), ShouldBeTrue)
			So(peer.NextRead(), ShouldHappenOnOrBetween, now, now.Add(time.Second))
			change, _ := peer.ApplyRead(now.Add(time.Second), restored, inEra(2, 7))
			So(change.NewEra, ShouldBeTrue)
			So(peer.Query(), ShouldResemble, reader.Query())
		})
		Convey("further updates of the era don't bring the read forward again, and none of the older era postpones it", func() {
			peer.ApplyUpdate(now, update)
			next := peer.NextRead()
			peer.ApplyUpdate(now.Add(-time.Second), update)
			So(peer.NextRead(), ShouldEqual, next)
			peer.ApplyUpdate(now, Update{Kind: "k", Era: 1, StoreRevision: 9, Checksum: peer.checksum})
			So(peer.NextRead(), ShouldEqual, next)
		})
		Convey("a read of the older era changes nothing, also if its revision is higher", func() {
			change, u := reader.ApplyRead(now.Add(time.Second), before, inEra(1, 9))
			So(change.Empty(), ShouldBeTrue)
			So(u.Era, ShouldEqual, 2)
			So(reader.names(), ShouldResemble, []string{"a", "b"})
		})
		Convey("an update or a snapshot of the older era, or of an older build, changes nothing", func() {
			for _, era := range []int64{0, 1} {
				So(reader.ApplyUpdate(now, Update{Kind: "k", Era: era, StoreRevision: 99, Changed: Entries{{Name: "c", Revision: 99}}}).Empty(), ShouldBeTrue)
				So(reader.ApplySnapshot(now, Snapshot{Kind: "k", Era: era, StoreRevision: 99}).Empty(), ShouldBeTrue)
			}
			So(reader.names(), ShouldResemble, []string{"a", "b"})
		})
		Convey("a peer that can't reach the store gets the era by a snapshot, and nothing once it has the same", func() {
			So(peer.ApplySnapshot(now, reader.Snapshot(now, peer.Query())).NewEra, ShouldBeTrue)
			So(peer.names(), ShouldResemble, []string{"a", "b"})
			So(reader.Snapshot(now, peer.Query()).Unchanged, ShouldBeTrue)
			So(reader.Snapshot(now, Query{Era: 1, Checksum: peer.checksum}).Unchanged, ShouldBeFalse)
		})
		Convey("announcements of the older era are forgotten", func() {
			peer.ApplyUpdate(now, Update{Kind: "k", Era: 1, StoreRevision: 12, Announced: map[string]int64{"b": 12}})
			peer.ApplyRead(now, restored, inEra(2, 7))
			_, u := peer.ApplyRead(now.Add(time.Second), []objectstore.Object{valued("a", 3, "a"), valued("b", 8, "new")}, inEra(2, 8))
			So(u.Changed, ShouldHaveLength, 1)
		})
		Convey("an era that a later read of the store doesn't confirm is forgotten", func() {
			peer.ApplyUpdate(now, Update{Kind: "k", Era: 7})
			peer.ApplyRead(now.Add(time.Second), before, inEra(1, 9))
			So(peer.NextRead(), ShouldHappenAfter, now.Add(time.Second))
		})
		Convey("a daemon that starts takes the era of what it reads or receives first", func() {
			started := NewDataset("k", time.Second, 3)
			So(started.ApplyUpdate(now, update).Empty(), ShouldBeTrue)
			change, _ := started.ApplyRead(now, restored, inEra(2, 7))
			So(change.NewEra, ShouldBeFalse)
			So(change.Changed, ShouldHaveLength, 2)
		})
	})
}

// TestFleetFollowsRestorations guards against replicas that go back, differ from the store
// or from each other, or all read at once, when the store is restored from older copies.
func TestFleetFollowsRestorations(t *testing.T) {
	const seeds = 20
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newSimFleet(seed, []byte("0"))
			f.loss, f.maxDelay = 0.3*f.random.Float64(), 150*time.Millisecond
			f.run(f.now.Add(2 * time.Second))
			begin, readsBefore := f.now, f.reads
			restorations := f.disturb(t)
			f.loss = 1
			f.run(f.now.Add((1+maxJitterPeriods)*simPeriod + 2*f.maxDelay)) // the longest delay of a read, and the read
			if n := f.outdated(); n > 0 {
				t.Errorf("%d of %d daemons differ from the store", n, simDaemons)
			}
			// A daemon reads at each restoration, and at most once a period otherwise.
			rounds := restorations + int(f.now.Sub(begin)/simPeriod)
			if reads := f.reads - readsBefore; reads > rounds*simDaemons {
				t.Errorf("%d reads in %d rounds", reads, rounds)
			}
		})
	}
}

// disturb writes objects, restores the store from older copies and restarts daemons at
// random times. It checks that no daemon goes back in position, and returns the number of
// restorations.
func (f *simFleet) disturb(t *testing.T) (restorations int) {
	t.Helper()
	const steps, maxStep = 60, 300 * time.Millisecond
	copies := []simStore{f.stored}
	latest := make(map[*Dataset]objectstore.Position)
	for step := range steps {
		name := fmt.Sprint("o-", f.random.IntN(5))
		switch f.random.IntN(12) {
		case 0:
			f.stored = f.stored.restored(copies[f.random.IntN(len(copies))])
			restorations++
		case 1, 2:
			f.restart(f.daemons[f.random.IntN(simDaemons)])
		case 3:
			f.stored = f.stored.remove(name, f.stored.at.Revision+1)
		case 4, 5, 6:
			f.stored = f.stored.put(name, fmt.Append(nil, step))
		}
		copies = append(copies, f.stored)
		f.run(f.now.Add(time.Duration(f.random.Int64N(int64(maxStep)))))
		for i, d := range f.daemons {
			position := d.dataset.Position()
			if last, ok := latest[d.dataset]; ok && position.Before(last) {
				t.Errorf("step %d: daemon %d goes back from %v to %v", step, i, last, position)
			}
			latest[d.dataset] = position
		}
	}
	return restorations
}

// BenchmarkRestoration reports, for a restoration of the store that loses one change and is
// followed by another a second later, the reads of the store in two seconds from it, and
// the time from the change after it until all daemons have that.
func BenchmarkRestoration(b *testing.B) {
	for _, restored := range []bool{false, true} {
		b.Run(fmt.Sprintf("restored=%v", restored), func(b *testing.B) {
			var reads int
			var agreement time.Duration
			for seed := range uint64(b.N) {
				f := newSimFleet(seed, simConfiguration(1, 60))
				f.run(f.now.Add(5 * time.Second))
				copied := f.stored
				f.store(simConfiguration(2, 60))
				f.run(f.now.Add(maxSpread))
				if restored {
					f.stored = f.stored.restored(copied)
				}
				before := f.reads
				f.run(f.now.Add(time.Second))
				f.store(simConfiguration(3, 60))
				written := f.now
				for f.outdated() > 0 {
					f.run(f.now.Add(10 * time.Millisecond))
				}
				agreement += f.now.Sub(written)
				f.run(written.Add(time.Second))
				reads += f.reads - before
			}
			b.ReportMetric(float64(reads)/float64(b.N), "reads/op")
			b.ReportMetric(float64(agreement.Milliseconds())/float64(b.N), "ms/agreement")
		})
	}
}
