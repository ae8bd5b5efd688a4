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

// whole tells whether the caller got each event from 0 to last once, in order.
func (c *fakeCaller) whole(last int) bool {
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

const gap = 30 * time.Millisecond

// TestStreamLosses plays the loss of the target under a stream. Whichever target
// is picked first breaks; the others are sound.
func TestStreamLosses(t *testing.T) {
	sound := streaming(50, -1, gap, nil)
	cases := []struct {
		name    string
		broken  behaviour
		resumes bool
	}{
		{"breaks within an event", streaming(50, 20, gap, io.ErrUnexpectedEOF), true},
		{"breaks before its first event", streaming(50, 0, gap, io.ErrUnexpectedEOF), true},
		{"falls silent within an event", streaming(50, 20, gap, nil), true},
		{"ends within an event as if complete", streaming(50, 20, gap, io.EOF), true},
		{"is full", answering(503, true), true},
		{"fails", answering(500, false), true},
		{"is not reached", failing(ErrNotSent), true},
		{"takes the request and closes", failing(ErrNoAnswer), true},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newSiteBreaking(sound, c.broken)
			got := s.serve(t, streamRoute)
			synctest.Wait()
			if !got.whole(50) {
				t.Errorf("the target %s: the caller got %d events, ended %v, error %v", c.name, len(got.events), got.ended, got.err)
			}
			if s.sender.most > 1 {
				t.Errorf("the target %s: %d runs at work at once", c.name, s.sender.most)
			}
		})
	}
}

// newSiteBreaking returns a site of four sound targets, but for the one that a new
// request goes to first.
func newSiteBreaking(sound, broken behaviour) (s *site, first string) {
	s = newSite(map[string]behaviour{"a": sound, "b": sound, "c": sound, "d": sound})
	first = s.first()
	s.sender.targets[first] = broken
	return s, first
}

// first returns the target that a new request would go to.
func (s *site) first() string {
	st := newStream(s.Forwarder, &Request{ID: "r1", Route: &streamRoute, Service: "svc", Prompt: Prompt{CacheKey: "p", Tokens: 5000, MaxOutputTokens: 1000}}, nil)
	a, _ := st.plan(context.Background())
	return a.Target.ID
}

func TestResumeFromCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSiteBreaking(streaming(50, -1, gap, nil), streaming(50, 20, gap, io.ErrUnexpectedEOF))
		got := s.serve(t, streamRoute)
		sent := s.sender.sent
		Convey("A run goes on where its copy lies, which is in another place, with the first answer's head", t, func() {
			So(got.whole(50), ShouldBeTrue)
			So(sent, ShouldHaveLength, 2)
			So(sent[0].CopyTo.Place, ShouldNotEqual, sent[0].Target.Place)
			So(sent[1].Target.ID, ShouldEqual, sent[0].CopyTo.ID)
			So(sent[1].Resume, ShouldResemble, Copy{sent[0].CopyTo.Address, "r1"})
			So(sent[1].LastEventID, ShouldEqual, "19")
			So(got.header.Get("X-First"), ShouldEqual, first)
		})
		Convey("and gets the next copy at once, out of both places", t, func() {
			So(sent[1].CopyTo.ID, ShouldNotBeIn, sent[0].Target.ID, sent[1].Target.ID)
		})
	})
}

// TestLossWhileReading plays the loss of a target that still reads the prompt: no copy
// is asked for that is not there yet, so that one repeat is enough.
func TestLossWhileReading(t *testing.T) {
	for name, broken := range map[string]behaviour{
		"closes": failing(ErrNoAnswer), "breaks before its first event": streaming(50, 0, gap, io.ErrUnexpectedEOF),
	} {
		synctest.Test(t, func(t *testing.T) {
			s, _ := newSiteBreaking(streaming(50, -1, gap, nil), broken)
			got := s.serve(t, streamRoute)
			if !got.whole(50) || len(s.sender.sent) != 2 || s.sender.sent[1].Resume != (Copy{}) {
				t.Errorf("the target %s: %d events, sent %+v", name, len(got.events), s.sender.sent)
			}
		})
	}
}

// TestCopyHolderLost plays the pattern of a whole place that dies every few seconds:
// the holder of the copy first, the run later.
func TestCopyHolderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSiteBreaking(streaming(100, -1, gap, nil), streaming(100, 80, gap, io.ErrUnexpectedEOF))
		go func() {
			time.Sleep(time.Second)
			s.Fleet.Suspect(time.Now(), s.sender.attempt(0).CopyTo.ID)
		}()
		got := s.serve(t, streamRoute)
		synctest.Wait()
		if !got.whole(100) {
			t.Fatalf("the caller got %d events", len(got.events))
		}
		sent := s.sender.sent
		if len(sent) != 2 || s.sender.copies[sent[1].Resume.Name] != sent[1].Target.ID {
			t.Fatalf("the run went on from %+v, copies are %v", sent[len(sent)-1].Resume, s.sender.copies)
		}
	})
}

func TestDarkTargetIsLeftForAllItsStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSiteBreaking(streaming(60, -1, gap, nil), streaming(60, 20, gap, nil))
		go func() {
			time.Sleep(15 * gap)
			s.sender.kill(first)
		}()
		begun := time.Now()
		got := s.serve(t, streamRoute)
		took := time.Since(begun)
		if !got.whole(60) {
			t.Fatalf("the caller got %d events", len(got.events))
		}
		// Silence, one probe that times out, and the rest of the events. The clock is
		// virtual, so this is exact.
		if limit := 62*gap + pauseProbe + probeTimeout + 2*placePace; took > limit {
			t.Fatalf("took %v, want at most %v", took, limit)
		}
		if s.Fleet.State(time.Now(), first) == "ready" && took < suspectTime {
			t.Fatal("the silent target still gets new work")
		}
		s.Fleet.Remove(time.Now(), first, false)
		time.Sleep(time.Minute) // nothing asks about a target that is gone
	})
}

// suspectTime is well within the time that a suspected target is left alone.
const suspectTime = time.Second

func TestNonResumableStreamIsSentOnce(t *testing.T) {
	route := streamRoute
	route.Resumable = false
	for name, b := range map[string]behaviour{
		"breaks": streaming(50, 20, gap, io.ErrUnexpectedEOF), "closes": failing(ErrNoAnswer),
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(map[string]behaviour{"a": b, "b": b, "c": b})
			got := s.serve(t, route)
			if n := len(s.sender.attempts()); n != 1 {
				t.Errorf("a target that %s: sent %d times", name, n)
			}
			if got.ended || got.err != nil && got.err.Outcome == failure.NotRun {
				t.Errorf("a target that %s: ended %v, error %v", name, got.ended, got.err)
			}
		})
	}
}

func TestStreamRefusals(t *testing.T) {
	cases := []struct {
		name    string
		all     behaviour
		outcome failure.Outcome
		sends   int
	}{
		{"all are full", answering(503, true), failure.NotRun, 4},
		{"none is reached", failing(ErrNotSent), failure.NotRun, 4},
		{"all close", failing(ErrNoAnswer), failure.Unknown, 4},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(map[string]behaviour{"a": c.all, "b": c.all, "c": c.all, "d": c.all})
			got := s.serve(t, streamRoute)
			synctest.Wait()
			if got.err == nil || got.err.Outcome != c.outcome {
				t.Errorf("%s: error %v", c.name, got.err)
			}
			if n := len(s.sender.attempts()); n > c.sends {
				t.Errorf("%s: %d sends", c.name, n)
			}
		})
	}
}

func TestRouteTimeoutEndsAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := streamRoute
		route.Timeout = 2 * time.Second
		slow := streaming(1000, -1, gap, nil)
		s := newSite(map[string]behaviour{"a": slow, "b": slow})
		begun := time.Now()
		got := s.serve(t, route)
		synctest.Wait()
		if took := time.Since(begun); took != route.Timeout || !got.aborted || s.sender.running["a"]+s.sender.running["b"] != 0 {
			t.Fatalf("after %v: aborted %v, %v still at work", took, got.aborted, s.sender.running)
		}
	})
}

// TestQueuedCallerWhoLeaves: nothing is sent for a caller who leaves before its turn.
func TestQueuedCallerWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(map[string]behaviour{"a": hanging})
		s.PlacementLimiter.Allow() // another prompt is placed just now
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(placePace/2, leave)
		begun := time.Now()
		got := s.serveFor(ctx, streamRoute)
		if took := time.Since(begun); took != placePace/2 || !got.aborted || len(s.sender.attempts()) != 0 {
			t.Fatalf("after %v: aborted %v, sent to %v", took, got.aborted, s.sender.attempts())
		}
	})
}

var callRoute = ingress.Route{
	Name: "call", Kind: ingress.Idempotent, Timeout: 800 * time.Millisecond, LatencyObjective: 100 * time.Millisecond, MaxAttempts: 2,
}
