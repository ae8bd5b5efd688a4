package overload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The model: daemons with views of their peers' loads that are out of date, before targets that
// prefill prompts one after the other, run what fits into slots and memory, queue the rest by
// priority, and preempt less urgent runs. It has no goroutines and a clock that ticks.
const (
	modelTick     = 10 * time.Millisecond
	modelSlots    = 16
	modelCapacity = 55_000
	modelDecode   = 14 * time.Millisecond // between two tokens of an idle target
)

// modelKind is a kind of callers.
type modelKind struct {
	priority  int
	objective time.Duration
	perSecond func(at time.Duration) float64
	workspace string
	prompt    func(r *rand.Rand) int
}

type modelRequest struct {
	kind           int
	target         int // -1 before it is sent
	prompt, output int
	unread, left   float64 // tokens to prefill, tokens to write
	running, begun bool
	resumed        bool          // after the loss of a target, when it had begun
	first          time.Duration // when the caller first tried
	received       time.Duration
	deadline       time.Duration
	tries          int
	daemon         int
	ticket         *Ticket
	sequence       int
}

func (r *modelRequest) memory() int { return r.prompt + r.output }

type modelTarget struct {
	requests []*modelRequest // that run or wait
	downTill time.Duration
}

type modelDaemon struct {
	control *Controller
	view    []Target        // of the loads of all daemons, when it was renewed
	held    [Levels]int     // by others, then
	own     []*modelRequest // sent since
	age     time.Duration   // between two renewals
	waiting []*modelRequest // held
	again   []time.Duration // when to decide on them
}

// modelCount counts the callers of one kind.
type modelCount struct {
	callers, inTime, late, refused, gone, moved int
	refusedOnce, servedAfter                    int
	large, largeRefused                         int
	freeAtRefusal                               int // refusals while half of the slots were free
	preempted                                   int
}

type model struct {
	decides  bool       // by a Controller; otherwise all is sent at once, without a priority
	random   *rand.Rand // of the daemons
	callers  *rand.Rand
	now      time.Duration
	start    time.Time
	targets  []modelTarget
	daemons  []modelDaemon
	kinds    []modelKind
	counts   []modelCount
	returns  []*modelRequest // refused callers, received is when they return
	sequence int
	// Returns per second, for the spread of refused callers.
	returned map[int]int
}

func newModel(seed uint64, decides bool, daemons, targets int, kinds ...modelKind) *model {
	m := &model{
		decides: decides, random: rand.New(rand.NewPCG(seed, 1)), callers: rand.New(rand.NewPCG(seed, 2)), start: time.Unix(0, 0), targets: make([]modelTarget, targets),
		daemons: make([]modelDaemon, daemons), kinds: kinds, counts: make([]modelCount, len(kinds)), returned: make(map[int]int),
	}
	for i := range m.daemons {
		m.daemons[i] = modelDaemon{control: NewController(), view: m.books(), age: time.Duration(4+m.random.IntN(497)) * time.Millisecond}
		for range minRuns {
			m.daemons[i].control.RecordRun(10 * time.Second)
		}
	}
	return m
}

func (m *model) time(d time.Duration) time.Time { return m.start.Add(d) }

const modelTimeout = 25 * time.Second

// run simulates a time, with arrivals until shortly before its end.
func (m *model) run(d time.Duration) {
	for ; m.now < d; m.now += modelTick {
		for k := range m.kinds {
			for n := m.kinds[k].perSecond(m.now) * modelTick.Seconds(); n > 0; n-- {
				if m.callers.Float64() < n {
					m.counts[k].callers++
					r := &modelRequest{kind: k, first: m.now, prompt: 3_000 + m.callers.IntN(4_000), output: 1_000, left: float64(300 + m.callers.IntN(700)), deadline: m.now + modelTimeout}
					if m.kinds[k].prompt != nil {
						r.prompt = m.kinds[k].prompt(m.callers)
					}
					if r.prompt >= modelLarge {
						m.counts[k].large++
					}
					if m.callers.Float64() < 0.3 { // impatient
						r.deadline = m.now + m.kinds[k].objective*3/2
					}
					m.arrive(r)
				}
			}
		}
		refused := m.returns
		m.returns = nil
		for _, r := range refused {
			if r.received > m.now {
				m.returns = append(m.returns, r)
				continue
			}
			m.returned[int(m.now/time.Second)]++
			m.arrive(r)
		}
		for i := range m.daemons {
			m.turn(i)
		}
		for i := range m.targets {
			m.work(i)
		}
	}
}

// arrive brings a request to a random daemon.
func (m *model) arrive(r *modelRequest) {
	r.daemon, r.target, r.received = m.random.IntN(len(m.daemons)), -1, m.now
	m.sequence++
	r.sequence = m.sequence
	d, k := &m.daemons[r.daemon], m.kinds[r.kind]
	if !m.decides {
		m.send(r, false)
		return
	}
	request := Request{
		Priority: k.priority, Objective: k.objective, Timeout: modelTimeout, Received: m.time(m.now), Deadline: m.time(r.deadline),
		Prompt: r.prompt, Memory: r.memory(), Output: r.output, Workspace: k.workspace,
	}
	ticket, decision := d.control.Arrive(m.time(m.now), request, m.load(d, request), m.random.Float64)
	r.ticket = ticket
	m.follow(r, decision)
}

func (m *model) follow(r *modelRequest, decision Decision) {
	d, count := &m.daemons[r.daemon], &m.counts[r.kind]
	switch decision.Action {
	case Hold:
		d.waiting, d.again = append(d.waiting, r), append(d.again, m.now+decision.Again)
	case Refuse:
		if slots, used := m.slots(); used*2 <= slots {
			count.freeAtRefusal++
		}
		if r.tries++; r.tries == 1 {
			count.refusedOnce++
			if r.prompt >= modelLarge {
				count.largeRefused++
			}
		}
		if wait := min(decision.RetryAfter, (r.deadline-m.now)/3); r.tries <= 2 {
			r.received = m.now + wait
			m.returns = append(m.returns, r)
			return
		}
		count.refused++
	default:
		d.control.Leave(r.ticket)
		m.send(r, decision.Action == Send)
	}
}

const modelLarge = 12_000

func (m *model) slots() (slots, used int) {
	for _, t := range m.targets {
		if m.now >= t.downTill {
			slots += modelSlots
			for _, r := range t.requests {
				used += int(boolToFloat(r.running))
			}
		}
	}
	return slots, used
}

// books returns the loads of all daemons on the targets.
func (m *model) books() []Target {
	out := make([]Target, len(m.targets))
	for i, t := range m.targets {
		out[i] = Target{Slots: modelSlots, Slowdown: 1, Running: len(t.requests)}
		for _, r := range t.requests {
			out[i].MemoryTokens += r.memory()
			if !r.begun {
				out[i].PrefillTokens += r.prompt
			}
		}
	}
	return out
}

// known returns a daemon's knowledge: its view, with its own requests since.
func (m *model) known(d *modelDaemon) []Target {
	out := slices.Clone(d.view)
	for _, r := range d.own {
		t := &out[r.target]
		t.Running, t.MemoryTokens, t.PrefillTokens = t.Running+1, t.MemoryTokens+r.memory(), t.PrefillTokens+r.prompt
	}
	return out
}

func (m *model) load(d *modelDaemon, r Request) Load {
	usable := m.known(d)
	for i := len(usable) - 1; i >= 0; i-- {
		if m.now < m.targets[i].downTill {
			usable = slices.Delete(usable, i, i+1)
		}
	}
	l := d.control.Summarize(usable, r, modelCapacity)
	l.PeersHeld, l.Daemons, l.Age = d.held, len(m.daemons), d.age
	return l
}

// send sends a request to the best of four targets, which have room if fits is set.
func (m *model) send(r *modelRequest, fits bool) {
	d := &m.daemons[r.daemon]
	known, best, bestDelay := m.known(d), -1, 0.0
	for tries, drawn := 0, 0; drawn < 4 && tries < 200; tries++ {
		i := m.random.IntN(len(known))
		t := known[i]
		if m.now < m.targets[i].downTill || fits && t.room(float64(r.memory()), modelCapacity) < 1 && tries < 190 {
			continue
		}
		drawn++
		delay := float64(t.PrefillTokens)/5 + 300*float64(t.Running)
		if t.Running >= modelSlots {
			delay += 1e6
		}
		if best < 0 || delay < bestDelay {
			best, bestDelay = i, delay
		}
	}
	r.target, r.unread = best, float64(r.prompt)
	m.targets[best].requests = append(m.targets[best].requests, r)
	d.own = append(d.own, r)
}

// turn renews the view of a daemon and decides on what it holds.
func (m *model) turn(i int) {
	d := &m.daemons[i]
	if m.now%d.age < modelTick {
		d.view, d.own, d.held = m.books(), nil, [Levels]int{}
		for j := range m.daemons {
			for level, n := range m.daemons[j].control.Held() {
				if j != i {
					d.held[level] += n
				}
			}
		}
	}
	waiting, again := d.waiting, d.again
	d.waiting, d.again = nil, nil
	for j, r := range waiting {
		switch {
		case m.now >= r.deadline:
			d.control.Leave(r.ticket)
			m.counts[r.kind].gone++
		case m.now < again[j]:
			d.waiting, d.again = append(d.waiting, r), append(d.again, again[j])
		default:
			m.follow(r, d.control.Reconsider(m.time(m.now), r.ticket, m.load(d, r.ticket.request), m.random.Float64))
		}
	}
}

func (r *modelRequest) headerPriority(m *model) int {
	switch {
	case !m.decides:
		return 5
	case r.resumed:
		return 0
	}
	return m.kinds[r.kind].priority
}

// work lets a target work for a tick.
func (m *model) work(i int) {
	t := &m.targets[i]
	if m.now < t.downTill {
		lost := t.requests
		t.requests = nil
		for _, r := range lost {
			m.counts[r.kind].moved++
			m.forget(r)
			r.running, r.resumed = false, r.begun
			m.send(r, false)
		}
		return
	}
	slices.SortStableFunc(t.requests, func(a, b *modelRequest) int {
		return cmp.Or(cmp.Compare(a.headerPriority(m), b.headerPriority(m)), cmp.Compare(a.sequence, b.sequence))
	})
	used, running := 0, 0
	for _, r := range t.requests {
		if r.running {
			used, running = used+r.memory(), running+1
		}
	}
	for _, r := range t.requests {
		if r.running {
			continue
		}
		for j := len(t.requests) - 1; j >= 0 && (running >= modelSlots || used+r.memory() > modelCapacity); j-- {
			if v := t.requests[j]; v.running && v.headerPriority(m) > r.headerPriority(m) {
				v.running, v.unread = false, float64(v.prompt)
				used, running = used-v.memory(), running-1
				if v.begun {
					m.counts[v.kind].preempted++
				}
			}
		}
		if running >= modelSlots || used+r.memory() > modelCapacity {
			break
		}
		r.running = true
		used, running = used+r.memory(), running+1
	}
	budget := prefillTokensPerMilli * float64(modelTick/time.Millisecond)
	written := float64(modelTick) / float64(modelDecode) / (1 + 0.03*float64(running))
	t.requests = slices.DeleteFunc(t.requests, func(r *modelRequest) bool {
		count := &m.counts[r.kind]
		if m.now >= r.deadline {
			count.gone += int(1 - boolToFloat(r.begun))
			m.end(r)
			return true
		}
		if !r.running {
			return false
		}
		if part := min(budget, r.unread); r.unread > 0 {
			budget, r.unread = budget-part, r.unread-part
			if r.unread > 0 || r.begun {
				return false
			}
			r.begun = true
			if m.now-r.received <= m.kinds[r.kind].objective {
				count.inTime++
			} else {
				count.late++
			}
			if r.tries > 0 {
				count.servedAfter++
			}
			return false
		}
		r.left -= written
		if r.left <= 0 {
			m.end(r)
		}
		return r.left <= 0
	})
}

func (m *model) end(r *modelRequest) {
	if r.begun {
		m.daemons[r.daemon].control.RecordRun(m.now - r.received)
	}
	m.forget(r)
}

func (m *model) forget(r *modelRequest) {
	m.daemons[r.daemon].own = slices.DeleteFunc(m.daemons[r.daemon].own, func(o *modelRequest) bool { return o == r })
}

// lose takes the first targets down until a time.
func (m *model) lose(n int, till time.Duration) {
	for i := range n {
		m.targets[i].downTill = till
	}
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
