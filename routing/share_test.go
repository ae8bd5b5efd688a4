package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/configuration"
)

func serviceWithShare(t *rapid.T, share int) *configuration.ServiceView {
	label := map[string]string{"s": "x"}
	s, err := configuration.NewSnapshot(1, configuration.Document{
		Services: []configuration.Service{{Name: "pisar", Kind: configuration.Generation, Selector: "s=x", NewShare: share}},
		Targets: []configuration.Target{
			{Name: "old", System: configuration.OldSystem, Labels: label, Permits: 1},
			{Name: "new", Labels: label, Permits: 1},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	v, _ := s.Service("pisar")
	return v
}

// TestShareMovesOnlyTheDifference: a request keeps its side while the share
// stays, and a greater share moves requests to the new system only.
func TestShareMovesOnlyTheDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.IntRange(0, 100).Draw(t, "low")
		high := rapid.IntRange(low, 100).Draw(t, "high")
		before, again, after := serviceWithShare(t, low), serviceWithShare(t, low), serviceWithShare(t, high)
		onNew := 0
		const requests = 400
		for i := range requests {
			id := fmt.Sprint(rapid.Uint32().Draw(t, "seed"), "-", i)
			a, b := before.Side(id), after.Side(id)
			if again.Side(id) != a {
				t.Fatalf("%s changed sides at a share of %d", id, low)
			}
			if a == configuration.NewSystem && b != a {
				t.Fatalf("%s went back to the old system from %d to %d", id, low, high)
			}
			if a == configuration.NewSystem {
				onNew++
			}
		}
		if low == 0 && onNew > 0 || low == 100 && onNew < requests {
			t.Fatalf("%d of %d requests on the new system at %d %%", onNew, requests, low)
		}
	})
}
