package forward

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/origin"
)

// setVersions gives the targets of a fixture software versions.
func (s *fixture) setVersions(versions map[string]string) {
	for id, v := range versions {
		s.Fleet.Put(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: "place-" + id, Slots: 8, SoftwareVersion: v})
	}
}

// TestStreamKeepsItsSoftwareVersion guards against streams that a daemon continues on
// targets of another software version than the one that began them.
func TestStreamKeepsItsSoftwareVersion(t *testing.T) {
	versions := map[string]string{"a": "v1", "b": "v1", "c": "v2", "d": "v2", "e": "v3", "f": "v3"}
	healthy := streaming(50, -1, eventGap, nil)
	for name, c := range map[string]struct {
		broken behaviour
		events int // that the caller receives if the version has another target
	}{
		"breaks off":                        {streaming(50, 20, eventGap, io.ErrUnexpectedEOF), 51},
		"is silent":                         {streaming(50, 20, eventGap, nil), 51},
		"breaks off before its first event": {streaming(50, 0, eventGap, io.ErrUnexpectedEOF), 51},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			targets := make(map[string]behaviour)
			for id := range versions {
				targets[id] = healthy
			}
			s := newFixture(targets)
			s.setVersions(versions)
			first := s.firstTarget()
			s.client.behaviours[first] = c.broken
			got := s.serve(t, streamRoute)
			synctest.Wait()
			if !got.receivedAll(c.events - 1) {
				t.Errorf("the caller got %d events (want %d), ended %v", len(got.events), c.events, got.ended)
			}
			began := ""
			for i, a := range s.client.sent {
				version := versions[a.Target.ID]
				if a.LastEventID != "" && version != began {
					t.Errorf("attempt %d continues at version %s a stream that version %s began", i, version, began)
				}
				if a.LastEventID == "" {
					began = version
				}
				if a.CopyTo != nil && versions[a.CopyTo.ID] != version {
					t.Errorf("attempt %d at version %s copies its run to version %s", i, version, versions[a.CopyTo.ID])
				}
			}
		}))
	}
	t.Run("no other target has the version", inBubble(func(t *testing.T) {
		s, first := newFixtureWithBroken(healthy, streaming(50, 20, eventGap, io.ErrUnexpectedEOF))
		others := make(map[string]string)
		for i, id := range []string{"a", "b", "c", "d"} {
			others[id] = fmt.Sprint("v", i)
		}
		s.setVersions(others)
		got := s.serve(t, streamRoute)
		synctest.Wait()
		if len(got.events) != 20 || !got.aborted || len(s.client.sent) != 1 {
			t.Errorf("%d events (want 20), aborted %v (want true), sent to %v (want %s only)", len(got.events), got.aborted, s.client.attempts(), first)
		}
	}))
}

// TestTakenUpStreamAwaitsItsVersion guards against streams that are refused, or cut, while
// the targets of their software version are only suspected for a while.
func TestTakenUpStreamAwaitsItsVersion(t *testing.T) {
	for name, origins := range map[string]map[string]origin.Origin{
		"known origin": {"r0": {Service: "svc", SoftwareVersion: "v1"}}, "other version": {"r0": {Service: "svc", SoftwareVersion: "v9"}},
	} {
		t.Run(name, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": streaming(50, -1, eventGap, nil), "b": streaming(50, -1, eventGap, nil)})
			s.setVersions(map[string]string{"a": "v1", "b": "v2"})
			s.origins.known = origins
			now := time.Now()
			s.Fleet.Suspect(now, "a", false)
			c := &fakeResponder{}
			route := streamRoute
			route.Services = []ingress.WeightedService{{Service: "svc", Weight: 1}}
			s.Serve(context.Background(), &Request{
				ID: "r1", Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc", LastEventID: "9", Resumes: "r0",
			}, c)
			synctest.Wait()
			switch name {
			case "known origin":
				if len(c.events) != 41 || !c.ended || s.client.attempts()[0] != "a" {
					t.Errorf("the caller got %d events (want 41), ended %v, error %v; sent to %v (want a)", len(c.events), c.ended, c.err, s.client.attempts())
				}
			default: // no target has the version, now or soon
				if c.err == nil || c.err.Outcome != failure.NotRun || time.Since(now) > 0 || len(s.client.sent) > 0 {
					t.Errorf("error %v after %v (want a refusal at once), sent to %v", c.err, time.Since(now), s.client.attempts())
				}
			}
		}))
	}
}
