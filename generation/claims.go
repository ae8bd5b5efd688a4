package generation

import "time"

// Claims stores the newest claim of each request: the record of the daemon that runs
// it. The daemon that stores the claims of a request id is its registrar. When a
// caller connects to another daemon without a cursor, that daemon finds the existing
// run by the claim. If a claim is lost, the request only runs a second time. Claims
// is not safe for concurrent use.
type Claims struct {
	entries map[string]claim // by request id
	order   []string         // request ids, sorted by their first claims, oldest first
}

// claim states that a daemon runs a request.
type claim struct {
	daemon    string // peer address
	claimedAt time.Time
}

// claimLifetime is how long a claim is valid, and maxClaims is the maximum number
// of stored claims.
const (
	claimLifetime = 10 * time.Minute
	maxClaims     = 1 << 16
)

// NewClaims returns an empty Claims.
func NewClaims() *Claims { return &Claims{entries: make(map[string]claim)} }

// Len returns the number of stored claims.
func (c *Claims) Len() int { return len(c.entries) }

// Swap records that daemon runs the request and returns the daemon of the
// previous claim, or "" if there is none or it has expired.
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

// Renew records that daemon runs the request, unless there is a valid claim of
// another daemon.
func (c *Claims) Renew(now time.Time, request, daemon string) {
	if holder := c.Holder(now, request); holder == "" || holder == daemon {
		c.Swap(now, request, daemon)
	}
}

// Holder returns the daemon that has a valid claim on the request, or "" if there is
// none.
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
