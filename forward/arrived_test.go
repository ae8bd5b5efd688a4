package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// arriving answers with all events up to last at once, as a target whose answer waits in
// the buffers of its connection.
func arriving(last int) behaviour {
	return func(_ context.Context, a Attempt, _ *fakeTargetClient) (*Answer, error) {
		var body bytes.Buffer
		for next := a.nextEvent(); next <= last; next++ {
			_, _ = fmt.Fprintf(&body, "id: %d\ndata: %d\n\n", next, next)
		}
		return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: io.NopCloser(&body)}, nil
	}
}

// slowResponder is a caller that takes a while for each event.
type slowResponder struct {
	fakeResponder
	wait time.Duration
}

// Event implements Responder.
func (c *slowResponder) Event(raw []byte) error {
	time.Sleep(c.wait)
	return c.fakeResponder.Event(raw)
}

// serveSlowly serves a stream to a slow caller.
func (s *fixture) serveSlowly(wait time.Duration, change func(*Request)) *fakeResponder {
	route := streamRoute
	now := time.Now()
	r := &Request{
		ID: "r1", Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc",
		Header: http.Header{}, Prompt: Prompt{Tokens: 5000, MaxOutputTokens: 1000, CacheKey: "p"},
	}
	change(r)
	c := &slowResponder{wait: wait}
	s.Serve(context.Background(), r, c)
	return &c.fakeResponder
}

// TestArrivedEventsOutliveTheirTarget guards against streams that are cut, or sent again,
// because their target ended while events that it had sent were not passed on yet.
func TestArrivedEventsOutliveTheirTarget(t *testing.T) {
	for name, end := range map[string]func(s *fixture, t fleet.Target){
		"its process ended": func(s *fixture, t fleet.Target) { s.Fleet.MarkTerminated(time.Now(), t) },
		"it is superseded":  func(s *fixture, t fleet.Target) { s.Fleet.Put(s.successor(t.ID)) },
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"t1": arriving(50)})
			target := s.entry("t1")
			time.AfterFunc(time.Second, func() { end(s, target) })
			got := s.serveSlowly(100*time.Millisecond, func(r *Request) { r.Route.Resumable = false })
			expectAll(t, s, got)
		}))
	}
}

// TestSlowCallerMovesNoStream guards against streams that are taken from a sound target,
// as if it were silent or had dropped them, because their caller takes its events slowly.
func TestSlowCallerMovesNoStream(t *testing.T) {
	for name, wait := range map[string]time.Duration{
		"the stream looks silent":   time.Second,
		"the run has ended already": 200 * time.Millisecond,
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"t1": arriving(20), "t2": arriving(20)})
			s.client.reportedRuns = map[string]RunStatus{}
			got := s.serveSlowly(wait, func(*Request) {})
			if sent := s.client.attempts(); len(sent) != 1 {
				t.Errorf("sent to %v, want one target", sent)
			}
			if len(got.events) != 21 || !got.ended {
				t.Errorf("the caller got %d events (want 21), ended %v (want true)", len(got.events), got.ended)
			}
		}))
	}
}
