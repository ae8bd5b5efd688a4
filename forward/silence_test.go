package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// pause makes targets silent: their runs produce no events and probes get no answer,
// until resume.
func (s *fakeTargetClient) pause(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if s.paused[id] == nil {
			s.paused[id] = make(chan struct{})
		}
	}
}

func (s *fakeTargetClient) resume(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if c := s.paused[id]; c != nil {
			close(c)
			delete(s.paused, id)
		}
	}
}

// pauseFor makes targets silent for d.
func (s *fakeTargetClient) pauseFor(d time.Duration, ids ...string) {
	s.pause(ids...)
	time.AfterFunc(d, func() { s.resume(ids...) })
}

// awaitResume waits while a target is paused. It returns false if ctx ends first.
func (s *fakeTargetClient) awaitResume(ctx context.Context, id string) bool {
	for {
		s.mu.Lock()
		paused := s.paused[id]
		s.mu.Unlock()
		if paused == nil {
			return ctx.Err() == nil
		}
		select {
		case <-paused:
		case <-ctx.Done():
			return false
		}
	}
}

// pausable answers like streaming, but sends nothing while its target is paused.
func pausable(last int, gap time.Duration) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		if !s.awaitResume(ctx, a.Target.ID) {
			return nil, ErrNoAnswer
		}
		r, w := io.Pipe()
		next := a.nextEvent()
		s.startRun(a.Target.ID)
		go func() {
			defer s.endRun(a.Target.ID)
			for ; next <= last; next++ {
				select {
				case <-time.After(gap):
				case <-ctx.Done():
				}
				if !s.awaitResume(ctx, a.Target.ID) {
					_ = w.CloseWithError(ctx.Err())
					return
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
}

// inBubble returns a test that runs f on a virtual clock.
func inBubble(f func(*testing.T)) func(*testing.T) {
	return func(t *testing.T) { synctest.Test(t, f) }
}

// silence is how long a target that is not at fault may be silent, in these tests.
const silence = 1200 * time.Millisecond

// TestSilentTargetsEndNoStream guards against accepted streams that are cut although
// their targets are only silent for a while: a run was given up before it was known
// whether another target can take its place.
func TestSilentTargetsEndNoStream(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	cases := []struct {
		name     string
		targets  []string
		silent   func(running string) []string
		attempts int
		fixed    bool // the route's streams can't be resumed
		change   func(*fixture)
	}{
		{name: "all targets at once", targets: all, silent: func(string) []string { return all }, attempts: 2},
		{name: "the only target", targets: all[:1], silent: func(string) []string { return all[:1] }, attempts: 5},
		{name: "the last target that the route allows", targets: all, silent: func(running string) []string { return []string{running} }, attempts: 1},
		{name: "the target of a stream that can't be resumed", targets: all, silent: func(running string) []string { return []string{running} }, attempts: 5, fixed: true},
		{
			name: "a target, while the retry budget is exhausted", targets: all, silent: func(running string) []string { return []string{running} }, attempts: 5,
			change: func(s *fixture) { s.RetryBudget.UpdateSettings(RetryBudgetSettings{Window: 10 * time.Second}) },
		},
	}
	for _, c := range cases {
		for point, eventsBefore := range map[string]int{"before the first event": 0, "between two events": 20} {
			t.Run(c.name+" "+point, inBubble(func(t *testing.T) {
				targets := make(map[string]behaviour)
				for _, id := range c.targets {
					targets[id] = pausable(50, eventGap)
				}
				s := newFixture(targets)
				if c.change != nil {
					c.change(s)
				}
				go func() {
					time.Sleep(placementInterval + time.Duration(eventsBefore)*eventGap + eventGap/2)
					s.client.pauseFor(silence, c.silent(s.client.attempt(0).Target.ID)...)
				}()
				r := streamRoute
				r.MaxAttempts, r.Resumable = c.attempts, !c.fixed
				got := s.serve(t, r)
				synctest.Wait()
				expectAll(t, s, got)
			}))
		}
	}
}

// TestRefusedStreamReturnsToItsTarget guards against streams that are cut because they
// were taken from a silent target and all others, which looked ready, refuse them.
func TestRefusedStreamReturnsToItsTarget(t *testing.T) {
	for name, other := range map[string]behaviour{"refuse": answering(http.StatusServiceUnavailable, true), "are unreachable": failing(ErrNotSent)} {
		t.Run("others "+name, inBubble(func(t *testing.T) {
			s, first := newFixtureWithBroken(other, pausable(50, eventGap))
			go func() {
				time.Sleep(20*eventGap + eventGap/2)
				s.client.pauseFor(silence, first)
			}()
			got := s.serve(t, streamRoute)
			synctest.Wait()
			expectAll(t, s, got)
		}))
	}
}

// TestSilentTargetsEndNoCall guards against repeatable calls that fail because their
// target was given up for silence although no other target could get them.
func TestSilentTargetsEndNoCall(t *testing.T) {
	silentFor := func(d time.Duration) behaviour {
		return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			select {
			case <-time.After(d):
				return answering(http.StatusOK, false)(ctx, a, s)
			case <-ctx.Done():
				return nil, ErrNoAnswer
			}
		}
	}
	slow := silentFor(3 * callRoute.LatencyObjective)
	cases := []struct {
		name    string
		targets map[string]behaviour
		change  func(*fixture)
	}{
		{"the only target", map[string]behaviour{"a": slow}, nil},
		{"a target, while the others refuse work", map[string]behaviour{"a": slow, "b": slow}, func(s *fixture) {
			s.Fleet.Put(fleet.Target{ID: "b", Service: "svc", Address: "b:1", Place: "place-b", Slots: 8, Leaving: true})
		}},
		{"a target, while the retry budget is exhausted", map[string]behaviour{"a": slow, "b": slow}, func(s *fixture) {
			s.RetryBudget.UpdateSettings(RetryBudgetSettings{Window: 10 * time.Second})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, inBubble(func(t *testing.T) {
			s := newFixture(c.targets)
			if c.change != nil {
				c.change(s)
			}
			if got := s.serve(t, callRoute); got.status != http.StatusOK {
				t.Errorf("status %d, error %v, want the target's answer; sent to %v", got.status, got.err, s.client.attempts())
			}
		}))
	}
}
