package routing

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/trace"
)

// TraceSlice names routing's steps in a trace.
const TraceSlice = "routing"

// Made is how the scheduler was made. Daemons use Default only.
type Made struct {
	Scheduler string `json:"scheduler"`
}

// Choose is one input of the scheduler with the seed of its chances.
type Choose struct {
	Request    Request     `json:"request"`
	Candidates []Candidate `json:"candidates"`
	Seed       uint64      `json:"seed"`
}

// Chosen is what the scheduler picked, or why nothing.
type Chosen struct {
	Target string `json:"target,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Pick chooses by the default scheduler. It leaves c as it is.
func (c Choose) Pick(s Scheduler) (Candidate, error) {
	candidates := append([]Candidate(nil), c.Candidates...)
	return s.Pick(&c.Request, candidates, rand.New(rand.NewPCG(c.Seed, 0)))
}

// NewChosen returns the decision to record.
func NewChosen(c Candidate, err error) Chosen {
	if err != nil {
		return Chosen{Error: err.Error()}
	}
	return Chosen{Target: c.Target.Name}
}

type replayer struct{ scheduler Scheduler }

// Replay makes the machine that replays recorded choices.
func Replay(json.RawMessage) (trace.Machine, error) { return replayer{Default()}, nil }

// Replay implements trace.Machine.
func (r replayer) Replay(_ time.Time, input trace.Named) ([]trace.Named, error) {
	var c Choose
	if err := json.Unmarshal(input.Value, &c); err != nil {
		return nil, errors.Wrap(err, "decode choice")
	}
	picked, err := c.Pick(r.scheduler)
	return trace.Names([]Chosen{NewChosen(picked, err)})
}
