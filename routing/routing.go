// Package routing picks the target of a request in three steps: filters drop
// targets that must not be used, scorers rate the rest, and a picker chooses.
// All of it is pure: the view and the random source are inputs.
package routing

import (
	"math/rand/v2"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
)

// ErrNoTarget is returned when no target passes the filters.
var ErrNoTarget = errors.New("no target passes the filters")

// Request is what routing needs to know of a request.
type Request struct {
	ID        string
	Service   *configuration.ServiceView
	Labels    map[string]string
	Blocks    []uint64        // prompt prefix blocks, see target.BlockHashes
	Version   string          // model version the answer must go on with
	Exclude   map[string]bool // targets that this request lost
	Pinned    configuration.System
	FromPlace string
}

// Candidate is one target with what is known of it now.
type Candidate struct {
	Target       configuration.Target
	InFlight     int     // own requests, exact
	Reported     int     // running and queued, from a load report that lags
	Slots        int     // size of the engine's batch
	Version      string  // reported version of the service's model, if any
	Leaving      bool    // from any source
	Down         bool    // seen dead
	CachedBlocks int     // leading blocks of the prompt found in its cache view
	WaitSeconds  float64 // expected time before new work starts
}

// Filter keeps the candidates that may be used.
type Filter interface {
	Keep(r Request, c Candidate) bool
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Score(r Request, c Candidate) float64
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses among scored candidates.
type Picker interface {
	Pick(r Request, scored []Scored, random *rand.Rand) int
}

// Scored is a candidate with its weighted score.
type Scored struct {
	Candidate
	Score float64
}

// Scheduler is one combination of filters, scorers and a picker.
type Scheduler struct {
	Filters []Filter
	Scorers []Weighted
	Picker  Picker
}

// Pick returns the target for r, or ErrNoTarget.
func (s Scheduler) Pick(r Request, candidates []Candidate, random *rand.Rand) (Candidate, error) {
	var scored []Scored
	for _, c := range candidates {
		if s.keep(r, c) {
			scored = append(scored, Scored{c, s.score(r, c)})
		}
	}
	if len(scored) == 0 {
		return Candidate{}, errors.WithStack(ErrNoTarget)
	}
	return scored[s.Picker.Pick(r, scored, random)].Candidate, nil
}

func (s Scheduler) keep(r Request, c Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (s Scheduler) score(r Request, c Candidate) float64 {
	var sum float64
	for _, w := range s.Scorers {
		sum += w.Weight * w.Scorer.Score(r, c)
	}
	return sum
}
