package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// receivedAll reports whether the caller received each event from 0 to last exactly
// once and in order, and then the end of the stream.
func (c *fakeResponder) receivedAll(last int) bool {
	if !c.ended || c.aborted || len(c.events) != last+1 {
		return false
	}
	for i, e := range c.events {
		if e != fmt.Sprintf("id: %d\ndata: %d\n\n", i, i) {
			return false
		}
	}
	return true
}

const eventGap = 30 * time.Millisecond

// TestStreamLosses checks that a stream survives the failure of its first target, which
// fails in a different way in each case. The other targets are healthy.
func TestStreamLosses(t *testing.T) {
	healthy := streaming(50, -1, eventGap, nil)
	cases := []struct {
		name    string
		broken  behaviour
		resumes bool
	}{
		{"closes the connection within an event", streaming(50, 20, eventGap, io.ErrUnexpectedEOF), true},
		{"closes the connection before its first event", streaming(50, 0, eventGap, io.ErrUnexpectedEOF), true},
		{"stalls within an event", streaming(50, 20, eventGap, nil), true},
		{"ends the stream regularly within an event", streaming(50, 20, eventGap, io.EOF), true},
		{"is full", answering(503, true), true},
		{"fails", answering(500, false), true},
		{"is unreachable", failing(ErrNotSent), true},
		{"closes the connection without an answer", failing(ErrNoAnswer), true},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newFixtureWithBroken(healthy, c.broken)
			got := s.serve(t, streamRoute)
			synctest.Wait()
			if !got.receivedAll(50) {
				t.Errorf("first target %s: the caller received %d events (want 51, each once and in order), ended %v (want true), error %v", c.name, len(got.events), got.ended, got.err)
			}
			if s.client.maxConcurrent > 1 {
				t.Errorf("first target %s: the request ran on %d targets at once, want at most 1", c.name, s.client.maxConcurrent)
			}
		})
	}
}

// newFixtureWithBroken returns a fixture of four targets that are healthy except for
// the one that a new request goes to first.
func newFixtureWithBroken(healthy, broken behaviour) (s *fixture, first string) {
	s = newFixture(map[string]behaviour{"a": healthy, "b": healthy, "c": healthy, "d": healthy})
	first = s.firstTarget()
	s.client.behaviours[first] = broken
	return s, first
}

// firstTarget returns the target that a new request would go to.
func (s *fixture) firstTarget() string {
	st := newStream(s.Forwarder, &Request{ID: "r1", Route: &streamRoute, Service: "svc", Prompt: Prompt{CacheKey: "p", Tokens: 5000, MaxOutputTokens: 1000}}, nil)
	a, _ := st.planAttempt(context.Background())
	return a.Target.ID
}

func TestResumeFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), streaming(50, 20, eventGap, io.ErrUnexpectedEOF))
		got := s.serve(t, streamRoute)
		sent := s.client.sent
		Convey("A run resumes on the holder of its copy, in another place, and the caller keeps the head of the first answer", t, func() {
			So(got.receivedAll(50), ShouldBeTrue)
			So(sent, ShouldHaveLength, 2)
			So(sent[0].CopyTo.Place, ShouldNotEqual, sent[0].Target.Place)
			So(sent[1].Target.ID, ShouldEqual, sent[0].CopyTo.ID)
			So(sent[1].Resume, ShouldResemble, Copy{sent[0].CopyTo.Address, "r1"})
			So(sent[1].LastEventID, ShouldEqual, "19")
			So(got.header.Get("X-First"), ShouldEqual, first)
		})
		Convey("The resumed run gets a new copy at once, outside both places", t, func() {
			So(sent[1].CopyTo.ID, ShouldNotBeIn, sent[0].Target.ID, sent[1].Target.ID)
		})
	})
}

// TestLossWhileReading guards against wasted attempts when a target is lost before its
// first event. No copy exists at that time, so none may be requested, and one retry
// must be enough.
func TestLossWhileReading(t *testing.T) {
	for name, broken := range map[string]behaviour{
		"closes": failing(ErrNoAnswer), "closes the connection before its first event": streaming(50, 0, eventGap, io.ErrUnexpectedEOF),
	} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), broken)
			got := s.serve(t, streamRoute)
			if !got.receivedAll(50) || len(s.client.sent) != 2 || s.client.sent[1].Resume != (Copy{}) {
				t.Errorf("first target %s: %d events (want 51), sent %+v (want two attempts, the second without a copy)", name, len(got.events), s.client.sent)
			}
		})
	}
}

// TestCopyHolderLost guards against the loss of both a run and its copy when a place
// fails every few seconds: the holder of the copy is lost first and the target of the
// run later. A new copy must have been made in the meantime.
func TestCopyHolderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newFixtureWithBroken(streaming(100, -1, eventGap, nil), streaming(100, 80, eventGap, io.ErrUnexpectedEOF))
		go func() {
			time.Sleep(time.Second)
			s.Fleet.Suspect(time.Now(), s.client.attempt(0).CopyTo.ID, false)
		}()
		got := s.serve(t, streamRoute)
		synctest.Wait()
		if !got.receivedAll(100) {
			t.Fatalf("the caller got %d events, or wrong ones, or no end of the stream; want 101 events, each once and in order, and then the end", len(got.events))
		}
		sent := s.client.sent
		if len(sent) != 2 || s.client.copies[sent[1].Resume.Name] != sent[1].Target.ID {
			t.Fatalf("the last attempt resumed from %+v, want the second and last attempt at the holder of that copy; holders by copy: %v", sent[len(sent)-1].Resume, s.client.copies)
		}
	})
}

// TestDarkTargetIsLeftForAllItsStreams guards against a target that stops responding in
// the middle of a stream. The stream must continue on another target within a time
// limit, and the silent target must get no new work.
func TestDarkTargetIsLeftForAllItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newFixtureWithBroken(streaming(60, -1, eventGap, nil), streaming(60, 20, eventGap, nil))
		go func() {
			time.Sleep(15 * eventGap)
			s.client.kill(first)
		}()
		start := time.Now()
		got := s.serve(t, streamRoute)
		elapsed := time.Since(start)
		if !got.receivedAll(60) {
			t.Fatalf("the caller got %d events, or wrong ones, or no end of the stream; want 61 events, each once and in order, and then the end", len(got.events))
		}
		// The bound is the time until the silence is detected, one probe that times
		// out, the remaining events and the wait for two placements. The clock is
		// virtual, so this is exact.
		if limit := 62*eventGap + gapProbeInterval + probeTimeout + 2*placementInterval; elapsed > limit {
			t.Fatalf("the stream took %v, want at most %v", elapsed, limit)
		}
		if s.Fleet.State(time.Now(), first) == "ready" && elapsed < minSuspectTime {
			t.Fatal("the silent target got state ready, want a state in which it gets no new work")
		}
		s.Fleet.Remove(time.Now(), first, false)
		time.Sleep(time.Minute) // a removed target must not be probed forever
	})
}

// minSuspectTime is well below the time for which a suspected target gets no new work.
const minSuspectTime = time.Second

func TestNonResumableStreamIsSentOnce(t *testing.T) {
	route := streamRoute
	route.Resumable = false
	for name, b := range map[string]behaviour{
		"breaks": streaming(50, 20, eventGap, io.ErrUnexpectedEOF), "closes": failing(ErrNoAnswer),
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": b, "b": b, "c": b})
			got := s.serve(t, route)
			if n := len(s.client.attempts()); n != 1 {
				t.Errorf("a target that %s: sent %d times, want once", name, n)
			}
			if got.ended || got.err != nil && got.err.Outcome == failure.NotRun {
				t.Errorf("a target that %s: ended %v (want false), error %v (want none, or another outcome than not-run)", name, got.ended, got.err)
			}
		})
	}
}

func TestStreamRefusals(t *testing.T) {
	cases := []struct {
		name      string
		behaviour behaviour
		outcome   failure.Outcome
		sends     int
	}{
		{"all are full", answering(503, true), failure.NotRun, 4},
		{"none is reachable", failing(ErrNotSent), failure.NotRun, 4},
		{"all close the connection", failing(ErrNoAnswer), failure.Unknown, 4},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": c.behaviour, "b": c.behaviour, "c": c.behaviour, "d": c.behaviour})
			got := s.serve(t, streamRoute)
			synctest.Wait()
			if got.err == nil || got.err.Outcome != c.outcome {
				t.Errorf("%s: got error %v, want an error with the outcome of this case", c.name, got.err)
			}
			if n := len(s.client.attempts()); n > c.sends {
				t.Errorf("%s: the request was sent %d times, want at most 4 times", c.name, n)
			}
		})
	}
}

func TestRouteTimeoutEndsAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := streamRoute
		route.Timeout = 2 * time.Second
		slow := streaming(1000, -1, eventGap, nil)
		s := newFixture(map[string]behaviour{"a": slow, "b": slow})
		start := time.Now()
		got := s.serve(t, route)
		synctest.Wait()
		if elapsed := time.Since(start); elapsed != route.Timeout || !got.aborted || s.client.running["a"]+s.client.running["b"] != 0 {
			t.Fatalf("ended after %v (want the route's timeout): aborted %v (want true), active runs %v (want none)", elapsed, got.aborted, s.client.running)
		}
	})
}

// TestQueuedCallerWhoLeaves checks that nothing is sent for a caller who disconnects
// while the request waits for the placement limiter.
func TestQueuedCallerWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": hanging})
		s.PlacementLimiter.Allow() // another prompt is placed at the same time
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(placementInterval/2, cancel)
		start := time.Now()
		got := s.serveFor(ctx, streamRoute)
		if elapsed := time.Since(start); elapsed != placementInterval/2 || !got.aborted || len(s.client.attempts()) != 0 {
			t.Fatalf("ended after %v (want the time of the disconnect): aborted %v (want true), sent to %v (want no target)", elapsed, got.aborted, s.client.attempts())
		}
	})
}

var callRoute = ingress.Route{
	Name: "call", Kind: ingress.Idempotent, Timeout: 800 * time.Millisecond, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2,
}
