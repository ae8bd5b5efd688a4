package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// oneRetry allows one retry in two seconds.
var oneRetry = RetryBudgetSettings{Slack: 1.2, Window: 2 * time.Second}

// TestUnsentRetryUsesNoBudget guards against requests that fail because their retry
// budget was used for a target that could not be reached.
func TestUnsentRetryUsesNoBudget(t *testing.T) {
	// secondUnreachable can't be reached by the second attempt of a request.
	secondUnreachable := func(b behaviour) behaviour {
		return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
			if len(s.attempts()) == 2 {
				return nil, errors.WithStack(ErrNotSent)
			}
			return b(ctx, a, s)
		}
	}
	t.Run("a stream", inBubble(func(t *testing.T) {
		s, _ := newFixtureWithBroken(secondUnreachable(streaming(50, -1, eventGap, nil)), failing(ErrNoAnswer))
		s.RetryBudget.UpdateSettings(oneRetry)
		if got := s.serve(t, streamRoute); !got.receivedAll(50) {
			t.Errorf("the caller got %d events (want 51), error %v; sent to %v", len(got.events), got.err, s.client.attempts())
		}
	}))
	t.Run("a call", inBubble(func(t *testing.T) {
		healthy := secondUnreachable(answering(http.StatusOK, false))
		s := newFixture(map[string]behaviour{"a": failing(ErrNoAnswer), "b": healthy, "c": healthy})
		for _, id := range []string{"b", "c"} {
			s.Fleet.Begin(time.Now(), id, fleet.Demand{}) // so that a is picked first
		}
		s.RetryBudget.UpdateSettings(oneRetry)
		if got := s.serve(t, callRoute); got.status != http.StatusOK {
			t.Errorf("status %d, error %v, want an answer; sent to %v", got.status, got.err, s.client.attempts())
		}
	}))
}
