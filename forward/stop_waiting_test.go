package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

const (
	waitLastEvent  = 400
	untilTheSignal = 4 * time.Second // from the request
)

// waitingFor answers like streaming, but the first run waits from a time after the request on, for
// so long, while its target answers probes. Runs that have a copy begin soon.
func waitingFor(requested time.Time, from, length time.Duration, lastWork *atomic.Int64) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		next, first := a.nextEvent(), a.LastEventID == ""
		start := prefillStart
		if a.Resume != (Copy{}) {
			start = copyStart
		}
		s.mu.Lock()
		s.cancelRun[a.Target.ID] = func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) }
		s.mu.Unlock()
		go func() {
			for wait := start; next <= waitLastEvent; next, wait = next+1, eventGap {
				if at := time.Since(requested) + wait; first && at > from && at < from+length {
					wait = from + length - time.Since(requested)
				}
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					_ = w.CloseWithError(ctx.Err())
					return
				}
				if _, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next); err != nil {
					return
				}
				lastWork.Store(time.Now().UnixNano())
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
}

// TestStopLeavesNoStreamWithoutWork guards against streams that a stopping daemon keeps at a target
// which lets their runs wait, and cuts, although another target could have gone on with them.
func TestStopLeavesNoStreamWithoutWork(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, length := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second} {
			for from := -2 * time.Second; from <= lastSixth; from += 350 * time.Millisecond {
				if !copies && from > stopLength-2*prefillStart-time.Second {
					continue // no other target could begin in time
				}
				t.Run(fmt.Sprintf("copies %v, waits from %v for %v", copies, from, length), inBubble(func(t *testing.T) {
					requested := time.Now()
					var lastWork atomic.Int64
					b := waitingFor(requested, untilTheSignal+from, length, &lastWork)
					s := newFixture(map[string]behaviour{"a": b, "b": b, "c": b})
					s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: copies} }
					signaled := requested.Add(untilTheSignal)
					s.signalAt(signaled)
					for range 8 { // what this daemon has seen of other streams
						s.starts.Record(startKind("svc", false), prefillStart)
					}
					for _, copied := range []bool{false, true} {
						s.starts.Record(startKind("svc", copied), time.Minute) // one was queued
					}
					ctx, cancel := context.WithCancelCause(context.Background())
					defer time.AfterFunc(untilTheSignal+stopLength, func() { cancel(ErrStopping) }).Stop()
					got := s.serveFor(ctx, streamRoute)
					if worked := time.Unix(0, lastWork.Load()).Sub(signaled); worked < lastSixth {
						t.Errorf("cut after %d events; the last work on it was %v after the signal; sent to %v", len(got.events), worked, s.client.attempts())
					}
					for i, e := range got.events {
						if want := fmt.Sprintf("id: %d\ndata: %d\n\n", i, i); e != want {
							t.Fatalf("event %d is %q", i, e)
						}
					}
					s.awaitStops()
					synctest.Wait()
				}))
			}
		}
	}
}

// TestStopLeavesLongWaitsInTime guards against streams without a copy that a stopping daemon keeps
// where their run has waited for long, until the only other target, which begins them later than
// most, can't do that before the end of the stop (issue 54).
func TestStopLeavesLongWaitsInTime(t *testing.T) {
	const lateBy = 3 * prefillStart
	const last = stopLength - lateBy - prefillStart - longestSilence - gapProbeInterval
	for from := -time.Second; from <= last; from += 350 * time.Millisecond {
		t.Run(from.String(), inBubble(func(t *testing.T) {
			requested := time.Now()
			var lastWork atomic.Int64
			b := waitingFor(requested, untilTheSignal+from, 20*time.Second, &lastWork)
			s := newFixture(map[string]behaviour{"a": b, "b": startingLate(lateBy, b)})
			s.Model = func(string) *ingress.Model { return &ingress.Model{} }
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 2}}) // so that it begins at a
			signaled := requested.Add(untilTheSignal)
			s.signalAt(signaled)
			for range 8 {
				s.starts.Record(startKind("svc", false), prefillStart)
			}
			ctx, cancel := context.WithCancelCause(context.Background())
			defer time.AfterFunc(untilTheSignal+stopLength, func() { cancel(ErrStopping) }).Stop()
			got := s.serveFor(ctx, streamRoute)
			if worked := time.Unix(0, lastWork.Load()).Sub(signaled); worked < lastSixth {
				t.Errorf("cut after %d events; the last work on it was %v after the signal; sent to %v", len(got.events), worked, s.client.attempts())
			}
			s.awaitStops()
			synctest.Wait()
		}))
	}
}

// TestRunIsMovedToAFreeSlot guards against runs that are moved into the queue of a full target,
// although a slot is held for them elsewhere.
func TestRunIsMovedToAFreeSlot(t *testing.T) {
	full := fleet.DaemonLoad{Running: 8}
	for name, c := range map[string]struct {
		places map[string]string
		loads  map[string]fleet.DaemonLoad
		want   string
	}{
		"the full one is in another place":                    {map[string]string{"a": "p", "b": "q", "c": "p"}, map[string]fleet.DaemonLoad{"b": full, "c": {Running: 7}}, "c"},
		"the full one has more memory than the copy's holder": {map[string]string{"a": "p", "b": "q", "c": "r"}, map[string]fleet.DaemonLoad{"b": {MemoryTokens: 38_000, Running: 7}, "c": full}, "b"},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			var lastWork atomic.Int64
			b := waitingFor(time.Now(), 2*time.Second, 20*time.Second, &lastWork)
			s := newFixture(map[string]behaviour{"a": b, "b": b, "c": b})
			for id, place := range c.places {
				s.Fleet.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: place, Slots: 8})
			}
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": full, "c": {Running: 8, MemoryTokens: 49_000}}) // so that it begins at a, and b holds the copy
			time.AfterFunc(time.Second, func() { s.Fleet.SetPeerLoads("vm-2", c.loads) })
			got := s.serve(t, streamRoute)
			if sent := s.client.attempts(); !slices.Equal(sent, []string{"a", c.want}) || !got.ended {
				t.Errorf("sent to %v, want a, then %s, which has a slot free; ended: %v", sent, c.want, got.ended)
			}
			s.awaitStops()
			synctest.Wait()
		}))
	}
}
