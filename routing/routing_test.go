package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/configuration"
)

// testCandidate returns a candidate of the new system with a free permit and 10 slots.
func testCandidate(name string, change func(*Candidate)) Candidate {
	c := Candidate{Target: configuration.Target{Name: name, Permits: 10}, Free: true, Slots: 10}
	if change != nil {
		change(&c)
	}
	return c
}

// withLoad returns a change of a candidate that sets its estimated requests.
func withLoad(n float64) func(*Candidate) { return func(c *Candidate) { c.Estimated = n } }

func TestPick(t *testing.T) {
	cases := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       string
		err        error
	}{
		{"the least loaded target", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", withLoad(1)), testCandidate("c", withLoad(2))}, "b", nil},
		{"no leaving target", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Leaving = true })}, "a", nil},
		{"no target that is down", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Down = true })}, "a", nil},
		{"no target that the request excludes", Request{Exclude: map[string]bool{"b": true}}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", nil)}, "a", nil},
		{"no target with another model version", Request{Version: "1"}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Version = "2" })}, "a", nil},
		{"no target of the other system", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Target.System = configuration.OldSystem })}, "a", nil},
		{"a target with a free permit", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Free = false })}, "a", nil},
		{"the target in the same place at equal load", Request{}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.Near = SamePlace }), testCandidate("c", func(c *Candidate) { c.Near = SameRegion })}, "b", nil},
		{"a distant target that is less loaded", Request{}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.Near, c.Estimated = SamePlace, 3 })}, "a", nil},
		{"the target that holds the prefix", Request{Blocks: []uint64{1, 2}}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.CachedBlocks, c.Estimated = 2, 1 })}, "b", nil},
		{"another target if the one that holds the prefix is far more loaded", Request{Blocks: []uint64{1, 2}}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.CachedBlocks, c.Estimated = 2, 9 })}, "a", nil},
		{"no target if none has a free permit", Request{}, []Candidate{testCandidate("a", func(c *Candidate) { c.Free = false })}, "", ErrBusy},
		{"no target if none passes the filters", Request{}, []Candidate{testCandidate("a", func(c *Candidate) { c.Free, c.Down = false, true })}, "", ErrNoTarget},
	}
	Convey("The default scheduler picks", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				c.request.System = configuration.NewSystem
				got, err := Default().Pick(&c.request, c.candidates, rand.New(rand.NewPCG(1, 1)))
				So(errors.Is(err, c.err), ShouldBeTrue)
				So(got.Target.Name, ShouldEqual, c.want)
			})
		}
	})
}
