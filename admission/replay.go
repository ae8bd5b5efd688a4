package admission

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice is the name under which traces record the controller's steps.
const TraceSlice = "admission"

// PlacerAnswer is the result of one call of Placer.Place.
type PlacerAnswer struct {
	Target string          `json:"target,omitempty"`
	Result PlacementResult `json:"placement"`
}

// Recorded is the input of one recorded step: the message, and the results of the
// placer calls made during the step.
type Recorded struct {
	Message       trace.TypedValue `json:"message"`
	PlacerAnswers []PlacerAnswer   `json:"places,omitempty"`
}

// Traced is a Controller that records its steps to a trace.
type Traced struct {
	*Controller
	recorder *trace.Recorder
	placer   *recordingPlacer
}

type recordingPlacer struct {
	Placer
	answers []PlacerAnswer
}

// Place implements Placer.
func (p *recordingPlacer) Place(now time.Time, t Ticket, free func(string) bool) (string, PlacementResult) {
	name, result := p.Placer.Place(now, t, free)
	p.answers = append(p.answers, PlacerAnswer{name, result})
	return name, result
}

// NewTraced returns a controller that records its steps to recorder, or records
// nothing if recorder is nil.
func NewTraced(recorder *trace.Recorder, now time.Time, s Settings, p Placer) *Traced {
	if recorder == nil {
		return &Traced{Controller: NewController(s, p)}
	}
	recorder.RecordInit(TraceSlice, "", now, s)
	r := &recordingPlacer{Placer: p}
	return &Traced{Controller: NewController(s, r), recorder: recorder, placer: r}
}

// Step handles a message and returns the resulting decisions. now must carry no
// monotonic clock reading, because traces don't store one and a replay could
// decide differently.
func (c *Traced) Step(now time.Time, m Message) []Decision {
	decisions := c.Controller.Step(now, m)
	if c.recorder == nil {
		return decisions
	}
	if encoded, err := trace.Encode(m); err == nil {
		trace.Record(c.recorder, TraceSlice, "", now, Recorded{encoded, c.placer.answers}, decisions)
	}
	c.placer.answers = c.placer.answers[:0]
	return decisions
}

// replayer replays the recorded steps of a controller.
type replayer struct {
	controller *Controller
	answers    []PlacerAnswer
}

// NewReplay returns a machine that replays recorded steps. settings is the encoded
// Settings of the recorded controller.
func NewReplay(settings json.RawMessage) (trace.Machine, error) {
	var s Settings
	if err := json.Unmarshal(settings, &s); err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	r := &replayer{}
	r.controller = NewController(s, r)
	return r, nil
}

// Place implements Placer. It returns the recorded answers in order.
func (r *replayer) Place(time.Time, Ticket, func(string) bool) (string, PlacementResult) {
	if len(r.answers) == 0 {
		return "", NoneEligible
	}
	p := r.answers[0]
	r.answers = r.answers[1:]
	return p.Target, p.Result
}

// Replay implements trace.Machine.
func (r *replayer) Replay(now time.Time, input trace.TypedValue) ([]trace.TypedValue, error) {
	var in Recorded
	if err := json.Unmarshal(input.Value, &in); err != nil {
		return nil, errors.Wrap(err, "decode step")
	}
	m, err := messages.Decode(in.Message)
	if err != nil {
		return nil, err
	}
	r.answers = in.PlacerAnswers
	return trace.EncodeAll(r.controller.Step(now, m))
}

var messages = trace.NewInputTypes[Message](
	Configure{}, Submit{}, Adopt{}, Cancel{}, Release{}, Restarted{}, Gone{}, Block{}, Wake{}, Tick{},
)
