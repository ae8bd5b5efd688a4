package membership

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// Slice is the name of this slice in traces.
const Slice = "membership"

// NewReplay makes a machine that replays a trace.
func NewReplay(made json.RawMessage) (trace.Machine, error) {
	var m Made
	if err := json.Unmarshal(made, &m); err != nil {
		return nil, errors.Wrap(err, "decode how the machine was made")
	}
	return trace.NewStepper(inputs, New(m).Step), nil
}

var inputs = trace.NewInputTypes[Input](Tick{}, Heard{}, Probed{}, Synced{}, VMs{}, PlatformSeen{}, Leave{}, InForce{})
