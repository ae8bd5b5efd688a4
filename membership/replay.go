package membership

import (
	"encoding/json"
	"time"

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
	return replay{New(m)}, nil
}

type replay struct{ machine *Machine }

// Replay implements trace.Machine.
func (r replay) Replay(at time.Time, input trace.Named) ([]trace.Named, error) {
	in, err := decodeInput(input)
	if err != nil {
		return nil, err
	}
	return trace.Names(r.machine.Step(at, in))
}

func decodeInput(n trace.Named) (Input, error) {
	switch n.Type {
	case "Tick":
		return decodeAs[Tick](n.Value)
	case "Heard":
		return decodeAs[Heard](n.Value)
	case "Probed":
		return decodeAs[Probed](n.Value)
	case "Synced":
		return decodeAs[Synced](n.Value)
	case "VMs":
		return decodeAs[VMs](n.Value)
	case "PlatformSeen":
		return decodeAs[PlatformSeen](n.Value)
	case "Leave":
		return decodeAs[Leave](n.Value)
	case "InForce":
		return decodeAs[InForce](n.Value)
	}
	return nil, errors.Errorf("unknown input %q", n.Type)
}

func decodeAs[T Input](value json.RawMessage) (Input, error) {
	var v T
	err := json.Unmarshal(value, &v)
	return v, errors.Wrap(err, "decode input")
}
