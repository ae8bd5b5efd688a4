package event

import (
	"bytes"
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestCatalogue(t *testing.T) {
	Convey("numbers and names are unique and described, and numbers are within the range of their group", t, func() {
		numbers, names := make(map[Number]bool), make(map[string]bool)
		for _, g := range groups {
			for _, e := range g.entries {
				So(numbers[e.Number], ShouldBeFalse)
				So(names[e.Name], ShouldBeFalse)
				numbers[e.Number], names[e.Name] = true, true
				So(e.Number, ShouldBeBetweenOrEqual, g.first, g.first+groupSize-1)
				So(regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`).MatchString(e.Name), ShouldBeTrue)
				So(e.Meaning, ShouldNotBeEmpty)
				So(Lookup(e.Number), ShouldResemble, e)
			}
		}
		So(Catalogue(), ShouldHaveLength, len(numbers))
		So(Lookup(1), ShouldResemble, unknownEntry)
	})
	Convey("docs/EVENTS.md matches the catalogue; if not, run go generate ./event", t, func() {
		page, err := os.ReadFile("../docs/EVENTS.md")
		So(err, ShouldBeNil)
		So(string(page), ShouldEqual, Document())
	})
}

// TestClock checks that hybrid times always rise in two processes whose wall clocks
// jump in both directions, and that a message is received after it was sent.
func TestClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wall [2]time.Time
		var clocks [2]*Clock
		var last [2]Time
		for i := range clocks {
			wall[i] = time.UnixMilli(1_000_000)
			clocks[i] = NewClock(func() time.Time { return wall[i] })
		}
		t.Repeat(map[string]func(*rapid.T){
			"wall clock moves": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "process")
				wall[i] = wall[i].Add(time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"event": func(t *rapid.T) {
				i := rapid.IntRange(0, 1).Draw(t, "process")
				now := clocks[i].Now()
				if now <= last[i] {
					t.Fatalf("Now returned %d, want a time above the previous one, %d", now, last[i])
				}
				last[i] = now
			},
			"message": func(t *rapid.T) {
				from := rapid.IntRange(0, 1).Draw(t, "from")
				sent := clocks[from].Now()
				clocks[1-from].Observe(sent)
				received := clocks[1-from].Now()
				if received <= sent {
					t.Fatalf("a message was received at time %d, want a time above that of its sending, %d", received, sent)
				}
				last[from], last[1-from] = sent, received
			},
		})
	})
	Convey("the wall part is in milliseconds", t, func() {
		at := time.UnixMilli(1_700_000_000_123)
		So(NewClock(func() time.Time { return at }).Now().Wall().Equal(at), ShouldBeTrue)
	})
}

func TestRecorder(t *testing.T) {
	Convey("a recorder", t, func() {
		var out bytes.Buffer
		at := time.UnixMilli(1000)
		r := NewRecorder("vm-1", NewClock(func() time.Time { return at }), log.NewJSONLogger(&out), 4)
		for _, request := range []string{"a", "b", "a", "b", "a", "b"} {
			r.Record(GenerationDone, request, F("tokens", "5"))
		}
		Convey("keeps the newest events in time order", func() {
			events := r.Events("", 0)
			So(events, ShouldHaveLength, 4)
			for i := 1; i < len(events); i++ {
				So(events[i].Time, ShouldBeGreaterThan, events[i-1].Time)
			}
			So(r.Events("", events[1].Time), ShouldResemble, events[2:])
		})
		Convey("counts all events, including overwritten ones", func() {
			So(r.Counts(), ShouldResemble, map[Number]int64{GenerationDone: 6})
		})
		Convey("finds the events of one request", func() {
			events := r.Events("a", 0)
			So(events, ShouldHaveLength, 2)
			So(events[0], ShouldResemble, Event{
				Time: events[0].Time, Node: "vm-1", Number: GenerationDone, Name: "generation_done",
				Request: "a", Fields: map[string]string{"tokens": "5"},
			})
		})
		Convey("logs number, name, level and fields", func() {
			var line map[string]any
			So(json.NewDecoder(&out).Decode(&line), ShouldBeNil)
			So(line, ShouldResemble, map[string]any{
				"level": "debug", "event": 404.0, "name": "generation_done", "request": "a", "tokens": "5",
			})
		})
	})
}

// TestEverythingIsLoggedDuringAStop guards against requests of a stopping daemon that no line names,
// because lines about successful requests are limited.
func TestEverythingIsLoggedDuringAStop(t *testing.T) {
	var out bytes.Buffer
	r := NewRecorder("vm-1", NewClock(time.Now), log.NewJSONLogger(&out), 4)
	r.LimitRoutineLogs(1)
	for range 5 {
		r.Record(RequestAnswered, "before")
	}
	r.LogEverything()
	for range 5 {
		r.Record(RequestAnswered, "during")
	}
	if before, during := strings.Count(out.String(), "before"), strings.Count(out.String(), "during"); before != 1 || during != 5 {
		t.Errorf("%d lines before the stop and %d during it, want 1 and 5", before, during)
	}
}
