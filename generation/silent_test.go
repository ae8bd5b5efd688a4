package generation

import (
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
)

// TestSilentTargetKeepsItsAnswer guards against answers that end because their target was
// given up for silence although no other target could take them.
func TestSilentTargetKeepsItsAnswer(t *testing.T) { testSilentTarget(t, latency) }

// TestSilentTargetKeepsItsAnswerResourcesFirst is the same with the other objective.
func TestSilentTargetKeepsItsAnswerResourcesFirst(t *testing.T) { testSilentTarget(t, resources) }

// testSilentTarget runs an answer whose target is silent for 1.6 s, which is no fault,
// while no other target is ready.
func testSilentTarget(t *testing.T, objective configuration.Objective) {
	t.Helper()
	const silence, gap, tokens = 1600 * ms, 20 * ms, 20
	m := NewMachine(Setup{Settings: DefaultSettings(), Objective: objective, MaxTokens: tokens, FirstAttempt: 1})
	now := time.Unix(1000, 0)
	var pending []Input
	var finish *Finish
	apply := func(ds []Decision) {
		for _, d := range ds {
			switch d := d.(type) {
			case Route:
				if d.Attempt == 1 {
					pending = append(pending, routedTo(1, "a"))
				} else { // no other target is ready, and the permit of the first attempt is still in use
					pending = append(pending, RouteFailed{d.Attempt, noTarget})
				}
			case Finish:
				finish = &d
			}
		}
	}
	apply(m.Start(now))
	position, nextToken := int64(0), now.Add(gap)
	for end := now.Add(20 * time.Second); now.Before(end) && finish == nil; now = now.Add(10 * ms) {
		for len(pending) > 0 {
			in := pending[0]
			pending = pending[1:]
			apply(m.Step(now, in))
		}
		if !now.Before(nextToken) {
			apply(m.Step(now, token(1, 1, position)))
			position++
			nextToken = now.Add(gap)
			if position == tokens/2 {
				nextToken = now.Add(silence)
			}
		}
		if position == tokens {
			apply(m.Step(now, done(1, 1, position)))
		}
		apply(m.Step(now, Tick{}))
	}
	if finish == nil || finish.Err != nil || len(m.Tokens()) != tokens {
		t.Errorf("the answer has %d tokens (want 20) and ends with %+v, want a complete answer", len(m.Tokens()), finish)
	}
}
