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
		Convey("Read returns the trace that Write wrote", func() {
			var b bytes.Buffer
			So(Write(&b, trace), ShouldBeNil)
			decoded, err := Read(&b)
			So(err, ShouldBeNil)
			So(decoded, ShouldResemble, trace)
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
