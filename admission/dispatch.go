package admission

import "time"

// dispatchAll grants what can be granted in every lane.
func (c *Controller) dispatchAll(now time.Time) {
	for _, name := range c.laneNames() {
		c.dispatch(now, c.lanes[name])
	}
}

// dispatch grants tickets of a lane until none can be.
func (c *Controller) dispatch(now time.Time, l *lane) {
	for l.total > 0 && c.anyFree(l) {
		if !c.grantNext(now, l) {
			return
		}
	}
}

func (c *Controller) anyFree(l *lane) bool {
	urgent := l.queued[urgentClass] > 0
	for _, name := range l.targets {
		if c.targets[name].free(urgent) {
			return true
		}
	}
	return false
}

// grantNext grants one ticket, or returns false.
func (c *Controller) grantNext(now time.Time, l *lane) bool {
	if l.streak >= maxStreak && c.grantFrom(now, l, retryClass) {
		return true
	}
	return c.grantFrom(now, l, urgentClass)
}

// grantFrom grants one ticket of class first or of those after it.
func (c *Controller) grantFrom(now time.Time, l *lane, first class) bool {
	for k := first; k < classes; k++ {
		l.rounds++
		for range maxFlows {
			f := l.next(k)
			if f == nil {
				break
			}
			if c.grantOf(now, l, f, k) {
				return true
			}
			f.tried = l.rounds
		}
	}
	return false
}

// grantOf grants one of the first tickets of a flow.
func (c *Controller) grantOf(now time.Time, l *lane, f *flow, k class) bool {
	for _, w := range f.queues[k][:min(headScan, len(f.queues[k]))] {
		if !w.Retry && w.MaxInFlight > 0 && c.usage(w.Workspace).inFlight >= w.MaxInFlight {
			return false
		}
		name, placement := c.placer.Place(now, w.Ticket, func(t string) bool { return c.targets[t].free(w.urgent()) })
		if placement != Placed || !c.targets[name].free(w.urgent()) {
			continue
		}
		c.grant(now, l, f, w, name)
		return true
	}
	return false
}

func (c *Controller) grant(now time.Time, l *lane, f *flow, w *waiting, name string) {
	c.take(now, l, f, &w.Ticket, name) // before dequeue, so that the flow is kept
	c.dequeue(w)
	l.grants++
	f.served = l.grants
	l.streak++
	if !w.urgent() || l.total == l.queued[urgentClass] {
		l.streak = 0
	}
	c.out = append(c.out, Grant{ID: w.ID, Target: name, Waited: now.Sub(w.arrived)})
}
