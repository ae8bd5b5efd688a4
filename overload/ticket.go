package overload

import (
	"slices"
	"time"
)

// Ticket is a request that a controller has decided on.
type Ticket struct {
	request Request
	rank    float64 // smaller ones come first
	waited  float64 // see Request.waited
	waiting bool    // the latest decision was to hold it
}

// waited returns how long the caller has waited before this request, in multiples of its
// objective. A caller that was refused once sends a new request with less time left than the
// route grants.
func (r *Request) waited() float64 {
	if r.Deadline.IsZero() || r.Timeout <= 0 || r.Objective <= 0 {
		return 0
	}
	return max(0, float64(r.Timeout-r.Deadline.Sub(r.Received))/float64(r.Objective))
}

// level returns the level of urgency of the request.
func (t *Ticket) level() int { return min(Levels-1, max(0, int(t.rank+0.5))) }

// useful returns how long the request may wait for room and still get its first event within
// its objective, and its last one before its deadline. run is the mean time of a stream. The
// result is 0 if there is no limit.
func (t *Ticket) useful(now time.Time, run time.Duration) time.Duration {
	r, limit := &t.request, t.usefulByDeadline(now, run)
	if r.Objective <= 0 {
		return limit
	}
	left := r.Received.Add(r.Objective).Sub(now)
	byObjective := max(left-prefillTime(r.Prompt), time.Duration(minUseful*float64(left)), 1)
	if limit == 0 || byObjective < limit {
		return byObjective
	}
	return limit
}

// assumedRunTime returns the time that a stream is expected to take at a target if it writes as many
// tokens as its caller allows. The stream ends by its deadline, whatever a caller allows.
func (r *Request) assumedRunTime() time.Duration {
	longest := maxAhead
	if !r.Deadline.IsZero() {
		longest = min(longest, max(0, r.Deadline.Sub(r.Received)))
	}
	// Calculated in floating point, since the number of a header may be any.
	seconds := float64(r.Prompt)/prefillTokensPerMilli/1000 + float64(r.Output)*assumedTokenTime.Seconds()
	return time.Duration(min(longest.Seconds(), seconds) * float64(time.Second))
}

// usefulByDeadline is useful without the objective.
func (t *Ticket) usefulByDeadline(now time.Time, run time.Duration) time.Duration {
	if t.request.Deadline.IsZero() {
		return 0
	}
	left := t.request.Deadline.Sub(now)
	return max(left-run, left/2, 1)
}

// hold inserts a ticket behind those that come before it.
func (c *Controller) hold(t *Ticket) {
	i := len(c.held)
	for i > 0 && c.held[i-1].rank > t.rank {
		i--
	}
	c.held = slices.Insert(c.held, i, t)
}

// Leave ends the hold of a request. It may be called more than once.
func (c *Controller) Leave(t *Ticket) {
	if i := slices.Index(c.held, t); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
	}
}

// ownAhead returns how many requests that this daemon holds come before one.
func (c *Controller) ownAhead(t *Ticket) int {
	if i := slices.Index(c.held, t); i >= 0 {
		return i
	}
	return 0
}

// Waiting reports whether a request waits for room.
func (c *Controller) Waiting() bool {
	return slices.ContainsFunc(c.held, func(t *Ticket) bool { return t.waiting })
}

// Held returns how many requests of each level wait for room here, for other daemons. Those that are
// about to be sent don't count.
func (c *Controller) Held() (held [Levels]int) {
	for _, t := range c.held {
		if t.waiting {
			held[t.level()]++
		}
	}
	return held
}
