package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestEventsWithoutProgress guards against a stream whose target sends events without end
// that bring it no further: they kept the run from counting as silent, and those without
// an id were passed on to the caller.
func TestEventsWithoutProgress(t *testing.T) {
	for name, text := range map[string]string{
		"events without an id": "data: x\n\n", "comments": ": x\n\n", "empty events": "\n", "events received before": "id: 3\ndata: 3\n\n",
	} {
		for speed, gap := range map[string]time.Duration{"fast": 0, "slow": eventGap} {
			t.Run(speed+" "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var bytes byteCount
					s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), streamThenEndless(19, text, gap, &bytes))
					start := time.Now()
					got := s.serve(t, streamRoute)
					elapsed := time.Since(start)
					synctest.Wait()
					if !got.receivedAll(50) {
						t.Errorf("the caller received %d events (want 51, each once and in order), ended %v (want true), error %v", len(got.events), got.ended, got.err)
					}
					// The largest gap, the remaining events and the wait for two placements.
					if limit := 52*eventGap + streamRoute.MaxEventGap + moveTimeout + 2*placementInterval; elapsed > limit {
						t.Errorf("the stream took %v, want at most %v", elapsed, limit)
					}
					const readBufferBytes = 4 << 10
					if limit := int64(maxIdleBytes + 4*len(text) + readBufferBytes); bytes.read > limit {
						t.Errorf("%d bytes were read, want at most %d", bytes.read, limit)
					}
				})
			})
		}
	}
}

// TestRunThatBeginsAgain guards against a run that is lost because it begins before the
// caller's last event.
func TestRunThatBeginsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const last = 3000
		fromStart := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			a.LastEventID = ""
			return streaming(last, -1, time.Microsecond, nil)(ctx, a, s)
		}
		s, _ := newFixtureWithBroken(fromStart, streaming(last, last-1, time.Microsecond, io.ErrUnexpectedEOF))
		if got := s.serve(t, streamRoute); !got.receivedAll(last) || len(s.client.attempts()) != 2 {
			t.Errorf("the caller received %d events (want %d, each once and in order), ended %v, error %v; sent to %v (want two targets)", len(got.events), last+1, got.ended, got.err, s.client.attempts())
		}
	})
}

// streamingText answers with a stream that is text, and fails with end.
func streamingText(text string, end error) behaviour {
	return func(context.Context, Attempt, *fakeTargetClient) (*Answer, error) {
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, text)
			_ = w.CloseWithError(end)
		}()
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
	}
}

// TestEventsWithoutID guards against events without an id that are lost or come twice: a
// complete stream keeps them, and a run that is lost leaves none after its last numbered
// event.
func TestEventsWithoutID(t *testing.T) {
	const whole = ": begin\n\nid: 0\ndata: 0\n\n: ping\n\nid: 1\ndata: 1\n\ndata: [DONE]\n\n"
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": streamingText(whole, io.EOF)})
		if got := s.serve(t, streamRoute); !got.ended || strings.Join(got.events, "") != whole {
			t.Errorf("the caller received %q, ended %v, want the complete stream", got.events, got.ended)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s, _ := newFixtureWithBroken(streamingText("data: a\n\nid: 1\ndata: 1\n\n", io.EOF), streamingText("id: 0\ndata: 0\n\ndata: a\n\n", io.ErrUnexpectedEOF))
		want := fmt.Sprintf("id: 0\ndata: 0\n\n%sid: 1\ndata: 1\n\n", "data: a\n\n")
		if got := s.serve(t, streamRoute); !got.ended || strings.Join(got.events, "") != want {
			t.Errorf("the caller received %q, ended %v, want %q", got.events, got.ended, want)
		}
	})
}
