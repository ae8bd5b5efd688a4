package exchange

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestDirectory(t *testing.T) {
	Convey("Given three daemons", t, func() {
		r := NewMemberList("a")
		for _, id := range []string{"a", "b", "c"} {
			So(r.Put(Member{ID: id}), ShouldBeTrue)
		}
		ids := func(now time.Time) (out []string) {
			for _, m := range r.Directory(now) {
				out = append(out, m.ID)
			}
			return out
		}
		Convey("all are returned before the first heartbeat", func() {
			So(ids(start), ShouldResemble, []string{"a", "b", "c"})
		})
		Convey("a silent daemon is left out until its next heartbeat", func() {
			r.RecordHeartbeat(start, "b", false)
			r.RecordHeartbeat(start.Add(time.Second), "c", false)
			So(ids(start.Add(2*time.Second)), ShouldResemble, []string{"a", "c"})
			So(r.RecordHeartbeat(start.Add(3*time.Second), "b", false), ShouldBeTrue)
			So(ids(start.Add(3*time.Second)), ShouldResemble, []string{"a", "b"})
		})
		Convey("a leaving daemon is left out immediately, also if all others are silent", func() {
			r.RecordHeartbeat(start, "b", true)
			So(ids(start), ShouldResemble, []string{"a", "c"})
			So(ids(start.Add(time.Minute)), ShouldResemble, []string{"a", "c"})
		})
	})
}
