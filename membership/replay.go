package membership

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice is the name of this package's slice in traces.
const TraceSlice = "membership"

// NewReplay returns a machine that replays a trace. made holds the JSON-encoded
// constructor arguments, a Made.
func NewReplay(made json.RawMessage) (trace.Machine, error) {
	var m Made
	if err := json.Unmarshal(made, &m); err != nil {
		return nil, errors.Wrap(err, "decode constructor arguments of the membership machine")
	}
	return trace.NewStepper(inputs, New(m).Step), nil
}

var inputs = trace.NewInputTypes[Input](Tick{}, Heard{}, Probed{}, Synced{}, VMs{}, PlatformSeen{}, Leave{}, InForce{})
