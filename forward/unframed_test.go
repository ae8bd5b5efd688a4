package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// unframed answers like b, without a frame: a connection that ends looks like the end of
// the answer.
func unframed(b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		answer, err := b(ctx, a, s)
		if err == nil {
			answer.Framed, answer.Body = false, plainEnd{answer.Body}
		}
		return answer, err
	}
}

// plainEnd is a body that ends like a complete one if its run is stopped.
type plainEnd struct{ io.ReadCloser }

// Read implements io.Reader.
func (b plainEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	return n, err
}

// end ends the processes of targets.
func (s *fakeTargetClient) end(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.ended[id] = true
	}
}

// cutting answers without a frame, and ends like a complete answer before the event cutAt.
func cutting(cutAt int) behaviour { return unframed(streaming(cutAt-1, -1, eventGap, nil)) }

// TestUnframedStreamWithoutEvents guards against an answer that looks complete without any
// event, because the connection of an answer without a frame ended before the first one.
func TestUnframedStreamWithoutEvents(t *testing.T) {
	inBubble(func(t *testing.T) {
		s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), cutting(0))
		expectAll(t, s, s.serve(t, streamRoute))
		if crashed := s.crashTracker.crashed; len(crashed) != 1 || crashed[0] != first {
			t.Errorf("crashes %v, want one of the first target", crashed)
		}
	})(t)
}

// cutAtEnd answers like cutting, and ends the target's process at that moment.
func cutAtEnd(cutAt int) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		time.AfterFunc(time.Duration(cutAt-a.nextEvent())*eventGap-time.Millisecond, func() { s.end(a.Target.ID) })
		return cutting(cutAt)(ctx, a, s)
	}
}

// TestUnframedStreamOfAnEndedTarget guards against a stream that looks complete although
// its target's process ended between two events, and against a crash that counts as a
// completion.
func TestUnframedStreamOfAnEndedTarget(t *testing.T) {
	for name, change := range map[string]func(s *fixture, first string){
		"it is registered":  func(*fixture, string) {},
		"it has no entry":   func(s *fixture, first string) { s.Fleet.Remove(time.Now(), first, false) },
		"it is leaving":     func(s *fixture, first string) { s.Fleet.Put(s.leaving(first)) },
		"it was superseded": func(s *fixture, first string) { s.Fleet.Put(s.successor(first)) },
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), cutAtEnd(20))
			time.AfterFunc(10*eventGap, func() { change(s, first) })
			expectAll(t, s, s.serve(t, streamRoute))
			if crashed := s.crashTracker.crashed; len(crashed) != 1 || crashed[0] != first {
				t.Errorf("crashes %v, want one of the first target", crashed)
			}
		}))
	}
	t.Run("it can't be resumed", inBubble(func(t *testing.T) {
		s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), cutAtEnd(20))
		route := streamRoute
		route.Resumable = false
		if got := s.serve(t, route); got.ended || !got.aborted {
			t.Errorf("ended %v, aborted %v, want it cut", got.ended, got.aborted)
		}
		if n := s.crashTracker.completions.Load(); n != 0 {
			t.Errorf("%d completions, want none", n)
		}
	}))
}

// TestUnframedStreamOfASilentTarget guards against a complete stream that is cut because
// its target is silent after its end, and no other target takes it.
func TestUnframedStreamOfASilentTarget(t *testing.T) {
	for name, other := range map[string]behaviour{"others refuse": answering(http.StatusServiceUnavailable, true), "others are ready": streaming(50, -1, eventGap, nil)} {
		t.Run(name, inBubble(func(t *testing.T) {
			s, first := newFixtureWithBroken(other, cutting(51))
			time.AfterFunc(51*eventGap-time.Millisecond, func() { s.client.pauseFor(silence, first) })
			expectAll(t, s, s.serve(t, streamRoute))
		}))
	}
	t.Run("no attempt is left", inBubble(func(t *testing.T) {
		s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), cutting(51))
		time.AfterFunc(51*eventGap-time.Millisecond, func() { s.client.pauseFor(silence, first) })
		route := streamRoute
		route.MaxAttempts = 1
		expectAll(t, s, s.serve(t, route))
	}))
}

// TestUnframedStreamOfASoundTarget guards against complete streams that are sent again.
func TestUnframedStreamOfASoundTarget(t *testing.T) {
	inBubble(func(t *testing.T) {
		s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), cutting(51))
		start := time.Now()
		expectAll(t, s, s.serve(t, streamRoute))
		if got, limit := time.Since(start), 51*eventGap+2*placementInterval; len(s.client.attempts()) != 1 || got > limit {
			t.Errorf("sent to %v in %v, want the target %s alone and at most %v", s.client.attempts(), got, first, limit)
		}
		if n := s.crashTracker.completions.Load(); n != 1 {
			t.Errorf("%d completions, want one", n)
		}
	})(t)
}

// entry returns the entry of a target.
func (s *fixture) entry(id string) fleet.Target { return s.Fleet.Incarnation(id).Target }

// leaving returns the entry of a target that leaves.
func (s *fixture) leaving(id string) fleet.Target {
	t := s.entry(id)
	t.Leaving = true
	return t
}

// successor returns the entry of another target at the address of one.
func (s *fixture) successor(id string) fleet.Target {
	t := s.entry(id)
	t.ID, t.StartMillis = id+"-next", t.StartMillis+1
	s.client.behaviours[t.ID] = s.client.behaviours[id]
	return t
}

// TestUnframedStreamAtItsTimeLimit guards against a stream that looks complete although its
// target stopped work at the time limit that it was given, in whole milliseconds.
func TestUnframedStreamAtItsTimeLimit(t *testing.T) {
	inBubble(func(t *testing.T) {
		limited := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			r, w := io.Pipe()
			answer, err := unframed(streaming(1000, -1, eventGap, nil))(ctx, a, s)
			body := answer.Body
			go func() { _, _ = io.Copy(w, body) }()
			time.AfterFunc(a.TimeLeft.Truncate(time.Millisecond), func() { _ = w.Close() })
			answer.Body = r
			return answer, err
		}
		s := newFixture(map[string]behaviour{"a": limited, "b": limited})
		route := streamRoute
		route.Timeout = 2*time.Second + 300*time.Microsecond
		if got := s.serve(t, route); got.ended || !got.aborted {
			t.Errorf("ended %v, aborted %v after %d of 1001 events, want it cut", got.ended, got.aborted, len(got.events))
		}
	})(t)
}

// TestUnframedStreamOfALateMove guards against a stream that looks complete because a move
// that timed out is carried out later, when the stream has returned to its target.
func TestUnframedStreamOfALateMove(t *testing.T) {
	inBubble(func(t *testing.T) {
		serveWithLateMove(t, unframed(mutePausable(50, eventGap, 20, silence)))
	})(t)
}

// serveWithLateMove serves a stream whose target is silent just before its run is to be
// moved, and carries that out later. The other targets refuse the stream.
func serveWithLateMove(t *testing.T, b behaviour) {
	t.Helper()
	s, first := newFixtureWithBroken(answering(http.StatusServiceUnavailable, true), b)
	s.TargetClient = lateMover{s.client}
	go func() {
		time.Sleep(19*eventGap + time.Duration(abandonShare*float64(streamRoute.MaxEventGap)))
		s.client.pauseFor(silence, first)
	}()
	got := s.serve(t, streamRoute)
	time.Sleep(2 * silence)
	synctest.Wait()
	expectAll(t, s, got)
}

// TestUnframedStreamAfterALateMove guards against a complete stream that is cut, after a
// late move has broken its first return, because its end is in doubt and it may not return
// a third time.
func TestUnframedStreamAfterALateMove(t *testing.T) {
	inBubble(func(t *testing.T) {
		b, runs := mutePausable(50, eventGap, 20, silence), 0
		serveWithLateMove(t, func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			if runs++; runs < 3 {
				return b(ctx, a, s)
			}
			return unframed(b)(ctx, a, s)
		})
	})(t)
}

// TestUnframedStreamIsNotMovedInVain guards against a complete stream that is sent to
// another target because a move was requested just before its end.
func TestUnframedStreamIsNotMovedInVain(t *testing.T) {
	inBubble(func(t *testing.T) {
		s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), unframed(mutePausable(50, eventGap, 50, 500*time.Millisecond)))
		s.TargetClient = slowMover{s.client}
		got := s.serve(t, streamRoute)
		time.Sleep(2 * silence)
		synctest.Wait()
		expectAll(t, s, got)
		if attempts := s.client.attempts(); len(attempts) != 1 || s.client.moves != 1 {
			t.Errorf("sent to %v with %d moves, want one target and one move", attempts, s.client.moves)
		}
	})(t)
}

// slowMover reads the request for a move after the run has ended.
type slowMover struct{ *fakeTargetClient }

func (s slowMover) Move(ctx context.Context, source fleet.Target, _ string, _ fleet.Target) (Copy, fleet.Target, error) {
	s.mu.Lock()
	s.moves++
	s.mu.Unlock()
	time.Sleep(moveTimeout / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[source.ID] > 0 {
		return Copy{}, fleet.Target{}, errors.New("the run goes on")
	}
	return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
}

// slowReporter answers probes late, with what it knew when it received them.
type slowReporter struct {
	*fakeTargetClient
	delay time.Duration
}

func (s slowReporter) Report(ctx context.Context, t fleet.Target) (Report, error) {
	r, err := s.fakeTargetClient.Report(ctx, t)
	time.Sleep(s.delay)
	return r, err
}

// TestUnframedStreamAndAnOldProbe guards against a stream that looks complete because its
// target answered a probe just before its process ended.
func TestUnframedStreamAndAnOldProbe(t *testing.T) {
	const pause = gapProbeInterval + 20*time.Millisecond // a probe is sent within it
	ending := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		answer, err := cutting(20)(ctx, a, s)
		body := answer.Body
		go func() {
			_, _ = io.Copy(w, body)
			time.Sleep(pause)
			s.end(a.Target.ID)
			_ = w.Close()
		}()
		answer.Body = r
		return answer, err
	}
	for name, delay := range map[string]time.Duration{"answered before the end": 0, "under way at the end": 100 * time.Millisecond} {
		t.Run(name, inBubble(func(t *testing.T) {
			s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), ending)
			s.TargetClient = slowReporter{s.client, delay}
			s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
			expectAll(t, s, s.serve(t, streamRoute))
			time.Sleep(time.Second) // the last probes
		}))
	}
}
