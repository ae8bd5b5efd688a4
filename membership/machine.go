package membership

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/peer"
)

// Made is how a Machine is made.
type Made struct {
	Self     peer.Identity
	Settings Settings
	Seed     uint64
}

// Timing and fan-out of the membership protocol.
const (
	// ProbePeriod is the time between two probes that a daemon sends.
	ProbePeriod = time.Second
	// ProbeTimeout bounds a direct probe, IndirectTimeout one via another daemon.
	ProbeTimeout    = 700 * time.Millisecond
	IndirectTimeout = 1500 * time.Millisecond
	// indirectProbes is how many daemons are asked to probe a silent one.
	indirectProbes = 3
	// syncEvery is the number of ticks between two exchanges of tables.
	syncEvery = 60
	// joinSyncs is the number of first ticks at which a new daemon syncs.
	joinSyncs = 3
	// retransmit times the logarithm of the fleet is how often a rumor goes out.
	retransmit = 3
	// suspectEvery is the number of ticks between two probes of suspects.
	suspectEvery = 5
	// unheardProbes bounds the probes a tick of listed daemons never heard of.
	unheardProbes = 4
	// forgetAfter is how long a silent daemon that no VM list named is kept.
	forgetAfter = 2 * time.Minute
)

// record is what the machine knows of another daemon.
type record struct {
	rumor   Rumor
	listed  bool      // the newest VM list that was read names it
	unlists time.Time // since when the list no longer names it, if it did
	known   time.Time // when this daemon first learned of it
	heard   time.Time // last message of its own
	version int64
}

// Machine decides about membership. It is pure: inputs with their time go in,
// decisions come out. It is not safe for concurrent use.
type Machine struct {
	made     Made
	random   *rand.Rand
	self     Rumor
	members  map[string]*record
	ids      []string // of members, sorted
	round    []string // members still to probe in this round
	ticks    int
	rumors   queue
	pending  map[string]int // silent member to indirect probes under way
	reach    reach
	leaving  map[string]bool // VMs that the list marks
	departed map[string]time.Time
	isolated bool
	revision int64
	out      []Decision
}

// New returns a machine that knows only its own daemon.
func New(m Made) *Machine {
	return &Machine{
		made: m, random: rand.New(rand.NewPCG(m.Seed, 0)), self: Rumor{Identity: m.Self, Starting: true},
		members: make(map[string]*record), pending: make(map[string]int),
		leaving: make(map[string]bool), departed: make(map[string]time.Time),
	}
}

// Step takes one input and returns what is to be done.
func (m *Machine) Step(now time.Time, in Input) []Decision {
	m.out = nil
	switch in := in.(type) {
	case Tick:
		m.tick(now)
	case Heard:
		m.hear(now, in.Message)
	case Probed:
		m.probed(now, in)
	case Synced:
		m.reach.contact(now, true)
		for _, r := range in.Rumors {
			m.learn(now, r, false)
		}
	case VMs:
		m.list(now, in)
	case PlatformSeen:
		m.reach.platform(now.Add(-in.Age))
	case Leave:
		m.leave()
	case InForce:
		m.inForce(in.Version)
	}
	m.judgeIsolation(now)
	return m.out
}

func (m *Machine) decide(d Decision) { m.out = append(m.out, d) }

func (m *Machine) tick(now time.Time) {
	m.reach.tick(now)
	m.ticks++
	id, ok := m.nextProbe()
	if ok {
		m.probe(id)
	}
	if !ok || m.ticks%suspectEvery == 0 {
		m.probeSuspect()
	}
	m.probeUnheard()
	m.forget(now)
	if m.ticks <= joinSyncs || m.ticks%syncEvery == 0 {
		m.sync()
	}
}

// nextProbe goes through the members in a random order, each once a round.
func (m *Machine) nextProbe() (string, bool) {
	for range 2 {
		for len(m.round) > 0 {
			id := m.round[0]
			m.round = m.round[1:]
			if r := m.members[id]; r != nil && !r.rumor.Suspect {
				return id, true
			}
		}
		m.round = append([]string(nil), m.ids...)
		m.random.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	return "", false
}

func (m *Machine) probe(id string) {
	r := m.members[id]
	m.decide(Probe{ID: id, Address: r.rumor.PeerAddress, Message: m.message(id)})
}

// probeSuspect lets one suspect show that it is back.
func (m *Machine) probeSuspect() {
	suspects := m.pick(1, func(r *record) bool { return r.rumor.Suspect })
	for _, id := range suspects {
		m.probe(id)
	}
}

// probeUnheard greets daemons that are only known from the VM list.
func (m *Machine) probeUnheard() {
	fresh := m.pick(unheardProbes, func(r *record) bool { return r.rumor.Incarnation == 0 && !r.rumor.Suspect })
	for _, id := range fresh {
		m.probe(id)
	}
}

// forget drops daemons known from rumors only that stay silent.
func (m *Machine) forget(now time.Time) {
	for _, id := range append([]string(nil), m.ids...) {
		r := m.members[id]
		if r.rumor.Suspect && !r.listed && r.unlists.IsZero() && now.Sub(r.known) > forgetAfter && now.Sub(r.heard) > forgetAfter {
			m.remove(id)
		}
	}
	if m.ticks%syncEvery != 0 {
		return
	}
	for id, at := range m.departed {
		if now.Sub(at) > departedKeep {
			delete(m.departed, id)
		}
	}
}

func (m *Machine) remove(id string) {
	delete(m.members, id)
	delete(m.pending, id)
	at := sort.SearchStrings(m.ids, id)
	m.ids = append(m.ids[:at], m.ids[at+1:]...)
	m.revision++
}

func (m *Machine) sync() {
	for _, id := range m.pick(1, func(r *record) bool { return !r.rumor.Suspect }) {
		m.decide(Sync{ID: id, Address: m.members[id].rumor.PeerAddress})
	}
}

// pick returns up to n members for which keep is true, by chance.
func (m *Machine) pick(n int, keep func(*record) bool) []string {
	var from []string
	for _, id := range m.ids {
		if keep(m.members[id]) {
			from = append(from, id)
		}
	}
	m.random.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// message composes what to tell to; a suspect is always told of the suspicion,
// so that it can refute it.
func (m *Machine) message(to string) Message {
	msg := Message{From: m.self, Rumors: m.rumors.take()}
	r := m.members[to]
	if r == nil || !r.rumor.Suspect {
		return msg
	}
	for _, known := range msg.Rumors {
		if known.ID == to {
			return msg
		}
	}
	msg.Rumors = append(msg.Rumors, r.rumor)
	return msg
}

func (m *Machine) hear(now time.Time, msg Message) {
	m.reach.contact(now, true)
	m.learn(now, msg.From, true)
	for _, r := range msg.Rumors {
		m.learn(now, r, false)
	}
	m.decide(Reply{m.message(msg.From.ID)})
}

// probed judges the end of a probe. Only when the member answers neither
// directly nor any daemon that was asked, and one of those was reached, is it
// suspected: a daemon that reaches nobody must blame itself.
func (m *Machine) probed(now time.Time, p Probed) {
	switch {
	case p.Via == "" && p.OK:
		m.reach.contact(now, true)
	case p.Via == "":
		m.reach.contact(now, false)
		m.ask(p.ID)
	default:
		m.reach.contact(now, p.Asked)
		m.probedVia(p)
	}
}

// ask has the silent member probed by others.
func (m *Machine) ask(id string) {
	r := m.members[id]
	if r == nil || m.pending[id] > 0 || r.rumor.Suspect {
		return
	}
	helpers := m.pick(indirectProbes, func(h *record) bool { return h != r && !h.rumor.Suspect })
	for _, h := range helpers {
		m.decide(ProbeVia{Via: h, ViaAddress: m.members[h].rumor.PeerAddress, ID: id, Address: r.rumor.PeerAddress})
	}
	if len(helpers) == 0 {
		m.suspect(id)
		return
	}
	m.pending[id] = len(helpers) << 1
}

// probedVia counts the reports about one silent member. The lowest bit of
// pending tells that a helper was reached, the others count what is under way.
func (m *Machine) probedVia(p Probed) {
	left, known := m.pending[p.ID]
	if !known {
		return
	}
	if p.OK {
		delete(m.pending, p.ID)
		return
	}
	if left -= 2; p.Asked {
		left |= 1
	}
	if left>>1 > 0 {
		m.pending[p.ID] = left
		return
	}
	delete(m.pending, p.ID)
	if left&1 == 1 {
		m.suspect(p.ID)
	}
}

func (m *Machine) suspect(id string) {
	r := m.members[id]
	if r == nil || r.rumor.Suspect {
		return
	}
	r.rumor.Suspect = true
	m.revision++
	m.spread(r.rumor)
	m.decide(Changed{id, Suspected})
}

func (m *Machine) spread(r Rumor) {
	m.rumors.push(r, retransmit*(1+bits.Len(uint(len(m.ids)))))
}

// inForce notes the version in force here; with the first one this daemon is
// ready for work.
func (m *Machine) inForce(version int64) {
	m.self.Version = max(m.self.Version, version)
	m.revision++
	if m.self.Starting && version > 0 {
		m.self.Starting = false
		m.self.Counter++
		m.spread(m.self)
		m.decide(Changed{m.self.ID, Ready})
	}
}

func (m *Machine) leave() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.revision++
	m.self.Counter++
	m.spread(m.self)
	m.decide(Changed{m.self.ID, LeaveAnnounced})
}

// Revision rises with each change that View shows.
func (m *Machine) Revision() int64 { return m.revision }

// Self returns what this daemon tells of itself.
func (m *Machine) Self() Rumor { return m.self }

// View returns the members as this daemon sees them.
func (m *Machine) View() *View {
	v := &View{Self: m.self.Identity, Isolated: m.isolated, LeavingVMs: make(map[string]bool), RemovedVMs: make(map[string]bool)}
	for id := range m.leaving {
		v.LeavingVMs[id] = true
	}
	for id := range m.departed {
		v.RemovedVMs[id] = true
	}
	for _, id := range m.ids {
		v.Members = append(v.Members, m.member(m.members[id]))
	}
	own := m.member(&record{rumor: m.self, listed: true, version: m.self.Version})
	v.Members = append(v.Members, own)
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID < v.Members[j].ID })
	return v
}

func (m *Machine) member(r *record) Member {
	out := Member{Identity: r.rumor.Identity, State: Alive, Listed: r.listed, Version: r.version}
	switch {
	case r.rumor.Leaving || m.leaving[r.rumor.ID]:
		out.State = Leaving
	case r.rumor.Starting && !r.rumor.Suspect:
		out.State = Starting
	case r.rumor.Suspect || r.rumor.Incarnation == 0:
		out.State = Suspect
	}
	return out
}
