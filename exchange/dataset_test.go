package exchange

import (
	"fmt"
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
		changed, fetch := peer.Hear(start, news)
		So(fetch, ShouldBeFalse)
		So(changed.Changed, ShouldHaveLength, 2)

		Convey("news of a change and a removal applies", func() {
			_, news := reader.Read(start.Add(time.Second), []objectstore.Object{object("b", 3)}, 4)
			changed, fetch := peer.Hear(start.Add(time.Second), news)
			So(fetch, ShouldBeFalse)
			So(changed.Removed, ShouldResemble, []string{"a"})
			So(changed.Changed[0].Revision, ShouldEqual, 3)
		})
		Convey("a peer that missed news fetches the whole", func() {
			reader.Read(start.Add(time.Second), []objectstore.Object{object("b", 3)}, 4)
			_, news := reader.Read(start.Add(2*time.Second), []objectstore.Object{object("b", 5)}, 5)
			_, fetch := peer.Hear(start.Add(2*time.Second), news)
			So(fetch, ShouldBeTrue)
			changed := peer.Take(start.Add(2*time.Second), reader.Whole(start.Add(2*time.Second)))
			So(changed.Removed, ShouldResemble, []string{"a"})
		})
		Convey("an old read or old news never takes anything back", func() {
			reader.Read(start.Add(time.Second), []objectstore.Object{object("b", 3)}, 4)
			change, _ := reader.Read(start, []objectstore.Object{object("a", 1)}, 2)
			So(change.Empty(), ShouldBeTrue)
			change, fetch := reader.Hear(start, news)
			So(change.Empty(), ShouldBeTrue)
			So(fetch, ShouldBeFalse)
			So(reader.Take(start, Whole{At: 1}).Empty(), ShouldBeTrue)
		})
		Convey("news without a change spares the peer its own read", func() {
			later := start.Add(900 * time.Millisecond)
			_, news := reader.Read(later, []objectstore.Object{object("a", 1), object("b", 2)}, 2)
			peer.Hear(later, news)
			So(peer.Due(), ShouldHappenOnOrAfter, later.Add(time.Second))
		})
		Convey("silence makes every daemon read by itself within three periods", func() {
			So(peer.Due(), ShouldHappenOnOrBefore, start.Add(3*time.Second))
		})
	})
}

func TestDatasetsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sets := make([]*Dataset, 4)
		for i := range sets {
			sets[i] = NewDataset("k", time.Second, uint64(i))
		}
		stored, revision := map[string]int64{}, int64(0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := start.Add(time.Duration(step) * time.Second)
			name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
			revision++
			if rapid.Bool().Draw(t, "remove") {
				delete(stored, name)
			} else {
				stored[name] = revision
			}
			var objects []objectstore.Object
			for name, r := range stored {
				objects = append(objects, object(name, r))
			}
			reader := sets[rapid.IntRange(0, 3).Draw(t, "reader")]
			_, news := reader.Read(now, objects, revision)
			for _, s := range sets {
				if s == reader || rapid.Bool().Draw(t, "lost") {
					continue
				}
				if _, fetch := s.Hear(now, news); fetch {
					s.Take(now, reader.Whole(now))
				}
				if s.sum() != reader.sum() {
					t.Fatalf("step %d: a peer that heard the news holds something else", step)
				}
			}
		}
	})
}
