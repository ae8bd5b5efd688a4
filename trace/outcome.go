package trace

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrOutcome is returned when a trace does not hold what was stated of it.
var ErrOutcome = errors.New("trace has another outcome than stated")

// Outcome states what must have come out of a trace.
type Outcome struct {
	// About tells in a sentence what happened while the trace was recorded.
	About string `json:"about"`
	// Decisions is how often each decision was taken, as "slice.Type". Those
	// that are not listed are not held against the trace.
	Decisions map[string]int `json:"decisions"`
	// Last lists the last decision of some machines.
	Last []LastDecision `json:"last,omitempty"`
	// Never lists decisions that must not have been taken by any machine.
	Never []SliceDecision `json:"never,omitempty"`
}

// SliceDecision is a decision of any machine of a slice.
type SliceDecision struct {
	Slice    string     `json:"slice"`
	Decision TypedValue `json:"decision"`
}

// LastDecision is the last decision that a machine took.
type LastDecision struct {
	Slice    string     `json:"slice"`
	Key      string     `json:"key"`
	Decision TypedValue `json:"decision"`
}

// Check compares a trace with what was stated of it.
func (o Outcome) Check(r io.Reader) error {
	counts, last := make(map[string]int), make(map[string]TypedValue)
	_, err := Read(r, func(s Step) error {
		for _, d := range s.Decisions {
			counts[s.Slice+"."+d.Type]++
			last[s.Slice+"\x00"+s.Key] = d
			if o.forbids(s.Slice, d) {
				return errors.Wrapf(ErrOutcome, "%s %s decided %s %s", s.Slice, s.Key, d.Type, d.Value)
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	return o.compare(counts, last)
}

func (o Outcome) forbids(slice string, d TypedValue) bool {
	for _, n := range o.Never {
		if n.Slice == slice && sameDecision(n.Decision, d) {
			return true
		}
	}
	return false
}

func (o Outcome) compare(counts map[string]int, last map[string]TypedValue) error {
	for name, n := range o.Decisions {
		if counts[name] != n {
			return errors.Wrapf(ErrOutcome, "%s was decided %d times, not %d", name, counts[name], n)
		}
	}
	for _, want := range o.Last {
		got := last[want.Slice+"\x00"+want.Key]
		if !sameDecision(want.Decision, got) {
			return errors.Wrapf(ErrOutcome, "%s %s decided %s %s last", want.Slice, want.Key, got.Type, got.Value)
		}
	}
	return nil
}

func sameDecision(a, b TypedValue) bool { return a.Type == b.Type && sameJSON(a.Value, b.Value) }

// sameJSON compares values without regard to space.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// CountDecisions counts a trace's decisions as "slice.Type".
func CountDecisions(r io.Reader) (map[string]int, error) {
	counts := make(map[string]int)
	_, err := Read(r, func(s Step) error {
		for _, d := range s.Decisions {
			counts[s.Slice+"."+d.Type]++
		}
		return nil
	})
	return counts, err
}
