package replayers

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TestTraces replays every trace in trace/testdata and compares it with the expected
// outcome in the JSON file of the same name. It detects changes of the decision
// logic that make recorded traces diverge.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("../testdata/*.trace")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		Convey(filepath.Base(file), t, func() {
			outcome := readOutcome(strings.TrimSuffix(file, ".trace") + ".json")
			So(outcome.About, ShouldNotBeEmpty)
			So(outcome.Decisions, ShouldNotBeEmpty)
			f := openFile(file)
			steps, err := trace.Replay(f, All())
			So(err, ShouldBeNil)
			So(steps, ShouldBeGreaterThan, 0)
			So(outcome.Check(openFile(file)), ShouldBeNil)
		})
	}
}

func readOutcome(path string) trace.Outcome {
	b, err := os.ReadFile(path)
	So(err, ShouldBeNil)
	var o trace.Outcome
	So(json.Unmarshal(b, &o), ShouldBeNil)
	return o
}

func openFile(path string) *os.File {
	f, err := os.Open(path)
	So(err, ShouldBeNil)
	Reset(func() { _ = f.Close() })
	return f
}
