package generation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestClaims(t *testing.T) {
	Convey("the daemon of the previous claim is returned until that claim expires", t, func() {
		c := NewClaims()
		now := time.Unix(1000, 0)
		So(c.Swap(now, "1", "a"), ShouldEqual, "")
		So(c.Swap(now, "1", "b"), ShouldEqual, "a")
		So(c.Holder(now, "1"), ShouldEqual, "b")
		So(c.Holder(now, "2"), ShouldEqual, "")
		So(c.Holder(now.Add(claimLifetime+1), "1"), ShouldEqual, "")
		So(c.Swap(now.Add(claimLifetime+1), "1", "c"), ShouldEqual, "")
	})
	Convey("a renewal does not replace the claim of another daemon", t, func() {
		c := NewClaims()
		now := time.Unix(1000, 0)
		c.Renew(now, "1", "a")
		c.Renew(now, "1", "b")
		So(c.Holder(now, "1"), ShouldEqual, "a")
	})
	Convey("claims are bounded in number and age", t, func() {
		c := NewClaims()
		now := time.Unix(1000, 0)
		for i := range maxClaims + 10 {
			c.Swap(now, fmt.Sprint(i), "a")
		}
		So(c.Len(), ShouldEqual, maxClaims)
		c.Swap(now.Add(claimLifetime+1), "new", "a")
		So(c.Len(), ShouldEqual, 1)
	})
}
