package uplink

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestMonitor(t *testing.T) {
	Convey("Given a daemon that knows ten targets", t, func() {
		m := NewMonitor()
		m.SetKnown(10)
		fail := func(ms int, targets ...int) (lost bool) {
			for _, i := range targets {
				lost = m.Failed(at(ms), fmt.Sprint("i-", i)) || lost
			}
			return lost
		}

		Convey("failures of three targets without an answer in between are a loss of the links", func() {
			So(fail(0, 1, 2), ShouldBeFalse)
			So(fail(100, 3), ShouldBeTrue)
			So(m.Lost(), ShouldBeTrue)
			So(fail(200, 4), ShouldBeFalse)

			Convey("which two targets end that answer on new connections", func() {
				m.Answered(at(300))
				So(m.Lost(), ShouldBeTrue)
				So(m.AnsweredNew(at(400), "i-1"), ShouldBeFalse)
				So(m.AnsweredNew(at(500), "i-1"), ShouldBeFalse)
				So(m.AnsweredNew(at(600), "i-2"), ShouldBeTrue)
				So(m.Lost(), ShouldBeFalse)
			})
			Convey("which a failure between two answers prolongs", func() {
				m.AnsweredNew(at(400), "i-1")
				fail(450, 5)
				So(m.AnsweredNew(at(500), "i-2"), ShouldBeFalse)
				So(m.Lost(), ShouldBeTrue)
			})
		})
		Convey("many failures of one target, such as one that is silent, are no loss", func() {
			So(fail(0, 1, 1, 1, 1, 2, 2), ShouldBeFalse)
		})
		Convey("failures of a whole failure domain are no loss while another target answers", func() {
			So(fail(0, 1, 2), ShouldBeFalse)
			m.Answered(at(10))
			So(fail(20, 3, 4), ShouldBeFalse)
			m.Answered(at(30))
			So(fail(40, 5, 6), ShouldBeFalse)
		})
		Convey("failures long apart are no loss", func() {
			So(fail(0, 1, 2), ShouldBeFalse)
			So(fail(4000, 3), ShouldBeFalse)
		})
	})
	Convey("With a single target, its failure is a loss and its answer ends it", t, func() {
		m := NewMonitor()
		m.SetKnown(1)
		So(m.Failed(at(0), "i-1"), ShouldBeTrue)
		So(m.AnsweredNew(at(10), "i-1"), ShouldBeTrue)
	})
}
