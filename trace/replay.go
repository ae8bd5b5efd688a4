package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"reflect"
	"time"

	"github.com/pkg/errors"
)

// Errors of replay.
var (
	ErrFormat   = errors.New("not a trace file of a supported version")
	ErrDiverged = errors.New("replay led to a different decision")
	ErrInput    = errors.New("unknown input type")
)

// Machine is a state machine whose steps can be replayed.
type Machine interface {
	// Replay decodes and applies one input and returns the encoded decisions.
	Replay(at time.Time, input TypedValue) ([]TypedValue, error)
}

// MachineFactory constructs a machine from the value of its first step, which
// RecordInit recorded.
type MachineFactory func(args json.RawMessage) (Machine, error)

// InputTypes decodes the inputs of the machines of a slice. It maps the type names
// that Encode records to types.
type InputTypes[I any] map[string]reflect.Type

// NewInputTypes returns InputTypes for the types of the examples.
func NewInputTypes[I any](examples ...I) InputTypes[I] {
	out := make(InputTypes[I], len(examples))
	for _, e := range examples {
		t := reflect.TypeOf(e)
		out[t.Name()] = t
	}
	return out
}

// Decode returns the input that was recorded as n, or ErrInput if its type is
// unknown.
func (in InputTypes[I]) Decode(n TypedValue) (decoded I, err error) {
	t, ok := in[n.Type]
	if !ok {
		return decoded, errors.Wrap(ErrInput, n.Type)
	}
	v := reflect.New(t)
	if err := json.Unmarshal(n.Value, v.Interface()); err != nil {
		return decoded, errors.Wrapf(err, "decode %s", t)
	}
	return v.Elem().Interface().(I), nil
}

// stepper is a Machine that is implemented by a step function.
type stepper[I, D any] struct {
	inputs InputTypes[I]
	step   func(at time.Time, in I) []D
}

// NewStepper returns a Machine that applies each input by calling step.
func NewStepper[I, D any](inputs InputTypes[I], step func(at time.Time, in I) []D) Machine {
	return stepper[I, D]{inputs, step}
}

// Replay implements Machine.
func (s stepper[I, D]) Replay(at time.Time, input TypedValue) ([]TypedValue, error) {
	in, err := s.inputs.Decode(input)
	if err != nil {
		return nil, err
	}
	return EncodeAll(s.step(at, in))
}

// maxLineBytes bounds the length of one line of a trace file.
const maxLineBytes = 16 << 20

// Read calls fn with each step of a trace file. It skips a truncated last line, which
// remains when a daemon was killed while it wrote.
func Read(r io.Reader, fn func(Step) error) (Header, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	var h Header
	if !lines.Scan() || json.Unmarshal(lines.Bytes(), &h) != nil || h.Format != Format || h.Version != Version {
		return h, errors.WithStack(ErrFormat)
	}
	for lines.Scan() {
		var s Step
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			if !lines.Scan() {
				break
			}
			return h, errors.Wrap(err, "decode step")
		}
		if err := fn(s); err != nil {
			return h, err
		}
	}
	return h, errors.Wrap(lines.Err(), "read trace")
}

// Replay runs a trace through new machines and returns the number of replayed
// steps. It returns ErrDiverged at the first decision that differs from the recorded
// one. It skips the steps of slices without a factory.
func Replay(r io.Reader, factories map[string]MachineFactory) (int, error) {
	machines := make(map[string]Machine)
	steps := 0
	_, err := Read(r, func(s Step) error {
		newMachine, known := factories[s.Slice]
		if !known {
			return nil
		}
		steps++
		id := s.Slice + "\x00" + s.Key
		if s.Input.Type == InitInputType {
			m, err := newMachine(s.Input.Value)
			machines[id] = m
			return err
		}
		return replayStep(machines[id], s, steps)
	})
	return steps, err
}

func replayStep(m Machine, s Step, number int) error {
	if m == nil {
		return errors.Errorf("step %d: the trace has no first step of machine %s %s", number, s.Slice, s.Key)
	}
	got, err := m.Replay(time.Unix(0, s.At), s.Input)
	if err != nil {
		return errors.Wrapf(err, "replay step %d", number)
	}
	want, err := json.Marshal(s.Decisions)
	if err != nil {
		return errors.WithStack(err)
	}
	have, err := json.Marshal(got)
	if err != nil {
		return errors.WithStack(err)
	}
	if !bytes.Equal(want, have) {
		return errors.Wrapf(ErrDiverged, "step %d of %s %s: recorded %s, got %s", number, s.Slice, s.Key, want, have)
	}
	return nil
}
