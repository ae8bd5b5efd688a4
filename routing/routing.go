// Package routing picks the target of a request in four steps: filters drop
// targets that must not be used, a balancer drops those that are far more
// loaded than the others, scorers rate the rest, and a picker chooses. All of
// it is pure: the view and the random source are inputs.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
)

// ErrNoTarget is returned when no target passes the filters.
var ErrNoTarget = errors.New("no target passes the filters")

// ErrBusy is returned when targets pass the filters and none has a free permit.
var ErrBusy = errors.New("no target has a free permit")

// Request is what routing needs to know of a request.
type Request struct {
	ID        string                     `json:"id"`
	Service   *configuration.ServiceView `json:"-"`
	Labels    map[string]string          `json:"-"`
	Blocks    []uint64                   `json:"blocks,omitempty"`  // prompt prefix blocks, see target.BlockHashes
	Version   string                     `json:"version,omitempty"` // model version the answer must go on with
	Exclude   map[string]bool            `json:"exclude,omitempty"` // targets that this request lost
	System    configuration.System       `json:"pinned"`
	FromPlace string                     `json:"from_place"`
	// Affinity, if not empty, is the key of the Affinity scorer.
	Affinity string `json:"affinity,omitempty"`
	// AvoidPlaces are the places to stay out of if possible.
	AvoidPlaces []string `json:"other_places,omitempty"`
}

// Proximity tells how far a target is.
type Proximity int

// Distances.
const (
	Far Proximity = iota
	SameRegion
	SamePlace
)

// Candidate is one target with what is known of it now.
type Candidate struct {
	Target       configuration.Target
	Free         bool    // this daemon has a free permit
	InFlight     int     // own requests, exact
	Estimated    float64 // all requests, see Loads.Estimate
	Slots        int     // size of the engine's batch, 0 if not reported
	Version      string  // reported version of the service's model, if any
	Leaving      bool    // from any source
	Down         bool    // seen dead
	CachedBlocks int     // leading blocks of the prompt found in its cache view
	Near         Proximity
	Start        time.Duration // expected wait until the request starts
	Filled       float64       // part of its memory in use with this request; above 1 if there is no room
	Failing      float64       // share of answers that were the target's own failures, 0 to 1
}

// Load is the target's requests in relation to what it runs at once.
func (c *Candidate) Load() float64 {
	size := c.Slots
	if size <= 0 {
		size = max(1, c.Target.Permits)
	}
	return max(float64(c.InFlight), c.Estimated) / float64(size)
}

// Filter keeps the candidates that may be used.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Balancer drops candidates that are loaded far beyond the others. It keeps at
// least one.
type Balancer interface {
	Balance(candidates []Candidate) []Candidate
}

// Scorer rates a candidate from 0 (worst) to 1 (best).
type Scorer interface {
	Score(r *Request, c *Candidate) float64
}

// Weighted is a scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// Picker chooses among candidates with their scores.
type Picker interface {
	Pick(scores []float64, random *rand.Rand) int
}

// Scheduler is one combination of filters, a balancer, scorers and a picker.
type Scheduler struct {
	Filters  []Filter
	Balancer Balancer // nil for none
	Scorers  []Weighted
	Picker   Picker
}

// Pick returns the target for r, ErrBusy or ErrNoTarget. It reorders and
// overwrites candidates.
func (s Scheduler) Pick(r *Request, candidates []Candidate, random *rand.Rand) (Candidate, error) {
	kept := candidates[:0]
	for i := range candidates {
		if s.keep(r, &candidates[i]) {
			kept = append(kept, candidates[i])
		}
	}
	if len(kept) == 0 {
		return Candidate{}, errors.WithStack(ErrNoTarget)
	}
	kept = withFreePermit(kept)
	if len(kept) == 0 {
		return Candidate{}, errors.WithStack(ErrBusy)
	}
	if s.Balancer != nil {
		kept = s.Balancer.Balance(kept)
	}
	scores := make([]float64, len(kept))
	for i := range kept {
		scores[i] = s.score(r, &kept[i])
	}
	return kept[s.Picker.Pick(scores, random)], nil
}

func withFreePermit(candidates []Candidate) []Candidate {
	kept := candidates[:0]
	for _, c := range candidates {
		if c.Free {
			kept = append(kept, c)
		}
	}
	return kept
}

func (s Scheduler) keep(r *Request, c *Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

func (s Scheduler) score(r *Request, c *Candidate) float64 {
	var sum float64
	for _, w := range s.Scorers {
		sum += w.Weight * w.Scorer.Score(r, c)
	}
	return sum
}
