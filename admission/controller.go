package admission

import (
	"sort"
	"time"
)

// maxHeadTries is the maximum number of tickets at the head of a queue that one
// search tries to place. The next ticket may have a target when the first has none,
// for example if the first is a retry that must avoid the target it lost.
const maxHeadTries = 4

// maxFlowTries is the maximum number of flows (workspaces with queued tickets) that
// one search for a ticket of a class tries.
const maxFlowTries = 32

// maxUrgentStreak is the maximum number of urgent tickets that a lane grants in a row
// while tickets of other classes wait.
const maxUrgentStreak = 16

// Controller manages the permits and queues of one daemon. It is not safe for
// concurrent use; only the control loop may call it.
type Controller struct {
	settings    Settings
	placer      Placer
	targets     map[string]*permitPool
	lanes       map[string]*lane
	queued      map[uint64]*waiter
	queuedBytes int64
	permits     map[uint64]*permit
	workspaces  map[string]*usage
	retries     retryBudget
	decisions   []Decision
}

// usage counts the permits and queued tickets of a workspace on this daemon.
type usage struct {
	inFlight int
	queued   int
}

// NewController returns a controller without targets.
func NewController(s Settings, p Placer) *Controller {
	return &Controller{
		settings: s, placer: p, targets: make(map[string]*permitPool), lanes: make(map[string]*lane),
		queued: make(map[uint64]*waiter), permits: make(map[uint64]*permit),
		workspaces: make(map[string]*usage), retries: newRetryBudget(s),
	}
}

// Step handles a message and returns the resulting decisions, which are valid
// until the next call.
func (c *Controller) Step(now time.Time, m Message) []Decision {
	c.decisions = c.decisions[:0]
	switch m := m.(type) {
	case Configure:
		c.configure(m)
		c.dispatchAll(now)
	case Submit:
		c.submit(now, m.Ticket)
	case Adopt:
		c.adopt(now, m)
	case Cancel:
		c.cancel(m.ID)
	case Release:
		c.release(now, m)
	case Restarted:
		c.releaseAbandoned(now, func(p *permit) bool { return p.target == m.Target && p.grantedAt.Before(m.Before) })
	case Gone:
		c.releaseAbandoned(now, func(p *permit) bool { return p.target == m.Target })
	case Block:
		if pool := c.targets[m.Target]; pool != nil {
			pool.blocked = m.Blocked
		}
		c.dispatchAll(now)
	case Wake:
		c.dispatchAll(now)
	case Tick:
		c.tick(now)
	}
	return c.decisions
}

func (c *Controller) configure(m Configure) {
	for _, pool := range c.targets {
		pool.limit, pool.reserved, pool.blocked = 0, 0, false
	}
	for _, t := range m.Targets {
		pool := c.targets[t.Name]
		if pool == nil {
			pool = &permitPool{}
			c.targets[t.Name] = pool
		}
		pool.limit, pool.reserved = t.Permits, t.Reserved
	}
	for name, pool := range c.targets {
		if pool.idle() {
			delete(c.targets, name)
		}
	}
	for _, l := range c.lanes {
		l.targets = nil
	}
	for name, targets := range m.Lanes {
		c.lane(name).targets = targets
	}
	for name, l := range c.lanes {
		if len(l.targets) == 0 && len(l.flows) == 0 {
			delete(c.lanes, name)
		}
	}
}

func (c *Controller) lane(name string) *lane {
	l := c.lanes[name]
	if l == nil {
		l = newLane()
		c.lanes[name] = l
	}
	return l
}

func (c *Controller) usage(workspace string) *usage {
	u := c.workspaces[workspace]
	if u == nil {
		u = &usage{}
		c.workspaces[workspace] = u
	}
	return u
}

func (c *Controller) removeIfUnused(workspace string) {
	if u := c.workspaces[workspace]; u != nil && *u == (usage{}) {
		delete(c.workspaces, workspace)
	}
}

func (c *Controller) submit(now time.Time, t Ticket) {
	if c.queued[t.ID] != nil || c.permits[t.ID] != nil {
		return
	}
	w := &waiter{Ticket: t, class: t.class(), arrivedAt: now, classSince: now}
	if t.Retry && !t.urgent() {
		w.class = retryClass
		if !c.retries.allow(now) {
			w.class = normalClass
			c.decisions = append(c.decisions, Delayed{t.ID})
		}
	}
	l := c.lane(t.Lane)
	if reason, wait := c.refusal(now, l, w); reason != "" {
		c.refuse(w, reason, wait)
		return
	}
	c.enqueue(l, w)
	c.dispatch(now, l)
}

// refusal returns the reason to refuse a ticket, or "" if it may be queued, and
// the expected wait.
func (c *Controller) refusal(now time.Time, l *lane, w *waiter) (Reason, time.Duration) {
	_, result := c.placer.Place(now, w.Ticket, func(name string) bool { return c.targets[name].hasFree(w.urgent()) })
	if result == NoneEligible && !w.Retry {
		return NoTarget, time.Second
	}
	wait := c.expectedWait(now, l, w)
	switch u := c.workspaces[w.Workspace]; {
	case result == Placed && l.total == 0:
		return "", 0
	case c.queueFull(w):
		return QueueFull, wait
	case w.Retry: // a generation that already ran isn't refused because of an estimate
		return "", 0
	case u != nil && u.queued >= w.MaxQueued:
		return WorkspaceFull, wait
	case missesDeadline(now, wait, w):
		return TooLate, wait
	}
	return "", 0
}

// queueFull reports whether the daemon's queue has no room for a ticket. Retries
// may use twice the room of new work.
func (c *Controller) queueFull(w *waiter) bool {
	factor := 1
	if w.Retry {
		factor = 2
	}
	return len(c.queued) >= factor*c.settings.MaxQueued || c.queuedBytes+w.Bytes > int64(factor)*c.settings.MaxQueuedBytes
}

func (c *Controller) refuse(w *waiter, r Reason, wait time.Duration) {
	c.decisions = append(c.decisions, Refuse{ID: w.ID, Reason: r, RetryAfter: retryAfter(wait, w.Request)})
}

func (c *Controller) enqueue(l *lane, w *waiter) {
	l.push(w)
	c.queued[w.ID] = w
	c.queuedBytes += w.Bytes
	c.usage(w.Workspace).queued++
}

func (c *Controller) dequeue(w *waiter) {
	c.lanes[w.Lane].remove(w)
	delete(c.queued, w.ID)
	c.queuedBytes -= w.Bytes
	c.usage(w.Workspace).queued--
}

func (c *Controller) adopt(now time.Time, m Adopt) {
	if c.queued[m.Ticket.ID] != nil || c.permits[m.Ticket.ID] != nil {
		return
	}
	if c.targets[m.Target] == nil {
		c.targets[m.Target] = &permitPool{}
	}
	l := c.lane(m.Ticket.Lane)
	c.acquire(now, l, l.flow(&m.Ticket), &m.Ticket, m.Target)
}

// acquire records a permit for a ticket on the named target.
func (c *Controller) acquire(now time.Time, l *lane, f *flow, t *Ticket, name string) {
	f.inFlight++
	c.usage(t.Workspace).inFlight++
	l.hold.start(now)
	c.targets[name].acquire(t.urgent())
	c.permits[t.ID] = &permit{ticket: *t, target: name, grantedAt: now}
}

func (c *Controller) cancel(id uint64) {
	if w := c.queued[id]; w != nil {
		c.dequeue(w)
		c.removeIfUnused(w.Workspace)
	}
}

func (c *Controller) release(now time.Time, m Release) {
	p := c.permits[m.ID]
	switch {
	case p == nil:
	case m.Ended:
		c.releasePermit(now, p)
		c.dispatchAll(now)
	case !p.abandoned:
		p.abandoned = true
		c.targets[p.target].abandoned++
	}
}

// releaseAbandoned releases the permits of abandoned attempts for which match
// returns true.
func (c *Controller) releaseAbandoned(now time.Time, match func(*permit) bool) {
	var ids []uint64
	for id, p := range c.permits {
		if p.abandoned && match(p) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		c.releasePermit(now, c.permits[id])
	}
	c.dispatchAll(now)
}

func (c *Controller) releasePermit(now time.Time, p *permit) {
	delete(c.permits, p.ticket.ID)
	pool := c.targets[p.target]
	pool.release(p)
	if pool.idle() {
		delete(c.targets, p.target)
	}
	u := c.usage(p.ticket.Workspace)
	u.inFlight--
	c.removeIfUnused(p.ticket.Workspace)
	l := c.lanes[p.ticket.Lane]
	l.hold.end(p.grantedAt, now)
	f := l.flows[p.ticket.Workspace]
	f.inFlight--
	l.removeIfUnused(f)
}

func (c *Controller) tick(now time.Time) {
	c.expire(now)
	for _, name := range c.waitingLanes() {
		l := c.lanes[name]
		l.promoteAged(now, c.settings.AgeStep.Std())
		c.shed(now, l)
	}
	c.dispatchAll(now)
}

func (c *Controller) expire(now time.Time) {
	var expired []*waiter
	for _, w := range c.queued {
		if !now.Before(w.Deadline) {
			expired = append(expired, w)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].ID < expired[j].ID })
	for _, w := range expired {
		c.refuse(w, Expired, c.expectedWait(now, c.lanes[w.Lane], w))
		c.dequeue(w)
		c.removeIfUnused(w.Workspace)
	}
}

// waitingLanes returns the sorted names of the lanes with queued tickets.
func (c *Controller) waitingLanes() []string {
	if len(c.queued) == 0 {
		return nil
	}
	var out []string
	for name, l := range c.lanes {
		if l.total > 0 {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
