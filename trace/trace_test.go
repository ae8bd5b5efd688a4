package trace

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// adder is a state machine that multiplies each input by factor, adds it up and decides
// the total.
type adder struct{ total, factor int }

type add struct{ N int }

type total struct{ N int }

func (s *adder) apply(a add) []total {
	s.total += a.N * s.factor
	return []total{{s.total}}
}

func (s *adder) step(_ time.Time, a add) []total { return s.apply(a) }

// factories returns a factory of adders. With bias 0 they are correct; any other bias
// makes them deliberately wrong, because it is added to the factor.
func factories(bias int) map[string]MachineFactory {
	return map[string]MachineFactory{"sum": func(args json.RawMessage) (Machine, error) {
		s := &adder{}
		err := json.Unmarshal(args, &s.factor)
		s.factor += bias
		return NewStepper(NewInputTypes(add{}), s.step), err
	}}
}

// recordTrace returns the trace of two adders.
func recordTrace() string {
	var out bytes.Buffer
	r, err := NewRecorder(&out, "vm-1")
	So(err, ShouldBeNil)
	at := time.Unix(1, 0)
	machines := map[string]*adder{"a": {factor: 1}, "b": {factor: 2}}
	for _, key := range []string{"a", "b"} {
		r.RecordInit("sum", key, at, machines[key].factor)
	}
	for i, key := range []string{"a", "b", "a", "b"} {
		in := add{i}
		Record(r, "sum", key, at, in, machines[key].apply(in))
	}
	So(r.Err(), ShouldBeNil)
	return out.String()
}

func TestReplay(t *testing.T) {
	Convey("a recorded trace", t, func() {
		text := recordTrace()
		lines := strings.SplitAfter(text, "\n")
		Convey("replays to the same decisions", func() {
			steps, err := Replay(strings.NewReader(text), factories(0))
			So(err, ShouldBeNil)
			So(steps, ShouldEqual, 6)
		})
		Convey("is skipped if its slice has no factory", func() {
			steps, err := Replay(strings.NewReader(text), nil)
			So(err, ShouldBeNil)
			So(steps, ShouldEqual, 0)
		})
		Convey("that is truncated is replayed up to its last complete step", func() {
			steps, err := Replay(strings.NewReader(text[:len(text)-5]), factories(0))
			So(err, ShouldBeNil)
			So(steps, ShouldEqual, 5)
		})
		failing := []struct {
			name, text string
			bias       int
			want       error
		}{
			{"logic that makes other decisions", text, 1, ErrDiverged},
			{"a changed input", strings.Replace(text, `"value":{"N":2}`, `"value":{"N":7}`, 1), 0, ErrDiverged},
			{"a missing input", strings.Join(append(append([]string{}, lines[:4]...), lines[5:]...), ""), 0, ErrDiverged},
			{"inputs in a different order", strings.Join([]string{lines[0], lines[1], lines[2], lines[5], lines[3]}, ""), 0, ErrDiverged},
			{"an unknown format", `{"format":"x","version":1}`, 0, ErrFormat},
			{"an unknown version", `{"format":"vanillaroad-trace","version":0}`, 0, ErrFormat},
			{"an empty file", "", 0, ErrFormat},
		}
		for _, c := range failing {
			Convey(c.name+" is an error", func() {
				_, err := Replay(strings.NewReader(c.text), factories(c.bias))
				So(errors.Is(err, c.want), ShouldBeTrue)
			})
		}
		Convey("with a step of a machine that has no first step is an error", func() {
			_, err := Replay(strings.NewReader(lines[0]+lines[3]), factories(0))
			So(err, ShouldNotBeNil)
		})
		Convey("with a malformed line in the middle is an error", func() {
			_, err := Replay(strings.NewReader(lines[0]+lines[1]+"{\n"+lines[2]), factories(0))
			So(err, ShouldNotBeNil)
		})
	})
	Convey("a nil recorder records nothing", t, func() {
		var r *Recorder
		r.RecordInit("sum", "a", time.Time{}, 1)
		Record(r, "sum", "a", time.Time{}, add{1}, []total{{1}})
	})
}

func TestInputs(t *testing.T) {
	inputs := NewInputTypes[any](add{}, total{})
	cases := []struct {
		name     string
		recorded TypedValue
		want     any
		err      error
	}{
		{"a known type", TypedValue{"total", json.RawMessage(`{"N":2}`)}, total{2}, nil},
		{"an unknown type", TypedValue{"other", json.RawMessage(`{}`)}, nil, ErrInput},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			got, err := inputs.Decode(c.recorded)
			So(errors.Cause(err), ShouldEqual, c.err)
			So(got, ShouldEqual, c.want)
		})
	}
	Convey("a value that does not fit its type", t, func() {
		_, err := inputs.Decode(TypedValue{"total", json.RawMessage(`{"N":"x"}`)})
		So(err, ShouldNotBeNil)
	})
}

func TestOutcome(t *testing.T) {
	Convey("a trace is checked against its expected outcome", t, func() {
		text := recordTrace()
		last := func(key, value string) []LastDecision {
			return []LastDecision{{"sum", key, TypedValue{"total", json.RawMessage(value)}}}
		}
		cases := []struct {
			name string
			o    Outcome
			want error
		}{
			{"the recorded outcome", Outcome{Decisions: map[string]int{"sum.total": 4, "sum.none": 0}, Last: last("b", `{ "N": 8 }`)}, nil},
			{"a different count", Outcome{Decisions: map[string]int{"sum.total": 3}}, ErrOutcome},
			{"a different last decision", Outcome{Last: last("a", `{"N":3}`)}, ErrOutcome},
			{"a forbidden decision that was made", Outcome{Never: []SliceDecision{{"sum", TypedValue{"total", json.RawMessage(`{"N":2}`)}}}}, ErrOutcome},
			{"a forbidden decision that was not made", Outcome{Never: []SliceDecision{{"sum", TypedValue{"total", json.RawMessage(`{"N":3}`)}}}}, nil},
			{"a last decision of an unknown machine", Outcome{Last: last("c", `{"N":2}`)}, ErrOutcome},
		}
		for _, c := range cases {
			So(errors.Is(c.o.Check(strings.NewReader(text)), c.want), ShouldBeTrue)
		}
	})
}
