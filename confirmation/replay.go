package confirmation

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice names this slice in traces.
const TraceSlice = "confirmation"

// ErrInput is returned for a trace step of an unknown type.
var ErrInput = errors.New("unknown confirmation input")

// made is how a Replica was made.
type made struct {
	Self   Ref    `json:"self"`
	Limits Limits `json:"limits"`
}

// replayed replays one Replica.
type replayed struct{ replica *Replica }

// Maker makes a Replica from a trace.
func Maker(value json.RawMessage) (trace.Machine, error) {
	var m made
	if err := json.Unmarshal(value, &m); err != nil {
		return nil, errors.Wrap(err, "decode new replica")
	}
	return &replayed{NewReplica(m.Self, m.Limits)}, nil
}

// Replay implements trace.Machine.
func (m *replayed) Replay(at time.Time, input trace.Named) ([]trace.Named, error) {
	in, err := decodeInput(input)
	if err != nil {
		return nil, err
	}
	return trace.Names(m.replica.Step(at, in))
}

func decode[T any](b json.RawMessage) (Input, error) {
	var v T
	err := json.Unmarshal(b, &v)
	return v, errors.Wrap(err, "decode input")
}

var decoders = map[string]func(json.RawMessage) (Input, error){
	"Assigned": decode[Assigned], "Ask": decode[Ask], "Result": decode[Result], "Reach": decode[Reach],
	"Lost": decode[Lost], "Repair": decode[Repair], "Leave": decode[Leave], "Tick": decode[Tick],
	"Intent": decode[Intent], "IntentAck": decode[IntentAck], "Sealed": decode[Sealed],
	"Copy": decode[Copy], "CopyAck": decode[CopyAck], "Sync": decode[Sync], "SyncAck": decode[SyncAck],
	"Claim": decode[Claim], "Granted": decode[Granted], "Renew": decode[Renew],
	"HandOver": decode[HandOver], "Retire": decode[Retire],
}

func decodeInput(n trace.Named) (Input, error) {
	d := decoders[n.Type]
	if d == nil {
		return nil, errors.Wrap(ErrInput, n.Type)
	}
	return d(n.Value)
}
