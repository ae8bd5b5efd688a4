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
	Convey("Scores are between 0 and 1 and higher for the preferred candidate", t, func() {
		r := &Request{Blocks: []uint64{1, 2, 3, 4}, AvoidPlaces: []string{"lost"}}
		cases := []struct {
			scorer        Scorer
			worse, better Candidate
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
			worse, better := c.scorer.Score(r, &c.worse), c.scorer.Score(r, &c.better)
			So(worse, ShouldBeLessThan, better)
			So(worse, ShouldBeGreaterThanOrEqualTo, 0)
			So(better, ShouldBeLessThanOrEqualTo, 1)
		}
		So(CachedPrefix{}.Score(&Request{}, &cases[2].better), ShouldEqual, 0)
	})
}

func TestAffinityIsAlikeEverywhere(t *testing.T) {
	Convey("Targets are ranked only by Request.Affinity, and keys are distributed evenly over the targets", t, func() {
		wins := make(map[string]int)
		for i := range 400 {
			r := &Request{Affinity: fmt.Sprint("prompt ", i)}
			best, name := -1.0, ""
			for _, n := range []string{"a", "b", "c", "d"} {
				c := testCandidate(n, withLoad(float64(i%7)))
				if score := (Affinity{}).Score(r, &c); score > best {
					best, name = score, n
				}
			}
			wins[name]++
		}
		for _, n := range wins {
			So(n, ShouldBeBetween, 50, 150)
		}
		So(len(wins), ShouldEqual, 4)
	})
}

func TestBoundedKeepsOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cs []Candidate
		for range rapid.IntRange(1, 9).Draw(t, "candidates") {
			cs = append(cs, testCandidate("e", withLoad(float64(rapid.IntRange(0, 40).Draw(t, "load")))))
		}
		if len(BoundedLoad{1, 0}.Balance(cs)) == 0 {
			t.Fatal("Balance dropped all candidates")
		}
	})
}

func TestPickers(t *testing.T) {
	Convey("Given scores", t, func() {
		random := rand.New(rand.NewPCG(1, 1))
		Convey("Best picks the highest score, and any of several equal ones", func() {
			picked := make(map[int]bool)
			for range 100 {
				picked[Best{}.Pick([]float64{1, 3, 2, 3}, random)] = true
			}
			So(picked, ShouldResemble, map[int]bool{1: true, 3: true})
		})
		Convey("BestOfSample prefers higher scores", func() {
			counts := make([]int, 2)
			for range 1000 {
				counts[BestOfSample{2}.Pick([]float64{1, 2}, random)]++
			}
			So(counts[1], ShouldBeGreaterThan, 2*counts[0])
		})
	})
}
