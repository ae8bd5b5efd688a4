package admission

import (
	"sort"
	"time"
)

// headScan is how many tickets at the head of a queue are tried when the first
// finds no target, such as one that must not go back to the target it lost.
const headScan = 4

// maxFlows is how many flows one search tries in a class before it gives up.
const maxFlows = 32

// maxStreak is how many urgent grants in a row a lane makes while others wait.
const maxStreak = 16

// Controller owns the permits and queues of one daemon. It is not safe for
// concurrent use: the control loop owns it.
type Controller struct {
	settings   Settings
	placer     Placer
	targets    map[string]*ledger
	lanes      map[string]*lane
	queued     map[uint64]*waiting
	bytes      int64
	permits    map[uint64]*permit
	workspaces map[string]*usage
	retries    budget
	out        []Decision
}

// usage is what a workspace has on this daemon.
type usage struct {
	inFlight int
	queued   int
}

// NewController returns a controller without targets.
func NewController(s Settings, p Placer) *Controller {
	return &Controller{
		settings: s, placer: p, targets: make(map[string]*ledger), lanes: make(map[string]*lane),
		queued: make(map[uint64]*waiting), permits: make(map[uint64]*permit),
		workspaces: make(map[string]*usage), retries: newBudget(s),
	}
}

// Step takes a message and returns what follows from it. The decisions are
// valid until the next call.
func (c *Controller) Step(now time.Time, m Message) []Decision {
	c.out = c.out[:0]
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
		c.end(now, func(p *permit) bool { return p.target == m.Target && p.granted.Before(m.Before) })
	case Gone:
		c.end(now, func(p *permit) bool { return p.target == m.Target })
	case Block:
		if l := c.targets[m.Target]; l != nil {
			l.blocked = m.Blocked
		}
		c.dispatchAll(now)
	case Wake:
		c.dispatchAll(now)
	case Tick:
		c.tick(now)
	}
	return c.out
}

func (c *Controller) configure(m Configure) {
	for _, l := range c.targets {
		l.limit, l.reserved, l.blocked = 0, 0, false
	}
	for _, t := range m.Targets {
		l := c.targets[t.Name]
		if l == nil {
			l = &ledger{}
			c.targets[t.Name] = l
		}
		l.limit, l.reserved = t.Permits, t.Reserved
	}
	for name, l := range c.targets {
		if l.idle() {
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

func (c *Controller) forget(workspace string) {
	if u := c.workspaces[workspace]; u != nil && *u == (usage{}) {
		delete(c.workspaces, workspace)
	}
}

func (c *Controller) submit(now time.Time, t Ticket) {
	if c.queued[t.ID] != nil || c.permits[t.ID] != nil {
		return
	}
	w := &waiting{Ticket: t, class: t.class(), arrived: now, since: now}
	if t.Retry && !t.urgent() {
		w.class = retryClass
		if !c.retries.take(now) {
			w.class = normalClass
			c.out = append(c.out, Delayed{t.ID})
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

// refusal returns why a ticket can't wait, and for how long it would have to.
func (c *Controller) refusal(now time.Time, l *lane, w *waiting) (Reason, time.Duration) {
	_, placement := c.placer.Place(now, w.Ticket, func(name string) bool { return c.targets[name].free(w.urgent()) })
	if placement == NoneEligible && !w.Retry {
		return NoTarget, time.Second
	}
	wait := c.expectedWait(now, l, w)
	switch u := c.workspaces[w.Workspace]; {
	case placement == Placed && l.total == 0:
		return "", 0
	case c.full(w):
		return QueueFull, wait
	case w.Retry: // an answer that runs is not given up on an estimate
		return "", 0
	case u != nil && u.queued >= w.MaxQueued:
		return WorkspaceFull, wait
	case late(now, wait, w):
		return TooLate, wait
	}
	return "", 0
}

// full tells whether the daemon's queue has no room. Attempts after a loss find
// as much room again beyond that for new work.
func (c *Controller) full(w *waiting) bool {
	room := 1
	if w.Retry {
		room = 2
	}
	return len(c.queued) >= room*c.settings.MaxQueued || c.bytes+w.Bytes > int64(room)*c.settings.MaxQueuedBytes
}

func (c *Controller) refuse(w *waiting, r Reason, wait time.Duration) {
	c.out = append(c.out, Refuse{ID: w.ID, Reason: r, RetryAfter: retryAfter(wait, w.Request)})
}

func (c *Controller) enqueue(l *lane, w *waiting) {
	l.push(w)
	c.queued[w.ID] = w
	c.bytes += w.Bytes
	c.usage(w.Workspace).queued++
}

func (c *Controller) dequeue(w *waiting) {
	c.lanes[w.Lane].remove(w)
	delete(c.queued, w.ID)
	c.bytes -= w.Bytes
	c.usage(w.Workspace).queued--
}

func (c *Controller) adopt(now time.Time, m Adopt) {
	if c.queued[m.Ticket.ID] != nil || c.permits[m.Ticket.ID] != nil {
		return
	}
	if c.targets[m.Target] == nil {
		c.targets[m.Target] = &ledger{}
	}
	l := c.lane(m.Ticket.Lane)
	c.take(now, l, l.flow(&m.Ticket), &m.Ticket, m.Target)
}

// take counts a permit for a ticket.
func (c *Controller) take(now time.Time, l *lane, f *flow, t *Ticket, name string) {
	f.inFlight++
	c.usage(t.Workspace).inFlight++
	l.hold.start(now)
	c.targets[name].take(t.urgent())
	c.permits[t.ID] = &permit{ticket: *t, target: name, granted: now}
}

func (c *Controller) cancel(id uint64) {
	if w := c.queued[id]; w != nil {
		c.dequeue(w)
		c.forget(w.Workspace)
	}
}

func (c *Controller) release(now time.Time, m Release) {
	p := c.permits[m.ID]
	switch {
	case p == nil:
	case m.Ended:
		c.giveBack(now, p)
		c.dispatchAll(now)
	case !p.left:
		p.left = true
		c.targets[p.target].left++
	}
}

// end gives back the left permits that match.
func (c *Controller) end(now time.Time, match func(*permit) bool) {
	var ids []uint64
	for id, p := range c.permits {
		if p.left && match(p) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		c.giveBack(now, c.permits[id])
	}
	c.dispatchAll(now)
}

func (c *Controller) giveBack(now time.Time, p *permit) {
	delete(c.permits, p.ticket.ID)
	t := c.targets[p.target]
	t.give(p)
	if t.idle() {
		delete(c.targets, p.target)
	}
	u := c.usage(p.ticket.Workspace)
	u.inFlight--
	c.forget(p.ticket.Workspace)
	l := c.lanes[p.ticket.Lane]
	l.hold.end(p.granted, now)
	f := l.flows[p.ticket.Workspace]
	f.inFlight--
	l.forget(f)
}

func (c *Controller) tick(now time.Time) {
	c.expire(now)
	for _, name := range c.laneNames() {
		l := c.lanes[name]
		l.age(now, c.settings.AgeStep.Std())
		c.shed(now, l)
	}
	c.dispatchAll(now)
}

func (c *Controller) expire(now time.Time) {
	var late []*waiting
	for _, w := range c.queued {
		if !now.Before(w.Deadline) {
			late = append(late, w)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].ID < late[j].ID })
	for _, w := range late {
		c.refuse(w, Expired, c.expectedWait(now, c.lanes[w.Lane], w))
		c.dequeue(w)
		c.forget(w.Workspace)
	}
}

// laneNames returns the lanes that hold tickets, sorted.
func (c *Controller) laneNames() []string {
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
