package load

// counters tracks the counters of one process across restarts of the process.
type counters struct {
	baseline     map[string]int64 // first reading, or empty after a restart, because that resets the counters to 0
	last         map[string]int64 // latest reading
	previousRuns map[string]int64 // increase up to the last restart, over all earlier incarnations
}

func newCounters() *counters { return &counters{previousRuns: make(map[string]int64)} }

// countersFor returns the counters of the process at address and adds them to all if
// they are missing.
func countersFor(all map[string]*counters, address string) *counters {
	if all[address] == nil {
		all[address] = newCounters()
	}
	return all[address]
}

// observe records a reading. A counter that decreased means that the process has
// restarted.
func (c *counters) observe(current map[string]int64) {
	if c.baseline == nil {
		c.baseline, c.last = current, current
		return
	}
	for k, v := range current {
		if v < c.last[k] {
			c.previousRuns = c.increase()
			c.baseline = make(map[string]int64)
			break
		}
	}
	c.last = current
}

// increase returns the increase of each counter since the first reading, over all
// incarnations of the process.
func (c *counters) increase() map[string]int64 {
	out := make(map[string]int64, len(c.last))
	for k, v := range c.previousRuns {
		out[k] = v
	}
	for k, v := range c.last {
		out[k] += v - c.baseline[k]
	}
	return out
}
