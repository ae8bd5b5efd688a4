package compare

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestCompare(t *testing.T) {
	Convey("Given a short trace", t, func() {
		shape := DefaultShape()
		shape.Requests = 400
		trace := Generate(shape, 7)
		Convey("it reads back as it was written", func() {
			var b bytes.Buffer
			So(Write(&b, trace), ShouldBeNil)
			again, err := Read(&b)
			So(err, ShouldBeNil)
			So(again, ShouldResemble, trace)
		})
		Convey("every policy serves every request, and the same seed gives the same result", func() {
			for _, p := range Policies() {
				a, b := Run(DefaultSite(), trace, p, 7), Run(DefaultSite(), trace, p, 7)
				So(a.FirstToken.TotalCount(), ShouldEqual, len(trace))
				So(a.FirstToken.Equals(b.FirstToken), ShouldBeTrue)
				So(a.PrefillTokens, ShouldEqual, b.PrefillTokens)
			}
		})
	})
}
