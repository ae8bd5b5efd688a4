package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/target"
)

// fault injects a fault. It is called before each message and may corrupt the
// controller, replace the message, or return nil to drop the message.
type fault func(c *Controller, m Message) Message

// model checks a controller's permits and queue against the messages sent to it.
type model struct {
	c            *Controller
	limits       map[string]TargetLimit
	maxInUse     map[string]int    // by target: permits that may be in use; more than the limit if they were in use when it was lowered
	maxNonUrgent map[string]int    // the same for permits of requests that are not urgent
	outcomes     map[uint64]string // by ticket: grant, refusal, cancel or adoption
	grants       map[uint64]Grant  // by ticket: permits held
	tickets      map[uint64]Ticket
	inject       fault // nil for none
	now          time.Time
	lastID       uint64
}

func newModel(inject fault) *model {
	s := DefaultSettings()
	s.MaxQueued, s.RetryBurst = 12, 2
	names := []string{"e1", "e2", "e3"}
	return &model{
		c: NewController(s, firstFreePlacer{order: names}), now: start, inject: inject,
		limits: make(map[string]TargetLimit), maxInUse: make(map[string]int), maxNonUrgent: make(map[string]int),
		outcomes: make(map[uint64]string), grants: make(map[uint64]Grant), tickets: make(map[uint64]Ticket),
	}
}

func (m *model) step(msg Message) error {
	if m.inject != nil {
		msg = m.inject(m.c, msg)
	}
	if msg == nil {
		return m.check()
	}
	for _, d := range m.c.Step(m.now, msg) {
		switch d := d.(type) {
		case Grant:
			if m.outcomes[d.ID] != "" {
				return fmt.Errorf("ticket %d was granted after its %s, want one outcome", d.ID, m.outcomes[d.ID])
			}
			m.outcomes[d.ID] = "grant"
			m.grants[d.ID] = d
		case Refuse:
			if m.outcomes[d.ID] != "" {
				return fmt.Errorf("ticket %d was refused after its %s, want one outcome", d.ID, m.outcomes[d.ID])
			}
			m.outcomes[d.ID] = "refusal"
		}
	}
	return m.check()
}

// check checks that the permits held are within the limits and that the controller
// counts the same permits. It then checks the queue.
func (m *model) check() error {
	inUse, nonUrgent := make(map[string]int), make(map[string]int)
	for id, g := range m.grants {
		inUse[g.Target]++
		t := m.tickets[id]
		if !t.urgent() {
			nonUrgent[g.Target]++
		}
	}
	for name, l := range m.limits {
		m.maxInUse[name] = max(l.Permits, min(m.maxInUse[name], inUse[name]))
		m.maxNonUrgent[name] = max(l.Permits-l.Reserved, min(m.maxNonUrgent[name], nonUrgent[name]))
		if inUse[name] > m.maxInUse[name] || nonUrgent[name] > m.maxNonUrgent[name] {
			return fmt.Errorf("target %s: %d permits in use (%d not urgent) exceed the limits %+v", name, inUse[name], nonUrgent[name], l)
		}
		if got := m.c.InFlight(name); got != inUse[name] {
			return fmt.Errorf("target %s: controller counts %d permits in use, want the %d held", name, got, inUse[name])
		}
	}
	if got := m.c.Stats().InUse; got != len(m.grants) {
		return fmt.Errorf("controller counts %d permits in use on all targets, want the %d held", got, len(m.grants))
	}
	return m.checkQueue()
}

// checkQueue checks that every ticket is either queued or has an outcome, and that no
// ticket is queued while a permit is free for it. Tickets with a MaxInFlight may be
// queued because of that limit.
func (m *model) checkQueue() error {
	for id := range m.tickets {
		if m.outcomes[id] == "" && m.c.queued[id] == nil {
			return fmt.Errorf("ticket %d is not queued and has no outcome", id)
		}
	}
	for id, w := range m.c.queued {
		if m.outcomes[id] != "" {
			return fmt.Errorf("ticket %d is still queued after its %s", id, m.outcomes[id])
		}
		if w.MaxInFlight > 0 {
			continue
		}
		for name := range m.limits {
			if m.c.targets[name].hasFree(w.urgent()) {
				return fmt.Errorf("ticket %d is queued although target %s has a free permit for it", id, name)
			}
		}
	}
	return nil
}

func (m *model) configure(t *rapid.T) error {
	c := Configure{Lanes: map[string][]string{}}
	m.limits = make(map[string]TargetLimit)
	for _, name := range []string{"e1", "e2", "e3"} {
		l := TargetLimit{Name: name, Permits: rapid.IntRange(0, 4).Draw(t, "permits")}
		if l.Permits > 1 {
			l.Reserved = rapid.IntRange(0, l.Permits-1).Draw(t, "reserved")
		}
		c.Targets = append(c.Targets, l)
		c.Lanes[testLane] = append(c.Lanes[testLane], name)
		m.limits[name] = l
	}
	return m.step(c)
}

func (m *model) submit(t *rapid.T) error {
	m.lastID++
	ticket := Ticket{
		ID: m.lastID, Request: fmt.Sprint(m.lastID), Lane: testLane, Bytes: 10, Weight: 1, MaxQueued: 6,
		Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"),
		Priority:  target.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Retry:     rapid.Bool().Draw(t, "retry"),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond),
	}
	if ticket.Workspace == "a" {
		ticket.MaxInFlight = 2
	}
	m.tickets[ticket.ID] = ticket
	return m.step(Submit{ticket})
}

// adopt records a permit for an attempt that already runs, even beyond the limit.
func (m *model) adopt(t *rapid.T) error {
	m.lastID++
	a := Adopt{Target: rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "target")}
	a.Ticket = Ticket{ID: m.lastID, Workspace: "a", Lane: testLane, Priority: target.Normal}
	m.tickets[m.lastID], m.outcomes[m.lastID] = a.Ticket, "adoption"
	m.grants[m.lastID] = Grant{ID: m.lastID, Target: a.Target}
	m.maxInUse[a.Target]++
	m.maxNonUrgent[a.Target]++
	return m.step(a)
}

func (m *model) anyID(t *rapid.T) uint64 { return rapid.Uint64Range(1, m.lastID+1).Draw(t, "id") }

func (m *model) release(t *rapid.T) error {
	r := Release{ID: m.anyID(t), Ended: rapid.Bool().Draw(t, "ended")}
	if r.Ended {
		delete(m.grants, r.ID)
	}
	return m.step(r)
}

func (m *model) cancel(t *rapid.T) error {
	id := m.anyID(t)
	if m.outcomes[id] == "" && m.c.queued[id] != nil {
		m.outcomes[id] = "cancel"
	}
	return m.step(Cancel{id})
}

func (m *model) gone(t *rapid.T) error {
	name := rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(t, "target")
	for id, g := range m.grants {
		if g.Target == name && m.c.permits[id].abandoned {
			delete(m.grants, id)
		}
	}
	return m.step(Gone{name})
}

// finish advances the time past every deadline, releases every permit and checks
// that the controller then has no ticket, permit or workspace left.
func (m *model) finish() error {
	m.now = m.now.Add(time.Minute)
	if err := m.step(Tick{}); err != nil {
		return err
	}
	for id := uint64(1); id <= m.lastID; id++ {
		if _, held := m.grants[id]; held {
			delete(m.grants, id)
			if err := m.step(Release{id, true}); err != nil {
				return err
			}
		}
	}
	s := m.c.Stats()
	if s.Queued != 0 || s.QueuedBytes != 0 || s.InUse != 0 || s.Abandoned != 0 || len(m.c.workspaces) != 0 || len(m.c.lanes[testLane].flows) != 0 {
		return fmt.Errorf("controller has tickets, permits, workspaces or flows left at the end, want none: %+v", s)
	}
	return nil
}

func (m *model) run(t *rapid.T) error {
	if err := m.configure(t); err != nil {
		return err
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		var err error
		switch rapid.IntRange(0, 10).Draw(t, "step") {
		case 0:
			err = m.configure(t)
		case 1, 2, 3, 4:
			err = m.submit(t)
		case 5, 6:
			err = m.release(t)
		case 7:
			err = m.cancel(t)
		case 8:
			err = m.gone(t)
		case 9:
			err = m.adopt(t)
		case 10:
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			err = m.step(Tick{})
		}
		if err != nil {
			return err
		}
	}
	return m.finish()
}

// TestConservation checks on random message sequences that permits stay within
// their limits, that every ticket gets exactly one outcome, and that no permit or
// queue entry is left at the end.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newModel(nil).run(t); err != nil {
			t.Fatal(err)
		}
	})
}

// faults are the injected faults that TestConservation's property must detect.
var faults = map[string]fault{
	"an abandoned attempt's permit is released at once": func(_ *Controller, m Message) Message {
		if r, ok := m.(Release); ok {
			r.Ended = true
			return r
		}
		return m
	},
	"a permit that is released twice is counted twice": func(c *Controller, m Message) Message {
		if r, ok := m.(Release); ok && r.Ended && c.permits[r.ID] == nil && c.targets["e1"] != nil {
			c.targets["e1"].inUse--
		}
		return m
	},
	"a release is lost": func(_ *Controller, m Message) Message {
		if r, ok := m.(Release); ok && r.Ended {
			return nil
		}
		return m
	},
	"a cancel releases a granted permit": func(c *Controller, m Message) Message {
		if x, ok := m.(Cancel); ok && c.permits[x.ID] != nil {
			return Release{x.ID, true}
		}
		return m
	},
	"reserved permits are granted to all priorities": func(_ *Controller, m Message) Message {
		if x, ok := m.(Configure); ok {
			x.Targets = append([]TargetLimit(nil), x.Targets...)
			for i := range x.Targets {
				x.Targets[i].Reserved = 0
			}
			return x
		}
		return m
	},
	"a lower limit is ignored": func(c *Controller, m Message) Message {
		if x, ok := m.(Configure); ok {
			x.Targets = append([]TargetLimit(nil), x.Targets...)
			for i, l := range x.Targets {
				if old := c.targets[l.Name]; old != nil {
					x.Targets[i].Permits = max(l.Permits, old.limit)
				}
			}
			return x
		}
		return m
	},
	"a submitted ticket is lost": func(c *Controller, m Message) Message {
		if x, ok := m.(Submit); ok && len(c.queued) > 1 && x.Ticket.ID%2 == 0 {
			return nil
		}
		return m
	},
	"a tick removes a queued ticket without a decision": func(c *Controller, m Message) Message {
		if _, ok := m.(Tick); ok {
			for _, w := range c.queued {
				c.dequeue(w)
				break
			}
		}
		return m
	},
}

// TestConservationFindsBreakage checks that TestConservation's property detects
// each of the injected faults.
func TestConservationFindsBreakage(t *testing.T) {
	const maxRuns = 2000
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			run := rapid.Custom(func(t *rapid.T) string {
				if err := newModel(inject).run(t); err != nil {
					return err.Error()
				}
				return ""
			})
			for seed := range maxRuns {
				if run.Example(seed) != "" {
					return
				}
			}
			t.Fatalf("the injected fault was not detected in %d runs, want an error", maxRuns)
		})
	}
}
