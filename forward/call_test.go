package forward

import (
	"context"
	"net/http"
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
