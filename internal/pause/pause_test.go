package pause

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFor(t *testing.T) {
	Convey("A wait ends after its duration, or early when its context ends", t, func() {
		So(For(context.Background(), time.Nanosecond), ShouldBeTrue)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		So(For(ctx, time.Hour), ShouldBeFalse)
	})
}
