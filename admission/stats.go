package admission

// Stats are the sizes of a controller's state.
type Stats struct {
	Queued      int
	QueuedBytes int64
	InUse       int // permits, left ones included
	Abandoned   int
	Permits     int // this daemon's share of all targets' permits
}

// Stats returns the sizes now.
func (c *Controller) Stats() Stats {
	s := Stats{Queued: len(c.queued), QueuedBytes: c.queuedBytes, InUse: len(c.permits)}
	for _, l := range c.targets {
		s.Abandoned += l.abandoned
		s.Permits += l.limit
	}
	return s
}

// InFlight returns the permits of a target that are taken on this daemon.
func (c *Controller) InFlight(target string) int {
	if l := c.targets[target]; l != nil {
		return l.inUse
	}
	return 0
}

// MeanHoldSeconds returns the mean time that a lane's permits are held, in
// seconds, or 0 while it is not known.
func (c *Controller) MeanHoldSeconds(lane string) float64 {
	if l := c.lanes[lane]; l != nil {
		return l.hold.mean.Seconds()
	}
	return 0
}

// HoldsPermit tells whether a permit is taken.
func (c *Controller) HoldsPermit(id uint64) bool { return c.permits[id] != nil }
