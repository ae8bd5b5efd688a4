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
	// syncIntervalTicks is the number of ticks between two exchanges of tables.
	syncIntervalTicks = 60
	// joinSyncTicks is the number of first ticks at which a new daemon syncs.
	joinSyncTicks = 3
	// retransmitFactor times the logarithm of the fleet is how often a rumor goes out.
	retransmitFactor = 3
	// suspectProbeTicks is the number of ticks between two probes of suspects.
	suspectProbeTicks = 5
	// uncontactedProbes bounds the probes a tick of listed daemons never heard of.
	uncontactedProbes = 4
	// forgetTimeout is how long a silent daemon that no VM list named is kept.
	forgetTimeout = 2 * time.Minute
)

// memberRecord is what the machine knows of another daemon.
type memberRecord struct {
	rumor       Rumor
	listed      bool      // the newest VM list that was read names it
	unlistedAt  time.Time // since when the list no longer names it, if it did
	knownSince  time.Time // when this daemon first learned of it
	lastContact time.Time // last message of its own
	version     int64
}

// Machine decides about membership. It is pure: inputs with their time go in,
// decisions come out. It is not safe for concurrent use.
type Machine struct {
	args          Made
	random        *rand.Rand
	self          Rumor
	members       map[string]*memberRecord
	ids           []string // of members, sorted
	probeRound    []string // members still to probe in this round
	ticks         int
	rumors        rumorQueue
	pendingProbes map[string]int // silent member to indirect probes under way
	connectivity  connectivity
	leavingVMs    map[string]bool // VMs that the list marks
	removedVMs    map[string]time.Time
	isolated      bool
	revision      int64
	decisions     []Decision
}

// New returns a machine that knows only its own daemon.
func New(m Made) *Machine {
	return &Machine{
		args: m, random: rand.New(rand.NewPCG(m.Seed, 0)), self: Rumor{Identity: m.Self, Starting: true},
		members: make(map[string]*memberRecord), pendingProbes: make(map[string]int),
		leavingVMs: make(map[string]bool), removedVMs: make(map[string]time.Time),
	}
}

// Step takes one input and returns what is to be done.
func (m *Machine) Step(now time.Time, in Input) []Decision {
	m.decisions = nil
	switch in := in.(type) {
	case Tick:
		m.tick(now)
	case Heard:
		m.handleMessage(now, in.Message)
	case Probed:
		m.handleProbeResult(now, in)
	case Synced:
		m.connectivity.recordAttempt(now, true)
		for _, r := range in.Rumors {
			m.applyRumor(now, r, false)
		}
	case VMs:
		m.applyVMList(now, in)
	case PlatformSeen:
		m.connectivity.recordPlatformAnswer(now.Add(-in.Age))
	case Leave:
		m.startLeaving()
	case InForce:
		m.setInForce(in.Version)
	}
	m.updateIsolation(now)
	return m.decisions
}

func (m *Machine) addDecision(d Decision) { m.decisions = append(m.decisions, d) }

func (m *Machine) tick(now time.Time) {
	m.connectivity.detectPause(now)
	m.ticks++
	id, ok := m.nextProbe()
	if ok {
		m.probe(id)
	}
	if !ok || m.ticks%suspectProbeTicks == 0 {
		m.probeSuspect()
	}
	m.probeUncontacted()
	m.forget(now)
	if m.ticks <= joinSyncTicks || m.ticks%syncIntervalTicks == 0 {
		m.sync()
	}
}

// nextProbe goes through the members in a random order, each once a round.
func (m *Machine) nextProbe() (string, bool) {
	for range 2 {
		for len(m.probeRound) > 0 {
			id := m.probeRound[0]
			m.probeRound = m.probeRound[1:]
			if r := m.members[id]; r != nil && !r.rumor.Suspect {
				return id, true
			}
		}
		m.probeRound = append([]string(nil), m.ids...)
		m.random.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
	return "", false
}

func (m *Machine) probe(id string) {
	r := m.members[id]
	m.addDecision(Probe{ID: id, Address: r.rumor.PeerAddress, Message: m.composeMessage(id)})
}

// probeSuspect lets one suspect show that it is back.
func (m *Machine) probeSuspect() {
	suspects := m.randomMembers(1, func(r *memberRecord) bool { return r.rumor.Suspect })
	for _, id := range suspects {
		m.probe(id)
	}
}

// probeUncontacted greets daemons that are only known from the VM list.
func (m *Machine) probeUncontacted() {
	uncontacted := m.randomMembers(uncontactedProbes, func(r *memberRecord) bool { return r.rumor.Incarnation == 0 && !r.rumor.Suspect })
	for _, id := range uncontacted {
		m.probe(id)
	}
}

// forget drops daemons known from rumors only that stay silent.
func (m *Machine) forget(now time.Time) {
	for _, id := range append([]string(nil), m.ids...) {
		r := m.members[id]
		if r.rumor.Suspect && !r.listed && r.unlistedAt.IsZero() && now.Sub(r.knownSince) > forgetTimeout && now.Sub(r.lastContact) > forgetTimeout {
			m.remove(id)
		}
	}
	if m.ticks%syncIntervalTicks != 0 {
		return
	}
	for id, at := range m.removedVMs {
		if now.Sub(at) > removedRetention {
			delete(m.removedVMs, id)
		}
	}
}

func (m *Machine) remove(id string) {
	delete(m.members, id)
	delete(m.pendingProbes, id)
	index := sort.SearchStrings(m.ids, id)
	m.ids = append(m.ids[:index], m.ids[index+1:]...)
	m.revision++
}

func (m *Machine) sync() {
	for _, id := range m.randomMembers(1, func(r *memberRecord) bool { return !r.rumor.Suspect }) {
		m.addDecision(Sync{ID: id, Address: m.members[id].rumor.PeerAddress})
	}
}

// randomMembers returns up to n members for which keep is true, by chance.
func (m *Machine) randomMembers(n int, eligible func(*memberRecord) bool) []string {
	var candidates []string
	for _, id := range m.ids {
		if eligible(m.members[id]) {
			candidates = append(candidates, id)
		}
	}
	m.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}

// composeMessage composes what to tell to; a suspect is always told of the suspicion,
// so that it can refute it.
func (m *Machine) composeMessage(recipient string) Message {
	msg := Message{From: m.self, Rumors: m.rumors.next()}
	r := m.members[recipient]
	if r == nil || !r.rumor.Suspect {
		return msg
	}
	for _, known := range msg.Rumors {
		if known.ID == recipient {
			return msg
		}
	}
	msg.Rumors = append(msg.Rumors, r.rumor)
	return msg
}

func (m *Machine) handleMessage(now time.Time, msg Message) {
	m.connectivity.recordAttempt(now, true)
	m.applyRumor(now, msg.From, true)
	for _, r := range msg.Rumors {
		m.applyRumor(now, r, false)
	}
	m.addDecision(Reply{m.composeMessage(msg.From.ID)})
}

// handleProbeResult judges the end of a probe. Only when the member answers neither
// directly nor any daemon that was asked, and one of those was reached, is it
// suspected: a daemon that reaches nobody must blame itself.
func (m *Machine) handleProbeResult(now time.Time, p Probed) {
	switch {
	case p.Via == "" && p.OK:
		m.connectivity.recordAttempt(now, true)
	case p.Via == "":
		m.connectivity.recordAttempt(now, false)
		m.requestIndirectProbes(p.ID)
	default:
		m.connectivity.recordAttempt(now, p.Asked)
		m.handleIndirectResult(p)
	}
}

// requestIndirectProbes has the silent member probed by others.
func (m *Machine) requestIndirectProbes(id string) {
	r := m.members[id]
	if r == nil || m.pendingProbes[id] > 0 || r.rumor.Suspect {
		return
	}
	helpers := m.randomMembers(indirectProbes, func(h *memberRecord) bool { return h != r && !h.rumor.Suspect })
	for _, h := range helpers {
		m.addDecision(ProbeVia{Via: h, ViaAddress: m.members[h].rumor.PeerAddress, ID: id, Address: r.rumor.PeerAddress})
	}
	if len(helpers) == 0 {
		m.markSuspect(id)
		return
	}
	m.pendingProbes[id] = len(helpers) << 1
}

// handleIndirectResult counts the reports about one silent member. The lowest bit of
// pending tells that a helper was reached, the others count what is under way.
func (m *Machine) handleIndirectResult(p Probed) {
	state, pending := m.pendingProbes[p.ID]
	if !pending {
		return
	}
	if p.OK {
		delete(m.pendingProbes, p.ID)
		return
	}
	if state -= 2; p.Asked {
		state |= 1
	}
	if state>>1 > 0 {
		m.pendingProbes[p.ID] = state
		return
	}
	delete(m.pendingProbes, p.ID)
	if state&1 == 1 {
		m.markSuspect(p.ID)
	}
}

func (m *Machine) markSuspect(id string) {
	r := m.members[id]
	if r == nil || r.rumor.Suspect {
		return
	}
	r.rumor.Suspect = true
	m.revision++
	m.queueRumor(r.rumor)
	m.addDecision(Changed{id, Suspected})
}

func (m *Machine) queueRumor(r Rumor) {
	m.rumors.push(r, retransmitFactor*(1+bits.Len(uint(len(m.ids)))))
}

// setInForce notes the version in force here; with the first one this daemon is
// ready for work.
func (m *Machine) setInForce(version int64) {
	m.self.Version = max(m.self.Version, version)
	m.revision++
	if m.self.Starting && version > 0 {
		m.self.Starting = false
		m.self.Counter++
		m.queueRumor(m.self)
		m.addDecision(Changed{m.self.ID, Ready})
	}
}

func (m *Machine) startLeaving() {
	if m.self.Leaving {
		return
	}
	m.self.Leaving = true
	m.revision++
	m.self.Counter++
	m.queueRumor(m.self)
	m.addDecision(Changed{m.self.ID, LeaveAnnounced})
}

// Revision rises with each change that View shows.
func (m *Machine) Revision() int64 { return m.revision }

// Self returns what this daemon tells of itself.
func (m *Machine) Self() Rumor { return m.self }

// View returns the members as this daemon sees them.
func (m *Machine) View() *View {
	v := &View{Self: m.self.Identity, Isolated: m.isolated, LeavingVMs: make(map[string]bool), RemovedVMs: make(map[string]bool)}
	for id := range m.leavingVMs {
		v.LeavingVMs[id] = true
	}
	for id := range m.removedVMs {
		v.RemovedVMs[id] = true
	}
	for _, id := range m.ids {
		v.Members = append(v.Members, m.toMember(m.members[id]))
	}
	own := m.toMember(&memberRecord{rumor: m.self, listed: true, version: m.self.Version})
	v.Members = append(v.Members, own)
	sort.Slice(v.Members, func(i, j int) bool { return v.Members[i].ID < v.Members[j].ID })
	return v
}

func (m *Machine) toMember(r *memberRecord) Member {
	out := Member{Identity: r.rumor.Identity, State: Alive, Listed: r.listed, Version: r.version}
	switch {
	case r.rumor.Leaving || m.leavingVMs[r.rumor.ID]:
		out.State = Leaving
	case r.rumor.Starting && !r.rumor.Suspect:
		out.State = Starting
	case r.rumor.Suspect || r.rumor.Incarnation == 0:
		out.State = Suspect
	}
	return out
}
