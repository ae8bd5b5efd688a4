package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// Times of the stops in this file. Grace is how long a daemon has to end after the signal. A stream
// may be cut at the end of it if a target was at work on it in the last sixth.
const (
	testGrace      = 8 * time.Second
	testStopAfter  = 7600 * time.Millisecond // the signal
	testMustWork   = testGrace - testGrace/6 // after the signal
	copiedStart    = 20 * time.Millisecond
	promptStart    = 1200 * time.Millisecond
	waitEventGap   = 50 * time.Millisecond
	waitLastEvent  = 400
	untilTheSignal = 4 * time.Second // from the request
)

// waitingFor answers like streaming, but the first run waits from a time after the request on, for
// so long, while its target answers probes. Runs that have a copy begin soon.
func waitingFor(requested time.Time, from, length time.Duration, lastWork *time.Time) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		next, first := a.nextEvent(), a.LastEventID == ""
		start := promptStart
		if a.Resume != (Copy{}) {
			start = copiedStart
		}
		s.mu.Lock()
		s.cancelRun[a.Target.ID] = func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) }
		s.mu.Unlock()
		go func() {
			for wait := start; next <= waitLastEvent; next, wait = next+1, waitEventGap {
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
				*lastWork = time.Now()
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
			for from := -2 * time.Second; from <= testMustWork; from += 350 * time.Millisecond {
				if !copies && from > testStopAfter-2*promptStart-time.Second {
					continue // no other target could begin in time
				}
				t.Run(fmt.Sprintf("copies %v, waits from %v for %v", copies, from, length), inBubble(func(t *testing.T) {
					requested := time.Now()
					var lastWork time.Time
					b := waitingFor(requested, untilTheSignal+from, length, &lastWork)
					s := newFixture(map[string]behaviour{"a": b, "b": b, "c": b})
					s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: copies} }
					signaled := requested.Add(untilTheSignal)
					s.StopsAt = func() time.Time {
						if time.Now().Before(signaled) {
							return time.Time{}
						}
						return signaled.Add(testStopAfter)
					}
					for range 8 { // what this daemon has seen of other streams
						s.starts.Record(startKind("svc", false), promptStart)
					}
					for _, copied := range []bool{false, true} {
						s.starts.Record(startKind("svc", copied), time.Minute) // one was queued
					}
					ctx, cancel := context.WithCancelCause(context.Background())
					defer time.AfterFunc(untilTheSignal+testStopAfter, func() { cancel(ErrStopping) }).Stop()
					got := s.serveFor(ctx, streamRoute)
					if worked := lastWork.Sub(signaled); worked < testMustWork {
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
			var lastWork time.Time
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
