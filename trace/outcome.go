package trace

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ErrOutcome is returned when a trace does not have the expected outcome.
var ErrOutcome = errors.New("trace does not have the expected outcome")

// Outcome states which decisions a trace is expected to contain.
type Outcome struct {
	// About describes in a sentence what happened while the trace was recorded.
	About string `json:"about"`
	// Decisions is the number of decisions of each type, by "slice.Type". Types
	// that are not listed are not checked.
	Decisions map[string]int `json:"decisions"`
	// Last lists the expected last decisions of some machines.
	Last []LastDecision `json:"last,omitempty"`
	// Never lists decisions that no machine may have made.
	Never []SliceDecision `json:"never,omitempty"`
}

// SliceDecision is a decision of any machine of a slice.
type SliceDecision struct {
	Slice    string     `json:"slice"`
	Decision TypedValue `json:"decision"`
}

// LastDecision is the last decision of a machine.
type LastDecision struct {
	Slice    string     `json:"slice"`
	Key      string     `json:"key"`
	Decision TypedValue `json:"decision"`
}

// Check returns ErrOutcome if the trace read from r does not have the outcome o.
func (o Outcome) Check(r io.Reader) error {
	counts, last := make(map[string]int), make(map[string]TypedValue)
	_, err := Read(r, func(s Step) error {
		for _, d := range s.Decisions {
			counts[s.Slice+"."+d.Type]++
			last[s.Slice+"\x00"+s.Key] = d
			if o.forbids(s.Slice, d) {
				return errors.Wrapf(ErrOutcome, "machine %s %s made the forbidden decision %s %s", s.Slice, s.Key, d.Type, d.Value)
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
			return errors.Wrapf(ErrOutcome, "%s was decided %d times, want %d", name, counts[name], n)
		}
	}
	for _, want := range o.Last {
		got := last[want.Slice+"\x00"+want.Key]
		if !sameDecision(want.Decision, got) {
			return errors.Wrapf(ErrOutcome, "the last decision of machine %s %s is %s %s, which is not the expected one", want.Slice, want.Key, got.Type, got.Value)
		}
	}
	return nil
}

func sameDecision(a, b TypedValue) bool { return a.Type == b.Type && sameJSON(a.Value, b.Value) }

// sameJSON reports whether two values are equal except for whitespace.
func sameJSON(a, b json.RawMessage) bool {
	var x, y bytes.Buffer
	return json.Compact(&x, a) == nil && json.Compact(&y, b) == nil && bytes.Equal(x.Bytes(), y.Bytes())
}

// CountDecisions returns the number of decisions of a trace by "slice.Type".
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
