package origin

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestLedger(t *testing.T) {
	Convey("A ledger keeps the first origin of a request for its retention, and a bounded number of them", t, func() {
		l := NewLedger()
		v1, v2 := Origin{"s", "v1"}, Origin{"s", "v2"}
		So(l.Add(start, Record{"a", v1}), ShouldBeTrue)
		So(l.Add(start.Add(time.Second), Record{"a", v2}), ShouldBeFalse)
		found, ok := l.Find("a")
		So(found, ShouldResemble, v1)
		So(ok, ShouldBeTrue)
		_, ok = l.Find("b")
		So(ok, ShouldBeFalse)
		l.Add(start.Add(retention+time.Nanosecond), Record{"c", v1})
		_, ok = l.Find("a")
		So(ok, ShouldBeFalse)
		for i := range 2 * maxRecords {
			l.Add(start.Add(retention+time.Second), Record{fmt.Sprint("r", i), v1})
		}
		So(len(l.origins), ShouldEqual, maxRecords)
		So(len(l.order), ShouldEqual, maxRecords)
		_, ok = l.Find(fmt.Sprint("r", 2*maxRecords-1))
		So(ok, ShouldBeTrue)
	})
}

func TestVersions(t *testing.T) {
	Convey("Versions are recent until their retention after the last note, and are renewed before", t, func() {
		v := make(Versions)
		So(v.Fresh(start, "v1"), ShouldBeFalse)
		v.Note(start, "v1")
		v.Note(start.Add(time.Minute), "v2")
		So(v.Fresh(start.Add(renewInterval-1), "v1"), ShouldBeTrue)
		So(v.Fresh(start.Add(renewInterval), "v1"), ShouldBeFalse)
		So(v.Recent(start.Add(VersionRetention)), ShouldResemble, []string{"v1", "v2"})
		So(v.Recent(start.Add(VersionRetention+1)), ShouldResemble, []string{"v2"})
		v.Note(start.Add(VersionRetention+1), "v2")
		So(v, ShouldHaveLength, 1)
	})
}

func TestMergedVersions(t *testing.T) {
	Convey("Merging adds versions and renews old notes, and leaves out those out of use", t, func() {
		now := start.Add(VersionRetention)
		v := Versions{"v1": now.Add(-renewInterval), "v2": now.Add(-time.Second)}
		So(v.Merge(now, Versions{"v1": now.Add(-1), "v2": now, "v4": start.Add(-1)}), ShouldBeFalse)
		So(v.Merge(now, Versions{"v1": now, "v3": start}), ShouldBeTrue)
		So(v, ShouldResemble, Versions{"v1": now, "v2": now.Add(-time.Second), "v3": start})
	})
}

func TestCoverage(t *testing.T) {
	Convey("Notes are complete in the era in which all were noted, or in which none has begun streams for long", t, func() {
		complete, seen := Coverage{Era: 2, Complete: true, Since: start}, Coverage{Era: 2, Since: start}
		So(complete.Covers(start, 2), ShouldBeTrue)
		So(complete.Covers(start.Add(time.Hour), 3), ShouldBeFalse)
		So(complete.Covers(start, 1), ShouldBeFalse)
		So(seen.Covers(start.Add(VersionRetention), 2), ShouldBeFalse)
		So(seen.Covers(start.Add(VersionRetention+1), 2), ShouldBeTrue)
		So(Coverage{}.Covers(start, 1), ShouldBeFalse)
		So(Coverage{}.Covers(start, 0), ShouldBeTrue) // a store without eras
	})
}
