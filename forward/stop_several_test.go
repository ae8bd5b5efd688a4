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

// severalRuns are the targets a and b of several streams. The runs at a wait for a time, in which
// a answers probes.
type severalRuns struct {
	*fakeTargetClient
	waitFrom, waitUntil time.Time
	slots               chan struct{} // of b; holds a value for each one in use
	moveTime            time.Duration

	mu     sync.Mutex
	runs   map[string]map[string]func() // that have begun, by target and request; each ends the run
	made   map[string]time.Time         // when the latest event of a request was made
	queue  int                          // requests that wait for a slot of b
	queued int                          // those that ever did
}

// waits reports whether the runs of a target wait.
func (s *severalRuns) waits(id string) bool {
	return id == "a" && !time.Now().Before(s.waitFrom) && time.Now().Before(s.waitUntil)
}

func (s *severalRuns) Report(_ context.Context, t fleet.Target) (Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Running: make(map[string]RunStatus)}
	for id := range s.runs[t.ID] {
		r.Running[id] = RunStatus{Events: 1}
	}
	switch {
	case t.ID == "b":
		r.Queued = s.queue
	case s.waits(t.ID): // runs that were preempted are in the queue
		r.Queued = len(r.Running)
		clear(r.Running)
	}
	return r, nil
}

func (s *severalRuns) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	s.mu.Lock()
	end := s.runs[source.ID][id]
	s.mu.Unlock()
	if end == nil {
		return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
	}
	time.Sleep(s.moveTime)
	end()
	c, err := s.Copy(ctx, source, id, destination)
	return c, destination, err
}

// answer is the behaviour of both targets.
func (s *severalRuns) answer(ctx context.Context, a Attempt, _ *fakeTargetClient) (*Answer, error) {
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	go func() {
		if a.Target.ID == "a" || s.awaitSlot(ctx) {
			s.run(ctx, a, w)
		}
	}()
	return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
}

// awaitSlot takes a slot of b until ctx ends. It returns false if ctx ends first.
func (s *severalRuns) awaitSlot(ctx context.Context) bool {
	addQueue := func(n, ever int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queue, s.queued = s.queue+n, s.queued+ever
	}
	select {
	case s.slots <- struct{}{}:
	default:
		addQueue(1, 1)
		defer addQueue(-1, 0)
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	context.AfterFunc(ctx, func() { <-s.slots })
	return true
}

// run makes the events of an attempt until it is moved, or ctx ends.
func (s *severalRuns) run(ctx context.Context, a Attempt, w *io.PipeWriter) {
	id, request := a.Target.ID, a.Request.ID
	ctx, end := context.WithCancel(ctx)
	defer end()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.runs[id], request)
	}()
	wait := prefillStart
	if a.Resume != (Copy{}) {
		wait = copyStart
	}
	for next := a.nextEvent(); ; next, wait = next+1, eventGap {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		if s.waits(id) {
			select {
			case <-time.After(time.Until(s.waitUntil)):
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
		s.mu.Lock()
		s.runs[id][request] = end
		if err == nil && ctx.Err() == nil {
			s.made[request] = time.Now()
		}
		s.mu.Unlock()
	}
}

// TestNoMoreRunsAreMovedThanSlots guards against streams that are cut at the end of a stop while
// no target works on them: more runs that waited at once were moved to a target than it has slots
// free, and the others were in its queue.
func TestNoMoreRunsAreMovedThanSlots(t *testing.T) {
	const streams, length = 8, 1500 * time.Millisecond // of the wait
	for _, copies := range []bool{true, false} {
		for _, free := range []int{4, 8} {
			for _, moveTime := range []time.Duration{0, 30 * time.Millisecond} {
				for _, at := range []time.Duration{-1000, 0, 2000, 4000, 5000, 5500, 6000} {
					at *= time.Millisecond
					t.Run(fmt.Sprintf("copies %v, %d free slots, moves take %v, wait from %v", copies, free, moveTime, at), inBubble(func(t *testing.T) {
						signal := time.Now().Add(beforeSignal)
						targets := &severalRuns{
							waitFrom: signal.Add(at), waitUntil: signal.Add(at + length), slots: make(chan struct{}, free), moveTime: moveTime,
							runs: map[string]map[string]func(){"a": {}, "b": {}}, made: make(map[string]time.Time),
						}
						s := newFixture(map[string]behaviour{"a": targets.answer, "b": targets.answer})
						targets.fakeTargetClient = s.client
						s.TargetClient, s.Prober = targets, NewProber(targets, s.Fleet, s.Events)
						s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: copies} }
						s.Fleet.Put(fleet.Target{ID: "b", Service: "svc", Address: "b:1", Place: "place-b", Slots: free})
						s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: free}}) // so that all begin at a
						time.AfterFunc(beforeSignal/2, func() { s.Fleet.SetPeerLoads("vm-2", nil) })
						s.signalAt(signal)
						ctx, cancel := context.WithCancelCause(context.Background())
						defer time.AfterFunc(beforeSignal+stopLength, func() { cancel(ErrStopping) }).Stop()
						var work sync.WaitGroup
						for i := range streams {
							work.Go(func() {
								r := newStreamRequest(fmt.Sprint("r", i))
								r.Prompt.Tokens, r.Prompt.MaxOutputTokens = 5000, 1000
								s.Serve(ctx, r, &fakeResponder{})
							})
						}
						work.Wait()
						s.awaitStops()
						time.Sleep(fleet.SuspectDuration) // for the last probes
						synctest.Wait()
						for id, made := range targets.made {
							if after := made.Sub(signal); after <= lastSixth {
								t.Errorf("%s was cut, its last event was made %v after the signal, want later than %v", id, after, lastSixth)
							}
						}
						if len(targets.made) != streams || targets.queued > 0 {
							t.Errorf("%d streams began (want %d), %d waited in the queue of b with %d free slots (want none)", len(targets.made), streams, targets.queued, free)
						}
					}))
				}
			}
		}
	}
}
