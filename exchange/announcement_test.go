package exchange

import (
	"bytes"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

func largeObject(name string, revision int64) objectstore.Object {
	return objectstore.Object{Name: name, Revision: revision, Value: bytes.Repeat([]byte{byte(revision)}, announceAbove+1)}
}

// TestOneReaderSendsLargeValues guards against inc1: each daemon that read a changed
// configuration from the store sent the whole of it to all others.
func TestOneReaderSendsLargeValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		readers := make([]*Dataset, rapid.IntRange(2, 6).Draw(t, "readers"))
		announcements := make([]Update, len(readers))
		for i := range readers {
			readers[i] = NewDataset("k", time.Second, uint64(i))
			readers[i].ApplyRead(start, []objectstore.Object{largeObject("a", 1)}, at(1))
			// The store's revision also rises with changes of other kinds.
			revision := rapid.Int64Range(2, 4).Draw(t, "revision")
			_, announcements[i] = readers[i].ApplyRead(start.Add(time.Second), []objectstore.Object{largeObject("a", 2)}, at(revision))
			if len(announcements[i].Changed) > 0 || len(announcements[i].Announced) != 1 {
				t.Fatalf("reader %d sends %d values before others had time to announce them", i, len(announcements[i].Changed))
			}
		}
		allArrive := rapid.Bool().Draw(t, "all arrive")
		for i, reader := range readers {
			for j, a := range announcements {
				if i != j && (allArrive || rapid.Bool().Draw(t, "arrives")) {
					reader.ApplyUpdate(start.Add(time.Second), a)
				}
			}
		}
		senders := 0
		for _, reader := range readers {
			if _, ok := reader.AnnouncedValues(); ok {
				senders++
			}
			if _, ok := reader.AnnouncedValues(); ok {
				t.Fatal("a reader sends its values twice")
			}
		}
		if senders == 0 || allArrive && senders != 1 {
			t.Fatalf("%d of %d readers send the values", senders, len(readers))
		}
	})
}

// TestOnlyNewsIsSent guards against daemons that send all others what these have already:
// after a restart of many daemons, each sent the whole of each dataset to all others.
func TestOnlyNewsIsSent(t *testing.T) {
	Convey("Given a daemon that has just started", t, func() {
		d := NewDataset("k", time.Second, 1)
		now := start
		read := func(objects ...objectstore.Object) Update {
			now = now.Add(time.Second)
			_, u := d.ApplyRead(now, objects, at(objects[len(objects)-1].Revision))
			return u
		}
		sendsNothing := func(u Update) {
			_, values := d.AnnouncedValues()
			So(len(u.Changed)+len(u.Removed)+len(u.Announced), ShouldEqual, 0)
			So(values, ShouldBeFalse)
		}
		Convey("its first read sends no entries, only what peers need to compare theirs", func() {
			u := read(largeObject("a", 1), object("b", 2))
			sendsNothing(u)
			So(u.Checksum, ShouldEqual, d.Query().Checksum)
			So(u.StoreRevision, ShouldEqual, 2)
		})
		Convey("a later read sends what changed", func() {
			read(object("a", 1), object("b", 2))
			So(read(object("a", 1), object("b", 3)).Changed, ShouldHaveLength, 1)
			So(read(object("b", 3), largeObject("c", 4)).Announced, ShouldResemble, map[string]int64{"c": 4})
			values, ok := d.AnnouncedValues()
			So(ok, ShouldBeTrue)
			So(values.Changed, ShouldHaveLength, 1)
		})
		Convey("a read that finds what a peer has announced sends nothing", func() {
			read(largeObject("a", 1))
			d.ApplyUpdate(now, Update{Kind: "k", StoreRevision: 2, Announced: map[string]int64{"a": 2}})
			sendsNothing(read(largeObject("a", 2)))
			Convey("but what came after that is sent", func() {
				So(read(largeObject("a", 3)).Announced, ShouldHaveLength, 1)
			})
		})
	})
}
