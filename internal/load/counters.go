package load

// counters follows counters of one process over its restarts.
type counters struct {
	first  map[string]int64 // when first read
	last   map[string]int64
	before map[string]int64 // grown by earlier runs of the process
}

func newCounters() *counters { return &counters{before: make(map[string]int64)} }

func countersOf(all map[string]*counters, address string) *counters {
	if all[address] == nil {
		all[address] = newCounters()
	}
	return all[address]
}

// see takes a reading. A counter that fell tells that the process restarted.
func (c *counters) see(now map[string]int64) {
	if c.first == nil {
		c.first, c.last = now, now
		return
	}
	for k, v := range now {
		if v < c.last[k] {
			c.before = c.grown()
			c.first = make(map[string]int64)
			break
		}
	}
	c.last = now
}

// grown returns how much each counter rose since the first reading.
func (c *counters) grown() map[string]int64 {
	out := make(map[string]int64, len(c.last))
	for k, v := range c.before {
		out[k] = v
	}
	for k, v := range c.last {
		out[k] += v - c.first[k]
	}
	return out
}
