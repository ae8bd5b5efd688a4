package admission

import "time"

// dispatchAll grants as many queued tickets as possible in every lane.
func (c *Controller) dispatchAll(now time.Time) {
	for _, name := range c.waitingLanes() {
		c.dispatch(now, c.lanes[name])
	}
}

// dispatch grants as many queued tickets of a lane as possible.
func (c *Controller) dispatch(now time.Time, l *lane) {
	for l.total > 0 && c.hasFreeTarget(l) {
		if !c.grantNext(now, l) {
			return
		}
	}
}

func (c *Controller) hasFreeTarget(l *lane) bool {
	urgent := l.queued[urgentClass] > 0
	for _, name := range l.targets {
		if c.pools[name].hasFree(urgent) {
			return true
		}
	}
	return false
}

// grantNext grants the next ticket of a lane and reports whether it granted one.
// After maxUrgentStreak urgent grants in a row, the other classes go first.
func (c *Controller) grantNext(now time.Time, l *lane) bool {
	if l.urgentStreak >= maxUrgentStreak && c.grantFromClass(now, l, retryClass) {
		return true
	}
	return c.grantFromClass(now, l, urgentClass)
}

// grantFromClass grants one ticket of the class startClass. If it can grant none
// of that class, it tries the classes of lower priority in turn. It reports whether
// it granted a ticket.
func (c *Controller) grantFromClass(now time.Time, l *lane, startClass class) bool {
	for k := startClass; k < numClasses; k++ {
		l.searches++
		for range maxFlowTries {
			f := l.nextFlow(k)
			if f == nil {
				break
			}
			if c.grantFromFlow(now, l, f, k) {
				return true
			}
			f.failedSearch = l.searches
		}
	}
	return false
}

// grantFromFlow grants one of the first maxHeadTries tickets of a flow in class k
// and reports whether it granted one.
func (c *Controller) grantFromFlow(now time.Time, l *lane, f *flow, k class) bool {
	for _, w := range f.queues[k][:min(maxHeadTries, len(f.queues[k]))] {
		if !w.Retry && w.MaxInFlight > 0 && c.usage(w.Workspace).inFlight >= w.MaxInFlight {
			return false
		}
		name, result := c.placer.Place(now, w.Ticket, func(t string) bool { return c.pools[t].hasFree(w.urgent()) })
		if result != Placed || !c.pools[name].hasFree(w.urgent()) {
			continue
		}
		c.grant(now, l, f, w, name)
		return true
	}
	return false
}

func (c *Controller) grant(now time.Time, l *lane, f *flow, w *waiter, name string) {
	c.acquire(now, l, f, &w.Ticket, name) // before dequeue, which would remove a flow without permits
	c.dequeue(w)
	l.grants++
	f.lastGrant = l.grants
	l.urgentStreak++
	if !w.urgent() || l.total == l.queued[urgentClass] {
		l.urgentStreak = 0
	}
	c.decisions = append(c.decisions, Grant{ID: w.ID, Target: name, Waited: now.Sub(w.arrivedAt)})
}
