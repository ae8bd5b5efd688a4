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

	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// impatientWriter is the end of an answer at a target that cuts the answer off if a write
// is not read within unreadLimit.
type impatientWriter struct {
	w   *io.PipeWriter
	cut *bool
}

const unreadLimit = 2 * time.Second

// Write implements io.Writer.
func (i impatientWriter) Write(b []byte) (int, error) {
	timer := time.AfterFunc(unreadLimit, func() {
		*i.cut = true
		_ = i.w.CloseWithError(io.ErrUnexpectedEOF)
	})
	defer timer.Stop()
	return i.w.Write(b)
}

// impatient answers with parts, one per gap, and sets cut if it cuts the answer off.
func impatient(gap time.Duration, framed bool, cut *bool, part func(i int) string, parts int) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		s.startRun(a.Target.ID)
		go func() {
			defer s.endRun(a.Target.ID)
			defer func() { _ = w.Close() }()
			for i := a.nextEvent(); i < parts && ctx.Err() == nil; i++ {
				time.Sleep(gap)
				if _, err := io.WriteString(impatientWriter{w, cut}, part(i)); err != nil {
					return
				}
			}
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: framed, Header: http.Header{}, Body: r}, nil
	}
}

func numberedEvent(i int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", i, i) }

// sleepyResponder is a caller that reads nothing for a while, at the head of an answer and at
// event 100.
type sleepyResponder struct {
	fakeResponder
	pause time.Duration
}

// Event implements Responder.
func (r *sleepyResponder) Event(raw []byte) error {
	if n := len(r.events); n == 0 || n == 100 {
		time.Sleep(r.pause)
	}
	return r.fakeResponder.Event(raw)
}

// Answer implements Responder.
func (r *sleepyResponder) Answer(status int, h http.Header, body []byte) {
	time.Sleep(r.pause)
	r.fakeResponder.Answer(status, h, body)
}

// TestSlowReadersGetWholeStreams guards against targets that cut a stream off because its
// caller reads nothing for some seconds, and against reading ahead where it isn't asked for.
func TestSlowReadersGetWholeStreams(t *testing.T) {
	for _, ahead := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const last = 1000
			cut := false
			s := newFixture(map[string]behaviour{"a": impatient(5*time.Millisecond, true, &cut, numberedEvent, last+1)})
			s.ReadAhead = ahead
			route := streamRoute
			route.Resumable = false
			caller := &sleepyResponder{pause: 5 * time.Second}
			s.Serve(context.Background(), newTestRequest(&route), caller)
			s.awaitStops()
			synctest.Wait()
			if cut == ahead || caller.receivedAll(last) != ahead {
				t.Errorf("reading ahead %t: the target cut the stream off: %t; the caller got %d events of %d, ended %t", ahead, cut, len(caller.events), last+1, caller.ended)
			}
			if used := s.Buffers.Used(); used != 0 {
				t.Errorf("reading ahead %t: %d bytes count after the end, want none", ahead, used)
			}
		})
	}
}

// newTestRequest returns a request for a route of the service svc.
func newTestRequest(route *ingress.Route) *Request {
	now := time.Now()
	return &Request{ID: "r1", Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: route, Service: "svc", Header: http.Header{}}
}

// TestSlowReadersGetWholeAnswers guards against targets that cut a plain answer off because
// its caller reads nothing for some seconds.
func TestSlowReadersGetWholeAnswers(t *testing.T) {
	for _, framed := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const parts = 100
			cut, part := false, strings.Repeat("a", 10_000)
			s := newFixture(map[string]behaviour{"a": impatient(time.Millisecond, framed, &cut, func(int) string { return part }, parts)})
			s.client.reportedRuns = map[string]RunStatus{}
			route := callRoute
			caller := &sleepyResponder{pause: 5 * time.Second}
			s.Serve(context.Background(), newTestRequest(&route), caller)
			synctest.Wait()
			if cut || string(caller.body) != strings.Repeat(part, parts) {
				t.Errorf("with a length %t: the target cut the answer off: %t; the caller got %d bytes, error %v", framed, cut, len(caller.body), caller.err)
			}
		})
	}
}

// slowHolder is a caller that has stalled for some time.
type slowHolder struct {
	stalled time.Duration
	evicted func()
}

// StalledFor implements membudget.Holder.
func (h *slowHolder) StalledFor(time.Time) time.Duration { return h.stalled }

// Evict implements membudget.Holder.
func (h *slowHolder) Evict() { h.evicted() }

// TestUsedUpBudgetCutsTheStalledStream guards against a stream that loses its answer while
// its caller makes progress, and against a queue beyond the budget.
func TestUsedUpBudgetCutsTheStalledStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const last, limit = 2000, 128 << 10
		event := func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", i, strings.Repeat("a", 1000)) }
		cut := false
		s := newFixture(map[string]behaviour{"a": impatient(2*time.Millisecond, true, &cut, event, last+1)})
		s.ReadAhead, s.Buffers = true, membudget.New(limit)
		route := streamRoute
		route.Resumable = false
		var wg sync.WaitGroup
		evicted := make(chan struct{})
		stalled := &blockedResponder{until: evicted}
		wg.Go(func() {
			req := newTestRequest(&route)
			req.Caller = &slowHolder{stalled: time.Second, evicted: sync.OnceFunc(func() { close(evicted) })}
			s.Serve(context.Background(), req, stalled)
		})
		time.Sleep(time.Second) // the queue of the stalled stream uses up its part
		if used := s.Buffers.Used(); used > limit || used < limit/4 {
			t.Errorf("%d bytes count while a caller stalls, want %d to %d", used, limit/4, limit)
		}
		select {
		case <-evicted:
			t.Error("the stalled stream was cut although nobody else needs its memory")
		default:
		}
		slow := &steadyResponder{pause: 4 * time.Millisecond}
		wg.Go(func() {
			req := newTestRequest(&route)
			req.ID, req.Caller = "r2", &slowHolder{evicted: func() { t.Error("a caller that makes progress was cut") }}
			s.Serve(context.Background(), req, slow)
		})
		wg.Wait()
		s.awaitStops()
		select {
		case <-evicted:
		default:
			t.Error("the stalled stream keeps its memory")
		}
		if !slow.ended || len(slow.events) != last+1 {
			t.Errorf("the slow caller got %d of %d events, ended %t", len(slow.events), last+1, slow.ended)
		}
	})
}

// blockedResponder is a caller that reads nothing until its connection is closed.
type blockedResponder struct {
	fakeResponder
	until chan struct{}
}

// Event implements Responder.
func (r *blockedResponder) Event([]byte) error {
	<-r.until
	return io.ErrClosedPipe
}

// steadyResponder is a caller that takes some time for each event.
type steadyResponder struct {
	fakeResponder
	pause time.Duration
}

// Event implements Responder.
func (r *steadyResponder) Event(raw []byte) error {
	time.Sleep(r.pause)
	return r.fakeResponder.Event(raw)
}
