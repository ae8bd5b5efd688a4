package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// usualStart is what a run without a copy usually takes to begin at the targets of this file.
const usualStart = 120 * time.Millisecond

// lateStopStep is the time between two cases.
const lateStopStep = 130 * time.Millisecond

// startingAfter lets runs that resume begin after d, less what b takes.
func startingAfter(d time.Duration, b behaviour) behaviour {
	late := startingLate(d, b)
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		if a.LastEventID == "" {
			return b(ctx, a, s)
		}
		return late(ctx, a, s)
	}
}

// lateStop is a stream whose run at target a waits from a time after the signal on. Of the other
// targets, only the last one, which has the most load, begins it as soon as is usual.
type lateStop struct {
	from     time.Duration // from the signal to the wait
	start    time.Duration // what the run takes to begin at the others
	copies   bool          // b holds a copy of the run, and runs can be moved
	reserves bool          // targets reserve room
	others   int           // targets
	slow     bool          // the last one is as late as the others
}

func (c lateStop) String() string {
	return fmt.Sprintf("waits from %v, copies %v, reservations %v, %d others begin after %v", c.from, c.copies, c.reserves, c.others, c.start)
}

// serve returns when a target last worked on the stream, from the signal on, and where it was sent.
func (c lateStop) serve(t *testing.T) (lastWorkAt time.Duration, sent []string) {
	requested := time.Now()
	signaled := requested.Add(untilTheSignal)
	var lastWork atomic.Int64
	waiting := waitingFor(requested, untilTheSignal+c.from, time.Minute, &lastWork)
	soon := waitingIn(usualStart, &lastWork)
	targets, loads := map[string]behaviour{"a": waiting}, make(map[string]fleet.DaemonLoad)
	for i := range c.others {
		id := string(rune('b' + i))
		targets[id], loads[id] = startingAfter(c.start-usualStart, soon), fleet.DaemonLoad{Running: 1 + i}
	}
	last := string(rune('a' + c.others))
	if targets[last] = soon; c.slow {
		targets[last] = startingAfter(c.start-usualStart, soon)
	}
	var mu sync.Mutex // of sent
	for id, b := range targets {
		targets[id] = func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			mu.Lock()
			sent = append(sent, fmt.Sprintf("%s at %v (from a copy: %v)", id, time.Since(signaled).Round(time.Millisecond), a.Resume != Copy{}))
			mu.Unlock()
			return b(ctx, a, s)
		}
	}
	s := newFixture(targets)
	s.Model = func(string) *ingress.Model {
		m := &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: c.copies}
		if c.reserves {
			m.MaxReservation = 2 * time.Second
		}
		return m
	}
	s.Reserver = &reserver{took: 5 * time.Millisecond, reserved: make(map[string]string), room: func(string) bool { return true }}
	s.Fleet.SetPeerLoads("vm-2", loads)
	s.signalAt(signaled)
	for range 8 { // what this daemon has seen of other streams
		s.starts.Record(startKind("svc", true), copyStart)
		s.starts.Record(startKind("svc", false), usualStart)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer time.AfterFunc(untilTheSignal+stopLength, func() { cancel(ErrStopping) }).Stop()
	got := s.serveFor(ctx, streamRoute)
	for i, e := range got.events {
		if want := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i); e != want {
			t.Fatalf("event %d is %q", i, e)
		}
	}
	s.awaitStops()
	synctest.Wait()
	return time.Unix(0, lastWork.Load()).Sub(signaled), sent
}

// waitingIn answers like streaming, after the time that a run takes to begin.
func waitingIn(start time.Duration, lastWork *atomic.Int64) behaviour {
	b := waitingFor(time.Time{}, 0, 0, lastWork)
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		a.Resume = Copy{Name: "begins soon"} // waitingFor reads the prompt for longer
		if a.LastEventID != "" {
			return startingLate(start-copyStart, b)(ctx, a, s)
		}
		return b(ctx, a, s)
	}
}

// expectWork serves the stream of a case, on which a target must work in the last sixth of the stop.
func (c lateStop) expectWork(t *testing.T) {
	t.Run(c.String(), inBubble(func(t *testing.T) {
		if worked, sent := c.serve(t); worked < lastSixth {
			t.Errorf("cut, the last work on it was %v after the signal; sent to %v", worked, strings.Join(sent, ", "))
		}
	}))
}

// TestStopTriesEachTarget guards against streams that are cut at the end of a stop because the time
// left is spent at one or two targets that begin late, though another one could have begun them
// (TestSoakWaiting, seeds 1, 3, 8, 10, 22 and 31).
func TestStopTriesEachTarget(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, reserves := range []bool{true, false} {
			for others := 1; others <= streamRoute.MaxAttempts-1; others++ {
				for from := 3 * time.Second; from <= lastSixth; from += lateStopStep {
					lateStop{from, time.Minute, copies, reserves, others, false}.expectWork(t)
				}
			}
		}
	}
}

// TestStopWaitsForSlowStarts guards against streams that are cut at the end of a stop because they
// leave each target too early, although the run begins everywhere, only later than most
// (TestSoakWaiting, seed 24).
func TestStopWaitsForSlowStarts(t *testing.T) {
	for start, stay := range map[time.Duration]time.Duration{280 * time.Millisecond: lastLook, 1200 * time.Millisecond: resumeTimeout + longestSilence + gapProbeInterval} {
		for _, copies := range []bool{true, false} {
			for others := 1; others <= streamRoute.MaxAttempts-1; others++ {
				// The search of all targets fits into the time left.
				last := min(lastSixth, stopLength-stay-time.Duration(others-1)*longStart(usualStart)-start-2*eventGap)
				for from := 2 * time.Second; from <= last; from += lateStopStep {
					lateStop{from, start, copies, false, others, true}.expectWork(t)
				}
			}
		}
	}
}

// TestStopAvoidsLateTargets guards against streams that a stopping daemon sends one after the other to
// a target at which none of them begins, although it has seen that and others have room.
func TestStopAvoidsLateTargets(t *testing.T) {
	const streams, apart = 4, 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		var lastWork atomic.Int64
		requested, signaled := time.Now(), time.Now().Add(untilTheSignal)
		waiting := make(map[string]behaviour)
		for i := range streams {
			waiting[fmt.Sprint("r", i)] = waitingFor(requested, untilTheSignal+3*time.Second+time.Duration(i)*apart, time.Minute, &lastWork)
		}
		soon := waitingIn(usualStart, &lastWork)
		s := newFixture(map[string]behaviour{
			"a": func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
				return waiting[a.Request.ID](ctx, a, s)
			},
			"b": startingAfter(time.Minute, soon), "c": soon,
		})
		s.Model = func(string) *ingress.Model { return &ingress.Model{} }
		s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 5}, "c": {Running: 7}}) // so that all begin at a
		time.AfterFunc(untilTheSignal, func() { s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"c": {Running: 4}}) })
		s.signalAt(signaled)
		for range 8 {
			s.starts.Record(startKind("svc", false), usualStart)
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		defer time.AfterFunc(untilTheSignal+stopLength, func() { cancel(ErrStopping) }).Stop()
		var work sync.WaitGroup
		for i := range streams {
			work.Go(func() { s.Serve(ctx, newStreamRequest(fmt.Sprint("r", i)), &fakeResponder{}) })
		}
		work.Wait()
		sent := make(map[string]int)
		for _, id := range s.client.attempts() {
			sent[id]++
		}
		if sent["a"] != streams || sent["b"] != 1 || sent["c"] != streams {
			t.Errorf("%d, %d and %d streams were sent to a, b and c, want %d, 1 and %d", sent["a"], sent["b"], sent["c"], streams, streams)
		}
		s.awaitStops()
		synctest.Wait()
	})
}
