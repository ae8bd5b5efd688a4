package forward

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// comeBack serves a caller who holds the stream up to an event.
func (s *site) comeBack(id string) *fakeCaller {
	now := time.Now()
	r := &Request{
		ID: id, Method: http.MethodPost, Received: now, Deadline: now.Add(20 * time.Second), Route: &streamRoute, Service: "svc",
		Header: http.Header{}, LastEventID: "9", Prompt: Prompt{CacheKey: "p", Tokens: 5000, MaxOutputTokens: 1000},
	}
	c := &fakeCaller{}
	s.Serve(context.Background(), r, c)
	return c
}

// TestCallersComeBack names the pattern: all daemons lose power, and callers come
// back for the rest of their answers at daemons that know nothing of them. The prompt
// is found where it was read.
func TestCallersComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sound := streaming(20, -1, gap, nil)
		s := newSite(map[string]behaviour{"a": sound, "b": sound, "c": sound, "d": sound})
		for _, holder := range []string{"a", "b", "c", "d"} {
			time.Sleep(2 * holdersFresh)
			s.sender.cached = map[string]map[string]bool{holder: {"other": true, "p": true}}
			got := s.comeBack("r-" + holder)
			synctest.Wait()
			attempts := s.sender.attempts()
			if last := attempts[len(attempts)-1]; last != holder {
				t.Errorf("%s holds the prompt, and %s was asked to go on", holder, last)
			}
			if !got.ended || len(got.events) != 11 || got.events[0] != "id: 10\ndata: 10\n\n" {
				t.Errorf("the caller got %q", got.events)
			}
		}
	})
}

func TestHoldersAreAskedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sound := streaming(20, -1, gap, nil)
		s := newSite(map[string]behaviour{"a": sound, "b": sound, "c": sound})
		for range 5 {
			go s.comeBack("r")
		}
		time.Sleep(5 * time.Second)
		if n := s.sender.questions(); n != 3 {
			t.Errorf("%d questions to 3 targets", n)
		}
		s.serve(t, streamRoute)
		if s.sender.questions() != 3 {
			t.Error("targets were asked for a request that is new")
		}
	})
}
