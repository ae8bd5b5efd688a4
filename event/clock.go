package event

import (
	"sync"
	"time"
)

// Time is a hybrid logical clock timestamp: Unix milliseconds shifted left by
// logicalBits, plus a counter that orders events within one millisecond and
// orders the receipt of a message after its sending.
type Time int64

const logicalBits = 16

// Wall returns the wall-clock part of t.
func (t Time) Wall() time.Time { return time.UnixMilli(int64(t) >> logicalBits) }

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Time
	now  func() time.Time
}

// NewClock returns a clock that reads wall time from now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a time greater than every time returned or observed so far.
func (c *Clock) Now() Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := Time(c.now().UnixMilli() << logicalBits)
	if t <= c.last {
		t = c.last + 1
	}
	c.last = t
	return t
}

// Observe advances the clock so that Now returns times after t, a time received
// from another process.
func (c *Clock) Observe(t Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t > c.last {
		c.last = t
	}
}
