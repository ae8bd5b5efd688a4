package load

// counters follows counters of one process over its restarts.
type counters struct {
	baseline     map[string]int64 // when first read
	last         map[string]int64
	previousRuns map[string]int64 // grown by earlier runs of the process
}

func newCounters() *counters { return &counters{previousRuns: make(map[string]int64)} }

func countersFor(all map[string]*counters, address string) *counters {
	if all[address] == nil {
		all[address] = newCounters()
	}
	return all[address]
}

// observe takes a reading. A counter that fell tells that the process restarted.
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

// increase returns how much each counter rose since the first reading.
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
