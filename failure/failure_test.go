package failure

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestError(t *testing.T) {
	cause := errors.New("connection reset")
	cases := []struct {
		name string
		err  error
		want Error
		text string
	}{
		{"new, at a peer", New(NoTarget, NotRun, "route", "engine-1", "none of %d", 3).WithRetryAfter(time.Second),
			Error{Code: NoTarget, Outcome: NotRun, Step: "route", Peer: "engine-1", Message: "none of 3", RetryAfter: time.Second},
			"route at engine-1: none of 3 (no_target, not_run)"},
		{"new, in this process", New(Conflict, NotRun, "write", "", "lost"),
			Error{Code: Conflict, Outcome: NotRun, Step: "write", Message: "lost"}, "write: lost (conflict, not_run)"},
		{"wrapping a cause", Wrap(cause, TargetLost, Ran, "resume", "engine-2"),
			Error{Code: TargetLost, Outcome: Ran, Step: "resume", Peer: "engine-2", Message: "connection reset", cause: cause},
			"resume at engine-2: connection reset (target_lost, ran)"},
		{"within another error", errors.Wrap(New(Draining, NotRun, "accept", "", "stopping"), "call"),
			Error{Code: Draining, Outcome: NotRun, Step: "accept", Message: "stopping"}, "call: accept: stopping (draining, not_run)"},
		{"that is untyped has an unknown outcome", cause,
			Error{Code: Internal, Outcome: Unknown, Step: "unclassified", Message: "connection reset", cause: cause}, "connection reset"},
	}
	for _, c := range cases {
		Convey("an error "+c.name, t, func() {
			So(*From(c.err), ShouldResemble, c.want)
			So(c.err.Error(), ShouldEqual, c.text)
			if c.want.cause != nil {
				So(errors.Is(From(c.err), cause), ShouldBeTrue)
			}
		})
	}
}
