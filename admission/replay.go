package admission

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice names the controller's steps in a trace.
const TraceSlice = "admission"

// Placing is one answer of a placer.
type Placing struct {
	Target    string          `json:"target,omitempty"`
	Placement PlacementResult `json:"placement"`
}

// Recorded is one step's input: the message, and what the placer answered in
// its course.
type Recorded struct {
	Message trace.Named `json:"message"`
	Places  []Placing   `json:"places,omitempty"`
}

// Traced is a controller whose steps are recorded.
type Traced struct {
	*Controller
	out    *trace.Recorder
	placer *recordingPlacer
}

type recordingPlacer struct {
	Placer
	places []Placing
}

// Place implements Placer.
func (p *recordingPlacer) Place(now time.Time, t Ticket, free func(string) bool) (string, PlacementResult) {
	name, placement := p.Placer.Place(now, t, free)
	p.places = append(p.places, Placing{name, placement})
	return name, placement
}

// NewTraced returns a controller that records to out, which may be nil.
func NewTraced(out *trace.Recorder, now time.Time, s Settings, p Placer) *Traced {
	if out == nil {
		return &Traced{Controller: NewController(s, p)}
	}
	out.New(TraceSlice, "", now, s)
	r := &recordingPlacer{Placer: p}
	return &Traced{Controller: NewController(s, r), out: out, placer: r}
}

// Step takes a message and returns what follows from it. now must carry no
// monotonic clock reading, or a replay may decide otherwise.
func (c *Traced) Step(now time.Time, m Message) []Decision {
	decisions := c.Controller.Step(now, m)
	if c.out == nil {
		return decisions
	}
	if named, err := trace.Name(m); err == nil {
		trace.Record(c.out, TraceSlice, "", now, Recorded{named, c.placer.places}, decisions)
	}
	c.placer.places = c.placer.places[:0]
	return decisions
}

// replayer replays a controller's steps.
type replayer struct {
	controller *Controller
	places     []Placing
}

// Replay makes the machine that replays recorded steps.
func Replay(made json.RawMessage) (trace.Machine, error) {
	var s Settings
	if err := json.Unmarshal(made, &s); err != nil {
		return nil, errors.Wrap(err, "decode settings")
	}
	r := &replayer{}
	r.controller = NewController(s, r)
	return r, nil
}

// Place implements Placer: it gives the recorded answers in turn.
func (r *replayer) Place(time.Time, Ticket, func(string) bool) (string, PlacementResult) {
	if len(r.places) == 0 {
		return "", NoneEligible
	}
	p := r.places[0]
	r.places = r.places[1:]
	return p.Target, p.Placement
}

// Replay implements trace.Machine.
func (r *replayer) Replay(at time.Time, input trace.Named) ([]trace.Named, error) {
	var in Recorded
	if err := json.Unmarshal(input.Value, &in); err != nil {
		return nil, errors.Wrap(err, "decode step")
	}
	m, err := messages.Decode(in.Message)
	if err != nil {
		return nil, err
	}
	r.places = in.Places
	return trace.Names(r.controller.Step(at, m))
}

var messages = trace.NewInputs[Message](
	Configure{}, Submit{}, Adopt{}, Cancel{}, Release{}, Restarted{}, Gone{}, Block{}, Wake{}, Tick{},
)
