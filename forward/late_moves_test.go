package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// secondMover carries the first move out late, after its time; later ones find no run then.
type secondMover struct {
	*fakeTargetClient
	moved chan struct{}
}

func (s secondMover) Move(ctx context.Context, source fleet.Target, _ string, _ fleet.Target) (Copy, fleet.Target, error) {
	s.mu.Lock()
	s.moves++
	first, stop := s.moves == 1, s.cancelRun[source.ID]
	s.mu.Unlock()
	if first {
		go func() {
			time.Sleep(moveTimeout + 200*time.Millisecond)
			stop()
			time.Sleep(time.Millisecond)
			close(s.moved)
		}()
		<-ctx.Done()
		return Copy{}, fleet.Target{}, ctx.Err()
	}
	select {
	case <-s.moved:
		return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
	case <-ctx.Done():
		return Copy{}, fleet.Target{}, ctx.Err()
	}
}

// TestUnframedStreamOfTwoMoves guards against a stream that looks complete because an earlier
// move ended its run during a later one.
func TestUnframedStreamOfTwoMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), unframed(mutePausable(50, eventGap, 20, 10*time.Second)))
		s.TargetClient = secondMover{s.client, make(chan struct{})}
		got := s.serve(t, streamRoute)
		time.Sleep(20 * time.Second)
		expectAll(t, s, got)
	})
}
