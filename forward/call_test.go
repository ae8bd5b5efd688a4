package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// TestCalls plays what a first target may do to a call, with a sound second one.
func TestCalls(t *testing.T) {
	sound := answering(200, false)
	cases := []struct {
		name       string
		kind       ingress.Kind
		first      behaviour
		sends      int
		status     int             // of the answer; 0 for none
		outcome    failure.Outcome // of the refusal
		onlyTarget bool
	}{
		{"idempotent, the target fails", ingress.Idempotent, answering(500, false), 2, 200, "", false},
		{"idempotent, the target closes", ingress.Idempotent, failing(ErrNoAnswer), 2, 200, "", false},
		{"idempotent, the target hangs", ingress.Idempotent, hanging, 2, 200, "", false},
		{"idempotent, the target is full", ingress.Idempotent, answering(503, true), 2, 200, "", false},
		{"idempotent, the target is not reached", ingress.Idempotent, failing(ErrNotSent), 2, 200, "", false},
		{"idempotent, the only target fails", ingress.Idempotent, answering(500, false), 1, 500, "", true},
		{"non-idempotent, the target fails", ingress.NonIdempotent, answering(500, false), 1, 500, "", false},
		{"non-idempotent, the target closes", ingress.NonIdempotent, failing(ErrNoAnswer), 1, 0, failure.Unknown, false},
		{"non-idempotent, the target hangs", ingress.NonIdempotent, hanging, 1, 0, failure.Unknown, false},
		{"non-idempotent, the target is not reached", ingress.NonIdempotent, failing(ErrNotSent), 2, 200, "", false},
		{"non-idempotent, the only target is full", ingress.NonIdempotent, answering(503, true), 1, 0, failure.NotRun, true},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			targets := map[string]behaviour{"a": c.first}
			if !c.onlyTarget {
				targets["b"] = sound
			}
			s := newSite(targets)
			if !c.onlyTarget {
				s.Fleet.Begin(time.Now(), "b", fleet.Demand{}) // so that a is picked first
			}
			route := callRoute
			route.Kind = c.kind
			got := s.serve(t, route)
			synctest.Wait()
			if n := len(s.sender.attempts()); n != c.sends || s.sender.attempts()[0] != "a" {
				t.Errorf("%s: sent to %v", c.name, s.sender.attempts())
			}
			if got.status != c.status {
				t.Errorf("%s: status %d, error %v", c.name, got.status, got.err)
			}
			if c.status == 0 && got.err.Outcome != c.outcome {
				t.Errorf("%s: error %v", c.name, got.err)
			}
		})
	}
}

// TestStrikes: what breaks a connection may have crashed the target; what is slow, or
// left by its caller, has not.
func TestStrikes(t *testing.T) {
	cases := []struct {
		name    string
		first   behaviour
		strikes int
	}{
		{"the target closes", failing(ErrNoAnswer), 1}, {"the target hangs", hanging, 0}, {"the target fails", answering(500, false), 0},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(map[string]behaviour{"a": c.first, "b": answering(200, false)})
			s.Fleet.Begin(time.Now(), "b", fleet.Demand{}) // so that a is picked first
			s.serve(t, callRoute)
			if n := len(s.crashes.crashed); n != c.strikes {
				t.Errorf("%s: %d strikes", c.name, n)
			}
		})
	}
}

// TestCallersWhoLeave: a caller who leaves ends the run within the moment, and is no
// sign against the target.
func TestCallersWhoLeave(t *testing.T) {
	once := callRoute
	once.Kind = ingress.NonIdempotent
	cases := []struct {
		name  string
		b     behaviour
		route ingress.Route
	}{
		{"a stream before its first event", hanging, streamRoute},
		{"a stream in the middle", streaming(1000, -1, gap, nil), streamRoute},
		{"a call", hanging, once},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			name := c.name
			s := newSite(map[string]behaviour{"a": c.b, "b": c.b})
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan *fakeCaller)
			go func() { done <- s.serveFor(ctx, c.route) }()
			time.Sleep(500 * time.Millisecond)
			leave()
			got := <-done
			synctest.Wait()
			if !got.aborted || s.sender.running["a"]+s.sender.running["b"] != 0 || len(s.sender.attempts()) != 1 || len(s.crashes.crashed) != 0 {
				t.Errorf("%s: aborted %v, %v at work, sent to %v, struck %v", name, got.aborted, s.sender.running, s.sender.attempts(), s.crashes.crashed)
			}
		})
	}
}

// TestCutCallsAreAnswered: at the end of a planned stop a call that was sent has an
// unknown outcome, and its caller is told so.
func TestCutCallsAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(map[string]behaviour{"a": hanging})
		ctx, stop := context.WithCancelCause(context.Background())
		done := make(chan *fakeCaller)
		go func() { done <- s.serveFor(ctx, callRoute) }()
		time.Sleep(100 * time.Millisecond)
		stop(ErrStopping)
		if got := <-done; got.err == nil || got.err.Outcome != failure.Unknown {
			t.Errorf("the caller got %+v", got)
		}
	})
}

func TestEndOfAPlannedStopIsNoCallerWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(map[string]behaviour{"a": streaming(1000, -1, gap, nil)})
		ctx, stop := context.WithCancelCause(context.Background())
		done := make(chan *fakeCaller)
		go func() { done <- s.serveFor(ctx, streamRoute) }()
		time.Sleep(time.Second)
		stop(ErrStopping)
		<-done
		events := s.Events.Events("r1", 0)
		if last := events[len(events)-1]; !strings.Contains(last.Fields["error"], "the daemon stops") {
			t.Errorf("the log says %v", last)
		}
	})
}

func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unsigned := func(context.Context, Attempt, *fakeSender) (*Answer, error) {
			return &Answer{Status: http.StatusOK, Header: http.Header{}, Body: http.NoBody}, nil
		}
		s := newSite(map[string]behaviour{"a": unsigned})
		if got := s.serve(t, callRoute); got.status == http.StatusOK {
			t.Error("an answer without the target's signature was passed on as a success")
		}
	})
}

func TestFullServiceIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(nil)
		begun := time.Now()
		got := s.serve(t, callRoute)
		if got.err == nil || got.err.Outcome != failure.NotRun || got.err.RetryAfter == 0 || time.Since(begun) != 0 {
			t.Errorf("error %v after %v", got.err, time.Since(begun))
		}
	})
}
