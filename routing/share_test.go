package routing

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/configuration"
)

// serviceWithShare returns a service that sends share percent of its requests to the new
// system and the rest to the old one.
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

// TestShareMovesOnlyTheDifference guards against requests that change systems needlessly
// during a migration: with the same share a request keeps its system, and a greater
// share only moves requests to the new system.
func TestShareMovesOnlyTheDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		low := rapid.IntRange(0, 100).Draw(t, "low")
		high := rapid.IntRange(low, 100).Draw(t, "high")
		lower, sameLower, higher := serviceWithShare(t, low), serviceWithShare(t, low), serviceWithShare(t, high)
		onNew := 0
		const requests = 400
		for i := range requests {
			id := fmt.Sprint(rapid.Uint32().Draw(t, "seed"), "-", i)
			atLow, atHigh := lower.SystemFor(id), higher.SystemFor(id)
			if sameLower.SystemFor(id) != atLow {
				t.Fatalf("request %s changed systems at the same share of %d percent", id, low)
			}
			if atLow == configuration.NewSystem && atHigh != atLow {
				t.Fatalf("request %s moved back to the old system when the share rose from %d to %d percent", id, low, high)
			}
			if atLow == configuration.NewSystem {
				onNew++
			}
		}
		if low == 0 && onNew > 0 || low == 100 && onNew < requests {
			t.Fatalf("%d of %d requests on the new system at a share of %d %%, want none at 0 and all at 100 percent", onNew, requests, low)
		}
	})
}
