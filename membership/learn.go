package membership

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unlistedGrace is how long a VM must stay off the list, because two reads of a
// list that lags may disagree for a while.
const unlistedGrace = 3 * time.Second

// heardGrace is how long after a message of its own a daemon is not taken for
// ended although the VM list no longer names it.
const heardGrace = 3 * time.Second

// learn takes a rumor. direct tells that the member itself sent it.
func (m *Machine) learn(now time.Time, r Rumor, direct bool) {
	if r.ID == m.self.ID {
		m.refute(r)
		return
	}
	if _, ended := m.departed[r.ID]; ended && !direct {
		return // an old rumor about a VM that is no more
	}
	old := m.members[r.ID]
	if old == nil {
		m.join(now, r)
	} else if r.supersedes(old.rumor) || r.Leaving && !old.rumor.Leaving && r.Incarnation == old.rumor.Incarnation {
		m.replace(old, r)
	}
	if direct {
		m.heardFrom(now, r)
	}
}

// refute answers rumors about this daemon: it is alive.
func (m *Machine) refute(r Rumor) {
	if r.Incarnation != m.self.Incarnation || !r.Suspect || r.Counter < m.self.Counter {
		return
	}
	m.self.Counter = r.Counter + 1
	m.spread(m.self)
}

func (m *Machine) join(now time.Time, r Rumor) {
	m.revision++
	m.members[r.ID] = &record{rumor: r, known: now}
	at := sort.SearchStrings(m.ids, r.ID)
	m.ids = append(m.ids, "")
	copy(m.ids[at+1:], m.ids[at:])
	m.ids[at] = r.ID
	// A new member is probed at a random place of this round.
	m.round = append(m.round, r.ID)
	last := m.random.IntN(len(m.round))
	m.round[last], m.round[len(m.round)-1] = m.round[len(m.round)-1], m.round[last]
	if r.Incarnation != 0 {
		m.spread(r)
	}
	m.decide(Changed{r.ID, Joined})
}

func (m *Machine) replace(old *record, r Rumor) {
	was := old.rumor
	if r.Incarnation == was.Incarnation {
		r.Leaving = r.Leaving || was.Leaving
	} else {
		old.version = 0
	}
	old.rumor = r
	m.revision++
	m.spread(r)
	switch {
	case r.Leaving && !was.Leaving:
		m.decide(Changed{r.ID, LeaveAnnounced})
	case r.Suspect && !was.Suspect:
		m.decide(Changed{r.ID, Suspected})
	case !r.Suspect && was.Suspect:
		m.decide(Changed{r.ID, Returned})
	}
}

// heardFrom notes a message of the member itself. It does not clear a
// suspicion by itself, because others would go on believing it: the member
// refutes it with a higher counter.
func (m *Machine) heardFrom(now time.Time, r Rumor) {
	rec := m.members[r.ID]
	if r.Incarnation != rec.rumor.Incarnation {
		return // an old run that still sends
	}
	rec.heard = now
	if r.Version > rec.version {
		rec.version = r.Version
		m.revision++
	}
}

// list takes news of the VM list.
func (m *Machine) list(now time.Time, in VMs) {
	if in.Full || len(in.Changes) > 0 {
		m.revision++
	}
	if in.Full {
		in.Changes = append(in.Changes, m.missing(in)...)
		m.leaving = make(map[string]bool)
	}
	for _, c := range in.Changes {
		if c.Ended {
			m.unlist(now, c.Entry.ID)
		} else {
			m.listed(now, c.Entry)
		}
	}
	m.endUnlisted(now)
}

// missing returns the listed members that a full list does not name.
func (m *Machine) missing(in VMs) []VMChange {
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

func (m *Machine) listed(now time.Time, e VMEntry) {
	delete(m.departed, e.ID)
	delete(m.leaving, e.ID)
	if e.Leaving {
		m.leaving[e.ID] = true
	}
	if e.APIAddress == "" || e.ID == m.self.ID {
		return
	}
	if m.members[e.ID] == nil {
		r := Rumor{}
		r.ID, r.Place, r.Region, r.APIAddress, r.PeerAddress = e.ID, e.Place, e.Region, e.APIAddress, e.PeerAddress
		m.join(now, r)
	}
	m.members[e.ID].listed, m.members[e.ID].unlists = true, time.Time{}
}

func (m *Machine) unlist(now time.Time, id string) {
	delete(m.leaving, id)
	if r := m.members[id]; r != nil {
		if r.listed {
			r.unlists = now
		}
		r.listed = false
	} else if id != m.self.ID {
		m.departed[id] = now
	}
}

// endUnlisted removes members whose VM has left the list and that are silent.
func (m *Machine) endUnlisted(now time.Time) {
	for _, id := range append([]string(nil), m.ids...) {
		r := m.members[id]
		if r.unlists.IsZero() || now.Sub(r.unlists) < unlistedGrace || now.Sub(r.heard) < heardGrace {
			continue
		}
		m.remove(id)
		m.departed[id] = now
		m.decide(Changed{id, Ended})
	}
}

// SyncBuckets is the number of parts of a table that are compared.
const SyncBuckets = 32

// Digest is a hash of each part of a table.
type Digest [SyncBuckets]uint64

func bucket(id string) uint64 { return xxhash.Sum64String(id) % SyncBuckets }

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

// table returns all rumors this daemon has at first hand or heard of.
func (m *Machine) table() []Rumor {
	out := []Rumor{m.self}
	for _, id := range m.ids {
		if r := m.members[id].rumor; r.Incarnation != 0 {
			out = append(out, r)
		}
	}
	return out
}

// Digest returns the digest of this daemon's table.
func (m *Machine) Digest() Digest {
	var d Digest
	for _, r := range m.table() {
		d[bucket(r.ID)] ^= r.hash()
	}
	return d
}

// DifferingRumors returns the rumors in the parts whose digest is another one here.
func (m *Machine) DifferingRumors(theirs Digest) []Rumor {
	ours := m.Digest()
	var out []Rumor
	for _, r := range m.table() {
		if b := bucket(r.ID); ours[b] != theirs[b] {
			out = append(out, r)
		}
	}
	return out
}
