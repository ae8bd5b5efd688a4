package generation

import "time"

// Claims tells which daemon was the last to run each request. One daemon keeps
// the claims of an id, so that a caller which comes to another daemon without
// a cursor is led to the run that goes on. Losing a claim costs a second run
// and nothing else. It is not safe for concurrent use.
type Claims struct {
	entries map[string]claim
	order   []string // by first claim, oldest first
}

type claim struct {
	daemon    string // peer address
	claimedAt time.Time
}

// claimLife is how long a claim is kept, maxClaims how many at most.
const (
	claimLifetime = 10 * time.Minute
	maxClaims     = 1 << 16
)

// NewClaims returns no claims.
func NewClaims() *Claims { return &Claims{entries: make(map[string]claim)} }

// Len returns the number of claims kept.
func (c *Claims) Len() int { return len(c.entries) }

// Swap names daemon as the one that runs the request and returns the one
// before, or "".
func (c *Claims) Swap(now time.Time, request, daemon string) string {
	previous, known := c.entries[request]
	if known && now.Sub(previous.claimedAt) > claimLifetime {
		previous = claim{}
	}
	c.entries[request] = claim{daemon, now}
	if !known {
		c.order = append(c.order, request)
	}
	for len(c.order) > 0 && c.evictable(now, c.order[0]) {
		c.dropOldest()
	}
	return previous.daemon
}

// Renew names daemon as the one that runs the request unless another one is
// known to.
func (c *Claims) Renew(now time.Time, request, daemon string) {
	if holder := c.Holder(now, request); holder == "" || holder == daemon {
		c.Swap(now, request, daemon)
	}
}

// Holder returns the daemon that runs the request, as far as is known, or "".
func (c *Claims) Holder(now time.Time, request string) string {
	e, known := c.entries[request]
	if !known || now.Sub(e.claimedAt) > claimLifetime {
		return ""
	}
	return e.daemon
}

func (c *Claims) evictable(now time.Time, request string) bool {
	return len(c.entries) > maxClaims || now.Sub(c.entries[request].claimedAt) > claimLifetime
}

func (c *Claims) dropOldest() {
	delete(c.entries, c.order[0])
	c.order = c.order[1:]
}
