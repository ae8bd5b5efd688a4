package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Affinity ranks targets by a hash of the request's key, alike on every daemon:
// a request that comes again elsewhere finds the target that holds its prompt.
type Affinity struct{}

// Score implements Scorer.
func (Affinity) Score(r *Request, c *Candidate) float64 {
	if r.Affinity == "" {
		return 0
	}
	return float64(xxhash.Sum64String(r.Affinity+"\x00"+c.Target.Name)) / math.MaxUint64
}
