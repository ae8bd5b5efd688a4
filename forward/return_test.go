package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// unreachableWhilePaused answers like b, but can't be connected to while its target is
// paused.
func unreachableWhilePaused(b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		dialCtx, cancel := context.WithTimeout(ctx, simDialTimeout)
		defer cancel()
		if !s.awaitResume(dialCtx, a.Target.ID) {
			return nil, errors.WithStack(ErrNotSent)
		}
		return b(ctx, a, s)
	}
}

// serveSilent serves a stream whose target is silent from its 20th event on, and whose
// other targets answer with other.
func serveSilent(t *testing.T, first, other behaviour, change func(s *fixture, first string)) {
	t.Helper()
	s, id := newFixtureWithBroken(other, first)
	go func() {
		time.Sleep(20*eventGap + eventGap/2)
		if change != nil {
			change(s, id)
		}
		s.client.pauseFor(silence, id)
	}()
	got := s.serve(t, streamRoute)
	time.Sleep(2 * silence) // the target goes on
	synctest.Wait()
	if !got.receivedAll(50) {
		t.Errorf("the caller got %d events (want 51), ended %v (want true), error %v; sent to %v", len(got.events), got.ended, got.err, s.client.attempts())
	}
	if s.client.maxConcurrent > 1 {
		t.Errorf("the request ran on %d targets at once, want at most 1", s.client.maxConcurrent)
	}
}

// oneRetry allows one retry in two seconds.
var oneRetry = RetryBudgetSettings{Slack: 1.2, Window: 2 * time.Second}

// TestRefusedStreamWaitsForItsTarget guards against streams that are cut because they
// were taken from a silent target, no other takes them, and that target can't be
// connected to yet.
func TestRefusedStreamWaitsForItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serveSilent(t, unreachableWhilePaused(pausable(50, eventGap)), answering(http.StatusServiceUnavailable, true), nil)
	})
}

// TestUnsentRetryUsesNoBudget guards against requests that fail because their retry
// budget was used for a target that could not be reached.
func TestUnsentRetryUsesNoBudget(t *testing.T) {
	// secondUnreachable can't be reached by the second attempt of a request.
	secondUnreachable := func(b behaviour) behaviour {
		return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			if len(s.attempts()) == 2 {
				return nil, errors.WithStack(ErrNotSent)
			}
			return b(ctx, a, s)
		}
	}
	t.Run("a stream", inBubble(func(t *testing.T) {
		s, _ := newFixtureWithBroken(secondUnreachable(streaming(50, -1, eventGap, nil)), failing(ErrNoAnswer))
		s.RetryBudget.UpdateSettings(oneRetry)
		if got := s.serve(t, streamRoute); !got.receivedAll(50) {
			t.Errorf("the caller got %d events (want 51), error %v; sent to %v", len(got.events), got.err, s.client.attempts())
		}
	}))
	t.Run("a call", inBubble(func(t *testing.T) {
		healthy := secondUnreachable(answering(http.StatusOK, false))
		s := newFixture(map[string]behaviour{"a": failing(ErrNoAnswer), "b": healthy, "c": healthy})
		for _, id := range []string{"b", "c"} {
			s.Fleet.Begin(time.Now(), id, fleet.Demand{}) // so that a is picked first
		}
		s.RetryBudget.UpdateSettings(oneRetry)
		if got := s.serve(t, callRoute); got.status != http.StatusOK {
			t.Errorf("status %d, error %v, want an answer; sent to %v", got.status, got.err, s.client.attempts())
		}
	}))
}

// slowFor answers a call after d.
func slowFor(d time.Duration) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		select {
		case <-time.After(d):
			return answering(http.StatusOK, false)(ctx, a, s)
		case <-ctx.Done():
			return nil, ErrNoAnswer
		}
	}
}

// TestSilentLeavingTargetKeepsItsRequest guards against requests that are taken from a
// silent target to which they can't return, because it is leaving or has no entry, and
// that no other target takes.
func TestSilentLeavingTargetKeepsItsRequest(t *testing.T) {
	full := answering(http.StatusServiceUnavailable, true)
	changes := map[string]func(s *fixture, id string){
		"leaving": func(s *fixture, id string) {
			s.Fleet.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: 8, Leaving: true})
		},
		"without an entry": func(s *fixture, id string) { s.Fleet.Remove(time.Now(), id, false) },
	}
	for name, change := range changes {
		t.Run("a stream, "+name, inBubble(func(t *testing.T) { serveSilent(t, pausable(50, eventGap), full, change) }))
		t.Run("a call, "+name, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": slowFor(3 * callRoute.LatencyObjective), "b": full})
			s.Fleet.Begin(time.Now(), "b", fleet.Demand{}) // so that a is picked first
			time.AfterFunc(callRoute.LatencyObjective/2, func() { change(s, "a") })
			if got := s.serve(t, callRoute); got.status != http.StatusOK {
				t.Errorf("status %d, error %v, want the target's answer; sent to %v", got.status, got.err, s.client.attempts())
			}
		}))
	}
}

// TestSilenceWithinAFailure guards against streams whose target answers with an error
// status and is silent before the body: its answer was given up after a second.
func TestSilenceWithinAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": func(context.Context, Attempt, *fakeTargetClient) (*Answer, error) {
			r, w := io.Pipe()
			time.AfterFunc(silence, func() { _ = w.Close() })
			return &Answer{Status: http.StatusInternalServerError, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
		}})
		if got := s.serve(t, streamRoute); got.status != http.StatusInternalServerError {
			t.Errorf("status %d, error %v, want the target's answer", got.status, got.err)
		}
	})
}

// TestStreamReturnsWhilePlacementsWait guards against streams that are cut because they
// were taken from a silent target, and more placements wait than can be made before their
// deadline.
func TestStreamReturnsWhilePlacementsWait(t *testing.T) {
	inBubble(func(t *testing.T) {
		s, first := newFixtureWithBroken(pausable(50, eventGap), pausable(50, eventGap))
		s.Model = func(string) *ingress.Model { return nil } // no standby copies
		time.AfterFunc(20*eventGap+eventGap/2, func() {
			for range 3000 {
				s.PlacementLimiter.Reserve()
			}
			s.client.pauseFor(silence, first)
		})
		expectAll(t, s, s.serve(t, streamRoute))
	})(t)
}
