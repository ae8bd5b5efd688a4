package forward

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// TestTargetWithoutReportIsNotSuspected guards against callers who are refused because
// sound targets without a model, which answer a probe with status 400, are taken for dead.
func TestTargetWithoutReportIsNotSuspected(t *testing.T) {
	inBubble(func(t *testing.T) {
		f := newFixture(map[string]behaviour{"a": answering(200, false)})
		f.client.reportErr = errors.WithStack(ErrNoReport)
		f.Prober.Check(fleet.Target{ID: "a"})
		time.Sleep(probeTimeout)
		if state := f.Fleet.State(time.Now(), "a"); state != fleet.Ready {
			t.Errorf("the target is %s, want %s", state, fleet.Ready)
		}
	})(t)
}
