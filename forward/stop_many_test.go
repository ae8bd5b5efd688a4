package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// manyAtOnce runs n streams on one target that lets all of them wait from a time on.
func manyAtOnce(t *testing.T, n int, at time.Duration, copies bool, budget RetryBudgetSettings) {
	requested := time.Now()
	signaled := requested.Add(beforeSignal)
	stall := signaled.Add(at)
	var mu sync.Mutex
	last := make(map[string]time.Time)
	answer := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			wait := prefillStart
			if a.Resume != (Copy{}) {
				wait = copyStart
			}
			for next := a.nextEvent(); ; next++ {
				if a.Target.ID == "a" && !time.Now().Add(wait).Before(stall) {
					wait = time.Hour
				}
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				wait = eventGap
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next); err != nil {
					return
				}
				mu.Lock()
				last[a.Request.ID] = time.Now()
				mu.Unlock()
			}
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
	s := newFixture(map[string]behaviour{})
	for _, id := range []string{"a", "b", "c"} {
		s.client.behaviours[id] = answer
	}
	s.Fleet.Put(fleet.Target{ID: "a", Service: "svc", Address: "a:1", Place: "place-a", Slots: 200})
	s.RetryBudget = NewRetryBudget(time.Now().Add(-time.Minute), budget)
	s.RetryBudget.SetDaemons(1)
	s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000_000, StandbyCopies: copies} }
	s.signalAt(signaled)
	time.AfterFunc(beforeSignal-500*ms, func() {
		s.Fleet.Put(fleet.Target{ID: "b", Service: "svc", Address: "b:1", Place: "place-b", Slots: 200})
		s.Fleet.Put(fleet.Target{ID: "c", Service: "svc", Address: "c:1", Place: "place-c", Slots: 200})
	})
	ctx, cancel := context.WithCancelCause(context.Background())
	time.AfterFunc(beforeSignal+stopLength, func() { cancel(ErrStopping) })
	var all sync.WaitGroup
	for i := range n {
		all.Go(func() {
			r := newStreamRequest(fmt.Sprint("r", i))
			r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 5000, 1000
			s.Serve(ctx, r, &fakeResponder{})
		})
	}
	all.Wait()
	s.awaitStops()
	synctest.Wait()
	lost := 0
	for i := range n {
		if last[fmt.Sprint("r", i)].Sub(signaled) <= lastSixth {
			lost++
		}
	}
	sent := 0
	for _, id := range s.client.attempts() {
		if id != "a" {
			sent++
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d streams were cut with no target at work; %d were sent to another target", lost, n, sent)
	}
}

// TestStopPlacesManyStreamsAtOnce guards against streams that leave a target at the same moment and
// are cut while they wait for each other's placements.
func TestStopPlacesManyStreamsAtOnce(t *testing.T) {
	for _, n := range []int{5, 10, 20, 40, 80} {
		for _, copies := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d streams, copies %v", n, copies), inBubble(func(t *testing.T) {
				manyAtOnce(t, n, 2*time.Second, copies, RetryBudgetSettings{Ratio: 1, Slack: 1000, Window: 10 * time.Second})
			}))
		}
	}
}

// TestStopReservesNoReturns guards against streams that are kept where no target works on them
// because the retry budget is reserved for returns, for which there is no time.
func TestStopReservesNoReturns(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprint(copies), inBubble(func(t *testing.T) {
			manyAtOnce(t, 10, 2*time.Second, copies, RetryBudgetSettings{Ratio: 0.0001, Slack: 12, Window: 10 * time.Second})
		}))
	}
}

// TestStopMovesStreamsThatReturnedBefore guards against streams that are kept where their run waits
// because they returned to that target, for whatever reason and however long ago.
func TestStopMovesStreamsThatReturnedBefore(t *testing.T) {
	for _, at := range []time.Duration{500 * ms, 2500 * ms} { // from the signal to the wait
		t.Run(at.String(), inBubble(func(t *testing.T) {
			requested := time.Now()
			signaled := requested.Add(6 * time.Second)
			var mu sync.Mutex
			var last time.Time
			made := func() { mu.Lock(); last = time.Now(); mu.Unlock() }
			run := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
				if a.Target.ID != "a" && time.Now().Before(signaled) {
					return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Header: http.Header{}, Body: http.NoBody}, nil
				}
				if !s.awaitResume(ctx, a.Target.ID) {
					return nil, ErrNoAnswer
				}
				r, w := io.Pipe()
				go func() {
					for next := a.nextEvent(); ; next++ {
						select {
						case <-time.After(eventGap):
						case <-ctx.Done():
							_ = w.CloseWithError(ctx.Err())
							return
						}
						if !s.awaitResume(ctx, a.Target.ID) || a.Target.ID == "a" && !time.Now().Before(signaled.Add(at)) {
							<-ctx.Done()
							_ = w.CloseWithError(ctx.Err())
							return
						}
						if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next); err == nil {
							made()
						}
					}
				}()
				return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
			}
			s := newFixture(map[string]behaviour{"a": run, "b": run})
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 6}})
			s.signalAt(signaled)
			time.AfterFunc(time.Second, func() { s.client.pauseFor(900*ms, "a") })
			s.client.behaviours["c"] = run
			time.AfterFunc(6*time.Second, func() { // that the stream was never sent to
				s.Fleet.Put(fleet.Target{ID: "c", Service: "svc", Address: "c:1", Place: "place-c", Slots: 8})
			})
			ctx, cancel := context.WithCancelCause(context.Background())
			time.AfterFunc(6*time.Second+stopLength, func() { cancel(ErrStopping) })
			s.serveFor(ctx, streamRoute)
			s.awaitStops()
			time.Sleep(fleet.SuspectDuration)
			synctest.Wait()
			if last.Sub(signaled) <= lastSixth {
				t.Errorf("cut, last event %v after the signal; sent to %v", last.Sub(signaled), s.client.attempts())
			}
		}))
	}
}
