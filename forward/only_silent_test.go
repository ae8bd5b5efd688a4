package forward

import (
	"context"
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

// TestStreamInAQueueStaysAfterASilence guards against requests on which two targets work: a
// stream that had no event yet was taken from a target although that had gone on.
func TestStreamInAQueueStaysAfterASilence(t *testing.T) {
	const inQueue = 6 * time.Second
	for _, length := range []time.Duration{300 * time.Millisecond, 700 * time.Millisecond, 1300 * time.Millisecond, 1880 * time.Millisecond} {
		for _, after := range []time.Duration{200 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("silent for %v after %v", length, after), inBubble(func(t *testing.T) {
				var work workLog
				b := func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
					time.Sleep(inQueue)
					return work.goingOn(50, eventGap, -1, nil)(ctx, a, s)
				}
				s := newFixture(map[string]behaviour{"a": b, "b": b})
				time.AfterFunc(placementInterval+after, func() {
					first := s.client.attempt(0).Target.ID
					s.client.mu.Lock()
					s.client.listening[first] = true
					s.client.mu.Unlock()
					s.client.pauseFor(length, first)
				})
				got := s.serve(t, streamRoute)
				if attempts := s.client.attempts(); len(attempts) != 1 || !got.receivedAll(50) {
					t.Errorf("the caller got %d events (want 51), error %v; sent to %v, want one target", len(got.events), got.err, attempts)
				}
			}))
		}
	}
}
