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

// lateStarter is a client whose targets know a run only once it has begun, and until then have
// it in their queue, if queued is set.
type lateStarter struct {
	*fakeTargetClient
	beginsAt time.Time
	queued   bool
}

func (s lateStarter) Move(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, fleet.Target, error) {
	if time.Now().Before(s.beginsAt) {
		return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
	}
	return s.fakeTargetClient.Move(ctx, source, id, destination)
}

func (s lateStarter) Report(context.Context, fleet.Target) (Report, error) {
	r := Report{Running: make(map[string]RunStatus)}
	if s.queued && time.Now().Before(s.beginsAt) {
		r.Queued = 1
	}
	return r, nil
}

// TestLeftRunThatBeginsLaterIsStopped guards against two targets at work on a request that was
// left at one of them in its queue, or while its prompt was read.
func TestLeftRunThatBeginsLaterIsStopped(t *testing.T) {
	for _, c := range []struct {
		beginsAfter time.Duration
		queued      bool
	}{{300 * time.Millisecond, false}, {2 * time.Second, false}, {300 * time.Millisecond, true}, {9 * time.Second, true}} {
		t.Run(fmt.Sprintf("%+v", c), inBubble(func(t *testing.T) {
			var work workLog
			beginsAt := time.Now().Add(c.beginsAfter)
			late := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
				go func() { // the run goes on without a connection
					time.Sleep(time.Until(beginsAt))
					answer, _ := work.goingOn(150, eventGap, -1, nil)(context.Background(), a, s)
					_, _ = io.Copy(io.Discard, answer.Body)
				}()
				return nil, errors.WithStack(ErrNoAnswer)
			}
			s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), late)
			s.TargetClient = lateStarter{s.client, beginsAt, c.queued}
			s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
			if got := s.serve(t, streamRoute); !got.receivedAll(50) {
				t.Errorf("the caller got %d events (want 51), error %v", len(got.events), got.err)
			}
			time.Sleep(15 * time.Second)
			synctest.Wait()
			for _, r := range work.runs {
				if worked := r.ended.Sub(r.began); worked > maxOverlap {
					t.Errorf("the run that was left worked for %v, want at most %v", worked, maxOverlap)
				}
			}
		}))
	}
}
