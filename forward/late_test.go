package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLateAttempts guards against requests that can still meet their objective but wait
// behind requests that can't. After a restart of all daemons, callers reconnect at
// once: some resume an answer that is late already, others send new requests.
func TestLateAttempts(t *testing.T) {
	Convey("The objective of an attempt is missed if its answer can no longer be in time", t, func() {
		cases := []struct {
			name    string
			change  func(s *stream)
			elapsed time.Duration
			missed  bool
		}{
			{"a new request", func(*stream) {}, 0, false},
			{"a new request whose objective has passed", func(*stream) {}, 5 * time.Second, true},
			{"a caller who resumes an answer", func(s *stream) { s.request.LastEventID = "4" }, 0, true},
			{"a last event within the longest event gap", func(s *stream) { s.lastEventAt = epoch }, 300 * time.Millisecond, false},
			{"a last event earlier than the longest event gap", func(s *stream) { s.lastEventAt = epoch }, 800 * time.Millisecond, true},
		}
		for _, c := range cases {
			s := newStream(nil, &Request{Route: &streamRoute, Received: epoch}, nil)
			c.change(s)
			So(s.objectiveMissed(epoch.Add(c.elapsed)), ShouldEqual, c.missed)
		}
	})
}
