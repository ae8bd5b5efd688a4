package forward

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// TestPauseLogNamesTheLongestWait guards against pauses that are put down to the last thing that a
// stream waited for, and against waits of earlier pauses that count for the next one.
func TestPauseLogNamesTheLongestWait(t *testing.T) {
	type wait struct {
		cause  pauseCause
		millis int
	}
	cases := []struct {
		waits []wait // what the stream waits for, and for how long
		want  pauseCause
	}{
		{[]wait{{pauseForTarget, 10}, {pauseForPrefill, 1200}}, pauseForPrefill},
		{[]wait{{pauseSilent, 350}, {pauseForCredit, 100}, {pauseForTarget, 5}, {pauseNoCopy, 1200}}, pauseNoCopy},
		{[]wait{{pauseSilent, 700}, {pauseForCopy, 40}}, pauseSilent},
		{[]wait{{pauseSilent, 300}, {pauseForCopy, 350}, {pauseForTarget, 1}, {pauseForCopy, 50}}, pauseForCopy},
		{[]wait{{pauseForCredit, 200}, {pauseSilent, 300}, {pauseForCredit, 150}}, pauseForCredit},
		{[]wait{{pauseSlowCaller, 900}, {pauseSilent, 30}}, pauseSlowCaller},
		{[]wait{{pauseSilent, 30}}, pauseSilent},
	}
	now := epoch
	log := newPauseLog(now)
	for i, c := range cases {
		for _, w := range c.waits {
			log.enter(now, w.cause)
			now = now.Add(time.Duration(w.millis) * time.Millisecond)
		}
		if got := log.finish(now); got != c.want {
			t.Errorf("pause %d is put down to %s, want %s", i, got, c.want)
		}
	}
}

// TestLateStreamsStateTheirCauses guards against late streams whose log doesn't say what they waited for,
// and against one line for each pause.
func TestLateStreamsStateTheirCauses(t *testing.T) {
	const maxGap = 700 * time.Millisecond
	broken := streaming(50, 20, eventGap, io.ErrUnexpectedEOF)
	slowly := func(d time.Duration, b behaviour) behaviour {
		return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			time.Sleep(d)
			return b(ctx, a, s)
		}
	}
	healthy := streaming(50, -1, eventGap, nil)
	cases := []struct {
		name       string
		next       behaviour // of all targets but the first
		first      behaviour
		change     func(*fixture)
		cause, why string // of the only line; empty for none
		position   string
		attempts   int // that the route allows, if not its usual number
	}{
		{name: "in time", next: slowly(200*time.Millisecond, healthy), first: broken},
		{name: "late first event", next: healthy, first: slowly(5*time.Second, healthy), cause: "prefill", position: "-1"},
		{name: "slow prefill after a loss", next: slowly(time.Second, healthy), first: broken, cause: "no_copy", why: "the service keeps no copies", position: "19",
			change: func(s *fixture) {
				s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000} }
			}},
		{name: "the copy is not there", first: broken, cause: "no_copy", why: noCopyRefused, position: "19",
			next: func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
				if a.Resume != (Copy{}) {
					return answering(503, true)(ctx, a, s)
				}
				return slowly(time.Second, healthy)(ctx, a, s)
			}},
		{name: "two losses, each with a slow prefill", next: slowly(time.Second, streaming(50, 40, eventGap, io.ErrUnexpectedEOF)), first: broken, cause: "no_copy", why: "the service keeps no copies", position: "19",
			change: func(s *fixture) {
				s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000} }
			}},
		{name: "a run that resumes late", next: slowly(800*time.Millisecond, healthy), first: broken, attempts: 2, cause: "copy", position: "19"},
		{name: "a target that is silent and goes on", next: healthy, first: pausable(50, eventGap), cause: "silent_target", position: "18", change: func(s *fixture) {
			s.client.listening = map[string]bool{"a": true, "b": true, "c": true, "d": true}
			time.AfterFunc(20*eventGap+eventGap/2, func() { s.client.pauseFor(silence, "a", "b", "c", "d") })
		}},
		{name: "no retry budget", next: healthy, first: pausable(50, eventGap), cause: "retry_credit", position: "18", change: func(s *fixture) {
			s.RetryBudget.UpdateSettings(RetryBudgetSettings{Window: 10 * time.Second})
			time.AfterFunc(20*eventGap+eventGap/2, func() { s.client.pauseFor(3*silence, s.client.attempts()[0]) })
		}},
	}
	for _, c := range cases {
		t.Run(c.name, inBubble(func(t *testing.T) {
			s, _ := newFixtureWithBroken(c.next, c.first)
			if c.change != nil {
				c.change(s)
			}
			route := streamRoute
			if c.attempts > 0 {
				route.MaxAttempts = c.attempts
			}
			got := s.serve(t, route)
			time.Sleep(5 * time.Second)
			synctest.Wait()
			var lines []event.Event
			for _, e := range s.Events.Events("", 0) {
				if e.Number == event.StreamPaused {
					lines = append(lines, e)
				}
			}
			want := 1
			if c.cause == "" {
				want = 0
			}
			if len(lines) != want {
				t.Fatalf("%d lines, want %d: %v; %d events, ended %v", len(lines), want, lines, len(got.events), got.ended)
			}
			if want == 0 {
				return
			}
			f := lines[0].Fields
			if f["cause"] != c.cause || f["why"] != c.why || f["last_event"] != c.position {
				t.Errorf("the line is %v, want cause %q, why %q, last_event %s", f, c.cause, c.why, c.position)
			}
			if n := metrics.GetOrRegisterCounter(metricLate+c.cause, s.Metrics).Count(); n != 1 {
				t.Errorf("%d late streams are counted, want 1", n)
			}
			if d, err := time.ParseDuration(f["length"]); err != nil || d <= maxGap {
				t.Errorf("length %v, want more than %v", f["length"], maxGap)
			}
		}))
	}
}

// TestRouteWithoutLimitsHasNoLateStreams guards against lines and counts for routes that allow any pause.
func TestRouteWithoutLimitsHasNoLateStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newFixtureWithBroken(streaming(50, -1, 2*time.Second, nil), streaming(50, 2, 2*time.Second, io.ErrUnexpectedEOF))
		route := streamRoute
		route.LatencyObjective, route.MaxEventGap, route.Timeout = 0, 0, time.Hour
		s.serve(t, route)
		synctest.Wait()
		for _, e := range s.Events.Events("", 0) {
			if e.Number == event.StreamPaused {
				t.Errorf("a pause is recorded: %v", e.Fields)
			}
		}
	})
}
