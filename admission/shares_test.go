package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func daemonIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("vm-", i)
	}
	return out
}

// TestSharesAddUp checks that the shares of daemons with the same fleet add up to
// exactly the limits, and that HomeCount daemons, at least one, have a share.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		live := daemonIDs(rapid.IntRange(1, 40).Draw(t, "live"))
		permits := rapid.IntRange(1, 200).Draw(t, "permits")
		reserved := rapid.IntRange(0, permits-1).Draw(t, "reserved")
		name := rapid.StringN(1, 8, 8).Draw(t, "target")
		var sum Share
		homes := 0
		for _, id := range live {
			s := NewFleet(id, live).Share(name, permits, reserved)
			sum.Permits += s.Permits
			sum.Reserved += s.Reserved
			if s.Permits > 0 {
				homes++
			}
			if s.Reserved > s.Permits {
				t.Fatalf("share has %d reserved permits, want at most its %d permits", s.Reserved, s.Permits)
			}
		}
		if sum.Permits != permits || sum.Reserved != reserved {
			t.Fatalf("shares add up to %+v, want %d permits and %d reserved", sum, permits, reserved)
		}
		if homes != HomeCount(len(live), permits) || homes == 0 {
			t.Fatalf("%d daemons have a share, want HomeCount and at least 1", homes)
		}
	})
}

func TestOutsiderHasNoShare(t *testing.T) {
	if s := NewFleet("vm-9", daemonIDs(3)).Share("e1", 16, 2); s != (Share{}) {
		t.Fatalf("a daemon outside the fleet has the share %+v, want an empty one", s)
	}
}

// fleetModel simulates daemons whose views of a changing fleet lag by at most lag.
type fleetModel struct {
	delay  time.Duration
	lag    time.Duration
	all    []string
	shares map[string]*Shares
}

// fleetChange is the set of live daemons from a time on.
type fleetChange struct {
	at   time.Duration
	live []string
}

// viewAt returns the daemons that are live at a time.
func viewAt(changes []fleetChange, at time.Duration) []string {
	current := changes[0].live
	for _, c := range changes {
		if c.at <= at {
			current = c.live
		}
	}
	return current
}

// totalInUse updates the shares of all daemons at a time, each with a random lag
// of its view, and returns the sum of the permits in use.
func (m *fleetModel) totalInUse(t *rapid.T, changes []fleetChange, at time.Duration, name string, permits int) int {
	var sum int
	for _, id := range m.all {
		lag := time.Duration(rapid.Int64Range(0, int64(m.lag)).Draw(t, "lag"))
		fleet := NewFleet(id, viewAt(changes, at-lag))
		m.shares[id].Update(start.Add(at), fleet.Fingerprint(), map[string]Share{name: fleet.Share(name, permits, 0)})
		sum += m.shares[id].InUse(name).Permits
	}
	return sum
}

// maxInUseUnderChurn returns the largest sum of the shares of one target in use while
// the fleet changes.
func maxInUseUnderChurn(t *rapid.T, delay, lag time.Duration) int {
	const permits, step = 16, 100 * time.Millisecond
	m := &fleetModel{delay: delay, lag: lag, all: daemonIDs(12), shares: make(map[string]*Shares)}
	for _, id := range m.all {
		m.shares[id] = NewShares(delay)
	}
	changes := []fleetChange{{0, m.all[:rapid.IntRange(1, 12).Draw(t, "live")]}}
	for i := range rapid.IntRange(1, 4).Draw(t, "changes") {
		at := time.Duration(i+1) * time.Duration(rapid.IntRange(1, 40).Draw(t, "gap")) * step
		from := rapid.IntRange(0, 11).Draw(t, "from")
		changes = append(changes, fleetChange{at, m.all[from:rapid.IntRange(from+1, 12).Draw(t, "to")]})
	}
	maxInUse := 0
	for at := time.Duration(0); at < 8*time.Second; at += step {
		maxInUse = max(maxInUse, m.totalInUse(t, changes, at, "e1", permits))
	}
	return maxInUse
}

// TestSharesUnderChurn checks that the shares in use never exceed the limit in
// total while the fleet changes, if the delay is greater than the lag of views.
func TestSharesUnderChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if maxInUse := maxInUseUnderChurn(t, 2*time.Second, time.Second); maxInUse > 16 {
			t.Fatalf("the daemons use %d permits together, want at most 16", maxInUse)
		}
	})
}

// TestSharesNeedTheDelay checks that TestSharesUnderChurn detects shares without the
// delay: daemons with different views then exceed the limit together.
func TestSharesNeedTheDelay(t *testing.T) {
	run := rapid.Custom(func(t *rapid.T) int { return maxInUseUnderChurn(t, 0, time.Second) })
	for seed := range 200 {
		if run.Example(seed) > 16 {
			return
		}
	}
	t.Fatal("shares without a delay never exceeded the limit together, want an excess")
}
