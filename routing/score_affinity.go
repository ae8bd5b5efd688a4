package routing

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Affinity ranks targets by a hash of Request.Affinity, in the same order on every
// daemon, so that a request repeated at another daemon is sent to the target that holds
// its prompt.
type Affinity struct{}

// Score implements Scorer.
func (Affinity) Score(r *Request, c *Candidate) float64 {
	if r.Affinity == "" {
		return 0
	}
	return float64(xxhash.Sum64String(r.Affinity+"\x00"+c.Target.Name)) / math.MaxUint64
}
