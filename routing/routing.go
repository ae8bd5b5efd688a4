// Package routing picks the target of a request in four steps: filters drop targets
// that must not be used, a balancer drops those that are far more loaded than the
// others, scorers rate the rest, and a picker selects one. The steps are pure
// functions: the state of the targets and the random source are inputs.
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

// Request has the properties of a request that matter for routing.
type Request struct {
	ID        string                     `json:"id"`
	Service   *configuration.ServiceView `json:"-"`
	Labels    map[string]string          `json:"-"`
	Blocks    []uint64                   `json:"blocks,omitempty"`  // prompt prefix blocks, see target.BlockHashes
	Version   string                     `json:"version,omitempty"` // model version with which the answer must continue
	Exclude   map[string]bool            `json:"exclude,omitempty"` // names of targets on which this request has failed
	System    configuration.System       `json:"pinned"`            // system, old or new, to which a migration assigned the request
	FromPlace string                     `json:"from_place"`        // place of the daemon that received the request
	// Affinity is the key of the Affinity scorer, which is not used if it is empty.
	Affinity string `json:"affinity,omitempty"`
	// AvoidPlaces are places to use only if no other place has a target.
	AvoidPlaces []string `json:"other_places,omitempty"`
}

// Proximity states how close a target is to the daemon; greater is closer.
type Proximity int

// Proximity values.
const (
	Far Proximity = iota
	SameRegion
	SamePlace
)

// Candidate is one target with its current state as the daemon sees it.
type Candidate struct {
	Target       configuration.Target
	Free         bool          // the daemon has a free permit for it
	InFlight     int           // requests of this daemon, exact
	Estimated    float64       // requests of all daemons, see Loads.Estimate
	Slots        int           // batch size of the engine; 0 if not reported
	Version      string        // reported version of the service's model; empty if not reported
	Leaving      bool          // about to stop, as any source reports
	Down         bool          // considered failed
	CachedBlocks int           // leading blocks of the prompt that the target's cache holds, see Prefixes
	Near         Proximity     // how close the target is to the daemon, from Far to SamePlace
	Start        time.Duration // expected delay, not a time: how long until the first event
	Filled       float64       // fraction of its memory in use including this request; above 1 if it does not fit
	Failing      float64       // fraction of answers that were the target's own failures, 0 to 1
}

// Load returns the number of requests on the target divided by the number that it runs
// concurrently.
func (c *Candidate) Load() float64 {
	capacity := c.Slots
	if capacity <= 0 {
		capacity = max(1, c.Target.Permits)
	}
	return max(float64(c.InFlight), c.Estimated) / float64(capacity)
}

// Filter decides which candidates may be used.
type Filter interface {
	Keep(r *Request, c *Candidate) bool
}

// Balancer drops candidates that are far more loaded than the others. It keeps at least
// one.
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

// Picker returns the index of the selected candidate, given the score of each.
type Picker interface {
	Pick(scores []float64, random *rand.Rand) int
}

// Scheduler is a combination of filters, a balancer, scorers and a picker.
type Scheduler struct {
	Filters  []Filter
	Balancer Balancer // nil for none
	Scorers  []Weighted
	Picker   Picker
}

// Pick returns the target for r. The error wraps ErrNoTarget or ErrBusy. Pick reorders
// and overwrites candidates.
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

// withFreePermit returns the candidates for which the daemon has a free permit. It
// overwrites candidates.
func withFreePermit(candidates []Candidate) []Candidate {
	kept := candidates[:0]
	for _, c := range candidates {
		if c.Free {
			kept = append(kept, c)
		}
	}
	return kept
}

// keep reports whether all filters keep a candidate.
func (s Scheduler) keep(r *Request, c *Candidate) bool {
	for _, f := range s.Filters {
		if !f.Keep(r, c) {
			return false
		}
	}
	return true
}

// score returns the weighted sum of all scores of a candidate.
func (s Scheduler) score(r *Request, c *Candidate) float64 {
	var sum float64
	for _, w := range s.Scorers {
		sum += w.Weight * w.Scorer.Score(r, c)
	}
	return sum
}
