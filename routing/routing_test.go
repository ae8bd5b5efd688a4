package routing

import (
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/configuration"
)

// testCandidate returns a free candidate of the new system with 10 slots.
func testCandidate(name string, change func(*Candidate)) Candidate {
	c := Candidate{Target: configuration.Target{Name: name, Permits: 10}, Free: true, Slots: 10}
	if change != nil {
		change(&c)
	}
	return c
}

func withLoad(n float64) func(*Candidate) { return func(c *Candidate) { c.Estimated = n } }

func TestPick(t *testing.T) {
	cases := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       string
		err        error
	}{
		{"the least loaded", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", withLoad(1)), testCandidate("c", withLoad(2))}, "b", nil},
		{"not a leaving one", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Leaving = true })}, "a", nil},
		{"not a dead one", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Down = true })}, "a", nil},
		{"not one that the request lost", Request{Exclude: map[string]bool{"b": true}}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", nil)}, "a", nil},
		{"not one of another version", Request{Version: "1"}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Version = "2" })}, "a", nil},
		{"not one of the other side", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Target.System = configuration.OldSystem })}, "a", nil},
		{"one with a free permit", Request{}, []Candidate{testCandidate("a", withLoad(3)), testCandidate("b", func(c *Candidate) { c.Free = false })}, "a", nil},
		{"one of the same place at equal load", Request{}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.Near = SamePlace }), testCandidate("c", func(c *Candidate) { c.Near = SameRegion })}, "b", nil},
		{"a far one that is less loaded", Request{}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.Near, c.Estimated = SamePlace, 3 })}, "a", nil},
		{"the one that holds the prefix", Request{Blocks: []uint64{1, 2}}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.CachedBlocks, c.Estimated = 2, 1 })}, "b", nil},
		{"not the one that holds the prefix when it is far more loaded", Request{Blocks: []uint64{1, 2}}, []Candidate{testCandidate("a", nil), testCandidate("b", func(c *Candidate) { c.CachedBlocks, c.Estimated = 2, 9 })}, "a", nil},
		{"none when all are busy", Request{}, []Candidate{testCandidate("a", func(c *Candidate) { c.Free = false })}, "", ErrBusy},
		{"none when no target is left", Request{}, []Candidate{testCandidate("a", func(c *Candidate) { c.Free, c.Down = false, true })}, "", ErrNoTarget},
	}
	Convey("Given candidates, the default scheduler picks", t, func() {
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
