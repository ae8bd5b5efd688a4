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
)

// maxOverlap is how long a target may still work on a request that another one continues.
const maxOverlap = 400 * time.Millisecond

// goingRun is a run at a target that doesn't drop it when its connection closes.
type goingRun struct {
	target       string
	began, ended time.Time
}

// workLog records the runs of one request, in the order in which they began.
type workLog struct {
	mu   sync.Mutex
	runs []*goingRun
}

// goingOn answers like pausable, but goes on with a run whose connection has closed, until it
// is moved. At event breakAt of the first run the connection breaks with breakErr, or the
// stream leaves out an event if that is nil.
func (l *workLog) goingOn(last int, gap time.Duration, breakAt int, breakErr error) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
		if !s.awaitResume(ctx, a.Target.ID) {
			return nil, errors.WithStack(ErrNoAnswer)
		}
		stopped, run := make(chan struct{}), &goingRun{target: a.Target.ID, began: time.Now()}
		s.mu.Lock()
		s.cancelRun[a.Target.ID] = sync.OnceFunc(func() { close(stopped) })
		s.mu.Unlock()
		l.mu.Lock()
		l.runs = append(l.runs, run)
		isFirst := len(l.runs) == 1
		l.mu.Unlock()
		go func() {
			defer func() {
				l.mu.Lock()
				defer l.mu.Unlock()
				run.ended = time.Now()
				_ = w.Close()
			}()
			for next := a.nextEvent(); next <= last; next++ {
				select {
				case <-time.After(gap):
				case <-stopped:
					return
				}
				s.awaitResume(context.Background(), a.Target.ID)
				if isFirst && next == breakAt {
					if breakErr != nil {
						_ = w.CloseWithError(breakErr)
					}
					continue
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: %d\n\n", next, next)
			}
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
}

// overlap returns the longest time for which a target worked on after the next run had begun
// and the target went on.
func (l *workLog) overlap(goesOnAt time.Time) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, r := range l.runs[:max(0, len(l.runs)-1)] {
		from := l.runs[i+1].began
		if goesOnAt.After(from) {
			from = goesOnAt
		}
		longest = max(longest, r.ended.Sub(from))
	}
	return longest
}

// lostMoves loses the answers to the first moves, and carries none of them out.
type lostMoves struct {
	*fakeTargetClient
	mu   sync.Mutex
	left int
}

func (s *lostMoves) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	s.mu.Lock()
	s.left--
	lost := s.left >= 0
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
		return Copy{}, fleet.Target{}, ctx.Err()
	}
	return s.fakeTargetClient.Move(ctx, source, id, destination)
}

// TestLeftRunIsStopped guards against requests on which two targets work: a run was left at a
// target that does not drop it when its connection closes, and nothing stopped it (review/2).
func TestLeftRunIsStopped(t *testing.T) {
	cases := []struct {
		name     string
		silence  time.Duration
		breakAt  int
		breakErr error
		lost     int // moves
	}{
		{name: "silent for 0.5 s", silence: 500 * time.Millisecond, breakAt: -1},
		{name: "silent for 1 s", silence: time.Second, breakAt: -1},
		{name: "silent for 1.7 s", silence: 1700 * time.Millisecond, breakAt: -1},
		{name: "silent for 3.3 s", silence: 3300 * time.Millisecond, breakAt: -1},
		{name: "its connection breaks", breakAt: 20, breakErr: io.ErrUnexpectedEOF},
		{name: "its connection breaks before an event", breakAt: 0, breakErr: io.ErrUnexpectedEOF},
		{name: "an event is missing", breakAt: 20},
		{name: "silent for 1.7 s, and a move is lost", silence: 1700 * time.Millisecond, breakAt: -1, lost: 1},
	}
	for _, c := range cases {
		t.Run(c.name, inBubble(func(t *testing.T) {
			var work workLog
			targets := make(map[string]behaviour)
			for _, id := range []string{"a", "b", "c"} {
				targets[id] = work.goingOn(150, eventGap, c.breakAt, c.breakErr)
			}
			s := newFixture(targets)
			s.TargetClient = &lostMoves{fakeTargetClient: s.client, left: c.lost}
			var goesOnAt time.Time
			if c.silence > 0 {
				time.AfterFunc(20*eventGap+eventGap/2, func() {
					goesOnAt = time.Now().Add(c.silence)
					s.client.pauseFor(c.silence, s.client.attempt(0).Target.ID)
				})
			}
			got := s.serve(t, streamRoute)
			time.Sleep(10 * time.Second) // the end of all runs
			synctest.Wait()
			if !got.receivedAll(150) {
				t.Errorf("the caller got %d events (want 151), error %v; sent to %v", len(got.events), got.err, s.client.attempts())
			}
			if len(work.runs) < 2 {
				t.Fatalf("%d runs, want at least 2", len(work.runs))
			}
			if both := work.overlap(goesOnAt); both > maxOverlap {
				t.Errorf("two targets worked on the request for %v, want at most %v", both, maxOverlap)
			}
		}))
	}
}

// maxWorkForNobody is how long a target may still work on a request whose caller has left.
const maxWorkForNobody = 500 * time.Millisecond

// TestRunOfALeftCallerIsStopped guards against work for callers who have left, at targets that
// do not drop a run when its connection closes.
func TestRunOfALeftCallerIsStopped(t *testing.T) {
	for _, after := range []time.Duration{eventGap, 20 * eventGap} {
		t.Run(fmt.Sprint("after ", after), inBubble(func(t *testing.T) {
			var work workLog
			b := work.goingOn(150, eventGap, -1, nil)
			s := newFixture(map[string]behaviour{"a": b, "b": b})
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(after+placementInterval, cancel)
			s.serveFor(ctx, streamRoute)
			leftAt := time.Now()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			for _, r := range work.runs {
				if worked := r.ended.Sub(leftAt); worked > maxWorkForNobody {
					t.Errorf("%s worked for %v after the caller had left, want at most %v", r.target, worked, maxWorkForNobody)
				}
			}
		}))
	}
}
