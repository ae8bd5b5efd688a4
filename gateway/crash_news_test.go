package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/quarantine"
)

// TestCrashesOfAPlaceAreOneBroadcast guards against a call to each daemon for each run that
// the loss of a place ends, and against reports that go one way only.
func TestCrashesOfAPlaceAreOneBroadcast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runs = 100
		var broadcasts [][]quarantine.CrashReport
		n := newCrashNews(func(requests []quarantine.RequestKey) (out []quarantine.CrashReport) {
			for _, r := range requests {
				out = append(out, quarantine.CrashReport{Request: r})
			}
			return out
		}, func(reports []quarantine.CrashReport) { broadcasts = append(broadcasts, reports) })
		for i := range runs {
			n.add(quarantine.RequestKey{ID: fmt.Sprint("r", i)})
			time.Sleep(crashBatchDelay / (2 * runs))
		}
		time.Sleep(crashBatchDelay)
		synctest.Wait()
		if len(broadcasts) != 1 || len(broadcasts[0]) != runs {
			t.Errorf("%d broadcasts, want one with %d reports", len(broadcasts), runs)
		}
		for i := range crashReportRepeats {
			if got := len(n.take()); got != runs {
				t.Errorf("load report %d carries %d crash reports, want %d", i, got, runs)
			}
		}
		if got := len(n.take()); got != 0 {
			t.Errorf("a later load report carries %d crash reports, want none", got)
		}
	})
}
