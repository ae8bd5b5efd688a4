package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unlistedGrace is how long a VM must be missing from the VM list before its
// daemon is removed. The list may lag, so consecutive reads can disagree.
const unlistedGrace = 3 * time.Second

// contactGrace is how long a daemon whose VM is missing from the VM list is kept
// after the last message that it sent.
const contactGrace = 3 * time.Second

// applyRumor adds the member that the rumor is about, or updates it if the rumor
// supersedes the known one or is the first to report that the member is leaving.
// direct reports whether the member itself sent the rumor.
func (m *Machine) applyRumor(now time.Time, r Rumor, direct bool) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	if _, removed := m.removedVMs[r.ID]; removed && !direct {
		return // outdated rumor about a removed VM
	}
	old := m.members[r.ID]
	if old == nil {
		m.addMember(now, r)
	} else if r.supersedes(old.rumor) || r.Leaving && !old.rumor.Leaving && r.Incarnation == old.rumor.Incarnation {
		m.updateMember(old, r)
	}
	if direct {
		m.recordContact(now, r)
	}
}

// refute refutes a suspicion of this daemon by sending a higher counter.
func (m *Machine) refute(r Rumor) {
	if r.Incarnation != m.self.Incarnation || !r.Suspect || r.Counter < m.self.Counter {
		return
	}
	m.self.Counter = r.Counter + 1
	m.queueRumor(m.self)
}

func (m *Machine) addMember(now time.Time, r Rumor) {
	m.revision++
	m.members[r.ID] = &memberRecord{rumor: r, knownSince: now}
	index := sort.SearchStrings(m.ids, r.ID)
	m.ids = append(m.ids, "")
	copy(m.ids[index+1:], m.ids[index:])
	m.ids[index] = r.ID
	// Insert the new member at a random position of the current probe round.
	m.probeRound = append(m.probeRound, r.ID)
	last := m.random.IntN(len(m.probeRound))
	m.probeRound[last], m.probeRound[len(m.probeRound)-1] = m.probeRound[len(m.probeRound)-1], m.probeRound[last]
	if r.Incarnation != 0 {
		m.queueRumor(r)
	}
	m.addDecision(Changed{r.ID, Joined})
}

func (m *Machine) updateMember(old *memberRecord, r Rumor) {
	previous := old.rumor
	if r.Incarnation == previous.Incarnation {
		r.Leaving = r.Leaving || previous.Leaving
	} else {
		old.version = 0
	}
	old.rumor = r
	m.revision++
	m.queueRumor(r)
	switch {
	case r.Leaving && !previous.Leaving:
		m.addDecision(Changed{r.ID, LeaveAnnounced})
	case r.Suspect && !previous.Suspect:
		m.addDecision(Changed{r.ID, Suspected})
	case !r.Suspect && previous.Suspect:
		m.addDecision(Changed{r.ID, Returned})
	}
}

// recordContact records a message sent by the member itself. It does not clear a
// suspicion, because other daemons would still suspect the member, which has to
// refute the suspicion with a higher counter.
func (m *Machine) recordContact(now time.Time, r Rumor) {
	rec := m.members[r.ID]
	if r.Incarnation != rec.rumor.Incarnation {
		return // message from an earlier incarnation
	}
	rec.lastContact = now
	if r.Version > rec.version {
		rec.version = r.Version
		m.revision++
	}
}

// applyVMList applies an update of the VM list.
func (m *Machine) applyVMList(now time.Time, in VMs) {
	if in.Full || len(in.Changes) > 0 {
		m.revision++
	}
	if in.Full {
		in.Changes = append(in.Changes, m.unlistedMembers(in)...)
		m.leavingVMs = make(map[string]bool)
	}
	for _, c := range in.Changes {
		if c.Ended {
			m.applyUnlisted(now, c.Entry.ID)
		} else {
			m.applyListed(now, c.Entry)
		}
	}
	m.removeUnlisted(now)
}

// unlistedMembers returns a removal for each listed member that a full list does
// not contain.
func (m *Machine) unlistedMembers(in VMs) []VMChange {
	named := make(map[string]bool)
	for _, c := range in.Changes {
		named[c.Entry.ID] = true
	}
	var out []VMChange
	for _, id := range m.ids {
		if m.members[id].listed && !named[id] {
			out = append(out, VMChange{Entry: VMEntry{ID: id}, Ended: true})
		}
	}
	return out
}

func (m *Machine) applyListed(now time.Time, e VMEntry) {
	delete(m.removedVMs, e.ID)
	delete(m.leavingVMs, e.ID)
	if e.Leaving {
		m.leavingVMs[e.ID] = true
	}
	if e.APIAddress == "" || e.ID == m.self.ID {
		return
	}
	if m.members[e.ID] == nil {
		r := Rumor{}
		r.ID, r.Place, r.Region, r.APIAddress, r.PeerAddress = e.ID, e.Place, e.Region, e.APIAddress, e.PeerAddress
		m.addMember(now, r)
	}
	m.members[e.ID].listed, m.members[e.ID].unlistedAt = true, time.Time{}
}

func (m *Machine) applyUnlisted(now time.Time, id string) {
	delete(m.leavingVMs, id)
	if r := m.members[id]; r != nil {
		if r.listed {
			r.unlistedAt = now
		}
		r.listed = false
	} else if id != m.self.ID {
		m.removedVMs[id] = now
	}
}

// removeUnlisted removes members whose VM has been missing from the VM list for
// unlistedGrace and that have sent no message for contactGrace.
func (m *Machine) removeUnlisted(now time.Time) {
	for _, id := range append([]string(nil), m.ids...) {
		r := m.members[id]
		if r.unlistedAt.IsZero() || now.Sub(r.unlistedAt) < unlistedGrace || now.Sub(r.lastContact) < contactGrace {
			continue
		}
		m.remove(id)
		m.removedVMs[id] = now
		m.addDecision(Changed{id, Ended})
	}
}

// SyncBuckets is the number of buckets into which a rumor table is divided for
// comparison in an anti-entropy sync.
const SyncBuckets = 32

// Digest contains a hash of each bucket of a rumor table.
type Digest [SyncBuckets]uint64

func syncBucket(id string) uint64 { return xxhash.Sum64String(id) % SyncBuckets }

func (r Rumor) hash() uint64 {
	b := append([]byte(r.ID), 0)
	b = binary.LittleEndian.AppendUint64(b, r.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, r.Counter)
	flags := byte(0)
	if r.Suspect {
		flags |= 1
	}
	if r.Leaving {
		flags |= 2
	}
	return xxhash.Sum64(append(b, flags))
}

// rumorTable returns the current rumor about this daemon and about each member
// whose incarnation is known.
func (m *Machine) rumorTable() []Rumor {
	out := []Rumor{m.self}
	for _, id := range m.ids {
		if r := m.members[id].rumor; r.Incarnation != 0 {
			out = append(out, r)
		}
	}
	return out
}

// Digest returns the digest of this daemon's rumor table.
func (m *Machine) Digest() Digest {
	var d Digest
	for _, r := range m.rumorTable() {
		d[syncBucket(r.ID)] ^= r.hash()
	}
	return d
}

// DifferingRumors returns this daemon's rumors in the buckets whose hash differs
// from the peer's digest.
func (m *Machine) DifferingRumors(theirs Digest) []Rumor {
	ours := m.Digest()
	var out []Rumor
	for _, r := range m.rumorTable() {
		if b := syncBucket(r.ID); ours[b] != theirs[b] {
			out = append(out, r)
		}
	}
	return out
}
