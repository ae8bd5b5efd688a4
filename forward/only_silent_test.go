package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentTargetKeepsItsStreams guards against requests on which two targets work: a stream
// was taken from a target that was only silent and went on with it (review/2). A target that
// can't be reached is left at once.
func TestSilentTargetKeepsItsStreams(t *testing.T) {
	for _, eventsBefore := range []int{0, 1, 20} {
		for _, length := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 1900 * time.Millisecond, 4 * time.Second} {
			for _, accepts := range []bool{true, false} {
				t.Run(fmt.Sprintf("after %d events for %v, accepts connections %v", eventsBefore, length, accepts), inBubble(func(t *testing.T) {
					var work workLog
					targets := make(map[string]behaviour)
					for _, id := range []string{"a", "b", "c"} {
						targets[id] = work.goingOn(150, eventGap, -1, nil)
					}
					s := newFixture(targets)
					var silentAt time.Time
					time.AfterFunc(placementInterval+time.Duration(eventsBefore)*eventGap+eventGap/2, func() {
						first := s.client.attempt(0).Target.ID
						s.client.mu.Lock()
						s.client.listening[first] = accepts
						s.client.mu.Unlock()
						silentAt = time.Now()
						s.client.pauseFor(length, first)
					})
					got := s.serve(t, streamRoute)
					time.Sleep(10 * time.Second) // the end of all runs
					synctest.Wait()
					if !got.receivedAll(150) {
						t.Errorf("the caller got %d events (want 151), error %v; sent to %v", len(got.events), got.err, s.client.attempts())
					}
					stays := accepts && length < longestSilence || length < prefillProbeInterval
					if runs := work.runs; stays && len(runs) > 1 && runs[0].ended.After(runs[1].began) { // not moved
						t.Errorf("left at %s, which went on after %v", runs[0].target, length)
					}
					if !stays && length > time.Second {
						if len(work.runs) != 2 {
							t.Fatalf("%d runs, want 2", len(work.runs))
						}
						if took := work.runs[1].began.Sub(silentAt); !accepts && took > time.Second || took > longestSilence+time.Second {
							t.Errorf("another target began %v after the silence did", took)
						}
					}
					if both := work.overlap(silentAt.Add(length)); both > maxOverlap {
						t.Errorf("two targets worked on the request for %v, want at most %v", both, maxOverlap)
					}
				}))
			}
		}
	}
}
