package fleet

import (
	"testing"
	"time"
)

// TestSilenceIsAsLongAsItsEvidence guards against streams that are taken from a target which
// has just gone on: its silence counted up to the present, not to the last probe that showed it.
func TestSilenceIsAsLongAsItsEvidence(t *testing.T) {
	f := newTestFleet(1)
	const limit = 1800 * time.Millisecond
	check := func(ms int, want bool) {
		t.Helper()
		if got := f.IsSilent(at(ms), "t0", limit); got != want {
			t.Errorf("silent for less than %v after %d ms: %v, want %v", limit, ms, got, want)
		}
	}
	check(0, false)
	f.Suspect(at(0), "t0", true)
	f.Suspect(at(1100), "t0", true)
	check(2000, true)
	f.Suspect(at(1900), "t0", true)
	check(2000, false)
	f.Suspect(at(2000), "t0", false)
	check(2000, false)
	f.MarkAlive("t0")
	f.Suspect(at(2100), "t0", true)
	check(2200, true)
}
