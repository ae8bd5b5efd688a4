package fleet

import "testing"

// TestStreamIsNotQueued guards against streams that wait in the queue of a full target, until
// their daemon stops, while another target has a slot free (review/3).
func TestStreamIsNotQueued(t *testing.T) {
	f := newTestFleet(2)
	criteria, demand := promptOf(2000)
	_, running := promptOf(0)
	for range 16 {
		f.Begin(start, "t0", running)
	}
	f.Begin(start, "t1", demand)
	for range 14 {
		f.Begin(start, "t1", running)
	}
	for _, want := range []string{"t1", "t0"} { // then both are full
		got, err := f.Pick(start, criteria)
		if err != nil || got.ID != want {
			t.Fatalf("picked %q, error %v, want %q", got.ID, err, want)
		}
		f.Begin(start, got.ID, demand)
	}
}

// TestHeldSlotsAreNotGivenTwice guards against requests that look for room at the same time and
// get the same slot.
func TestHeldSlotsAreNotGivenTwice(t *testing.T) {
	f := newTestFleet(1)
	var releases []func()
	for range 16 {
		release, ok := f.HoldSlot("t0", 0, 0)
		if !ok {
			t.Fatalf("only %d of 16 slots could be held", len(releases))
		}
		releases = append(releases, release)
	}
	if _, ok := f.HoldSlot("t0", 0, 0); ok {
		t.Error("17 of 16 slots are held")
	}
	for _, release := range releases {
		release()
		release()
	}
	if running, memory := f.TotalLoad("t0"); running != 0 || memory != 0 {
		t.Errorf("%d requests and %d tokens are left, want none", running, memory)
	}
}
