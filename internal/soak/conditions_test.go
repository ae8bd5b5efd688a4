package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// What a target that names a limit may get.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0                    // requests
	limitSpread = 500 * time.Millisecond // in which daemons tell each other
)

// conditions are what an engine states in its answers, and what it got.
type conditions struct {
	mu       sync.Mutex
	limits   []namedLimit // oldest first
	arrivals []time.Time  // of requests
}

// namedLimit is the limit in requests a second that an engine names from a time on; 0 for
// none.
type namedLimit struct {
	from      time.Time
	perSecond float64
}

// arrive records a request and states the conditions in the header of its answer.
func (c *conditions) arrive(h http.Header) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
	if n := len(c.limits); n > 0 && c.limits[n-1].perSecond > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(c.limits[n-1].perSecond, 'f', 2, 64))
	}
}

func (c *conditions) name(perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = append(c.limits, namedLimit{time.Now(), perSecond})
}

// nameLimit lets an engine, or half of them, name a limit, change it and drop it.
func nameLimit(s *site, rng *rand.Rand) {
	engines := s.engines
	if rng.IntN(3) > 0 {
		i := rng.IntN(len(engines))
		engines = engines[i : i+1]
	}
	from := time.Now()
	for range 1 + rng.IntN(3) {
		for i, e := range engines {
			if i%2 == 0 {
				e.conditions.name(0.5 + 8*rng.Float64())
			}
		}
		time.Sleep(contact + upTo(rng, 5*time.Second))
	}
	for _, e := range engines {
		e.conditions.name(0)
	}
	s.note(&s.quiet, span{"limit of " + engines[0].id + fmt.Sprintf(" and %d more", len(engines)/2), "", from, time.Now()})
}

// checkLimits returns the windows in which engines got more than the limits that they
// named.
func (e *engine) checkLimits() (broken []string) {
	c := &e.conditions
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, l := range c.limits {
		if l.perSecond == 0 || i > 0 && c.limits[i-1].perSecond > 0 {
			continue
		}
		until := time.Now()
		for _, next := range c.limits[i+1:] {
			if next.perSecond == 0 {
				until = next.from
				break
			}
		}
		for j, first := range c.arrivals {
			end := first.Add(limitWindow)
			if first.Before(l.from.Add(contact)) || end.After(until) {
				continue
			}
			n := 0
			for n = 1; j+n < len(c.arrivals) && c.arrivals[j+n].Before(end); n++ {
			}
			if allowed := limitFactor*c.allows(first, end) + limitSlack; float64(n) > allowed {
				broken = append(broken, fmt.Sprintf("LIMIT: %s got %d requests in %v from %v on, allowed %.1f", e.id, n, limitWindow, first, allowed))
				break
			}
		}
	}
	return broken
}

// allows returns how many requests the limits allow between two times. A changed limit
// counts as the higher one for limitSpread.
func (c *conditions) allows(from, until time.Time) (n float64) {
	const step = 50 * time.Millisecond
	for at := from; at.Before(until); at = at.Add(step) {
		highest := 0.0
		for i, l := range c.limits {
			ended := i+1 < len(c.limits) && c.limits[i+1].from.Before(at.Add(-limitSpread))
			if !l.from.After(at) && !ended {
				highest = max(highest, l.perSecond)
			}
		}
		n += highest * step.Seconds()
	}
	return n
}
