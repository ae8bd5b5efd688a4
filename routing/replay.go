package routing

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice is the name of the slice of the routing steps in a trace.
const TraceSlice = "routing"

// Made holds the name of the scheduler, as recorded in traces. Daemons only use Default.
type Made struct {
	Scheduler string `json:"scheduler"`
}

// Choose is one input of the scheduler with the seed of its random source.
type Choose struct {
	Request    Request     `json:"request"`
	Candidates []Candidate `json:"candidates"`
	Seed       uint64      `json:"seed"`
}

// Chosen is the target that the scheduler picked, or the error if it picked none.
type Chosen struct {
	Target string `json:"target,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Pick runs a scheduler on the input. It does not modify c.
func (c Choose) Pick(s Scheduler) (Candidate, error) {
	candidates := append([]Candidate(nil), c.Candidates...)
	return s.Pick(&c.Request, candidates, rand.New(rand.NewPCG(c.Seed, 0)))
}

// NewChosen returns the decision to record for a result of Scheduler.Pick.
func NewChosen(c Candidate, err error) Chosen {
	if err != nil {
		return Chosen{Error: err.Error()}
	}
	return Chosen{Target: c.Target.Name}
}

type replayer struct{ scheduler Scheduler }

// NewReplay returns the state machine that replays recorded choices.
func NewReplay(json.RawMessage) (trace.Machine, error) { return replayer{Default()}, nil }

// Replay implements trace.Machine.
func (r replayer) Replay(_ time.Time, input trace.TypedValue) ([]trace.TypedValue, error) {
	var c Choose
	if err := json.Unmarshal(input.Value, &c); err != nil {
		return nil, errors.Wrap(err, "decode choice")
	}
	picked, err := c.Pick(r.scheduler)
	return trace.EncodeAll([]Chosen{NewChosen(picked, err)})
}
