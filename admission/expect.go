package admission

import "time"

// expectedWait returns the expected time until a ticket that arrives now is
// granted.
func (c *Controller) expectedWait(now time.Time, l *lane, w *waiter) time.Duration {
	own := 0
	if f := l.flows[w.Workspace]; f != nil {
		own = len(f.queues[w.class])
	}
	return c.waitBehind(now, l, w, l.ticketsAhead(&w.Ticket, w.class, own))
}

// waitBehind returns the expected time until a ticket is granted, at the rate at
// which the lane's permits become free. ahead is the number of tickets that are
// granted before it. The result is 0 if the lane has no usable permit.
func (c *Controller) waitBehind(now time.Time, l *lane, w *waiter, ahead int) time.Duration {
	permits := c.usablePermits(l, w.urgent())
	if permits == 0 {
		return 0
	}
	return l.hold.estimate(now) * time.Duration(ahead+1) / time.Duration(permits)
}

func (c *Controller) usablePermits(l *lane, urgent bool) int {
	var permits int
	for _, name := range l.targets {
		permits += c.targets[name].usablePermits(urgent)
	}
	return permits
}

// missesDeadline reports whether a ticket would miss its deadline after the expected
// wait plus waitMargin.
func missesDeadline(now time.Time, wait time.Duration, w *waiter) bool {
	return now.Add(wait + time.Duration(waitMargin*float64(wait))).After(w.Deadline)
}

// shed sheds load after a lane lost permits: it refuses tickets at the ends of
// the queues that are now expected to miss their deadlines, so that callers are
// notified at once and not when the deadline passes.
func (c *Controller) shed(now time.Time, l *lane) {
	permits := c.usablePermits(l, false)
	lost := permits < l.lastUsable
	l.lastUsable = permits
	if !lost {
		return
	}
	for k := normalClass; k < numClasses; k++ {
		for _, f := range l.waitingFlows(k) {
			c.shedFlow(now, l, f, k)
		}
	}
}

func (c *Controller) shedFlow(now time.Time, l *lane, f *flow, k class) {
	for i := len(f.queues[k]) - 1; i >= 0; i-- {
		w := f.queues[k][i]
		wait := c.waitBehind(now, l, w, l.ticketsAhead(&w.Ticket, k, i))
		if w.Retry || !missesDeadline(now, wait, w) {
			return
		}
		c.refuse(w, TooLate, wait)
		c.dequeue(w)
		c.removeIfUnused(w.Workspace)
	}
}
