package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// contend makes the service of a fixture contended. Runs take a time, as far as the admission
// knows.
func (s *fixture) contend(run time.Duration) {
	s.Admission = NewAdmission(func(service string) bool { return service == "svc" })
	for range 8 {
		s.Admission.controller("svc").RecordRun(run)
	}
}

// fill lets a peer use all memory of a target.
func (s *fixture) fill(ids ...string) {
	loads := make(map[string]fleet.DaemonLoad)
	for _, id := range ids {
		loads[id] = fleet.DaemonLoad{Running: 8, MemoryTokens: 50_000}
	}
	s.Fleet.SetPeerLoads("vm-2", loads)
}

// request is a new stream with a workspace's priority, nil for none.
func (s *fixture) request(id string, priority int, ofWorkspace *int) *Request {
	route, now := streamRoute, time.Now()
	route.Priority = priority
	return &Request{
		ID: id, Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc", Header: http.Header{},
		WorkspacePriority: ofWorkspace, Prompt: Prompt{CacheKey: "p", Tokens: 5_000, MaxOutputTokens: 1_000},
	}
}

// TestOnlyContendedServicesDecide guards against services without requests of different urgency
// on which anything differs: streams are sent at once, without a priority, to full targets too,
// and refusals have the usual Retry-After.
func TestOnlyContendedServicesDecide(t *testing.T) {
	for _, contended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": streaming(5, -1, eventGap, nil)})
			s.contend(time.Second)
			s.Admission.Contended = func(string) bool { return contended }
			s.fill("a")
			two, start := 2, time.Now()
			got := &fakeResponder{}
			go func() {
				time.Sleep(time.Second)
				s.Fleet.SetPeerLoads("vm-2", nil)
			}()
			s.Serve(context.Background(), s.request("r1", 1, &two), got)
			s.awaitStops()
			a := s.client.attempt(0)
			sentAfter := a.Request.SentAt.Sub(start)
			switch {
			case !got.ended:
				t.Errorf("contended %v: the stream is not complete: %v", contended, got.err)
			case !contended && (a.Priority != nil || sentAfter >= placementInterval || s.priority(a.Request) != 1):
				t.Errorf("not contended, and sent after %v with priority %v", sentAfter, a.Priority)
			case contended && (a.Priority == nil || *a.Priority != 2 || sentAfter < time.Second):
				t.Errorf("contended, and sent to a full target after %v, priority %v", sentAfter, a.Priority)
			}
			s.client.behaviours["a"] = answering(http.StatusServiceUnavailable, true)
			delays := make(map[time.Duration]bool)
			for i := range 5 {
				refused := &fakeResponder{}
				s.Serve(context.Background(), s.request(fmt.Sprint("s", i), 1, nil), refused)
				delays[refused.err.RetryAfter] = true
				time.Sleep(10 * time.Second)
			}
			if contended != (len(delays) > 1) || !contended && !delays[retryAfterBusy] {
				t.Errorf("contended %v: Retry-After %v", contended, delays)
			}
			s.awaitStops()
		})
	}
}

// TestRefusedByEstimate guards against a less urgent stream that waits behind more urgent ones
// until it is late, and one that is sent although it is refused.
func TestRefusedByEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": streaming(5, -1, eventGap, nil), "b": streaming(5, -1, eventGap, nil)})
		s.contend(10 * time.Second)
		s.fill("a", "b")
		s.Admission.SetPeerHeld("vm-2", map[string][]int{"svc": {30}, "other": {1}})
		start, got := time.Now(), &fakeResponder{}
		s.Serve(context.Background(), s.request("r1", 2, nil), got)
		if got.err == nil || got.err.Code != failure.Overloaded || got.err.Outcome != failure.NotRun || time.Since(start) > 0 || len(s.client.attempts()) > 0 {
			t.Errorf("error %v after %v, sent to %v; want a refusal at once", got.err, time.Since(start), s.client.attempts())
		}
		if limit := 25 * time.Second / 3; got.err != nil && (got.err.RetryAfter <= 0 || got.err.RetryAfter > limit) {
			t.Errorf("Retry-After %v, want at most %v", got.err.RetryAfter, limit)
		}
		s.Admission.SetPeerHeld("vm-2", nil)
		ctx, cancel := context.WithCancel(t.Context())
		left := &fakeResponder{}
		time.AfterFunc(100*time.Millisecond, func() {
			if held := s.Admission.Held()["svc"]; len(held) != 1 || held[0] != 1 {
				t.Errorf("held %v, want one urgent stream", held)
			}
			cancel()
		})
		s.Serve(ctx, s.request("r2", 0, nil), left) // its caller leaves while it is held
		if !left.aborted || s.Admission.Held() != nil || len(s.client.attempts()) > 0 {
			t.Errorf("after the caller left: aborted %v, held %v, sent to %v", left.aborted, s.Admission.Held(), s.client.attempts())
		}
	})
}

// TestBegunStreamsAreUrgent guards against streams that have begun and lose their place at the
// next target to new ones, and against late requests that come before those that can be in time.
func TestBegunStreamsAreUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newFixtureWithBroken(streaming(20, -1, eventGap, nil), streaming(20, 5, eventGap, ErrNoAnswer))
		s.contend(time.Second)
		got := &fakeResponder{}
		s.Serve(context.Background(), s.request("r1", 3, nil), got)
		s.awaitStops()
		first, second := s.client.attempt(0).Priority, s.client.attempt(1).Priority
		if !got.ended || first == nil || *first != 3 || second == nil || *second != 0 {
			t.Errorf("complete %v, priorities %v and %v, want 3 and 0", got.ended, first, second)
		}
		late := newStream(s.Forwarder, s.request("r2", 1, nil), got)
		if p := late.targetPriority(time.Now().Add(streamRoute.LatencyObjective + 1)); p == nil || *p != 1+lateOffset {
			t.Errorf("a late stream has priority %v", p)
		}
	})
}

// TestHeldStreamsAreNotSentAtTheEnd guards against a stream that is refused at the end of a wait,
// which promises that it doesn't run, and sent nevertheless.
func TestHeldStreamsAreNotSentAtTheEnd(t *testing.T) {
	for name, end := range map[string]func(*Request, context.CancelCauseFunc){
		"deadline": func(r *Request, _ context.CancelCauseFunc) { r.Deadline = r.Received.Add(time.Millisecond) },
		"stop":     func(_ *Request, cancel context.CancelCauseFunc) { cancel(ErrStopping) },
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": streaming(5, -1, eventGap, nil)})
			s.contend(time.Second)
			s.fill("a")
			ctx, cancel := context.WithCancelCause(t.Context())
			r, got := s.request("r1", 0, nil), &fakeResponder{}
			r.Route.Resumable = false
			end(r, cancel)
			s.Serve(ctx, r, got)
			s.Fleet.SetPeerLoads("vm-2", nil)
			time.Sleep(time.Minute)
			sent := len(s.client.attempts())
			// A stream that was sent may end without an error, incomplete, once its head was.
			notRun := got.err != nil && got.err.Outcome == failure.NotRun
			if notRun != (sent == 0) || got.err == nil && !got.aborted || s.Admission.Held() != nil {
				t.Errorf("%s: error %v, sent %d times, held %v", name, got.err, sent, s.Admission.Held())
			}
			if name == "stop" && sent > 0 {
				t.Errorf("%s: a held stream was sent", name)
			}
		})
	}
}

// TestCopiesYieldToHeldStreams guards against standby copies that take the memory for which new streams
// wait, at this daemon or at another one.
func TestCopiesYieldToHeldStreams(t *testing.T) {
	for name, held := range map[string]map[string][]int{"none held": nil, "held at a peer": {"svc": {0, 0, 1}}, "of another service": {"other": {1}}} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": streaming(5, -1, eventGap, nil), "b": streaming(5, -1, eventGap, nil)})
			s.contend(time.Second)
			s.Admission.SetPeerHeld("vm-2", held)
			got := &fakeResponder{}
			s.Serve(context.Background(), s.request("r1", 0, nil), got)
			s.awaitStops()
			if copied, want := s.client.attempt(0).CopyTo != nil, name != "held at a peer"; copied != want || !got.ended {
				t.Errorf("%s: a copy is made: %v, want %v; complete %v", name, copied, want, got.ended)
			}
		})
	}
}

// TestEndedPeersHoldNothing guards against copies that are never made again, and against estimates that
// are too long for good, because a daemon has ended while it held streams.
func TestEndedPeersHoldNothing(t *testing.T) {
	a := NewAdmission(func(string) bool { return true })
	a.SetPeerHeld("vm-2", map[string][]int{"svc": {1}})
	a.SetPeerHeld("vm-3", map[string][]int{"other": {0, 1}})
	a.ForgetPeers(func(peer string) bool { return peer != "vm-3" })
	if a.holds("svc") || !a.holds("other") {
		t.Errorf("held by a daemon that has ended: %v, by one that has not: %v", a.holds("svc"), a.holds("other"))
	}
}
