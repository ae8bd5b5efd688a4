package forward

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOldReportEndsNoStream guards against streams that are cut when their target was
// silent and then answers a probe with a report from before the silence, in which the
// run is missing.
func TestOldReportEndsNoStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(map[string]behaviour{"a": pausable(50, eventGap)})
		s.client.reportedRuns = map[string]RunStatus{}
		go func() {
			time.Sleep(placementInterval + eventGap + eventGap/2)
			s.client.pauseFor(silence, "a")
		}()
		got := s.serve(t, streamRoute)
		synctest.Wait()
		if !got.receivedAll(50) {
			t.Errorf("the caller got %d events (want 51), ended %v (want true), error %v", len(got.events), got.ended, got.err)
		}
	})
}
