package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// simPermits issues permits at random and checks that each is released once its attempt has
// ended, and that no attempt is made without one.
type simPermits struct {
	mu     sync.Mutex
	random *rand.Rand
	denied float64         // share of the requests for a permit that are denied
	held   map[string]bool // by request and target
	faults []string
}

func newSimPermits(seed uint64) *simPermits {
	random := rand.New(rand.NewPCG(seed, 9))
	return &simPermits{random: random, denied: float64(random.IntN(3)) / 4, held: make(map[string]bool)}
}

// Take implements Permits.
func (p *simPermits) Take(_ context.Context, r PermitRequest) (retryAfter time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.random.Float64() < p.denied {
		return between(p.random, 5*time.Millisecond, 300*time.Millisecond), false
	}
	key := r.RequestID + " at " + r.Target.ID
	if p.held[key] {
		p.faults = append(p.faults, "a second permit of "+key)
	}
	p.held[key] = true
	return 0, true
}

// Release implements Permits.
func (p *simPermits) Release(requestID string, t fleet.Target, _ bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, requestID+" at "+t.ID)
}

// check returns the violations, once all requests have ended.
func (p *simPermits) check() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	for key := range p.held {
		faults = append(faults, fmt.Sprintf("the permit of %s was not released", key))
	}
	return faults
}
