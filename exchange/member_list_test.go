package exchange

import (
	"fmt"
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
			r.RecordHeartbeat(start, "b", 1, false)
			r.RecordHeartbeat(start.Add(time.Second), "c", 1, false)
			So(ids(start.Add(2*time.Second)), ShouldResemble, []string{"a", "c"})
			So(r.RecordHeartbeat(start.Add(3*time.Second), "b", 1, false), ShouldEqual, Returned)
			So(ids(start.Add(3*time.Second)), ShouldResemble, []string{"a", "b"})
		})
		Convey("a leaving daemon is left out immediately, also if all others are silent", func() {
			r.RecordHeartbeat(start, "b", 1, true)
			So(ids(start), ShouldResemble, []string{"a", "c"})
			So(ids(start.Add(time.Minute)), ShouldResemble, []string{"a", "c"})
		})
	})
}

// TestRestartIsNoticed guards against a daemon that restarts between two of its
// heartbeats, is taken for the previous one and lacks what its peers send to a daemon
// that returns.
func TestRestartIsNoticed(t *testing.T) {
	Convey("The first heartbeat of each incarnation is noticed, also while the previous one counts as live", t, func() {
		r := NewMemberList("a")
		r.Put(Member{ID: "b"})
		So(r.RecordHeartbeat(start, "b", 1, false), ShouldEqual, Started)
		So(r.RecordHeartbeat(start.Add(heartbeatGap), "b", 1, false), ShouldEqual, Continuing)
		So(r.RecordHeartbeat(start.Add(2*heartbeatGap), "b", 2, false), ShouldEqual, Started)
		So(r.RecordHeartbeat(start.Add(3*heartbeatGap), "b", 2, false), ShouldEqual, Continuing)
	})
}

// TestSponsors guards against a daemon that starts and gets the same from each of many
// others, or from none.
func TestSponsors(t *testing.T) {
	Convey("A few of many daemons bring one that starts up to date, others for another incarnation", t, func() {
		const daemons = 91
		sponsors := func(incarnation uint64) (out []int) {
			for i := range daemons {
				r := NewMemberList(fmt.Sprint("vm-", i))
				for j := range daemons {
					r.Put(Member{ID: fmt.Sprint("vm-", j)})
					r.RecordHeartbeat(start, fmt.Sprint("vm-", j), 1, false)
				}
				if i > 0 && r.Sponsors(start, "vm-0", incarnation) {
					out = append(out, i)
				}
			}
			return out
		}
		So(sponsors(1), ShouldHaveLength, maxSponsors)
		So(sponsors(2), ShouldHaveLength, maxSponsors)
		So(sponsors(2), ShouldNotResemble, sponsors(1))
	})
	Convey("The only other live daemon does", t, func() {
		r := NewMemberList("a")
		for _, id := range []string{"a", "b", "c", "d", "e"} {
			r.Put(Member{ID: id})
		}
		So(r.Sponsors(start, "b", 1), ShouldBeTrue)
	})
}

// heartbeatGap is a time between two heartbeats at which a daemon stays live.
const heartbeatGap = silenceTimeout / 3
