package generation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice names this slice in traces.
const TraceSlice = "generation"

// Begin stands for the call of Start in a trace.
type Begin struct{}

// replayer is a machine that a trace drives.
type replayer struct{ machine *Machine }

// Maker makes a machine from the Setup of a trace.
func Maker(setup json.RawMessage) (trace.Machine, error) {
	var s Setup
	if err := json.Unmarshal(setup, &s); err != nil {
		return nil, errors.Wrap(err, "decode setup")
	}
	return &replayer{NewMachine(s)}, nil
}

// Replay implements trace.Machine.
func (r *replayer) Replay(at time.Time, input trace.Named) ([]trace.Named, error) {
	if input.Type == "Begin" {
		return trace.Names(r.machine.Start(at))
	}
	in, err := inputs.Decode(input)
	if err != nil {
		return nil, err
	}
	return trace.Names(r.machine.Step(at, in))
}

var inputs = trace.NewInputs[Input](
	Routed{}, RouteFailed{}, Received{}, Broken{}, Probed{}, NoStream{}, Cancel{}, TakenOver{}, Woken{}, Tick{},
)
