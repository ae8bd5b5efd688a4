package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// Times of a stop, from the signal on.
const (
	gracePeriod = 8 * time.Second
	stopLength  = 7600 * time.Millisecond // until all that runs is cut
	// A stream that is cut is excused if a target made an event of it after this.
	lastSixth = gracePeriod - gracePeriod/6
)

// Times of the targets.
const (
	copyStart    = 20 * time.Millisecond   // from a send to a run that resumes from a copy
	prefillStart = 1200 * time.Millisecond // the same if the prompt is prefilled
	noticeDelay  = 100 * time.Millisecond  // until a run ends whose connection was closed
	maxTogether  = 400 * time.Millisecond  // for which two targets may work on a stream
	beforeSignal = 3 * time.Second         // from the request to the signal
)

// Bounds of the streams that must go on, see stopCase.mustGoOn.
const (
	// patience is abandonShare of the longest gap of streamRoute, the time after which a stalled
	// run with a copy is moved at any time. A shorter stall is no reason to leave without a copy
	// either, or while the target is silent.
	patience = 455 * time.Millisecond
	// decisionTime is for the steps from the end of the patience to the send: the stream is looked
	// at every gapProbeInterval, and waits for its placement. An event follows eventGap later.
	decisionTime = gapProbeInterval + placementInterval + 2*eventGap
)

// targetState is what a target does while it makes no events of a stream.
type targetState string

const (
	waits         targetState = "waits" // it answers probes; the run is preempted
	silentListens targetState = "silent, accepts connections"
	silentDark    targetState = "silent, accepts no connection"
	gone          targetState = "terminated"
	goneBroken    targetState = "terminated, the connection breaks"
)

func (s targetState) isSilent() bool { return s == silentListens || s == silentDark }
func (s targetState) isGone() bool   { return s == gone || s == goneBroken }

// forGood is the length of a stall that lasts until the end of the stop.
const forGood time.Duration = 0

// stopCase is a stream that is longer than the stop. Its run at target a stalls.
type stopCase struct {
	at     time.Duration // from the signal to the stall
	length time.Duration // of the stall
	state  targetState   // of a during the stall
	copies bool          // b holds a copy of the run
	free   string        // target with free slots; empty for none. What others than a get is queued for ever
}

func (c stopCase) String() string {
	length := "for good"
	if c.length != forGood {
		length = "for " + c.length.String()
	}
	free := "no free slot"
	if c.free != "" {
		free = "free slot at " + c.free
	}
	return fmt.Sprintf("%v, copy %v, %s, at %v, %s", c.state, c.copies, free, c.at, length)
}

// mustGoOn reports whether an event of the stream must be made in the last sixth: target a goes on
// in time, before a queue is better, or another can begin in time if the stream leaves once the
// patience has ended. A stream that leaves as late as that is possible needs no more.
func (c stopCase) mustGoOn() bool {
	start := prefillStart
	if c.copies && c.free == "b" {
		start = copyStart
	}
	continues := c.free != "" && c.at+patience+decisionTime+start < stopLength
	resumes := !c.state.isGone() && c.length != forGood && c.length < maxRoomWait && c.at+c.length+2*eventGap < stopLength
	return continues || resumes
}

// stopTargets are the targets of a stopCase.
type stopTargets struct {
	*fakeTargetClient
	c       stopCase
	signal  time.Time
	resumed chan struct{} // closed at the end of the stall

	mu       sync.Mutex
	runs     map[string]func() // that have begun, by target; each ends the run
	events   map[string]int    // of these runs
	working  int               // targets that work on the stream
	together time.Time         // since when two do
	longest  time.Duration     // for which two did
	lastMade time.Time         // when the latest event was made
	trace    []string
}

func (s *stopTargets) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trace = append(s.trace, fmt.Sprintf("%7.3f s ", time.Since(s.signal).Seconds())+fmt.Sprintf(format, args...))
}

// addWork records that targets begin or end to work on the stream.
func (s *stopTargets) addWork(targets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.working >= 2 {
		s.longest = max(s.longest, time.Since(s.together))
	}
	if s.working += targets; targets > 0 && s.working == 2 {
		s.together = time.Now()
	}
}

// stalled reports whether a target makes no events.
func (s *stopTargets) stalled(id string) bool {
	select {
	case <-s.resumed:
		return false
	default:
		return id == "a" && !time.Now().Before(s.signal.Add(s.c.at))
	}
}

// awaitContact waits while a target is silent. It fails if ctx ends first, or no process listens.
func (s *stopTargets) awaitContact(ctx context.Context, id string) error {
	switch {
	case s.c.state.isGone() && id == "a" && !time.Now().Before(s.signal.Add(s.c.at)):
		return errors.WithStack(ErrNotListening)
	case s.c.state.isSilent() && s.stalled(id):
		select {
		case <-s.resumed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (s *stopTargets) Connect(ctx context.Context, t fleet.Target) error {
	if s.c.state == silentListens {
		return nil
	}
	return s.awaitContact(ctx, t.ID)
}

func (s *stopTargets) Report(ctx context.Context, t fleet.Target) (Report, error) {
	if err := s.awaitContact(ctx, t.ID); err != nil {
		return Report{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{Running: make(map[string]RunStatus)}
	switch {
	case t.ID != "a" && t.ID != s.c.free:
		r.Queued = 1
		for i := range t.Slots {
			r.Running[fmt.Sprint("other", i)] = RunStatus{Events: 100}
		}
	case s.stalled(t.ID):
		r.Queued = 1 // a run that was preempted is in the queue
	case s.runs[t.ID] != nil:
		r.Running["r1"] = RunStatus{Events: s.events[t.ID]}
	}
	return r, nil
}

func (s *stopTargets) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	if err := s.awaitContact(ctx, source.ID); err != nil {
		return Copy{}, fleet.Target{}, err
	}
	s.mu.Lock()
	end := s.runs[source.ID]
	s.mu.Unlock()
	if end == nil {
		return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
	}
	s.record("moved from %s", source.ID)
	end()
	c, err := s.Copy(ctx, source, id, destination)
	return c, destination, err
}

// answer is the behaviour of all targets.
func (s *stopTargets) answer(ctx context.Context, a Attempt, _ *fakeTargetClient) (*Answer, error) {
	s.record("sent to %s after event %q, copy %q", a.Target.ID, a.LastEventID, a.Resume.Name)
	switch err := s.awaitContact(ctx, a.Target.ID); {
	case errors.Is(err, ErrNotListening):
		return nil, errors.WithStack(ErrNotSent)
	case err != nil:
		return nil, errors.WithStack(ErrNoAnswer)
	}
	r, w := io.Pipe()
	context.AfterFunc(ctx, func() {
		s.record("connection to %s closed", a.Target.ID)
		_ = w.CloseWithError(ctx.Err())
	})
	if a.Target.ID == "a" || a.Target.ID == s.c.free {
		go s.run(ctx, a, w)
	}
	return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
}

// run makes the events of an attempt until it is moved, or the target notices that the connection
// was closed.
func (s *stopTargets) run(connection context.Context, a Attempt, w *io.PipeWriter) {
	id := a.Target.ID
	ctx, end := context.WithCancel(context.Background())
	defer end()
	context.AfterFunc(connection, func() {
		if s.c.state.isSilent() && s.stalled(id) {
			<-s.resumed
		}
		time.Sleep(noticeDelay)
		end()
	})
	defer func() {
		s.mu.Lock()
		delete(s.runs, id)
		s.mu.Unlock()
	}()
	s.addWork(1)
	defer s.addWork(-1)
	wait := prefillStart
	if a.Resume != (Copy{}) {
		wait = copyStart
	}
	for next := a.nextEvent(); ; next++ {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		wait = eventGap
		if s.stalled(id) && s.c.state.isGone() {
			if s.c.state == goneBroken {
				_ = w.CloseWithError(io.ErrUnexpectedEOF)
			}
			return
		}
		if s.stalled(id) {
			s.addWork(-1)
			select {
			case <-s.resumed:
			case <-ctx.Done():
			}
			s.addWork(1)
		}
		if ctx.Err() != nil {
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		}
		_, err := fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
		s.mu.Lock()
		s.runs[id] = end
		if s.events[id]++; err == nil && connection.Err() == nil {
			s.lastMade = time.Now()
		}
		s.mu.Unlock()
	}
}

// signalAt plans a stop of the daemon.
func (s *fixture) signalAt(signal time.Time) {
	s.StopsAt = func() time.Time {
		if time.Now().Before(signal) {
			return time.Time{}
		}
		return signal.Add(stopLength)
	}
}

// serve serves the stream of the case until the end of the stop. change, which may be nil, changes
// the targets before.
func (c stopCase) serve(t *testing.T, change func(*fixture, *stopTargets)) (*stopTargets, *fakeResponder) {
	t.Helper()
	signal := time.Now().Add(beforeSignal)
	targets := &stopTargets{c: c, signal: signal, resumed: make(chan struct{}), runs: make(map[string]func()), events: make(map[string]int)}
	s := newFixture(map[string]behaviour{"a": targets.answer, "b": targets.answer})
	targets.fakeTargetClient, s.client.behaviours["c"] = s.client, targets.answer
	s.TargetClient, s.Prober = targets, NewProber(targets, s.Fleet, s.Events)
	s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 50_000, StandbyCopies: c.copies} }
	s.signalAt(signal)
	s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 8}}) // so that the stream begins at a
	time.AfterFunc(beforeSignal/2, func() {
		switch c.free {
		case "b":
			s.Fleet.SetPeerLoads("vm-2", nil)
		case "c":
			s.Fleet.Put(fleet.Target{ID: "c", Service: "svc", Address: "c:1", Place: "place-c", Slots: 8})
		}
	})
	if change != nil {
		change(s, targets)
	}
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
	time.Sleep(fleet.SuspectDuration) // for the last probes
	synctest.Wait()
	if first := s.client.attempt(0).Target.ID; first != "a" {
		t.Fatalf("the stream began at %s, want a", first)
	}
	return targets, got
}

// TestStopCutsNoStreamThatCanGoOn guards against streams that are cut at the end of a stop with no
// target at work on them, although another target could have continued them in time.
func TestStopCutsNoStreamThatCanGoOn(t *testing.T) {
	var cases []stopCase
	for _, state := range []targetState{waits, silentListens, silentDark, gone, goneBroken} {
		for _, copies := range []bool{true, false} {
			for _, free := range []string{"", "b", "c"} {
				for _, at := range []time.Duration{-1000, -300, 0, 500, 1000, 2000, 3000, 4000, 4500, 5000, 5500, 6000, 6250, 6500, 7000, 7500} {
					for _, length := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 7 * time.Second, forGood} {
						if !state.isGone() || length == forGood {
							cases = append(cases, stopCase{at * time.Millisecond, length, state, copies, free})
						}
					}
				}
			}
		}
	}
	for _, c := range cases {
		t.Run(c.String(), inBubble(func(t *testing.T) {
			targets, got := c.serve(t, nil)
			made := targets.lastMade.Sub(targets.signal)
			if c.mustGoOn() && !got.ended && made <= lastSixth {
				t.Errorf("the stream was cut, its last event was made %v after the signal, want later than %v", made, lastSixth)
			}
			for i, e := range got.events {
				if e != fmt.Sprintf("id: %d\ndata: %d\n\n", i, i) {
					t.Errorf("the caller got %q as event %d", e, i)
					break
				}
			}
			if targets.longest > maxTogether {
				t.Errorf("two targets worked on the stream for %v, want at most %v", targets.longest, maxTogether)
			}
			if t.Failed() {
				t.Log("\n" + strings.Join(targets.trace, "\n"))
			}
		}))
	}
}
