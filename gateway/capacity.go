package gateway

import (
	"bytes"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/exposition"
)

// lateSeconds is the number of seconds in a row in which the process must be late to count as short of
// processor time. A garbage collection or a new configuration makes it late in one or two of them.
const lateSeconds = 3

// capacity decides, once a second, whether this daemon is short of capacity, so that other daemons
// direct callers elsewhere. It refuses nothing.
type capacity struct {
	g         *Gateway
	lag       func(since, now time.Time) time.Duration // greatest lateness of the process
	monitor   exchange.CapacityMonitor
	lateness  [lateSeconds]time.Duration // greatest lateness of each of the last seconds
	checkedAt time.Time
	objective time.Duration // shortest latency objective of the configuration in force
	version   int64         // of that configuration

	short   atomic.Bool
	left    atomic.Int64 // in thousandths
	leftOut atomic.Int64 // daemons that the latest directory answer left out
}

// check measures what is left.
func (c *capacity) check(now time.Time) {
	left, bound := 1.0, "none"
	use := func(name string, remaining float64) {
		if remaining < left {
			left, bound = max(0, remaining), name
		}
	}
	if c.g.limits.Resources.MemoryBytes > 0 {
		use("memory", c.g.limits.Budget.Left())
	}
	if pool := c.g.limits.callers; pool != nil {
		use("connections", 1-float64(pool.Open())/float64(c.g.limits.conns.callers))
	}
	if late, ok := c.late(now); ok {
		use("processor", 1-float64(late)/float64(c.objective))
	}
	c.left.Store(int64(1000 * left))
	short, changed := c.monitor.Update(now, left)
	if !changed {
		return
	}
	c.short.Store(short)
	c.g.members.markShort(c.g.members.self.ID, short)
	if short {
		c.g.events.Record(event.CapacityShort, "", event.F("bound", bound), event.F("left", strconv.FormatFloat(left, 'f', 3, 64)))
	} else {
		c.g.events.Record(event.CapacityRestored, "")
	}
}

// late returns the lateness that the process had in each of the last seconds. It returns false without
// a configuration that states what lateness matters.
func (c *capacity) late(now time.Time) (time.Duration, bool) {
	since := c.checkedAt
	c.checkedAt = now
	copy(c.lateness[1:], c.lateness[:])
	c.lateness[0] = 0
	if !since.IsZero() {
		c.lateness[0] = c.lag(since, now)
	}
	if table := c.g.table.Load(); table != nil && table.Version != c.version {
		c.version, c.objective = table.Version, table.ShortestObjective()
	}
	least := c.lateness[0]
	for _, l := range c.lateness {
		least = min(least, l)
	}
	return least, c.objective > 0
}

func (c *capacity) writeMetrics(w *bytes.Buffer) {
	exposition.WriteValue(w, "capacity_left_thousandths", "gauge", c.left.Load())
	exposition.WriteValue(w, "directory_left_out", "gauge", c.leftOut.Load())
}
