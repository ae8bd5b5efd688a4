package routing

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestEvenLoadFillsUp guards against shares that overload a target: after the expected
// arrivals, the targets that get requests must have the same load, and no other one less.
func TestEvenLoadFillsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []Share
		usable := false
		for range rapid.IntRange(1, 8).Draw(t, "targets") {
			s := Share{Load: rapid.Float64Range(0, 5).Draw(t, "load"), Rate: rapid.SampledFrom([]float64{0, 0.5, 6, 12}).Draw(t, "rate")}
			usable = usable || s.Rate > 0
			targets = append(targets, s)
		}
		e := EvenLoad{Arrivals: rapid.Float64Range(1, 500).Draw(t, "arrivals")}
		picked := e.Pick(targets, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		if !usable {
			if picked != -1 {
				t.Fatalf("target %d was picked, want none: all rates are 0", picked)
			}
			return
		}
		level, filled := e.level(targets), 0.0
		for _, s := range targets {
			filled += s.Rate * max(0, level-s.Load)
		}
		if math.Abs(filled-e.Arrivals) > 1e-6*e.Arrivals {
			t.Fatalf("level %v takes %v requests, want %v; targets %+v", level, filled, e.Arrivals, targets)
		}
		if s := targets[picked]; s.Rate == 0 || s.Load >= level {
			t.Fatalf("target %+v was picked, want one below the level %v", s, level)
		}
	})
}

// TestEvenLoadFlattens guards against daemons that all pick the target which looks idle: its
// share must fall towards its part of the rates as more requests are sent meanwhile.
func TestEvenLoadFlattens(t *testing.T) {
	targets := []Share{{Load: 0, Rate: 6}, {Load: 0.5, Rate: 6}, {Load: 0.5, Rate: 3}}
	for _, c := range []struct{ arrivals, want float64 }{{1, 1}, {6, 0.7}, {24, 0.475}, {10_000, 0.4}} {
		random, idle := rand.New(rand.NewPCG(1, 1)), 0
		const picks = 20_000
		for range picks {
			if (EvenLoad{c.arrivals}).Pick(targets, random) == 0 {
				idle++
			}
		}
		if got := float64(idle) / picks; math.Abs(got-c.want) > 0.02 {
			t.Errorf("with %v arrivals the idle target gets %.3f of the requests, want %.2f", c.arrivals, got, c.want)
		}
	}
}
