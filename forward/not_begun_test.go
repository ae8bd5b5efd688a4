package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// notBegun answers a run that resumes from a copy as if it waited for memory, and others like b.
func notBegun(b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		if a.Resume != (Copy{}) {
			return hanging(ctx, a, s)
		}
		return b(ctx, a, s)
	}
}

// copiesOnly refuses runs that resume from a copy which no run could have made.
func copiesOnly(existing *sync.Map, b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		if _, ok := existing.Load(a.Target.ID); a.Resume != (Copy{}) && !ok {
			return answering(http.StatusServiceUnavailable, true)(ctx, a, s)
		}
		return b(ctx, a, s)
	}
}

// TestRunThatHasNotBegunHasNoCopy guards against streams that leave a target at which their run has
// not begun for a copy of it: only a run that has begun is copied, so that the holder refuses
// (issue 54).
func TestRunThatHasNotBegunHasNoCopy(t *testing.T) {
	for _, lostAt := range []int{0, 1, 5, 60} {
		t.Run(fmt.Sprintf("the first run is lost at event %d", lostAt), inBubble(func(t *testing.T) {
			var copies sync.Map
			first := streaming(100, lostAt, eventGap, errors.Wrap(io.ErrUnexpectedEOF, "broken"))
			next := streaming(100, -1, eventGap, nil)
			s := newFixture(map[string]behaviour{"a": first, "b": next, "c": next, "d": next})
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {PrefillTokens: 9_000}, "c": {PrefillTokens: 9_000}, "d": {PrefillTokens: 9_000}})
			copied := func(ctx context.Context, a Attempt, c *fakeTargetClient) (*Answer, error) {
				if a.CopyTo != nil {
					copies.Store(a.CopyTo.ID, true) // while it runs; the next one never begins
				}
				return first(ctx, a, c)
			}
			s.client.behaviours["a"] = copied
			for _, id := range []string{"b", "c", "d"} {
				s.client.behaviours[id] = copiesOnly(&copies, notBegun(next))
			}
			got := s.serve(t, streamRoute)
			for i, id := range s.client.attempts() {
				sent := s.client.attempt(i)
				if _, ok := copies.Load(id); sent.Resume != (Copy{}) && !ok {
					t.Errorf("attempt %d at %s resumes from a copy that no run has made", i, id)
				}
			}
			if !got.receivedAll(100) {
				t.Errorf("the caller got %d events, error %v", len(got.events), got.err)
			}
			s.awaitStops()
			synctest.Wait()
		}))
	}
}
