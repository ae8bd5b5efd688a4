package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// serveResumed serves a caller who has received the stream up to event 9.
func (s *fixture) serveResumed(id string) *fakeResponder {
	now := time.Now()
	r := &Request{
		ID: id, Method: http.MethodPost, Received: now, Deadline: now.Add(20 * time.Second), Route: &streamRoute, Service: "svc",
		Header: http.Header{}, LastEventID: "9", Prompt: Prompt{CacheKey: "p", Tokens: 5000, MaxOutputTokens: 1000},
	}
	c := &fakeResponder{}
	s.Serve(context.Background(), r, c)
	return c
}

// TestCallersComeBack guards against a second prefill of a prompt that some target has
// in its cache. After a power loss of all daemons, callers resume their answers at
// daemons that have no record of the requests; each request must go to the target that
// holds its prompt.
func TestCallersComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		healthy := streaming(20, -1, eventGap, nil)
		s := newFixture(map[string]behaviour{"a": healthy, "b": healthy, "c": healthy, "d": healthy})
		for _, holder := range []string{"a", "b", "c", "d"} {
			time.Sleep(2 * cacheResultTTL)
			s.client.cached = map[string]map[string]bool{holder: {"other": true, "p": true}}
			got := s.serveResumed("r-" + holder)
			synctest.Wait()
			attempts := s.client.attempts()
			if last := attempts[len(attempts)-1]; last != holder {
				t.Errorf("%s holds the prompt, but the request was sent to %s", holder, last)
			}
			if !got.ended || len(got.events) != 11 || got.events[0] != "id: 10\ndata: 10\n\n" {
				t.Errorf("the caller received %q, want events 10 to 20 and the end of the stream", got.events)
			}
		}
	})
}

func TestHoldersAreAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		healthy := streaming(20, -1, eventGap, nil)
		s := newFixture(map[string]behaviour{"a": healthy, "b": healthy, "c": healthy})
		for range 5 {
			go s.serveResumed("r")
		}
		time.Sleep(5 * time.Second)
		if n := s.client.cacheQueryCount(); n != 3 {
			t.Errorf("%d cache queries to 3 targets, want one to each", n)
		}
		s.serve(t, streamRoute)
		if s.client.cacheQueryCount() != 3 {
			t.Error("a new request caused cache queries")
		}
	})
}
