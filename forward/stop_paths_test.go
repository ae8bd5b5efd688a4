package forward

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// serveStop serves the stream of a case, which must not be without work at the end of the stop.
func (c stopCase) serveStop(t *testing.T, change func(*fixture, *stopTargets)) *stopTargets {
	t.Helper()
	targets, _ := c.serve(t, change)
	if made := targets.lastMade.Sub(targets.signal); made <= lastSixth {
		t.Errorf("cut, last event made %v after the signal, want later than %v\n%s", made, lastSixth, strings.Join(targets.trace, "\n"))
	}
	return targets
}

const ms = time.Millisecond

// TestStopIgnoresOneSlowStart guards against streams that are cut with no target at work because a
// single run from a copy once began late.
func TestStopIgnoresOneSlowStart(t *testing.T) {
	for _, at := range []time.Duration{4000 * ms, 5000 * ms, 6000 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			stopCase{at, forGood, waits, true, "b"}.serveStop(t, func(s *fixture, _ *stopTargets) {
				for range 5 {
					s.starts.Record(startKind("svc", true), copyStart)
				}
				s.starts.Record(startKind("svc", true), 3*time.Second)
			})
		}))
	}
}

// TestStopIgnoresStartsFromQueues guards against streams that are cut with no target at work because
// earlier ones had waited in queues, though a slot is held for the next attempt.
func TestStopIgnoresStartsFromQueues(t *testing.T) {
	for _, state := range []targetState{waits, silentListens, silentDark} {
		for _, at := range []time.Duration{2500 * ms, 3500 * ms, 4500 * ms} {
			t.Run(fmt.Sprint(state, at), inBubble(func(t *testing.T) {
				stopCase{at, forGood, state, false, "c"}.serveStop(t, func(s *fixture, _ *stopTargets) {
					for i := range 31 {
						if i%8 == 0 {
							s.starts.Record(startKind("svc", false), prefillStart+4*time.Second)
							continue
						}
						s.starts.Record(startKind("svc", false), prefillStart)
					}
				})
			}))
		}
	}
}

// TestStopMovesRunsWhoseCopyIsAtAFullTarget guards against streams that are cut with no target at
// work because their prompts would take too long, though the run can be moved.
func TestStopMovesRunsWhoseCopyIsAtAFullTarget(t *testing.T) {
	for _, at := range []time.Duration{5000 * ms, 5700 * ms, 6000 * ms, 6300 * ms, 6500 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			stopCase{at, forGood, waits, true, "c"}.serveStop(t, nil)
		}))
	}
}

type failingMoves struct{ *stopTargets }

func (f failingMoves) Move(ctx context.Context, _ fleet.Target, _ string, _ fleet.Target) (Copy, fleet.Target, error) {
	f.record("a move fails")
	return Copy{}, fleet.Target{}, errors.New("503")
}

// TestStopMovesRunsAtOnce guards against runs that wait for seconds although they can be moved,
// because the holder of their copy is full.
func TestStopMovesRunsAtOnce(t *testing.T) {
	for _, at := range []time.Duration{0, 500 * ms, 1000 * ms, 3000 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, waits, true, "c"}.serveStop(t, nil)
			if left := targets.sentTo("c").Sub(targets.signal); left > at+longestSilence+patience {
				t.Errorf("left %v after the signal, the run stalled at %v", left, at)
			}
		}))
	}
}

// TestStopKeepsTheSlotOfAFailedMove guards against streams that are cut in the queue of the full
// holder of their copy, after a move to a free target has failed.
func TestStopKeepsTheSlotOfAFailedMove(t *testing.T) {
	for _, free := range []string{"b", "c"} {
		for _, at := range []time.Duration{500 * ms, 3000 * ms, 4500 * ms, 5000 * ms, 5500 * ms} {
			if free == "c" && at > 4800*ms {
				continue
			}
			t.Run(free+at.String(), inBubble(func(t *testing.T) {
				stopCase{at, forGood, waits, true, free}.serveStop(t, func(s *fixture, targets *stopTargets) {
					s.TargetClient = failingMoves{targets}
				})
			}))
		}
	}
}

// TestStopLeavesLeavingTargets guards against streams that are kept at a target that is leaving, for
// the sake of a return, until they are cut with no target at work.
func TestStopLeavesLeavingTargets(t *testing.T) {
	for _, copies := range []bool{true, false} {
		for _, at := range []time.Duration{1000 * ms, 4000 * ms, 4600 * ms, 5000 * ms, 5500 * ms, 5700 * ms, 6000 * ms, 6500 * ms} {
			if !copies && at > 4700*ms {
				continue
			}
			t.Run(fmt.Sprint(copies, at), inBubble(func(t *testing.T) {
				stopCase{at, forGood, waits, copies, "b"}.serveStop(t, func(s *fixture, _ *stopTargets) {
					time.AfterFunc(beforeSignal+at-200*ms, func() {
						a := s.client.attempt(0).Target
						a.Leaving = true
						s.Fleet.Put(a)
					})
				})
			}))
		}
	}
}

// TestStopMovesNoRunToAFullTarget guards against runs that are moved to a target whose slots are all
// in use, while the slot that was held for them is given up.
func TestStopMovesNoRunToAFullTarget(t *testing.T) {
	for _, at := range []time.Duration{500 * ms, 3000 * ms, 4500 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, waits, true, "c"}.serveStop(t, func(s *fixture, targets *stopTargets) {
				s.client.behaviours["d"] = targets.answer
				time.AfterFunc(beforeSignal/2+10*ms, func() {
					s.Fleet.Put(fleet.Target{ID: "d", Service: "svc", Address: "d:1", Place: "place-d", Slots: 8})
					s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 8}, "d": {Running: 8}, "c": {Running: 6, MemoryTokens: 30_000}})
				})
			})
			if sent := targets.attempts(); len(sent) != 2 || sent[1] != "c" {
				t.Errorf("sent to %v, want a, c\n%s", sent, strings.Join(targets.trace, "\n"))
			}
		}))
	}
}

// TestStopLeavesResumedRunsThatDontBegin guards against streams that are kept at a target where the
// run that resumed doesn't begin, although another target could go on.
func TestStopLeavesResumedRunsThatDontBegin(t *testing.T) {
	for _, at := range []time.Duration{500 * ms, 3000 * ms, 5000 * ms, 5700 * ms} {
		t.Run(at.String(), inBubble(func(t *testing.T) {
			targets := stopCase{at, forGood, goneBroken, true, "c"}.serveStop(t, func(s *fixture, targets *stopTargets) {
				s.Fleet.SetPeerLoads("vm-2", nil)
				s.Fleet.Put(fleet.Target{ID: "c", Service: "svc", Address: "c:1", Place: "place-c", Slots: 8})
				s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 3}, "c": {Running: 5}})
				s.client.behaviours["b"] = hanging
				s.TargetClient = idle{targets}
				s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
			})
			if sent := targets.sentTo("c"); sent.Sub(targets.signal) > at+resumeTimeout+longestSilence+patience {
				t.Errorf("left %v after the signal\n%s", sent.Sub(targets.signal), strings.Join(targets.trace, "\n"))
			}
		}))
	}
}

// sentTo returns when the stream was last sent to a target.
func (s *stopTargets) sentTo(id string) time.Time {
	var at float64
	for _, line := range s.trace {
		if strings.Contains(line, "sent to "+id) {
			_, _ = fmt.Sscanf(strings.TrimSpace(line), "%f", &at)
		}
	}
	return s.signal.Add(time.Duration(at * float64(time.Second)))
}

// idle reports that target b has nothing to do.
type idle struct{ *stopTargets }

func (i idle) Report(ctx context.Context, t fleet.Target) (Report, error) {
	if t.ID == "b" {
		return Report{Running: map[string]RunStatus{}}, nil
	}
	return i.stopTargets.Report(ctx, t)
}
