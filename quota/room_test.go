package quota

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRoom(t *testing.T) {
	Convey("Given a target that runs four requests at once", t, func() {
		r, key, capacity := NewRoom(), Key{Target: "t"}, Size{Requests: 4, MemoryTokens: 1000}
		now := start
		take := func(id string, tokens int) bool {
			_, ok := r.Take(now, key, id, "vm-1", 1, Size{1, tokens}, Size{}, capacity)
			return ok
		}
		fill := func(n int) (issued int) {
			for i := range n {
				if take(fmt.Sprint("r", i), 0) {
					issued++
				}
			}
			return issued
		}
		Convey("it gets no more than these at a time", func() {
			So(fill(10), ShouldEqual, 4)
			r.Release(now, key, "r0", false)
			So(take("next", 0), ShouldBeTrue)
			So(take("one more", 0), ShouldBeFalse)
		})
		Convey("it gets no more than its memory holds, and one request of any size", func() {
			So(take("a", 600), ShouldBeTrue)
			So(take("b", 600), ShouldBeFalse)
			r.Release(now, key, "a", false)
			So(take("large", 5000), ShouldBeTrue)
		})
		Convey("after a refusal it gets none for a time, then fewer, then as many as before", func() {
			So(fill(10), ShouldEqual, 4)
			r.Release(now, key, "r3", true)
			for i := range 3 {
				r.Release(now, key, fmt.Sprint("r", i), false)
			}
			So(fill(10), ShouldEqual, 0)
			now = now.Add(refusalPause)
			So(fill(10), ShouldEqual, 3)
			now = now.Add(growInterval)
			So(take("fourth", 0), ShouldBeTrue)
		})
		Convey("a place is left to more urgent requests that got none", func() {
			So(fill(10), ShouldEqual, 4)
			_, ok := r.Take(now, key, "urgent", "vm-1", 0, Size{Requests: 1}, Size{}, capacity)
			So(ok, ShouldBeFalse)
			r.Release(now, key, "r0", false)
			So(take("less urgent", 0), ShouldBeFalse)
			_, ok = r.Take(now, key, "urgent", "vm-1", 0, Size{Requests: 1}, Size{}, capacity)
			So(ok, ShouldBeTrue)
		})
		Convey("leases whose release was lost are dropped by the holder's report", func() {
			So(fill(10), ShouldEqual, 4)
			r.Reconcile(now.Add(time.Second), key, func(string) int { return 0 })
			So(take("too early", 0), ShouldBeFalse)
			r.Reconcile(now.Add(2*time.Second), key, func(string) int { return 1 })
			So(fill(10), ShouldEqual, 3)
		})
	})
}
