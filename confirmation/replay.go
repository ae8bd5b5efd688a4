package confirmation

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice is the name of this slice in traces.
const TraceSlice = "confirmation"

// replicaArgs are the constructor arguments of a Replica in a trace.
type replicaArgs struct {
	Self   Ref    `json:"self"`
	Limits Limits `json:"limits"`
}

// NewReplay returns a Replica that replays a trace.
func NewReplay(value json.RawMessage) (trace.Machine, error) {
	var m replicaArgs
	if err := json.Unmarshal(value, &m); err != nil {
		return nil, errors.Wrap(err, "decode replica arguments")
	}
	return trace.NewStepper(inputs, NewReplica(m.Self, m.Limits).Step), nil
}

var inputs = trace.NewInputTypes[Input](
	Assigned{}, Ask{}, Result{}, Reach{}, Lost{}, Repair{}, Leave{}, Tick{},
	Intent{}, IntentAck{}, Sealed{}, Copy{}, CopyAck{}, Sync{}, SyncAck{}, Claim{}, Granted{}, Renew{}, HandOver{}, Retire{},
)
