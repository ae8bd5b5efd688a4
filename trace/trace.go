// Package trace records the inputs and decisions of deterministic state machines
// and replays them: the same inputs at the same times must give the same
// decisions, byte for byte, on any computer.
//
// A trace file consists of JSON lines: a Header, then one Step per line.
package trace

import (
	"encoding/json"
	"io"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Format and Version of trace files. Version is incremented when old files can
// no longer be replayed.
const (
	Format  = "vanillaroad-trace"
	Version = 1
)

// Header is the first line of a trace file.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	Node    string `json:"node"`
}

// TypedValue is a JSON value with the name of its Go type, which selects the type
// to decode it into.
type TypedValue struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// Step is one input of one state machine and the decisions it led to. The first
// step of a machine has the input type InitInputType; its value holds the
// arguments from which the machine was constructed.
type Step struct {
	At        int64        `json:"at"`    // Unix nanoseconds
	Slice     string       `json:"slice"` // subsystem of the machine, such as "generation"
	Key       string       `json:"key"`   // identifies the machine within its slice
	Input     TypedValue   `json:"input"`
	Decisions []TypedValue `json:"decisions,omitempty"`
}

// InitInputType is the input type of the first step of a machine.
const InitInputType = "new"

// Encode returns v as JSON with the name of its type.
func Encode(v any) (TypedValue, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return TypedValue{}, errors.Wrapf(err, "encode %T", v)
	}
	return TypedValue{Type: reflect.TypeOf(v).Name(), Value: b}, nil
}

// Recorder writes steps to a trace file. A nil Recorder records nothing. It is safe
// for concurrent use. After a write error it stops recording; callers are not
// affected.
type Recorder struct {
	mu  sync.Mutex
	out *json.Encoder
	err error
}

// NewRecorder writes the header to w and returns a Recorder. node is the name of
// the daemon.
func NewRecorder(w io.Writer, node string) (*Recorder, error) {
	r := &Recorder{out: json.NewEncoder(w)}
	err := r.out.Encode(Header{Format: Format, Version: Version, Node: node})
	return r, errors.Wrap(err, "write trace header")
}

// RecordInit records the arguments from which a machine was constructed. args must
// survive encoding to JSON and back unchanged.
func (r *Recorder) RecordInit(slice, key string, at time.Time, args any) {
	if r == nil {
		return
	}
	b, err := json.Marshal(args)
	if err != nil {
		return
	}
	r.write(Step{At: at.UnixNano(), Slice: slice, Key: key, Input: TypedValue{Type: InitInputType, Value: b}})
}

// Record records one step of the machine key of slice.
func Record[D any](r *Recorder, slice, key string, at time.Time, input any, decisions []D) {
	if r == nil {
		return
	}
	s := Step{At: at.UnixNano(), Slice: slice, Key: key}
	var err error
	if s.Input, err = Encode(input); err != nil {
		return
	}
	if s.Decisions, err = EncodeAll(decisions); err != nil {
		return
	}
	r.write(s)
}

// EncodeAll encodes each decision as Encode does.
func EncodeAll[D any](decisions []D) ([]TypedValue, error) {
	var out []TypedValue
	for _, d := range decisions {
		n, err := Encode(d)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
	return out, nil
}

func (r *Recorder) write(s Step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = r.out.Encode(s)
	}
}

// Err returns the error that ended recording, if any.
func (r *Recorder) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}
