package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLateAttempts names the pattern: after all daemons restart, callers come back at
// once, some with the rest of an answer that is late already, some anew. Those that
// can still be in time are read first.
func TestLateAttempts(t *testing.T) {
	Convey("An attempt that can't be in time any more yields to others", t, func() {
		cases := []struct {
			name   string
			change func(s *stream)
			after  time.Duration
			late   bool
		}{
			{"a new request", func(*stream) {}, 0, false},
			{"a new request whose objective has passed", func(*stream) {}, 5 * time.Second, true},
			{"a caller that has a part and comes back", func(s *stream) { s.r.LastEventID = "4" }, 0, true},
			{"a loss a moment ago", func(s *stream) { s.event = epoch }, 300 * time.Millisecond, false},
			{"a loss for longer than the longest pause", func(s *stream) { s.event = epoch }, 800 * time.Millisecond, true},
		}
		for _, c := range cases {
			s := newStream(nil, &Request{Route: &streamRoute, Received: epoch}, nil)
			c.change(s)
			So(s.late(epoch.Add(c.after)), ShouldEqual, c.late)
		}
	})
}
