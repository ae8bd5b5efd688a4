package admission

// Stats holds counts of a controller's queued tickets and permits.
type Stats struct {
	Queued      int
	QueuedBytes int64
	InUse       int // permits in use, including those of abandoned attempts
	Abandoned   int // of InUse, those of abandoned attempts
	Permits     int // this daemon's share of all targets' permits
}

// Stats returns the current counts.
func (c *Controller) Stats() Stats {
	s := Stats{Queued: len(c.queued), QueuedBytes: c.queuedBytes, InUse: len(c.permits)}
	for _, pool := range c.pools {
		s.Abandoned += pool.abandoned
		s.Permits += pool.limit
	}
	return s
}

// InFlight returns the number of a target's permits in use on this daemon.
func (c *Controller) InFlight(target string) int {
	if pool := c.pools[target]; pool != nil {
		return pool.inUse
	}
	return 0
}

// MeanHoldSeconds returns the mean time in seconds for which the permits of a
// lane are held, or 0 if it is not known.
func (c *Controller) MeanHoldSeconds(lane string) float64 {
	if l := c.lanes[lane]; l != nil {
		return l.hold.mean.Seconds()
	}
	return 0
}

// HoldsPermit reports whether the ticket with the given ID holds a permit.
func (c *Controller) HoldsPermit(id uint64) bool { return c.permits[id] != nil }
