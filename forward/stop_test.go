package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/recent"
)

// queued answers like streaming after the request was in the queue of its target, for so
// long. The head of the answer is sent at once.
func queued(wait time.Duration, last int) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				_ = w.CloseWithError(ctx.Err())
				return
			}
			for next := a.nextEvent(); next <= last; next++ {
				time.Sleep(eventGap)
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
			}
			_ = w.Close()
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
}

// serveUntilStop serves one stream while the daemon stops, beginning with the request and
// ending after left.
func (s *fixture) serveUntilStop(left time.Duration) *fakeResponder {
	stopsAt := time.Now().Add(left)
	s.StopsAt = func() time.Time { return stopsAt }
	ctx, cancel := context.WithCancelCause(context.Background())
	defer time.AfterFunc(left, func() { cancel(ErrStopping) }).Stop()
	return s.serveFor(ctx, streamRoute)
}

// TestStoppingDaemonKeepsSilentStreams guards against streams that a stopping daemon takes
// from a silent target, and cuts while another one has them in its queue.
func TestStoppingDaemonKeepsSilentStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newFixtureWithBroken(queued(10*time.Second, 50), pausable(50, eventGap))
		go func() {
			time.Sleep(20*eventGap + eventGap/2)
			s.client.pauseFor(silence, first)
		}()
		got := s.serveUntilStop(7 * time.Second)
		synctest.Wait()
		expectAll(t, s, got)
	})
}

// TestStoppingDaemonContinuesLostStreams guards against streams that are cut at the end of
// a stop because they stay at a target that runs them no more.
func TestStoppingDaemonContinuesLostStreams(t *testing.T) {
	forGood := func(s *fixture, id string) { s.client.pause(id) }
	for name, c := range map[string]struct {
		broken behaviour
		lose   func(s *fixture, id string)
	}{
		"the target has terminated": {pausable(50, eventGap), func(s *fixture, id string) {
			forGood(s, id)
			s.Fleet.MarkTerminated(time.Now(), s.client.attempt(0).Target)
		}},
		"the connection broke":          {streaming(50, 20, eventGap, io.ErrUnexpectedEOF), func(*fixture, string) {}},
		"the target is silent for long": {pausable(50, eventGap), forGood},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), c.broken)
			go func() {
				time.Sleep(20*eventGap + eventGap/2)
				c.lose(s, first)
			}()
			got := s.serveUntilStop(9 * time.Second)
			s.client.resume(first)
			synctest.Wait()
			expectAll(t, s, got)
		}))
	}
}

// TestStoppingDaemonStartsNoLateRuns guards against streams that a stopping daemon sends to
// another target so late that no event is expected before its end.
func TestStoppingDaemonStartsNoLateRuns(t *testing.T) {
	for _, copies := range []bool{false, true} {
		t.Run(fmt.Sprint("copies ", copies), inBubble(func(t *testing.T) {
			s, first := newFixtureWithBroken(queued(streamRoute.LatencyObjective, 50), pausable(50, eventGap))
			s.Model = func(string) *ingress.Model { return &ingress.Model{StandbyCopies: copies} }
			for range recent.MaxSamples { // of other streams
				s.starts.Record(startKind("svc", copies), streamRoute.LatencyObjective)
			}
			go func() {
				time.Sleep(20*eventGap + eventGap/2)
				s.client.pause(first)
			}()
			_ = s.serveUntilStop(5 * time.Second)
			s.client.resume(first)
			synctest.Wait()
			if sent := s.client.attempts(); len(sent) > 1 {
				t.Errorf("sent to %v, want the first target only", sent)
			}
		}))
	}
}
