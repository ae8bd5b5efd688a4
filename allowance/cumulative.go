package allowance

import "math"

// Cumulative is the allowance of one daemon for sends to a version under roll-out. Over all
// daemons, the sends stay within ratio × requests + slack, counted from the order on, because
// each daemon keeps to ratio × its own requests + its part of the slack. The zero value allows
// nothing. It is not safe for concurrent use.
type Cumulative struct {
	// Ratio is the number of sends allowed for each request.
	Ratio float64
	// Slack is this daemon's part of the sends that are allowed in addition.
	Slack float64
	// Dither in [0, 1) is added before the allowance is rounded down to a whole number. If it is
	// spread evenly over the daemons, the sum of the rounded allowances is the sum of the exact
	// ones. With 0, a daemon needs a whole credit, and 760 daemons with a part of a credit each
	// send nothing.
	Dither float64

	requests, spent int
}

// CountRequest counts a request of a caller.
func (c *Cumulative) CountRequest() { c.requests++ }

// Left returns the number of sends that are allowed now: fraction × Ratio × requests + part ×
// Slack, and at most pace × requests, rounded, less the sends so far. It is negative after the
// allowance was lowered.
func (c *Cumulative) Left(fraction, part, pace float64) int {
	exact := min(fraction*c.Ratio*float64(c.requests)+part*c.Slack, pace*float64(c.requests))
	if c.requests == 0 {
		return -c.spent
	}
	return int(math.Floor(exact+c.Dither)) - c.spent
}

// Take counts a send and reports true if one is allowed; see Left.
func (c *Cumulative) Take(fraction, part, pace float64) bool {
	if c.Left(fraction, part, pace) < 1 {
		return false
	}
	c.spent++
	return true
}

// Spend counts a send whether it is allowed or not.
func (c *Cumulative) Spend() { c.spent++ }

// Release takes back a send that was counted and not made.
func (c *Cumulative) Release() {
	if c.spent > 0 {
		c.spent--
	}
}

// Requests and Spent return the totals.
func (c *Cumulative) Requests() int { return c.requests }

// Spent returns the number of sends that were counted and not released.
func (c *Cumulative) Spent() int { return c.spent }
