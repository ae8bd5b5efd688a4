package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestScorers(t *testing.T) {
	Convey("Scores lie between 0 and 1 and rise with what a scorer prefers", t, func() {
		r := &Request{Blocks: []uint64{1, 2, 3, 4}, AvoidPlaces: []string{"lost"}}
		cases := []struct {
			scorer      Scorer
			worse, best Candidate
		}{
			{LeastLoad{}, testCandidate("a", withLoad(5)), testCandidate("b", withLoad(4))},
			{LeastInFlight{}, testCandidate("a", func(c *Candidate) { c.InFlight = 2 }), testCandidate("b", nil)},
			{CachedPrefix{}, testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.CachedBlocks = 3 })},
			{Nearest{}, testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.Near = SameRegion })},
			{EarliestStart{}, testCandidate("a", func(c *Candidate) { c.Start = time.Second }), testCandidate("b", nil)},
			{Healthy{}, testCandidate("a", func(c *Candidate) { c.Failing = 0.4 }), testCandidate("b", nil)},
			{FreeMemory{}, testCandidate("a", func(c *Candidate) { c.Filled = 1.2 }), testCandidate("b", func(c *Candidate) { c.Filled = 0.5 })},
			{OutsideAvoidedPlaces{}, testCandidate("a", func(c *Candidate) { c.Target.Place = "lost" }), testCandidate("b", nil)},
		}
		for _, c := range cases {
			worse, best := c.scorer.Score(r, &c.worse), c.scorer.Score(r, &c.best)
			So(worse, ShouldBeLessThan, best)
			So(worse, ShouldBeGreaterThanOrEqualTo, 0)
			So(best, ShouldBeLessThanOrEqualTo, 1)
		}
		So(CachedPrefix{}.Score(&Request{}, &cases[2].best), ShouldEqual, 0)
	})
}

func TestAffinityIsAlikeEverywhere(t *testing.T) {
	Convey("Targets are ranked by the key alone, and keys spread over targets", t, func() {
		first := make(map[string]int)
		for i := range 400 {
			r := &Request{Affinity: fmt.Sprint("prompt ", i)}
			best, name := -1.0, ""
			for _, n := range []string{"a", "b", "c", "d"} {
				c := testCandidate(n, withLoad(float64(i%7)))
				if score := (Affinity{}).Score(r, &c); score > best {
					best, name = score, n
				}
			}
			first[name]++
		}
		for _, n := range first {
			So(n, ShouldBeBetween, 50, 150)
		}
		So(len(first), ShouldEqual, 4)
	})
}

func TestBoundedKeepsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cs []Candidate
		for range rapid.IntRange(1, 9).Draw(t, "candidates") {
			cs = append(cs, testCandidate("e", withLoad(float64(rapid.IntRange(0, 40).Draw(t, "load")))))
		}
		if len(BoundedLoad{1, 0}.Balance(cs)) == 0 {
			t.Fatal("no candidate left")
		}
	})
}

func TestPickers(t *testing.T) {
	Convey("Given scores", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		Convey("Best picks the highest and spreads over equal ones", func() {
			seen := make(map[int]bool)
			for range 100 {
				seen[Best{}.Pick([]float64{1, 3, 2, 3}, random)] = true
			}
			So(seen, ShouldResemble, map[int]bool{1: true, 3: true})
		})
		Convey("Choices prefers higher ones", func() {
			counts := make([]int, 2)
			for range 1000 {
				counts[BestOfSample{2}.Pick([]float64{1, 2}, random)]++
			}
			So(counts[1], ShouldBeGreaterThan, 2*counts[0])
		})
	})
}
