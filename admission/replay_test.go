package admission

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/target"
	"github.com/vanillaroad/vanillaroad/trace"
)

// recordRun sends random messages to a traced controller and returns its trace.
func recordRun(seed uint64, steps int) []byte {
	var file bytes.Buffer
	recorder, err := trace.NewRecorder(&file, "vm-1")
	So(err, ShouldBeNil)
	random := rand.New(rand.NewPCG(seed, 0))
	names := []string{"e1", "e2"}
	now := start
	c := NewTraced(recorder, now, DefaultSettings(), firstFreePlacer{order: names})
	c.Step(now, Configure{Targets: []TargetLimit{{"e1", 3, 1}, {"e2", 2, 0}}, Lanes: map[string][]string{testLane: names}})
	for id := uint64(1); id <= uint64(steps); id++ {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		c.Step(now, Submit{Ticket{
			ID: id, Request: fmt.Sprint(id), Workspace: fmt.Sprint("w", random.IntN(3)), Lane: testLane, Bytes: 10, Weight: 1, MaxQueued: 9,
			Priority: target.Priority(random.IntN(3)), Retry: random.IntN(5) == 0, Deadline: now.Add(time.Duration(random.IntN(3000)) * time.Millisecond),
		}})
		c.Step(now, Release{uint64(random.IntN(int(id))) + 1, random.IntN(4) > 0})
		c.Step(now, []Message{Tick{}, Wake{}, Cancel{id}, Gone{"e1"}, Restarted{"e2", now}, Block{"e1", id%2 == 0}, Adopt{Ticket{ID: id + 1<<32, Lane: testLane}, "e2"}}[random.IntN(7)])
	}
	So(recorder.Err(), ShouldBeNil)
	return file.Bytes()
}

func TestReplay(t *testing.T) {
	factories := map[string]trace.MachineFactory{TraceSlice: NewReplay}
	Convey("A recorded run replays to the same decisions", t, func() {
		for seed := range uint64(20) {
			steps, err := trace.Replay(bytes.NewReader(recordRun(seed, 200)), factories)
			So(err, ShouldBeNil)
			So(steps, ShouldEqual, 2+3*200)
		}
	})
	Convey("A modified trace diverges", t, func() {
		changed := strings.Replace(string(recordRun(1, 200)), `"target":"e1","waited"`, `"target":"e2","waited"`, 1)
		_, err := trace.Replay(strings.NewReader(changed), factories)
		So(errors.Is(err, trace.ErrDiverged), ShouldBeTrue)
	})
}
