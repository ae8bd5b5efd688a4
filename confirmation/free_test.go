package confirmation

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFree(t *testing.T) {
	Convey("Given the second daemon of a pair, which is to stop", t, func() {
		now := time.Unix(1000, 0)
		first, second := Ref{ID: "a", Incarnation: 1}, Ref{ID: "b", Incarnation: 1}
		r := NewReplica(second, Limits{Retention: time.Minute})
		r.Step(now, Assigned{Shard{Epoch: 1, First: first, Second: second}})
		So(r.CanStop(true), ShouldBeFalse)
		So(r.CanStop(false), ShouldBeFalse)
		r.Step(now, Leave{})
		Convey("it waits for the daemon that replaces it", func() {
			So(r.CanStop(true), ShouldBeFalse)
		})
		Convey("it may stop at once when no daemon can replace it", func() {
			So(r.CanStop(false), ShouldBeTrue)
		})
	})
}
