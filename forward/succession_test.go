package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// mutePausable answers like pausable, but its target is silent in the stream only: it
// goes on to answer probes. Its run can be moved.
func mutePausable(last int, gap time.Duration, muteAt int, mute time.Duration) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		next := a.nextEvent()
		s.startRun(a.Target.ID)
		stopped := make(chan struct{})
		s.mu.Lock()
		s.cancelRun[a.Target.ID] = sync.OnceFunc(func() { close(stopped) })
		s.mu.Unlock()
		go func() {
			defer s.endRun(a.Target.ID)
			for ; next <= last; next++ {
				wait := gap
				if next == muteAt && a.LastEventID == "" {
					wait = mute
				}
				select {
				case <-time.After(wait):
				case <-stopped:
					_ = w.CloseWithError(io.ErrUnexpectedEOF)
					return
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				if !s.awaitResume(ctx, a.Target.ID) {
					_ = w.CloseWithError(ctx.Err())
					return
				}
				select {
				case <-stopped:
					_ = w.CloseWithError(io.ErrUnexpectedEOF)
					return
				default:
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
}

// expectAll checks that a caller received all events from 0 to 50, from one target at a
// time.
func expectAll(t *testing.T, s *fixture, got *fakeResponder) {
	t.Helper()
	if !got.receivedAll(50) {
		t.Errorf("the caller got %d events (want 51), ended %v (want true), aborted %v, error %v; sent to %v", len(got.events), got.ended, got.aborted, got.err, s.client.attempts())
	}
	if s.client.maxConcurrent > 1 {
		t.Errorf("the request ran on %d targets at once, want at most 1", s.client.maxConcurrent)
	}
}

// TestRefusedCallReturnsToItsTarget guards against repeatable calls that fail because they
// were taken from a slow target and all others, which looked ready, refuse them.
func TestRefusedCallReturnsToItsTarget(t *testing.T) {
	for name, other := range map[string]behaviour{"refuse": answering(http.StatusServiceUnavailable, true), "are unreachable": failing(ErrNotSent)} {
		t.Run("others "+name, inBubble(func(t *testing.T) {
			var first atomic.Pointer[string]
			start := time.Now()
			b := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
				id := a.Target.ID
				first.CompareAndSwap(nil, &id)
				if *first.Load() != id {
					return other(ctx, a, s)
				}
				select {
				case <-time.After(time.Until(start.Add(3 * callRoute.LatencyObjective))):
					return answering(http.StatusOK, false)(ctx, a, s)
				case <-ctx.Done():
					return nil, ErrNoAnswer
				}
			}
			s := newFixture(map[string]behaviour{"a": b, "b": b})
			if got := s.serve(t, callRoute); got.status != http.StatusOK {
				t.Errorf("status %d, error %v, want the target's answer; sent to %v", got.status, got.err, s.client.attempts())
			}
		}))
	}
}

// TestRefusedStreamReturnsOnLastRetryBudget guards against streams that are cut because
// the retry budget sufficed to take them from a silent target, but not to return there
// after the others refused.
func TestRefusedStreamReturnsOnLastRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newFixtureWithBroken(answering(http.StatusServiceUnavailable, true), pausable(50, eventGap))
		s.RetryBudget.UpdateSettings(RetryBudgetSettings{Slack: 1.5, Window: 10 * time.Second}) // one retry
		go func() {
			time.Sleep(20*eventGap + eventGap/2)
			s.client.pauseFor(silence, first)
		}()
		got := s.serve(t, streamRoute)
		synctest.Wait()
		expectAll(t, s, got)
	})
}

// TestQuarantinedStreamStaysAtSilentTarget guards against streams that are cut because
// they are taken from a silent target although the crash tracker refuses any further send.
func TestQuarantinedStreamStaysAtSilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newFixtureWithBroken(pausable(50, eventGap), pausable(50, eventGap))
		tracker := &limitedCrashTracker{limit: 1}
		s.CrashTracker = tracker
		go func() {
			time.Sleep(20*eventGap + eventGap/2)
			tracker.ReportCrash(nil, fleet.Target{}, true) // a peer's report
			s.client.pauseFor(silence, first)
		}()
		got := s.serve(t, streamRoute)
		synctest.Wait()
		expectAll(t, s, got)
	})
}

// TestMovedStreamReturnsToItsTarget guards against streams that are cut because their run
// was moved from a silent target and the other target refuses to resume it.
func TestMovedStreamReturnsToItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newFixtureWithBroken(answering(http.StatusServiceUnavailable, true), mutePausable(50, eventGap, 20, silence))
		got := s.serve(t, streamRoute)
		synctest.Wait()
		expectAll(t, s, got)
	})
}

// staleReporter lists the run in its reports only after a time: its state is older after
// a silence, by as long as that lasted.
type staleReporter struct {
	*fakeTargetClient
	listedFrom time.Time
}

func (s staleReporter) Report(ctx context.Context, t fleet.Target) (Report, error) {
	r, err := s.fakeTargetClient.Report(ctx, t)
	r.Running = make(map[string]RunStatus)
	if time.Now().After(s.listedFrom) {
		r.Running["r1"] = RunStatus{Events: 1}
	}
	return r, err
}

// TestStaleReportEndsNoStream guards against streams that are cut because the first report
// after a silence was made before the run began.
func TestStaleReportEndsNoStream(t *testing.T) {
	for name, resumable := range map[string]bool{"resumable, the only target": true, "not resumable": false} {
		t.Run(name, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": pausable(50, eventGap)})
			const pauseAfter = 3*eventGap + eventGap/2 // two events were sent
			s.TargetClient = staleReporter{s.client, time.Now().Add(pauseAfter + silence + 300*time.Millisecond)}
			s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
			go func() {
				time.Sleep(pauseAfter)
				s.client.pauseFor(silence, "a")
			}()
			route := streamRoute
			route.Resumable = resumable
			got := s.serve(t, route)
			synctest.Wait()
			expectAll(t, s, got)
		}))
	}
}

// TestPreemptedStreamIsNotCut guards against streams that are cut because their target
// preempts the run and reads its prompt in again: it is not listed in reports until then.
func TestPreemptedStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const preemptedAt, readInAgain = 30, 900 * time.Millisecond
		s := newFixture(map[string]behaviour{"a": mutePausable(50, eventGap, preemptedAt, readInAgain)})
		s.TargetClient = staleReporter{s.client, time.Now().Add(preemptedAt*eventGap + readInAgain)}
		s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
		route := streamRoute
		route.Resumable = false
		got := s.serve(t, route)
		synctest.Wait()
		expectAll(t, s, got)
	})
}

// TestKeptStreamLeavesRemovedTarget guards against streams that stay at a dead target
// until their deadline because no other target was ready at first, and the entry of the
// dead one was removed before another one was.
func TestKeptStreamLeavesRemovedTarget(t *testing.T) {
	for point, eventsBefore := range map[string]int{"before the first event": 0, "between two events": 20} {
		t.Run(point, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": pausable(50, eventGap)})
			s.client.behaviours["b"] = pausable(50, eventGap)
			go func() {
				time.Sleep(time.Duration(eventsBefore)*eventGap + eventGap/2)
				s.client.pause("a")
				time.Sleep(time.Second)
				s.Fleet.Remove(time.Now(), "a", false)
				time.Sleep(time.Second)
				s.Fleet.Put(fleet.Target{ID: "b", Service: "svc", Address: "b:1", Place: "place-b", Slots: 8})
			}()
			start := time.Now()
			got := s.serve(t, streamRoute)
			took := time.Since(start)
			time.Sleep(probeTimeout) // for the last probe
			synctest.Wait()
			expectAll(t, s, got)
			if took > 10*time.Second {
				t.Errorf("the stream ended after %v, long after another target was ready", took)
			}
		}))
	}
}

// lateMover carries out moves whose caller gave up, once their target goes on.
type lateMover struct{ *fakeTargetClient }

func (s lateMover) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	c, holder, err := s.fakeTargetClient.Move(ctx, source, id, destination)
	if err != nil {
		go func() {
			if s.awaitResume(context.Background(), source.ID) {
				time.Sleep(2 * eventGap)
				s.mu.Lock()
				stop := s.cancelRun[source.ID]
				s.mu.Unlock()
				stop()
			}
		}()
	}
	return c, holder, err
}

// TestLateMoveEndsNoStream guards against streams that are cut because a move that timed
// out is carried out later, when the stream has returned to its target.
func TestLateMoveEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newFixtureWithBroken(answering(http.StatusServiceUnavailable, true), mutePausable(50, eventGap, 20, silence))
		s.TargetClient = lateMover{s.client}
		go func() { // silent altogether just before the move
			time.Sleep(19*eventGap + time.Duration(abandonShare*float64(streamRoute.MaxEventGap)))
			s.client.pauseFor(silence, first)
		}()
		got := s.serve(t, streamRoute)
		time.Sleep(2 * silence)
		synctest.Wait()
		expectAll(t, s, got)
	})
}
