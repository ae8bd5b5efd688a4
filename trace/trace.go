// Package trace records what pure decision logic was told and what it decided,
// and replays it: the same inputs at the same times must give the same
// decisions, byte for byte, on any machine.
//
// A trace file is JSON lines: a header, then one Step a line.
package trace

import (
	"encoding/json"
	"io"
	"reflect"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Format and Version of trace files. Version rises when old files can't be
// replayed any more.
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

// TypedValue is a value with the name of its type, so that it can be decoded.
type TypedValue struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// Step is one input of one machine and what the machine decided. The first
// step of a machine has the input "new", whose value is how it was made.
type Step struct {
	At        int64        `json:"at"` // Unix nanoseconds
	Slice     string       `json:"slice"`
	Key       string       `json:"key"` // which machine of the slice
	Input     TypedValue   `json:"input"`
	Decisions []TypedValue `json:"decisions,omitempty"`
}

// InitInputType is the input type of a machine's first step.
const InitInputType = "new"

// Encode returns v with the name of its type.
func Encode(v any) (TypedValue, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return TypedValue{}, errors.Wrapf(err, "encode %T", v)
	}
	return TypedValue{Type: reflect.TypeOf(v).Name(), Value: b}, nil
}

// Recorder writes steps. A nil recorder records nothing. It is safe for
// concurrent use; an error ends recording, never the work recorded.
type Recorder struct {
	mu  sync.Mutex
	out *json.Encoder
	err error
}

// NewRecorder writes the header to w and returns a recorder.
func NewRecorder(w io.Writer, node string) (*Recorder, error) {
	r := &Recorder{out: json.NewEncoder(w)}
	err := r.out.Encode(Header{Format: Format, Version: Version, Node: node})
	return r, errors.Wrap(err, "write trace header")
}

// RecordInit records how a machine was made. made must decode to itself by JSON.
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

// Record records one step of a machine.
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

// EncodeAll names each decision.
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
