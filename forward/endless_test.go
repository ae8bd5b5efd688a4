package forward

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// endlessBody repeats text until it is closed or ctx ends: as fast as it is read if gap is
// 0, otherwise text by text, one per gap.
type endlessBody struct {
	ctx    context.Context
	cancel context.CancelFunc
	text   string
	gap    time.Duration
	bytes  *byteCount
	rest   string

	// Guarded by bytes.mu.
	held   int64
	closed bool
}

// byteCount counts the bytes that are read of all bodies of a test.
type byteCount struct {
	mu   sync.Mutex
	read int64 // of all bodies
	held int64 // of the bodies that are open
	peak int64 // largest value of held
}

// add counts n bytes that were read of a body.
func (c *byteCount) add(b *endlessBody, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += n
	if !b.closed {
		b.held += n
		c.held += n
		c.peak = max(c.peak, c.held)
	}
}

// close counts a body as closed.
func (c *byteCount) close(b *endlessBody) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held -= b.held
	b.held, b.closed = 0, true
}

func newEndlessBody(ctx context.Context, text string, gap time.Duration, bytes *byteCount) *endlessBody {
	ctx, cancel := context.WithCancel(ctx)
	return &endlessBody{ctx: ctx, cancel: cancel, text: text, gap: gap, bytes: bytes}
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.gap > 0 && b.rest == "" {
		select {
		case <-time.After(b.gap):
		case <-b.ctx.Done():
		}
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n := 0
	for n < len(p) {
		if b.rest == "" {
			if b.gap > 0 && n > 0 {
				break
			}
			b.rest = b.text
		}
		copied := copy(p[n:], b.rest)
		n, b.rest = n+copied, b.rest[copied:]
	}
	b.bytes.add(b, int64(n))
	return n, nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.cancel()
	b.bytes.close(b)
	return nil
}

// endless answers with a head like that of answer, and a body without an end. It counts
// the bytes that are read of all its bodies.
func endless(answer Answer, text string, gap time.Duration, bytes *byteCount) behaviour {
	return func(ctx context.Context, _ Attempt, _ *fakeTargetClient) (*Answer, error) {
		a := answer
		a.Header = http.Header{}
		a.Body = newEndlessBody(ctx, text, gap, bytes)
		return &a, nil
	}
}

// newFixtureWithFirst returns a fixture of two targets, the first of which is picked first.
func newFixtureWithFirst(first, second behaviour) *fixture {
	s := newFixture(map[string]behaviour{"a": first, "b": second})
	s.Fleet.Begin(time.Now(), "b", fleet.Demand{})
	return s
}

// TestRefusalsWithoutEnd guards against calls that count as run because the body of the
// refusal has no end.
func TestRefusalsWithoutEnd(t *testing.T) {
	for name, gap := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		for kindName, kind := range map[string]ingress.Kind{"idempotent": ingress.Idempotent, "non-idempotent": ingress.NonIdempotent} {
			t.Run(name+" "+kindName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var read byteCount
					refusal := endless(Answer{Status: http.StatusServiceUnavailable, NotRun: true}, "a", gap, &read)
					route := callRoute
					route.Kind = kind
					s := newFixtureWithFirst(refusal, answering(http.StatusOK, false))
					if got := s.serve(t, route); got.status != http.StatusOK {
						t.Errorf("status %d, error %v, want the answer of the other target; sent to %v", got.status, got.err, s.client.attempts())
					}
					s = newFixtureWithFirst(refusal, refusal)
					if got := s.serve(t, route); got.err == nil || got.err.Outcome != failure.NotRun {
						t.Errorf("status %d, error %v, want an error with outcome not-run", got.status, got.err)
					}
					if n := read.read; n != 0 {
						t.Errorf("%d bytes of the bodies were read, want none", n)
					}
				})
			})
		}
	}
}

// TestEndlessAnswersLeaveMemory guards against answers without an end that together use up
// the memory of the daemon, and keep complete answers from being read.
func TestEndlessAnswersLeaveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endlessRequests, completeRequests, completeBytes = 60, 60, 200 << 10
		var bytes byteCount
		route := callRoute
		route.Kind = ingress.NonIdempotent
		endlessFixture := newFixture(map[string]behaviour{
			"a": endless(Answer{Status: http.StatusOK, Signed: true}, strings.Repeat("a", 64<<10), time.Millisecond, &bytes),
		})
		completeFixture := newFixture(map[string]behaviour{"b": func(context.Context, Attempt, *fakeTargetClient) (*Answer, error) {
			return &Answer{Status: http.StatusOK, Signed: true, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(strings.Repeat("b", completeBytes)))}, nil
		}})
		completeFixture.Buffers = endlessFixture.Buffers                       // as in one daemon
		endlessFixture.CrashTracker = &limitedCrashTracker{limit: math.MaxInt} // for concurrent use
		var wg sync.WaitGroup
		for range endlessRequests {
			wg.Go(func() {
				if got := endlessFixture.serve(t, route); got.err == nil || got.err.Outcome != failure.Unknown {
					t.Errorf("status %d, error %v, want an error with an unknown outcome", got.status, got.err)
				}
			})
		}
		for range completeRequests {
			time.Sleep(5 * time.Millisecond)
			if got := completeFixture.serve(t, route); got.status != http.StatusOK || len(got.body) != completeBytes {
				t.Errorf("status %d with %d bytes, error %v, want the complete answer", got.status, len(got.body), got.err)
			}
		}
		wg.Wait()
		if limit := int64(MaxBufferedBytes + endlessRequests*membudget.FreeBytes); bytes.peak > limit {
			t.Errorf("%d bytes were held at one time, want at most %d", bytes.peak, limit)
		}
		if n := endlessFixture.Buffers.Used(); n != 0 {
			t.Errorf("%d bytes are in use after the answers, want none", n)
		}
	})
}

// TestFailuresWithoutEnd guards against requests that wait for the body of a failure, or
// fail with it, while another target could get them.
func TestFailuresWithoutEnd(t *testing.T) {
	for name, gap := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond, "silent": time.Hour} {
		for _, status := range []int{http.StatusNotFound, http.StatusInternalServerError, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(name, " status ", status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var bytes byteCount
					failing := endless(Answer{Status: status, Signed: true}, strings.Repeat("a", 4<<10), gap, &bytes)
					s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), failing)
					start := time.Now()
					got := s.serve(t, streamRoute)
					if limit := 51*eventGap + failureTimeout + 2*placementInterval; !got.receivedAll(50) || time.Since(start) > limit {
						t.Errorf("a stream: %d events (want 51), error %v, after %v (want at most %v); sent to %v", len(got.events), got.err, time.Since(start), limit, s.client.attempts())
					}
					synctest.Wait()
					if bytes.held != 0 {
						t.Errorf("the answer of %s is not closed", first)
					}
					s = newFixtureWithFirst(failing, answering(http.StatusOK, false))
					if got := s.serve(t, callRoute); got.status != http.StatusOK {
						t.Errorf("a call: status %d, error %v, want the answer of the other target; sent to %v", got.status, got.err, s.client.attempts())
					}
					s = newFixtureWithFirst(failing, failing)
					route := callRoute
					route.Kind = ingress.NonIdempotent
					start = time.Now()
					got = s.serve(t, route)
					if got.status != 0 || got.err == nil || got.err.Outcome != failure.Unknown || len(s.client.attempts()) != 1 || time.Since(start) > route.Timeout {
						t.Errorf("a non-idempotent call: status %d, error %v after %v, sent to %v, want an error with an unknown outcome after one send within the route's timeout", got.status, got.err, time.Since(start), s.client.attempts())
					}
				})
			})
		}
	}
}

// TestAnswersWithoutEnd guards against calls whose answer has no length and no end, and
// takes the time in which another target could answer, or passes the route's timeout.
func TestAnswersWithoutEnd(t *testing.T) {
	for name, gap := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond, "silent": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var bytes byteCount
				first := endless(Answer{Status: http.StatusOK, Signed: true}, strings.Repeat("a", 4<<10), gap, &bytes)
				s := newFixtureWithFirst(first, answering(http.StatusOK, false))
				start := time.Now()
				got := s.serve(t, callRoute)
				const sends = 2 * time.Nanosecond // see fakeTargetClient.Send
				if limit := attemptTimeoutFactor*callRoute.LatencyObjective + sends; got.status != http.StatusOK || len(got.body) != 0 || time.Since(start) > limit {
					t.Errorf("status %d with %d bytes, error %v after %v, want the answer of the other target within %v", got.status, len(got.body), got.err, time.Since(start), limit)
				}
				for _, kind := range []ingress.Kind{ingress.Idempotent, ingress.NonIdempotent} {
					s = newFixtureWithFirst(first, first)
					route := callRoute
					route.Kind = kind
					start = time.Now()
					got = s.serve(t, route)
					if got.status != 0 || got.err == nil || got.err.Outcome != failure.Unknown || time.Since(start) > route.Timeout {
						t.Errorf("status %d, error %v after %v, want an error with an unknown outcome within the route's timeout", got.status, got.err, time.Since(start))
					}
					if kind == ingress.NonIdempotent && len(s.client.attempts()) != 1 {
						t.Errorf("sent to %v, want one target", s.client.attempts())
					}
				}
				synctest.Wait()
				if bytes.held != 0 {
					t.Error("an answer is not closed")
				}
			})
		})
	}
}

// TestUnsignedStreamIsNoAnswer guards against a success without the target's signature that
// is passed on because no attempt at a stream succeeds.
func TestUnsignedStreamIsNoAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNoContent} {
		synctest.Test(t, func(t *testing.T) {
			broken := unsigned(answering(status, false))
			s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), broken)
			if got := s.serve(t, streamRoute); !got.receivedAll(50) {
				t.Errorf("status %d: %d events (want 51), error %v; sent to %v", got.status, len(got.events), got.err, s.client.attempts())
			}
			s = newFixture(map[string]behaviour{"a": broken})
			if got := s.serve(t, streamRoute); got.status != 0 || got.err == nil || got.err.Outcome != failure.Unknown {
				t.Errorf("status %d, error %v, want an error with an unknown outcome", got.status, got.err)
			}
		})
	}
}

// joinedBody is a body that begins with the text start.
type joinedBody struct {
	start *strings.Reader
	*endlessBody
}

// Read implements io.Reader.
func (b *joinedBody) Read(p []byte) (int, error) {
	if b.start.Len() > 0 {
		return b.start.Read(p)
	}
	return b.endlessBody.Read(p)
}

// streamThenEndless streams the events 0 to last at once, and then text without an end.
func streamThenEndless(last int, text string, gap time.Duration, bytes *byteCount) behaviour {
	return func(ctx context.Context, _ Attempt, _ *fakeTargetClient) (*Answer, error) {
		var start strings.Builder
		for i := range last + 1 {
			fmt.Fprintf(&start, "id: %d\ndata: %d\n\n", i, i)
		}
		body := &joinedBody{strings.NewReader(start.String()), newEndlessBody(ctx, text, gap, bytes)}
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: body}, nil
	}
}

// TestEventWithoutEnd guards against an event without an end, in one line or many, that
// uses up the memory of the daemon or ends its stream.
func TestEventWithoutEnd(t *testing.T) {
	for name, text := range map[string]string{"one line": "data", "many lines": "data: a\n", "many comments": ": a\r\n"} {
		for _, last := range []int{-1, 19} {
			t.Run(fmt.Sprint(name, " after ", last+1, " events"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var bytes byteCount
					s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), streamThenEndless(last, text, 0, &bytes))
					if got := s.serve(t, streamRoute); !got.receivedAll(50) {
						t.Errorf("the caller received %d events (want 51, each once and in order), ended %v (want true), error %v", len(got.events), got.ended, got.err)
					}
					synctest.Wait()
					const readBufferBytes = 4 << 10
					if limit := int64(maxEventBytes + readBufferBytes); bytes.read > limit {
						t.Errorf("%d bytes were read, want at most %d", bytes.read, limit)
					}
				})
			})
		}
	}
}

// TestEndlessEventsLeaveMemory guards against events without an end that together use up
// the memory of the daemon.
func TestEndlessEventsLeaveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 150
		var bytes byteCount
		budget := membudget.New(MaxBufferedBytes)
		var wg sync.WaitGroup
		for range streams {
			wg.Go(func() {
				events := newEventReader(newEndlessBody(t.Context(), strings.Repeat("a", 4<<10), time.Millisecond, &bytes), budget.NewShare())
				defer events.close()
				if _, err := events.next(); err == nil {
					t.Error("an event without an end was read without an error")
				}
			})
		}
		wg.Wait()
		const readBufferBytes = 4 << 10
		if limit := int64(MaxBufferedBytes + streams*(membudget.FreeBytes+readBufferBytes)); bytes.peak > limit {
			t.Errorf("%d bytes were held at one time, want at most %d", bytes.peak, limit)
		}
		if n := budget.Used(); n != 0 {
			t.Errorf("%d bytes are in use afterwards, want none", n)
		}
	})
}

// TestSlowEventWithoutEnd guards against a stream that waits for an event whose bytes
// arrive without end, also before the first event, when silence is no sign of a loss.
func TestSlowEventWithoutEnd(t *testing.T) {
	for name, text := range map[string]string{"one line": "a", "many lines": "data: a\n"} {
		for _, last := range []int{-1, 19} {
			t.Run(fmt.Sprint(name, " after ", last+1, " events"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var bytes byteCount
					s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), streamThenEndless(last, text, eventGap, &bytes))
					start := time.Now()
					got := s.serve(t, streamRoute)
					if limit := slowEventTime + 52*eventGap + 2*placementInterval; !got.receivedAll(50) || time.Since(start) > limit {
						t.Errorf("the caller received %d events (want 51, each once and in order) in %v (want at most %v), ended %v, error %v", len(got.events), time.Since(start), limit, got.ended, got.err)
					}
				})
			})
		}
	}
}

// TestSilenceWithinAnEvent guards against a limit of slow events that ends a stream whose
// target is silent for a while within an event.
func TestSilenceWithinAnEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, w := io.Pipe()
		go func() {
			for i := range 40 {
				_, _ = fmt.Fprintf(w, "id: %d\nda", i)
				time.Sleep(2 * slowEventTime)
				_, _ = fmt.Fprintf(w, "ta: %d\n\n", i)
			}
			_ = w.Close()
		}()
		events := newEventReader(r, membudget.New(0).NewShare())
		defer events.close()
		for i := range 40 {
			if ev, err := events.next(); err != nil || ev.ID != int64(i) {
				t.Fatalf("event %d, error %v, want event %d", ev.ID, err, i)
			}
		}
	})
}
