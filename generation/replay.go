package generation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice is the name under which traces record the steps of machines.
const TraceSlice = "generation"

// Begin represents the call of Machine.Start in a trace.
type Begin struct{}

// replayer replays the inputs of a trace into a Machine.
type replayer struct{ machine *Machine }

// NewReplay returns a machine that replays recorded steps. setup is the encoded Setup
// of the recorded machine.
func NewReplay(setup json.RawMessage) (trace.Machine, error) {
	var s Setup
	if err := json.Unmarshal(setup, &s); err != nil {
		return nil, errors.Wrap(err, "decode setup")
	}
	return &replayer{NewMachine(s)}, nil
}

// Replay implements trace.Machine.
func (r *replayer) Replay(at time.Time, input trace.TypedValue) ([]trace.TypedValue, error) {
	if input.Type == "Begin" {
		return trace.EncodeAll(r.machine.Start(at))
	}
	in, err := inputs.Decode(input)
	if err != nil {
		return nil, err
	}
	return trace.EncodeAll(r.machine.Step(at, in))
}

var inputs = trace.NewInputTypes[Input](
	Routed{}, RouteFailed{}, Received{}, Broken{}, Probed{}, NoStream{}, Cancel{}, TakenOver{}, Woken{}, Tick{},
)
