package routing

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/trace"
)

func TestReplay(t *testing.T) {
	Convey("Recorded choices replay to the same targets", t, func() {
		var file bytes.Buffer
		out, err := trace.NewRecorder(&file, "vm-1")
		So(err, ShouldBeNil)
		out.RecordInit(TraceSlice, "", start, Made{"default"})
		for seed := range uint64(100) {
			c := Choose{
				Request:    Request{ID: "r", System: configuration.NewSystem, Blocks: []uint64{1, 1 << 63}},
				Candidates: []Candidate{testCandidate("a", withLoad(float64(seed%4))), testCandidate("b", nil), testCandidate("c", func(c *Candidate) { c.Free = seed%3 == 0 })},
				Seed:       seed,
			}
			picked, err := c.Pick(Default())
			trace.Record(out, TraceSlice, "", start, c, []Chosen{NewChosen(picked, err)})
		}
		steps, err := trace.Replay(&file, map[string]trace.MachineFactory{TraceSlice: NewReplay})
		So(err, ShouldBeNil)
		So(steps, ShouldEqual, 101)
	})
}
