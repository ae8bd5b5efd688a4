package forward

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// TestQuarantineDuringAWait guards against a request that is sent although its content
// was quarantined while it waited for its placement.
func TestQuarantineDuringAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": streaming(50, -1, eventGap, nil)})
		tracker := &limitedCrashTracker{limit: 1}
		s.Forwarder.CrashTracker = tracker
		s.PlacementLimiter = rate.NewLimiter(rate.Every(time.Second), 1)
		s.PlacementLimiter.Allow()
		time.AfterFunc(500*time.Millisecond, func() { tracker.ReportCrash(nil, fleet.Target{ID: "b"}, true) })
		got := s.serve(t, streamRoute)
		if len(s.client.attempts()) != 0 || got.err == nil || got.err.Code != failure.Quarantined || got.err.Outcome != failure.NotRun {
			t.Errorf("sent to %v, error %v, want no send and quarantined, not run", s.client.attempts(), got.err)
		}
	})
}

// TestQuarantinedRequestIsNotSentAgain guards against a request that crashes one target
// after the other, because its content was checked only when it arrived.
func TestQuarantinedRequestIsNotSentAgain(t *testing.T) {
	call := callRoute
	call.Kind, call.MaxAttempts = ingress.Idempotent, 5
	cases := map[string]struct {
		route    ingress.Route
		crashing behaviour
	}{
		"stream, the target crashes before the head":        {streamRoute, failing(ErrNoAnswer)},
		"stream, the target crashes before the first event": {streamRoute, streaming(50, 0, eventGap, io.ErrUnexpectedEOF)},
		"call": {call, failing(ErrNoAnswer)},
	}
	for name, c := range cases {
		for limit := 1; limit <= 3; limit++ {
			synctest.Test(t, func(t *testing.T) {
				targets := make(map[string]behaviour)
				for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
					targets[id] = c.crashing
				}
				s := newFixture(targets)
				s.Forwarder.CrashTracker = &limitedCrashTracker{limit: limit}
				got := s.serve(t, c.route)
				time.Sleep(time.Minute)
				if n := len(s.client.attempts()); n != limit {
					t.Errorf("%s: sent to %d targets, want it refused after %d crashes", name, n, limit)
				}
				if got.err != nil && (got.err.Code != failure.Quarantined || got.err.Outcome != failure.Unknown) {
					t.Errorf("%s: got error %v, want quarantined with an unknown outcome, since targets ran the request", name, got.err)
				}
			})
		}
	}
}

// TestCrashNoticedByAnotherStream guards against a crash that is not counted for a stream
// because a probe for another stream found the target terminated first.
func TestCrashNoticedByAnotherStream(t *testing.T) {
	for name, mark := range map[string]func(*fixture, string){
		"terminated": func(s *fixture, id string) { s.Fleet.MarkTerminated(time.Now(), fleet.Target{ID: id}) },
		"suspected":  func(s *fixture, id string) { s.Fleet.Suspect(time.Now(), id, false) },
	} {
		synctest.Test(t, func(t *testing.T) {
			s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), hanging)
			time.AfterFunc(100*time.Millisecond, func() { mark(s, first) })
			if got := s.serve(t, streamRoute); !got.receivedAll(50) {
				t.Errorf("%s: %d events, want 51", name, len(got.events))
			}
			if counted := len(s.crashTracker.crashed) == 1; counted != (name == "terminated") {
				t.Errorf("%s: crashes counted %v, want one if the target has terminated", name, s.crashTracker.crashed)
			}
		})
	}
}

// TestFailedAnswersClearNoCrashes guards against a poison request whose crashes are
// dropped because a target failed it with an error status, without running it to its end.
func TestFailedAnswersClearNoCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		answer      behaviour
		completions int64
	}{
		"success":             {answering(200, false), 1},
		"server error":        {answering(500, false), 0},
		"client error":        {answering(400, false), 0},
		"no complete answer":  {failing(ErrNoAnswer), 0},
		"success, not signed": {unsigned(answering(200, false)), 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": c.answer})
			s.serve(t, callRoute)
			if n := s.crashTracker.completions.Load(); n != c.completions {
				t.Errorf("%s: %d completions reported, want %d", name, n, c.completions)
			}
		})
	}
}

// limitedCrashTracker refuses every request after limit reported crashes.
type limitedCrashTracker struct {
	limit int

	mu      sync.Mutex
	crashed int
}

func (c *limitedCrashTracker) Check(context.Context, *Request) *failure.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashed < c.limit {
		return nil
	}
	return failure.New(failure.Quarantined, failure.NotRun, "quarantine", "", "%d targets failed under this request", c.crashed)
}
func (c *limitedCrashTracker) ReportCrash(*Request, fleet.Target, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashed++
}
func (*limitedCrashTracker) ReportLoss(*Request, fleet.Incarnation, bool) {}
func (*limitedCrashTracker) ReportProgress(*Request)                      {}
func (*limitedCrashTracker) ReportCompletion(*Request)                    {}
