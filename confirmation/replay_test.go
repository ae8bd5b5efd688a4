package confirmation

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/trace"
)

func TestReplay(t *testing.T) {
	Convey("Given the trace of a simulation with lost messages and crashes", t, func() {
		var file bytes.Buffer
		recorder, err := trace.NewRecorder(&file, "site")
		So(err, ShouldBeNil)
		s := newTracedSimulation(7, ruleFaults{}, simLimits, recorder)
		So(s.run(3000), ShouldBeEmpty)
		So(recorder.Err(), ShouldBeNil)
		factories := map[string]trace.MachineFactory{TraceSlice: NewReplay}
		Convey("it replays to the same decisions", func() {
			steps, err := trace.Replay(bytes.NewReader(file.Bytes()), factories)
			So(err, ShouldBeNil)
			So(steps, ShouldBeGreaterThan, 500)
		})
		Convey("replay fails if steps are missing", func() {
			lines := bytes.SplitAfter(file.Bytes(), []byte("\n"))
			var incomplete []byte
			for i, line := range lines {
				if i < 20 || !bytes.Contains(line, []byte(`"input":{"type":"Ask"`)) {
					incomplete = append(incomplete, line...)
				}
			}
			_, err := trace.Replay(bytes.NewReader(incomplete), factories)
			So(err, ShouldNotBeNil)
		})
	})
}
