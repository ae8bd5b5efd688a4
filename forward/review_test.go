package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// serveWith is stopCase.serve with a change of the fixture before the request.
func (c stopCase) serveWith(t *testing.T, change func(s *fixture, targets *stopTargets)) *stopTargets {
	t.Helper()
	signal := time.Now().Add(beforeSignal)
	targets := &stopTargets{c: c, signal: signal, resumed: make(chan struct{}), runs: make(map[string]func()), events: make(map[string]int)}
	s := newFixture(map[string]behaviour{"a": targets.answer, "b": targets.answer})
	targets.fakeTargetClient, s.client.behaviours["c"] = s.client, targets.answer
	s.TargetClient, s.Prober = targets, NewProber(targets, s.Fleet, s.Events)
	s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: c.copies} }
	s.StopsAt = func() time.Time {
		if time.Now().Before(signal) {
			return time.Time{}
		}
		return signal.Add(stopLength)
	}
	s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 8}})
	time.AfterFunc(beforeSignal/2, func() {
		switch c.free {
		case "b":
			s.Fleet.SetPeerLoads("vm-2", nil)
		case "c":
			s.Fleet.Put(fleet.Target{ID: "c", Service: "svc", Address: "c:1", Place: "place-c", Slots: 8})
		}
	})
	change(s, targets)
	resume := sync.OnceFunc(func() { close(targets.resumed) })
	if c.length != forGood {
		time.AfterFunc(beforeSignal+c.at+c.length, resume)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer time.AfterFunc(beforeSignal+stopLength, func() { cancel(ErrStopping) }).Stop()
	r, got := newStreamRequest("r1"), &fakeResponder{}
	r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 5000, 1000
	s.Serve(ctx, r, got)
	targets.record("the answer ends after %d events", len(got.events))
	cancel(nil)
	resume()
	s.awaitStops()
	time.Sleep(fleet.SuspectDuration)
	synctest.Wait()
	return targets
}

func expectWork(t *testing.T, targets *stopTargets) {
	t.Helper()
	if made := targets.lastMade.Sub(targets.signal); made <= lastSixth {
		t.Errorf("cut, last event made %v after the signal, want later than %v\n%s", made, lastSixth, strings.Join(targets.trace, "\n"))
	}
}

const ms = time.Millisecond

// One slow start from a copy, at any time before, decides for all streams.
func TestReviewOddSampleOfACopy(t *testing.T) {
	for _, at := range []time.Duration{4000 * ms, 5000 * ms, 6000 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			expectWork(t, stopCase{at, forGood, waits, true, "b"}.serveWith(t, func(s *fixture, _ *stopTargets) {
				for range 5 {
					s.starts.Record(startKind("svc", true), copyStart)
				}
				s.starts.Record(startKind("svc", true), 3*time.Second)
			}))
		}))
	}
}

// Earlier streams waited in queues; the next attempt has a slot.
func TestReviewSamplesOfQueues(t *testing.T) {
	for _, state := range []targetState{waits, silentListens, silentDark} {
		for _, at := range []time.Duration{2500 * ms, 3500 * ms, 4500 * ms} {
			t.Run(fmt.Sprint(state, at), inBubble(func(t *testing.T) {
				expectWork(t, stopCase{at, forGood, state, false, "c"}.serveWith(t, func(s *fixture, _ *stopTargets) {
					for i := range 31 {
						if i%8 == 0 {
							s.starts.Record(startKind("svc", false), prefillStart+4*time.Second)
							continue
						}
						s.starts.Record(startKind("svc", false), prefillStart)
					}
				}))
			}))
		}
	}
}

// A move to a target with a free slot needs no prompt, whoever holds the standby copy.
func TestReviewMoveWithoutTheCopy(t *testing.T) {
	for _, at := range []time.Duration{5000 * ms, 5700 * ms, 6000 * ms, 6300 * ms, 6500 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			expectWork(t, stopCase{at, forGood, waits, true, "c"}.serveWith(t, func(*fixture, *stopTargets) {}))
		}))
	}
}

// Where the run is moved.
func TestReviewMoveGoesToTheHeldSlot(t *testing.T) {
	for _, at := range []time.Duration{500 * ms, 3000 * ms, 4500 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, waits, true, "c"}.serveWith(t, func(*fixture, *stopTargets) {})
			expectWork(t, targets)
			if sent := targets.attempts(); len(sent) != 2 || sent[1] != "c" {
				t.Errorf("sent to %v, want a, c\n%s", sent, strings.Join(targets.trace, "\n"))
			}
		}))
	}
}

type failingMoves struct{ *stopTargets }

func (f failingMoves) Move(ctx context.Context, _ fleet.Target, _ string, _ fleet.Target) (Copy, fleet.Target, error) {
	f.record("a move fails")
	return Copy{}, fleet.Target{}, errors.New("503")
}

// A run that can be moved isn't kept for seconds because the holder of its copy is full.
func TestReviewMoveIsNotPutOff(t *testing.T) {
	for _, at := range []time.Duration{0, 500 * ms, 1000 * ms, 3000 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, waits, true, "c"}.serveWith(t, func(*fixture, *stopTargets) {})
			if left := targets.sentTo("c").Sub(targets.signal); left > at+longestSilence+patience {
				t.Errorf("left %v after the signal, the run stalled at %v", left, at)
			}
		}))
	}
}

// A move that fails leaves the stream without the slot that it had.
func TestReviewFailedMove(t *testing.T) {
	for _, free := range []string{"b", "c"} {
		for _, at := range []time.Duration{500 * ms, 3000 * ms, 4500 * ms, 5000 * ms, 5500 * ms} {
			if free == "c" && at > 4800*ms {
				continue
			}
			t.Run(free+at.String(), inBubble(func(t *testing.T) {
				expectWork(t, stopCase{at, forGood, waits, true, free}.serveWith(t, func(s *fixture, targets *stopTargets) {
					s.TargetClient = failingMoves{targets}
				}))
			}))
		}
	}
}

// The target of a run that waits is leaving.
func TestReviewLeavingTarget(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, at := range []time.Duration{1000 * ms, 4000 * ms, 4600 * ms, 5000 * ms, 5500 * ms, 5700 * ms, 6000 * ms, 6500 * ms} {
			if !copies && at > 4700*ms {
				continue
			}
			t.Run(fmt.Sprint(copies, at), inBubble(func(t *testing.T) {
				expectWork(t, stopCase{at, forGood, waits, copies, "b"}.serveWith(t, func(s *fixture, _ *stopTargets) {
					time.AfterFunc(beforeSignal+at-200*ms, func() {
						a := s.client.attempt(0).Target
						a.Leaving = true
						s.Fleet.Put(a)
					})
				}))
			}))
		}
	}
}

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
	s.StopsAt = func() time.Time {
		if time.Now().Before(signaled) {
			return time.Time{}
		}
		return signaled.Add(stopLength)
	}
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

// Streams that leave at the same moment wait for each other's placements.
func TestReviewManyLeaveAtOnce(t *testing.T) {
	for _, n := range []int{5, 10, 20, 40, 80} {
		for _, copies := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d streams, copies %v", n, copies), inBubble(func(t *testing.T) {
				manyAtOnce(t, n, 2*time.Second, copies, RetryBudgetSettings{Ratio: 1, Slack: 1000, Window: 10 * time.Second})
			}))
		}
	}
}

// The budget for returns that can't be made any more keeps half of the streams.
func TestReviewBudgetAtLastLook(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprint(copies), inBubble(func(t *testing.T) {
			manyAtOnce(t, 10, 2*time.Second, copies, RetryBudgetSettings{Ratio: 0.0001, Slack: 10, Window: 10 * time.Second})
		}))
	}
}

// A run is moved to a target whose slots are all in use, and the slot that was held is given up.
func TestReviewMoveToAFullTarget(t *testing.T) {
	for _, at := range []time.Duration{500 * ms, 3000 * ms, 4500 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, waits, true, "c"}.serveWith(t, func(s *fixture, targets *stopTargets) {
				s.client.behaviours["d"] = targets.answer
				time.AfterFunc(beforeSignal/2+10*ms, func() {
					s.Fleet.Put(fleet.Target{ID: "d", Service: "svc", Address: "d:1", Place: "place-d", Slots: 8})
					s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 8}, "d": {Running: 8}, "c": {Running: 6, MemoryTokens: 30_000}})
				})
			})
			expectWork(t, targets)
			if sent := targets.attempts(); len(sent) != 2 || sent[1] != "c" {
				t.Errorf("sent to %v, want a, c\n%s", sent, strings.Join(targets.trace, "\n"))
			}
		}))
	}
}

// A run that resumed and doesn't begin is kept, although its copy could go on elsewhere.
func TestReviewResumedRunThatDoesNotBegin(t *testing.T) {
	for _, at := range []time.Duration{500 * ms, 3000 * ms, 5000 * ms, 5700 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, goneBroken, true, "c"}.serveWith(t, func(s *fixture, targets *stopTargets) {
				s.Fleet.SetPeerLoads("vm-2", nil)
				s.Fleet.Put(fleet.Target{ID: "c", Service: "svc", Address: "c:1", Place: "place-c", Slots: 8})
				s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 3}, "c": {Running: 5}})
				s.client.behaviours["b"] = hanging
				s.TargetClient = idle{targets}
				s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
			})
			expectWork(t, targets)
			if sent := targets.sentTo("c"); sent.Sub(targets.signal) > at+resumeTimeout+longestSilence+patience {
				t.Errorf("left %v after the signal\n%s", sent.Sub(targets.signal), strings.Join(targets.trace, "\n"))
			}
		}))
	}
}

// sentTo returns when the stream was last sent to a target.
func (s *stopTargets) sentTo(id string) time.Time {
	var at float64
	for _, line := range s.trace {
		if strings.Contains(line, "sent to "+id) {
			_, _ = fmt.Sscanf(strings.TrimSpace(line), "%f", &at)
		}
	}
	return s.signal.Add(time.Duration(at * float64(time.Second)))
}

// idle reports that target b has nothing to do.
type idle struct{ *stopTargets }

func (i idle) Report(ctx context.Context, t fleet.Target) (Report, error) {
	if t.ID == "b" {
		return Report{Running: map[string]RunStatus{}}, nil
	}
	return i.stopTargets.Report(ctx, t)
}

// A stream that returned to a target long before the stop is kept there when its run waits.
func TestReviewReturnedStream(t *testing.T) {
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
			s.StopsAt = func() time.Time {
				if time.Now().Before(signaled) {
					return time.Time{}
				}
				return signaled.Add(stopLength)
			}
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
			t.Log(s.client.attempts())
			if last.Sub(signaled) <= lastSixth {
				t.Errorf("cut, last event %v after the signal; sent to %v", last.Sub(signaled), s.client.attempts())
			}
		}))
	}
}

// A run that makes a short pause and would end in time is ended by the last look.
func TestReviewPauseOfARunThatEndsInTime(t *testing.T) {
	for _, pauseAt := range []time.Duration{5400 * ms, 5600 * ms, 5700 * ms, 5800 * ms} {
		t.Run(pauseAt.String(), inBubble(func(t *testing.T) {
			requested := time.Now()
			signaled := requested.Add(beforeSignal)
			last := int((beforeSignal + 7200*ms - prefillStart - 700*ms) / eventGap)
			run := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
				r, w := io.Pipe()
				go func() {
					wait := prefillStart
					for next := a.nextEvent(); int(next) <= last; next++ {
						if since := time.Since(signaled); a.Target.ID == "a" && since >= pauseAt && since < pauseAt+700*ms {
							wait = pauseAt + 700*ms - since
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
					}
					_ = w.Close()
				}()
				return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
			}
			s := newFixture(map[string]behaviour{"a": run})
			s.client.behaviours["b"] = run
			s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000} }
			time.AfterFunc(beforeSignal, func() {
				s.Fleet.Put(fleet.Target{ID: "b", Service: "svc", Address: "b:1", Place: "place-b", Slots: 8})
			})
			s.StopsAt = func() time.Time {
				if time.Now().Before(signaled) {
					return time.Time{}
				}
				return signaled.Add(stopLength)
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			time.AfterFunc(beforeSignal+stopLength, func() { cancel(ErrStopping) })
			got := s.serveFor(ctx, streamRoute)
			s.awaitStops()
			synctest.Wait()
			if len(s.client.sent) > 1 || !got.ended {
				t.Errorf("ended %v after %d events, sent to %v", got.ended, len(got.events), s.client.attempts())
			}
		}))
	}
}
