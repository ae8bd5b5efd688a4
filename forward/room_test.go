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

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// slotQueue is a target that runs a request in each of its slots, and queues the others.
type slotQueue struct {
	free   chan struct{} // holds a value for each slot in use
	queued int           // requests that had to wait
}

// limit returns a behaviour that answers like b once there is a slot.
func (q *slotQueue) limit(b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		select {
		case q.free <- struct{}{}:
		default:
			s.mu.Lock()
			q.queued++
			s.mu.Unlock()
			select {
			case q.free <- struct{}{}:
			case <-ctx.Done():
				return nil, errors.WithStack(ErrNoAnswer)
			}
		}
		context.AfterFunc(ctx, func() { <-q.free })
		return b(ctx, a, s)
	}
}

// TestNoStreamIsTakenIntoAQueue guards against streams that are cut by a stop while no target
// works on them: they were taken from a silent target, to which they could have returned, and
// waited in the queue of a full one (review/3).
func TestNoStreamIsTakenIntoAQueue(t *testing.T) {
	const slots, streams = 12, 12
	for _, busy := range []int{slots, slots - 5, 0} {
		for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
			for _, copies := range []bool{true, false} {
				t.Run(fmt.Sprintf("%d of %d slots in use, silent for %v, copies %v", busy, slots, length, copies), inBubble(func(t *testing.T) {
					q := &slotQueue{free: make(chan struct{}, slots)}
					s := newFixture(map[string]behaviour{"a": pausable(250, eventGap), "b": q.limit(pausable(250, eventGap))})
					s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: copies} }
					for _, id := range []string{"a", "b"} {
						s.Fleet.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: slots})
					}
					s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: slots}}) // so that all begin at a
					for range busy {
						q.free <- struct{}{}
					}
					var work sync.WaitGroup
					for i := range streams {
						work.Go(func() {
							got := &fakeResponder{}
							s.Serve(context.Background(), newStreamRequest(fmt.Sprint("r", i)), got)
							if !got.receivedAll(250) {
								t.Errorf("a caller got %d events (want 251), error %v", len(got.events), got.err)
							}
						})
					}
					time.Sleep(time.Second)
					s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: busy}})
					s.client.pauseFor(length, "a")
					time.Sleep(length + time.Second)
					if q.queued > 0 {
						t.Errorf("%d streams waited in the queue of the target with %d of %d slots in use, want none", q.queued, busy, slots)
					}
					for range busy {
						<-q.free
					}
					work.Wait()
					s.awaitStops()
					synctest.Wait()
				}))
			}
		}
	}
}

// TestStopCutsNoStreamOfASilentTarget guards against streams that are cut at the end of a stop
// although their target went on long before it: they waited at a full one (review/3).
func TestStopCutsNoStreamOfASilentTarget(t *testing.T) {
	const slots, beforeStop = 12, 7600 * time.Millisecond
	for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 2500 * time.Millisecond} {
		for _, stopAfter := range []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			for _, accepts := range []bool{true, false} {
				t.Run(fmt.Sprintf("silent for %v, stop after %v, accepts connections %v", length, stopAfter, accepts), inBubble(func(t *testing.T) {
					q := &slotQueue{free: make(chan struct{}, slots)}
					s := newFixture(map[string]behaviour{"a": pausable(150, eventGap), "b": q.limit(pausable(150, eventGap))})
					for _, id := range []string{"a", "b"} {
						s.Fleet.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: slots})
					}
					s.client.listening["a"] = accepts
					s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: slots}})
					for range slots {
						q.free <- struct{}{}
					}
					silentAt := time.Now().Add(time.Second)
					signaledAt := silentAt.Add(stopAfter)
					s.StopsAt = func() time.Time {
						if time.Now().Before(signaledAt) {
							return time.Time{}
						}
						return signaledAt.Add(beforeStop)
					}
					ctx, cancel := context.WithCancelCause(context.Background())
					defer time.AfterFunc(time.Until(signaledAt.Add(beforeStop)), func() { cancel(ErrStopping) }).Stop()
					time.AfterFunc(time.Until(silentAt), func() { s.client.pauseFor(length, "a") })
					var work sync.WaitGroup
					for i := range slots {
						work.Go(func() {
							got := &fakeResponder{}
							s.Serve(ctx, newStreamRequest(fmt.Sprint("r", i)), got)
							if !got.receivedAll(150) {
								t.Errorf("a caller got %d events (want 151), error %v", len(got.events), got.err)
							}
						})
					}
					work.Wait()
					s.awaitStops()
					synctest.Wait()
				}))
			}
		}
	}
}

// fullReporter is a client whose target b reports that all of its slots are in use.
type fullReporter struct {
	*fakeTargetClient
	queue *slotQueue
}

func (s fullReporter) Report(ctx context.Context, t fleet.Target) (Report, error) {
	r, err := s.fakeTargetClient.Report(ctx, t)
	if t.ID == "b" {
		r.Running, r.Queued = make(map[string]RunStatus), 1
		for i := range len(s.queue.free) {
			r.Running[fmt.Sprint("other", i)] = RunStatus{Events: 1}
		}
	}
	return r, err
}

// TestQueuedStreamReturns guards against streams that wait in a queue until their daemon stops
// while the target that they were taken from is idle: its last room had been taken meanwhile
// by requests that this daemon did not know of (review/3).
func TestQueuedStreamReturns(t *testing.T) {
	const slots = 8
	for _, length := range []time.Duration{700 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		for _, copies := range []bool{true, false} {
			t.Run(fmt.Sprintf("silent for %v, copies %v", length, copies), inBubble(func(t *testing.T) {
				q := &slotQueue{free: make(chan struct{}, slots)}
				s := newFixture(map[string]behaviour{"a": pausable(150, eventGap), "b": q.limit(pausable(150, eventGap))})
				client := fullReporter{s.client, q}
				s.TargetClient, s.Prober = client, NewProber(client, s.Fleet, s.Events)
				s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: copies} }
				s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: slots}}) // so that it begins at a
				for range slots {
					q.free <- struct{}{}
				}
				time.AfterFunc(time.Second, func() {
					s.Fleet.SetPeerLoads("vm-2", nil)
					s.client.pauseFor(length, "a")
				})
				start, got := time.Now(), &fakeResponder{}
				s.Serve(context.Background(), newStreamRequest("r1"), got)
				if took := time.Since(start); !got.receivedAll(150) || took > 150*eventGap+length+2*time.Second {
					t.Errorf("the caller got %d events (want 151) in %v, error %v; sent to %v", len(got.events), took, got.err, s.client.attempts())
				}
				s.awaitStops()
				synctest.Wait()
			}))
		}
	}
}

// TestStreamWaitsInAQueueIfItCantReturn guards against streams that are cut because they look
// for a target with room although the one that they were taken from has terminated.
func TestStreamWaitsInAQueueIfItCantReturn(t *testing.T) {
	for _, terminatedAfter := range []time.Duration{500 * time.Millisecond, 650 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint("terminated after ", terminatedAfter), inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": pausable(150, eventGap), "b": streaming(150, 45, eventGap, io.ErrUnexpectedEOF), "c": streaming(150, -1, eventGap, nil)})
			s.Model = func(string) *ingress.Model { return &ingress.Model{} }
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 7}, "c": {Running: 8}}) // so that it begins at a
			time.AfterFunc(time.Second, func() {
				s.client.pause("a")
				time.Sleep(terminatedAfter)
				s.client.mu.Lock()
				s.client.ended["a"] = true
				s.client.mu.Unlock()
				s.Fleet.MarkTerminated(time.Now(), fleet.Target{ID: "a"})
			})
			got := &fakeResponder{}
			s.Serve(context.Background(), newStreamRequest("r1"), got)
			if !got.receivedAll(150) {
				t.Errorf("the caller got %d events (want 151), error %v; sent to %v", len(got.events), got.err, s.client.attempts())
			}
			s.client.resume("a")
			s.awaitStops()
			synctest.Wait()
		}))
	}
}

// newStreamRequest returns a request for a stream, received now.
func newStreamRequest(id string) *Request {
	route, now := streamRoute, time.Now()
	return &Request{
		ID: id, Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc", Header: http.Header{},
		Prompt: Prompt{CacheKey: id, Tokens: 100, MaxOutputTokens: 100},
	}
}
