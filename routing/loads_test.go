package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/target"
)

var start = time.Unix(1_800_000_000, 0)

func TestLoads(t *testing.T) {
	Convey("Given the Loads of a daemon", t, func() {
		l := NewLoads()
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		report := func(ms, age, running int, incarnation uint64) (bool, bool) {
			return l.ApplyReport(at(ms), "e", target.Load{Running: running, AgeMillis: int64(age), Incarnation: incarnation})
		}
		Convey("own requests count immediately", func() {
			l.AddOwn(at(0), "e", 1)
			l.AddOwn(at(1), "e", 1)
			l.AddOwn(at(2), "e", -1)
			So(l.Estimate("e"), ShouldEqual, 1)
		})
		Convey("own requests that a report includes are not counted twice", func() {
			l.AddOwn(at(0), "e", 1)
			report(100, 50, 4, 1)
			So(l.Estimate("e"), ShouldEqual, 4)
		})
		Convey("own requests that began after a report was made are added to it", func() {
			l.AddOwn(at(90), "e", 1)
			report(100, 50, 4, 1)
			So(l.Estimate("e"), ShouldEqual, 5)
			l.AddOwn(at(110), "e", 1)
			So(l.Estimate("e"), ShouldEqual, 6)
		})
		Convey("the load of other daemons is smoothed", func() {
			report(100, 0, 10, 1)
			report(200, 0, 0, 1)
			So(l.Estimate("e"), ShouldAlmostEqual, 10*(1-othersWeight))
		})
		Convey("a restart is detected, and the first report after it is not smoothed", func() {
			report(100, 0, 10, 1)
			_, restarted := report(200, 0, 0, 2)
			So(restarted, ShouldBeTrue)
			So(l.Estimate("e"), ShouldEqual, 0)
			So(l.PreviousIncarnationSeen("e"), ShouldEqual, at(100))
		})
		Convey("a failed target is down until a poll succeeds", func() {
			report(100, 0, 1, 1)
			l.MarkDown("e")
			So(l.Down("e"), ShouldBeTrue)
			recovered, _ := report(200, 0, 1, 1)
			So(recovered, ShouldBeTrue)
			So(l.Down("e"), ShouldBeFalse)
		})
		Convey("without reports, the number of recorded changes is bounded and the count of own requests stays correct", func() {
			for i := range 3 * maxOwnChanges {
				l.AddOwn(at(i), "e", 1)
			}
			So(len(l.targets["e"].ownChanges), ShouldBeLessThanOrEqualTo, maxOwnChanges)
			So(l.Estimate("e"), ShouldEqual, 3*maxOwnChanges)
		})
		Convey("targets that are not retained are dropped", func() {
			report(100, 0, 1, 1)
			l.Retain(func(string) bool { return false })
			So(l.targets, ShouldBeEmpty)
		})
	})
}
