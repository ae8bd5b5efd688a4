package generation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice names this slice in traces.
const TraceSlice = "generation"

// ErrInput is returned for a recorded input of no known type.
var ErrInput = errors.New("unknown input type")

// Begin stands for the call of Start in a trace.
type Begin struct{}

// replay is a machine that a trace drives.
type replay struct{ machine *Machine }

// Maker makes a machine from the Setup of a trace.
func Maker(made json.RawMessage) (trace.Machine, error) {
	var s Setup
	if err := json.Unmarshal(made, &s); err != nil {
		return nil, errors.Wrap(err, "decode setup")
	}
	return &replay{NewMachine(s)}, nil
}

// Replay implements trace.Machine.
func (r *replay) Replay(at time.Time, input trace.Named) ([]trace.Named, error) {
	if input.Type == "Begin" {
		return trace.Names(r.machine.Start(at))
	}
	in, err := decodeInput(input)
	if err != nil {
		return nil, err
	}
	return trace.Names(r.machine.Step(at, in))
}

var inputDecoders = map[string]func([]byte) (Input, error){
	"Routed":      decodeAs[Routed],
	"RouteFailed": decodeAs[RouteFailed],
	"Received":    decodeAs[Received],
	"Broken":      decodeAs[Broken],
	"Probed":      decodeAs[Probed],
	"NoStream":    decodeAs[NoStream],
	"Cancel":      decodeAs[Cancel],
	"TakenOver":   decodeAs[TakenOver],
	"Woken":       decodeAs[Woken],
	"Tick":        decodeAs[Tick],
}

func decodeAs[T Input](b []byte) (Input, error) {
	var v T
	err := json.Unmarshal(b, &v)
	return v, errors.Wrapf(err, "decode %T", v)
}

func decodeInput(n trace.Named) (Input, error) {
	decode := inputDecoders[n.Type]
	if decode == nil {
		return nil, errors.Wrap(ErrInput, n.Type)
	}
	return decode(n.Value)
}
