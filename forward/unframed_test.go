package forward

import (
	"context"
	"testing"
)

// unframed answers like b, without a frame: a connection that ends looks like the end of
// the answer.
func unframed(b behaviour) behaviour {
	return func(ctx context.Context, a Attempt, s *fakeTargetClient) (*Answer, error) {
		answer, err := b(ctx, a, s)
		if err == nil {
			answer.Framed = false
		}
		return answer, err
	}
}

// end ends the processes of targets.
func (s *fakeTargetClient) end(ids ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.ended[id] = true
	}
}

// cutting answers without a frame, and ends like a complete answer before the event cutAt.
func cutting(cutAt int) behaviour { return unframed(streaming(cutAt-1, -1, eventGap, nil)) }

// TestUnframedStreamWithoutEvents guards against an answer that looks complete without any
// event, because the connection of an answer without a frame ended before the first one.
func TestUnframedStreamWithoutEvents(t *testing.T) {
	inBubble(func(t *testing.T) {
		s, first := newFixtureWithBroken(streaming(50, -1, eventGap, nil), cutting(0))
		expectAll(t, s, s.serve(t, streamRoute))
		if crashed := s.crashTracker.crashed; len(crashed) != 1 || crashed[0] != first {
			t.Errorf("crashes %v, want one of the first target", crashed)
		}
	})(t)
}
