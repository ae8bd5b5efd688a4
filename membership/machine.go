package membership

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/peer"
)

// Made holds the constructor arguments of a Machine, as recorded in traces.
type Made struct {
	Self     peer.Identity
	Settings Settings
	Seed     uint64
}

// Timing and fan-out of the membership protocol.
const (
	// ProbePeriod is the interval at which a daemon probes the next member.
	ProbePeriod = time.Second
	// ProbeTimeout is the timeout of a direct probe, IndirectTimeout that of a
	// probe through another daemon.
	ProbeTimeout    = 700 * time.Millisecond
	IndirectTimeout = 1500 * time.Millisecond
	// indirectProbes is the number of members that probe a member which did not
	// answer a direct probe.
	indirectProbes = 3
	// syncIntervalTicks is the number of ticks between two anti-entropy syncs.
	syncIntervalTicks = 60
	// joinSyncTicks is the number of ticks after the start of a daemon at each of
	// which it syncs.
	joinSyncTicks = 3
	// retransmitFactor, multiplied by the logarithm of the number of members, is
	// the number of times that a rumor is sent.
	retransmitFactor = 3
	// suspectProbeTicks is the number of ticks between two probes of a random
	// suspect.
	suspectProbeTicks = 5
	// uncontactedProbes is the maximum number of probes per tick to listed daemons
	// whose incarnation is not known yet.
	uncontactedProbes = 4
	// forgetTimeout is how long a suspect that was never on a VM list is kept.
	forgetTimeout = 2 * time.Minute
)

// memberRecord is the state that the machine keeps about another daemon.
type memberRecord struct {
	rumor       Rumor
	listed      bool      // the newest VM list contains its VM
	unlistedAt  time.Time // when its VM was removed from the VM list; zero if listed or never listed
	knownSince  time.Time // when this daemon first learned of it
	lastContact time.Time // when its last own message arrived
	version     int64     // configuration version active on it
}

// Machine is the state machine of the membership protocol. It does no I/O and
// reads no clock: each input comes with its time and yields decisions. It is not
// safe for concurrent use.
type Machine struct {
	args          Made
	random        *rand.Rand
	self          Rumor
	members       map[string]*memberRecord
	ids           []string // of members, sorted
	probeRound    []string // members not yet probed in this round
	ticks         int
	rumors        rumorQueue
	pendingProbes map[string]int // state of the indirect probes, by probed member; see handleIndirectResult
	connectivity  connectivity
	leavingVMs    map[string]bool      // VMs that the VM list marks as leaving
	removedVMs    map[string]time.Time // when each VM was removed from the VM list
	isolated      bool
	revision      int64
	decisions     []Decision
}

// New returns a machine that knows no daemon but its own.
func New(m Made) *Machine {
	return &Machine{
		args: m, random: rand.New(rand.NewPCG(m.Seed, 0)), self: Rumor{Identity: m.Self, Starting: true},
		members: make(map[string]*memberRecord), pendingProbes: make(map[string]int),
		leavingVMs: make(map[string]bool), removedVMs: make(map[string]time.Time),
	}
}

// Step handles one input and returns the resulting decisions.
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
		m.setActiveVersion(in.Version)
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

// nextProbe returns the next member to probe. It iterates over the members in
// random order, each once per round, and skips suspects.
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

// probeSuspect probes a random suspect, which lets it refute the suspicion if it
// is reachable again.
func (m *Machine) probeSuspect() {
	suspects := m.randomMembers(1, func(r *memberRecord) bool { return r.rumor.Suspect })
	for _, id := range suspects {
		m.probe(id)
	}
}

// probeUncontacted probes daemons that are known only from the VM list.
func (m *Machine) probeUncontacted() {
	uncontacted := m.randomMembers(uncontactedProbes, func(r *memberRecord) bool { return r.rumor.Incarnation == 0 && !r.rumor.Suspect })
	for _, id := range uncontacted {
		m.probe(id)
	}
}

// forget removes suspects that are known only from rumors and have not sent a
// message for forgetTimeout. It also expires old entries of removedVMs.
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

// randomMembers returns up to n random members for which eligible returns true.
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

// composeMessage returns the message to send to recipient. A message to a suspect
// always includes the suspicion, so that the recipient can refute it.
func (m *Machine) composeMessage(recipient string) Message {
	msg := Message{From: m.self, Rumors: m.rumors.next()}
	r := m.members[recipient]
	if r == nil || !r.rumor.Suspect {
		return msg
	}
	for _, rumor := range msg.Rumors {
		if rumor.ID == recipient {
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

// handleProbeResult handles the result of a direct or indirect probe. A member
// becomes a suspect if it answers neither the direct probe nor any indirect one,
// and this daemon reached at least one of the members that probed it indirectly. A
// daemon that reaches none of them is probably faulty itself.
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

// requestIndirectProbes requests that other members probe member id, which did not
// answer a direct probe. If no other member can do so, member id becomes a suspect
// at once.
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

// handleIndirectResult handles the result of one indirect probe. In the state kept
// in pendingProbes, the lowest bit reports whether any helper was reached, and the
// higher bits count the indirect probes in flight.
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

// setActiveVersion records the configuration version active on this daemon. The
// first active version makes the daemon ready to accept work.
func (m *Machine) setActiveVersion(version int64) {
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

// Revision returns a number that increases with each change of the View.
func (m *Machine) Revision() int64 { return m.revision }

// Self returns the rumor that this daemon sends about itself.
func (m *Machine) Self() Rumor { return m.self }

// View returns the members as observed by this daemon.
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
