package confirmation

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/trace"
)

func TestReplay(t *testing.T) {
	Convey("Given the trace of a world with faults", t, func() {
		var file bytes.Buffer
		recorder, err := trace.NewRecorder(&file, "site")
		So(err, ShouldBeNil)
		s := newTracedSimulation(7, ruleFaults{}, simLimits, recorder)
		So(s.run(3000), ShouldBeEmpty)
		So(recorder.Err(), ShouldBeNil)
		makers := map[string]trace.MachineFactory{TraceSlice: NewReplay}
		Convey("it replays to the same decisions", func() {
			steps, err := trace.Replay(bytes.NewReader(file.Bytes()), makers)
			So(err, ShouldBeNil)
			So(steps, ShouldBeGreaterThan, 500)
		})
		Convey("steps that are missing are noticed", func() {
			lines := bytes.SplitAfter(file.Bytes(), []byte("\n"))
			var truncated []byte
			for i, line := range lines {
				if i < 20 || !bytes.Contains(line, []byte(`"input":{"type":"Ask"`)) {
					truncated = append(truncated, line...)
				}
			}
			_, err := trace.Replay(bytes.NewReader(truncated), makers)
			So(err, ShouldNotBeNil)
		})
	})
}
