package exchange

import (
	"fmt"
	"slices"
	"testing"
)

// TestCallersAreSpread guards against a large fleet of which a few daemons get all callers:
// those use at most 64 addresses of an answer, which were the same for all of them.
func TestCallersAreSpread(t *testing.T) {
	const daemons, places, callers, limit = 295, 6, 600, 64
	var list []Member
	for i := range daemons {
		list = append(list, Member{ID: fmt.Sprintf("vm-%03d", i), Place: fmt.Sprint("place-", i%places)})
	}
	chance := make(map[string]float64) // expected callers by daemon
	for c := range callers {
		caller, place := fmt.Sprintf("10.0.%d.%d", c/200, c%200), fmt.Sprint("place-", c%places)
		chosen := SelectForCaller(list, caller, place, limit)
		if len(chosen) != limit {
			t.Fatalf("%d daemons, want %d", len(chosen), limit)
		}
		near := 0
		for _, m := range chosen {
			chance[m.ID] += 1.0 / limit
			if m.Place == place {
				near++
			}
		}
		if near != limit/2 {
			t.Errorf("%d daemons of the caller's place, want %d", near, limit/2)
		}
		gone := chosen[c%limit]
		without := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.ID == gone.ID })
		for _, m := range chosen {
			if m.ID != gone.ID && !slices.Contains(SelectForCaller(without, caller, place, limit), m) {
				t.Fatalf("a caller loses %s because %s ended", m.ID, gone.ID)
			}
		}
	}
	for _, m := range list {
		if mean := float64(callers) / daemons; chance[m.ID] > 2*mean || chance[m.ID] < mean/2 {
			t.Errorf("%s gets %.1f callers, the mean is %.1f", m.ID, chance[m.ID], mean)
		}
	}
	if got := SelectForCaller(list[:limit], "10.0.0.1", "place-0", limit); len(got) != limit {
		t.Errorf("%d daemons of a small fleet, want all %d", len(got), limit)
	}
	if got := SelectForCaller(list, "", "", limit); len(got) != limit {
		t.Errorf("%d daemons for a caller of unknown place, want %d", len(got), limit)
	}
}
