package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

var start = time.Unix(1_800_000_000, 0)

func object(name string, revision int64) objectstore.Object {
	return objectstore.Object{Name: name, Revision: revision, Value: []byte(`{}`)}
}

// at returns a position of the first era.
func at(revision int64) objectstore.Position { return objectstore.Position{Revision: revision} }

func TestDatasetSpread(t *testing.T) {
	Convey("Given a daemon that reads the store and a peer", t, func() {
		reader, peer := NewDataset("k", time.Second, 1), NewDataset("k", time.Second, 2)
		change, update := reader.ApplyRead(start, []objectstore.Object{object("a", 1), object("b", 2)}, at(2))
		So(change.Changed, ShouldHaveLength, 2)
		So(peer.ApplySnapshot(start, reader.Snapshot(start, peer.Query())).Changed, ShouldHaveLength, 2)
		later := start.Add(900 * time.Millisecond)

		Convey("an update with a change and a removal is applied", func() {
			_, update := reader.ApplyRead(start.Add(time.Second), []objectstore.Object{object("b", 3)}, at(4))
			changed := peer.ApplyUpdate(start.Add(time.Second), update)
			So(changed.Removed, ShouldResemble, []string{"a"})
			So(changed.Changed[0].Revision, ShouldEqual, 3)
		})
		Convey("updates that arrive in reverse order are both applied and together complete the dataset", func() {
			nextRead := peer.NextRead()
			_, first := reader.ApplyRead(later, []objectstore.Object{object("b", 3)}, at(4))
			_, second := reader.ApplyRead(later, []objectstore.Object{object("b", 3), object("c", 5)}, at(5))
			So(peer.ApplyUpdate(later, second).Changed, ShouldHaveLength, 1)
			So(peer.NextRead(), ShouldEqual, nextRead) // an update is missing, so the read stays due
			So(peer.ApplyUpdate(later, first).Removed, ShouldResemble, []string{"a"})
			So(peer.NextRead(), ShouldHappenOnOrAfter, later.Add(time.Second))
			So(peer.Snapshot(later, reader.Query()).Unchanged, ShouldBeTrue)
		})
		Convey("a query returns the changes to a peer that missed an update, and no entries to a peer that missed none", func() {
			reader.ApplyRead(later, []objectstore.Object{object("b", 3)}, at(4))
			_, update := reader.ApplyRead(later, []objectstore.Object{object("b", 5)}, at(5))
			peer.ApplyUpdate(later, update)
			snapshot := reader.Snapshot(later, peer.Query())
			So(snapshot.Unchanged, ShouldBeFalse)
			So(peer.ApplySnapshot(later, snapshot).Removed, ShouldResemble, []string{"a"})
			snapshot = reader.Snapshot(later, peer.Query())
			So(snapshot.Unchanged, ShouldBeTrue)
			So(snapshot.Entries, ShouldBeEmpty)
			So(peer.ApplySnapshot(later, snapshot).Empty(), ShouldBeTrue)
			So(peer.names(), ShouldResemble, []string{"b"})
		})
		Convey("an old read, update or snapshot reverts nothing", func() {
			reader.ApplyRead(start.Add(time.Second), []objectstore.Object{object("b", 3)}, at(4))
			change, _ := reader.ApplyRead(start, []objectstore.Object{object("a", 1)}, at(2))
			So(change.Empty(), ShouldBeTrue)
			So(reader.ApplyUpdate(start, update).Empty(), ShouldBeTrue)
			So(reader.ApplySnapshot(start, Snapshot{StoreRevision: 1}).Empty(), ShouldBeTrue)
		})
		Convey("a read that is older than an applied update does not revert it", func() {
			_, delayed := reader.ApplyRead(later, []objectstore.Object{object("b", 3)}, at(4))
			_, update := reader.ApplyRead(later, []objectstore.Object{object("b", 6), object("c", 5)}, at(6))
			peer.ApplyUpdate(later, update)
			change, _ := peer.ApplyRead(later, []objectstore.Object{object("b", 3)}, at(4))
			So(change.Removed, ShouldResemble, []string{"a"})
			So(peer.ApplyUpdate(later, delayed).Empty(), ShouldBeTrue)
			So(peer.entries["b"].Revision, ShouldEqual, 6)
			So(peer.names(), ShouldResemble, []string{"b", "c"})
		})
		Convey("an update without changes postpones the peer's read", func() {
			_, update := reader.ApplyRead(later, []objectstore.Object{object("a", 1), object("b", 2)}, at(2))
			peer.ApplyUpdate(later, update)
			So(peer.NextRead(), ShouldHappenOnOrAfter, later.Add(time.Second))
		})
		Convey("without updates every daemon reads the store within three periods", func() {
			So(peer.NextRead(), ShouldHappenOnOrBefore, start.Add(3*time.Second))
		})
	})
}

// TestDatasetsAgree guards against a dataset that is considered up to date with entries
// that the store never held together. Updates arrive late, in any order, or not at all;
// whenever an update raises a dataset's revision, its entries must be the store's at
// that revision.
func TestDatasetsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type delivery struct {
			receiver int
			update   Update
		}
		datasets := make([]*Dataset, 4)
		for i := range datasets {
			datasets[i] = NewDataset("k", time.Second, uint64(i))
		}
		stored, revision := map[string]int64{}, int64(0)
		checksums := map[int64]uint64{} // checksums of the store's entries, by revision
		var pending []delivery
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * 100 * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
			revision++
			if rapid.Bool().Draw(t, "remove") {
				delete(stored, name)
			} else {
				stored[name] = revision
			}
			var objects []objectstore.Object
			checksum := uint64(0)
			for name, r := range stored {
				o := object(name, r)
				if name >= "3" { // the values of half of the objects are large and therefore announced
					o = largeObject(name, r)
				}
				objects = append(objects, o)
				checksum ^= Entry{Name: name, Revision: r}.hash()
			}
			checksums[revision] = checksum
			reader := rapid.IntRange(0, len(datasets)-1).Draw(t, "reader")
			_, update := datasets[reader].ApplyRead(now, objects, at(revision))
			updates := []Update{update}
			if values, ok := datasets[reader].AnnouncedValues(); ok {
				updates = append(updates, values)
			}
			for i := range datasets {
				for _, u := range updates {
					if i != reader && !rapid.Bool().Draw(t, "lost") {
						pending = append(pending, delivery{i, u})
					}
				}
			}
			for range rapid.IntRange(0, len(pending)).Draw(t, "arrive") {
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
				d := pending[i]
				pending = append(pending[:i], pending[i+1:]...)
				dataset, storeRevision := datasets[d.receiver], datasets[d.receiver].storeRevision
				dataset.ApplyUpdate(now, d.update)
				if dataset.storeRevision > storeRevision && dataset.checksum != checksums[dataset.storeRevision] {
					t.Fatalf("step %d: the entries of daemon %d differ from the store's at the same revision", step, d.receiver)
				}
			}
			for i, s := range datasets {
				var recomputed uint64
				for _, e := range s.entries {
					recomputed ^= e.hash()
				}
				if recomputed != s.checksum {
					t.Fatalf("step %d: the checksum of daemon %d does not match its entries", step, i)
				}
			}
		}
	})
}

// TestFewReadTheStore guards against reads of the store that grow with the number of
// daemons. The first daemon's update takes some hops to reach all others, and each daemon
// whose delay ends before the update arrives reads the store as well.
func TestFewReadTheStore(t *testing.T) {
	Convey("With any number of daemons, on average fewer than three read the store per round, and each waits at most three periods", t, func() {
		const rounds, period, updateDelay = 200, 400 * time.Millisecond, 30 * time.Millisecond
		for _, n := range []int{8, 76, 760} {
			d := NewDataset("k", period, uint64(n))
			d.SetReaders(n)
			reads := 0
			for range rounds {
				waits := make([]time.Duration, n)
				for i := range waits {
					waits[i] = period + d.drawJitter()
					So(waits[i], ShouldBeLessThanOrEqualTo, 3*period)
				}
				first := slices.Min(waits)
				for _, w := range waits {
					if w <= first+updateDelay {
						reads++
					}
				}
			}
			So(reads, ShouldBeLessThan, 3*rounds)
		}
	})
}
