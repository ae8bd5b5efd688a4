package confirmation

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice names this slice in traces.
const TraceSlice = "confirmation"

// replicaArgs is how a Replica was made.
type replicaArgs struct {
	Self   Ref    `json:"self"`
	Limits Limits `json:"limits"`
}

// NewReplay makes a Replica from a trace.
func NewReplay(value json.RawMessage) (trace.Machine, error) {
	var m replicaArgs
	if err := json.Unmarshal(value, &m); err != nil {
		return nil, errors.Wrap(err, "decode new replica")
	}
	return trace.NewStepper(inputs, NewReplica(m.Self, m.Limits).Step), nil
}

var inputs = trace.NewInputTypes[Input](
	Assigned{}, Ask{}, Result{}, Reach{}, Lost{}, Repair{}, Leave{}, Tick{},
	Intent{}, IntentAck{}, Sealed{}, Copy{}, CopyAck{}, Sync{}, SyncAck{}, Claim{}, Granted{}, Renew{}, HandOver{}, Retire{},
)
