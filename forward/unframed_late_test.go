package forward

import (
	"context"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// lateReporter answers probes after a delay, unless their time ends before.
type lateReporter struct {
	*fakeTargetClient
	delay time.Duration
}

func (s lateReporter) Report(ctx context.Context, t fleet.Target) (Report, error) {
	select {
	case <-time.After(s.delay):
		return s.fakeTargetClient.Report(ctx, t)
	case <-ctx.Done():
		return Report{}, ctx.Err()
	}
}

// TestUnframedEndOfALateTarget guards against complete answers that are lost because their
// target takes longer for a probe than a round trip.
func TestUnframedEndOfALateTarget(t *testing.T) {
	nonIdempotent, onlyOnce := callRoute, streamRoute
	nonIdempotent.Kind, nonIdempotent.Timeout, onlyOnce.Resumable = ingress.NonIdempotent, 8*time.Second, false
	for _, c := range []struct {
		route ingress.Route
		b     behaviour
		body  string
	}{
		{nonIdempotent, bodyOf(200, "the answer", nil), "the answer"},
		{onlyOnce, cutting(51), ""},
	} {
		t.Run(c.route.Name, inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": c.b})
			s.TargetClient = lateReporter{s.client, 300 * time.Millisecond}
			s.Prober = NewProber(s.TargetClient, s.Fleet, s.Events)
			got := s.serve(t, c.route)
			if string(got.body) != c.body || c.body == "" && !got.receivedAll(50) {
				t.Errorf("body %q, %d events, aborted %v, error %v, want a complete answer", got.body, len(got.events), got.aborted, got.err)
			}
			s.Fleet.Remove(time.Now(), "a", false)
			time.Sleep(time.Minute) // the last probes
		}))
	}
}
