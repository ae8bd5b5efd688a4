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
	ErrFormat   = errors.New("not a trace file of a known version")
	ErrDiverged = errors.New("replay decided otherwise")
	ErrInput    = errors.New("unknown type of input")
)

// Machine replays one machine of a slice.
type Machine interface {
	// Replay decodes one input, takes it, and returns the decisions named.
	Replay(at time.Time, input TypedValue) ([]TypedValue, error)
}

// MachineFactory makes a slice's machine from the value of its "new" step.
type MachineFactory func(args json.RawMessage) (Machine, error)

// InputTypes decodes the inputs of a slice. Each type is found by the name under which
// Name records it.
type InputTypes[I any] map[string]reflect.Type

// NewInputTypes returns a decoder of the types of the examples.
func NewInputTypes[I any](examples ...I) InputTypes[I] {
	out := make(InputTypes[I], len(examples))
	for _, e := range examples {
		t := reflect.TypeOf(e)
		out[t.Name()] = t
	}
	return out
}

// Decode returns the input that was recorded as n, or ErrInput.
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

// stepper is a Machine whose decisions a function makes.
type stepper[I, D any] struct {
	inputs InputTypes[I]
	step   func(at time.Time, in I) []D
}

// NewStepper returns the machine that takes inputs by step.
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

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 16 << 20

// Read calls fn with each step of a trace. A last line that is cut short, as a
// killed daemon leaves it, is passed over.
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

// Replay runs a trace through new machines and returns the number of steps, or
// ErrDiverged at the first decision that differs. Steps of slices without a
// maker are passed over.
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
		return errors.Errorf("step %d: %s %s was never made", number, s.Slice, s.Key)
	}
	got, err := m.Replay(time.Unix(0, s.At), s.Input)
	if err != nil {
		return errors.Wrapf(err, "step %d", number)
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
