package forward

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// TestLoadsAreRecorded guards against loads that are lost with a refusal or a probe, and against
// the load of another target at the same address.
func TestLoadsAreRecorded(t *testing.T) {
	load := fleet.LoadStatement{Running: 6, Waiting: 2, Slots: 6}
	for _, c := range []struct {
		name   string
		status int
		other  bool
		want   int
	}{{"success", 200, false, 1}, {"refusal", 503, false, 1}, {"another target", 421, true, 0}} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": func(ctx context.Context, a Attempt, f *fakeTargetClient) (*Answer, error) {
				answer, err := answering(c.status, c.status != 200)(ctx, a, f)
				answer.OtherTarget, answer.Load = c.other, load
				return answer, err
			}})
			s.serve(t, callRoute)
			synctest.Wait()
			if n := len(s.Fleet.LoadSpreads(time.Now())); n != c.want {
				t.Errorf("%s: %d services state their load, want %d", c.name, n, c.want)
			}
			if n := s.Events.Counts()[event.LoadStated]; n != int64(c.want) {
				t.Errorf("%s: %d events, want %d", c.name, n, c.want)
			}
		})
	}
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": answering(200, false)})
		s.client.load = load
		reply := make(chan ProbeResult, 1)
		a, _ := s.Fleet.Pick(time.Now(), fleet.Criteria{Service: "svc"})
		s.Prober.Probe(a, reply)
		<-reply
		if len(s.Fleet.LoadSpreads(time.Now())) != 1 {
			t.Error("the load stated in the answer to a probe is not recorded")
		}
	})
}
