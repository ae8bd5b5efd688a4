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

func TestDatasetSpread(t *testing.T) {
	Convey("Given a reader and a peer", t, func() {
		reader, peer := NewDataset("k", time.Second, 1), NewDataset("k", time.Second, 2)
		change, news := reader.Read(start, []objectstore.Object{object("a", 1), object("b", 2)}, 2)
		So(change.Changed, ShouldHaveLength, 2)
		So(peer.Hear(start, news).Changed, ShouldHaveLength, 2)
		late := start.Add(900 * time.Millisecond)

		Convey("news of a change and a removal applies", func() {
			_, news := reader.Read(start.Add(time.Second), []objectstore.Object{object("b", 3)}, 4)
			changed := peer.Hear(start.Add(time.Second), news)
			So(changed.Removed, ShouldResemble, []string{"a"})
			So(changed.Changed[0].Revision, ShouldEqual, 3)
		})
		Convey("news that overtakes other news is taken, and both make the whole", func() {
			due := peer.Due()
			_, first := reader.Read(late, []objectstore.Object{object("b", 3)}, 4)
			_, second := reader.Read(late, []objectstore.Object{object("b", 3), object("c", 5)}, 5)
			So(peer.Hear(late, second).Changed, ShouldHaveLength, 1)
			So(peer.Due(), ShouldEqual, due) // something is missing: an own read would find it
			So(peer.Hear(late, first).Removed, ShouldResemble, []string{"a"})
			So(peer.Due(), ShouldHappenOnOrAfter, late.Add(time.Second))
			So(peer.Whole(late, reader.Query().Sum).Same, ShouldBeTrue)
		})
		Convey("a peer that missed news gets the rest by asking, and nothing if it missed none", func() {
			reader.Read(late, []objectstore.Object{object("b", 3)}, 4)
			_, news := reader.Read(late, []objectstore.Object{object("b", 5)}, 5)
			peer.Hear(late, news)
			whole := reader.Whole(late, peer.Query().Sum)
			So(whole.Same, ShouldBeFalse)
			So(peer.Take(late, whole).Removed, ShouldResemble, []string{"a"})
			whole = reader.Whole(late, peer.Query().Sum)
			So(whole.Same, ShouldBeTrue)
			So(whole.Entries, ShouldBeEmpty)
			So(peer.Take(late, whole).Empty(), ShouldBeTrue)
			So(peer.names(), ShouldResemble, []string{"b"})
		})
		Convey("an old read or old news never takes anything back", func() {
			reader.Read(start.Add(time.Second), []objectstore.Object{object("b", 3)}, 4)
			change, _ := reader.Read(start, []objectstore.Object{object("a", 1)}, 2)
			So(change.Empty(), ShouldBeTrue)
			So(reader.Hear(start, news).Empty(), ShouldBeTrue)
			So(reader.Take(start, Whole{At: 1}).Empty(), ShouldBeTrue)
		})
		Convey("an own read that is older than news does not take the news back", func() {
			_, missed := reader.Read(late, []objectstore.Object{object("b", 3)}, 4)
			_, news := reader.Read(late, []objectstore.Object{object("b", 6), object("c", 5)}, 6)
			peer.Hear(late, news)
			change, _ := peer.Read(late, []objectstore.Object{object("b", 3)}, 4)
			So(change.Removed, ShouldResemble, []string{"a"})
			So(peer.Hear(late, missed).Empty(), ShouldBeTrue)
			So(peer.entries["b"].Revision, ShouldEqual, 6)
			So(peer.names(), ShouldResemble, []string{"b", "c"})
		})
		Convey("news without a change spares the peer its own read", func() {
			_, news := reader.Read(late, []objectstore.Object{object("a", 1), object("b", 2)}, 2)
			peer.Hear(late, news)
			So(peer.Due(), ShouldHappenOnOrAfter, late.Add(time.Second))
		})
		Convey("silence makes every daemon read by itself within three periods", func() {
			So(peer.Due(), ShouldHappenOnOrBefore, start.Add(3*time.Second))
		})
	})
}

// TestDatasetsAgree plays changes of which daemons hear late, in any order, or not at
// all: one whose own read is not due holds what the store held at the newest news.
func TestDatasetsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type heard struct {
			by   int
			news News
		}
		sets := make([]*Dataset, 4)
		for i := range sets {
			sets[i] = NewDataset("k", time.Second, uint64(i))
		}
		stored, revision := map[string]int64{}, int64(0)
		history := map[int64]uint64{} // sums of the store's entries, by revision
		var late []heard
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
			sum := uint64(0)
			for name, r := range stored {
				objects = append(objects, object(name, r))
				sum ^= Entry{Name: name, Revision: r}.hash()
			}
			history[revision] = sum
			reader := rapid.IntRange(0, len(sets)-1).Draw(t, "reader")
			_, news := sets[reader].Read(now, objects, revision)
			for i := range sets {
				if i != reader && !rapid.Bool().Draw(t, "lost") {
					late = append(late, heard{i, news})
				}
			}
			for range rapid.IntRange(0, len(late)).Draw(t, "arrive") {
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				h := late[i]
				late = append(late[:i], late[i+1:]...)
				set, at := sets[h.by], sets[h.by].at
				set.Hear(now, h.news)
				if set.at > at && set.sum != history[set.at] {
					t.Fatalf("step %d: daemon %d takes its entries for true, and they never were", step, h.by)
				}
			}
			for i, s := range sets {
				var all uint64
				for _, e := range s.entries {
					all ^= e.hash()
				}
				if all != s.sum {
					t.Fatalf("step %d: the running sum of daemon %d is not that of its entries", step, i)
				}
			}
		}
	})
}

// TestFewReadTheStore plays rounds of reads, the news of which takes some hops to all: as
// daemons grow more, hardly more of them read in a round.
func TestFewReadTheStore(t *testing.T) {
	Convey("However many daemons there are, about two read in a round, and each within three periods", t, func() {
		const rounds, period, newsTakes = 200, 400 * time.Millisecond, 30 * time.Millisecond
		for _, n := range []int{8, 76, 760} {
			d := NewDataset("k", period, uint64(n))
			d.SetReaders(n)
			reads := 0
			for range rounds {
				waits := make([]time.Duration, n)
				for i := range waits {
					waits[i] = period + d.wait()
					So(waits[i], ShouldBeLessThanOrEqualTo, 3*period)
				}
				first := slices.Min(waits)
				for _, w := range waits {
					if w <= first+newsTakes {
						reads++
					}
				}
			}
			So(reads, ShouldBeLessThan, 3*rounds)
		}
	})
}
