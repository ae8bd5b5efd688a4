package membership

import (
	"sort"
	"time"
)

// VMEntry is one VM on the VM list.
type VMEntry struct {
	ID          string `msgpack:"i"`
	Place       string `msgpack:"p,omitempty"`
	Region      string `msgpack:"r,omitempty"`
	APIAddress  string `msgpack:"a,omitempty"` // empty unless the VM runs a daemon
	PeerAddress string `msgpack:"d,omitempty"`
	Leaving     bool   `msgpack:"l,omitempty"`
}

// VMChange is one change of the VM list: a VM was added or changed, or removed if
// Ended is set.
type VMChange struct {
	Entry VMEntry `msgpack:"e"`
	Ended bool    `msgpack:"x,omitempty"`
}

// Limits of a VMListTracker and retention of removed VMs.
const (
	maxLoggedChanges = 512            // changes kept for ChangesSince
	removedRetention = 24 * time.Hour // how long a removed VM is remembered
	maxShrinkFactor  = 2              // a list that shrinks by a larger factor is applied only at the second read
)

// VMListTracker converts successive reads of the VM list into numbered changes,
// so that daemons that don't read the list themselves receive only what changed.
// VMs that run no daemon are included only when they are leaving or were removed.
// It does no I/O.
type VMListTracker struct {
	seq        int64
	entries    map[string]VMEntry
	removedAt  map[string]time.Time
	changes    []VMChange // the newest has number seq
	shrinkSeen bool       // the previous read was ignored because it had lost too many VMs
}

// NewVMListTracker returns a tracker that has not seen a list.
func NewVMListTracker() *VMListTracker {
	return &VMListTracker{entries: make(map[string]VMEntry), removedAt: make(map[string]time.Time)}
}

// Seq returns the number of the newest change.
func (l *VMListTracker) Seq() int64 { return l.seq }

// ApplyList applies one read of the VM list. A read that has lost more than half of
// the VMs is ignored; the read after it is applied even if it is as short. An empty
// list is always ignored.
func (l *VMListTracker) ApplyList(now time.Time, vms []VMEntry) {
	if len(vms)*maxShrinkFactor < len(l.entries) && !l.shrinkSeen {
		l.shrinkSeen = true
		return
	}
	l.shrinkSeen = false
	if len(vms) == 0 {
		return
	}
	listed := make(map[string]bool, len(vms))
	for _, v := range vms {
		listed[v.ID] = true
		l.updateEntry(v)
	}
	for _, id := range sortedKeys(l.entries) {
		if !listed[id] {
			l.appendChange(VMChange{Entry: l.entries[id], Ended: true})
			l.removedAt[id] = now
			delete(l.entries, id)
		}
	}
	for id, at := range l.removedAt {
		if now.Sub(at) > removedRetention {
			delete(l.removedAt, id)
		}
	}
}

func (l *VMListTracker) updateEntry(v VMEntry) {
	old, known := l.entries[v.ID]
	l.entries[v.ID] = v
	delete(l.removedAt, v.ID)
	if known && old == v {
		return
	}
	if v.APIAddress != "" || v.Leaving || old.Leaving {
		l.appendChange(VMChange{Entry: v})
	}
}

func (l *VMListTracker) appendChange(c VMChange) {
	l.seq++
	l.changes = append(l.changes, c)
	if len(l.changes) > maxLoggedChanges {
		l.changes = append([]VMChange(nil), l.changes[len(l.changes)-maxLoggedChanges:]...)
	}
}

// ChangesSince returns the changes after change number seq, or the complete list
// if those changes are no longer kept.
func (l *VMListTracker) ChangesSince(seq int64) VMs {
	if missed := l.seq - seq; seq > 0 && missed >= 0 && missed <= int64(len(l.changes)) {
		return VMs{Changes: append([]VMChange(nil), l.changes[int64(len(l.changes))-missed:]...)}
	}
	out := VMs{Full: true}
	for _, id := range sortedKeys(l.entries) {
		if v := l.entries[id]; v.APIAddress != "" || v.Leaving {
			out.Changes = append(out.Changes, VMChange{Entry: v})
		}
	}
	for _, id := range sortedKeys(l.removedAt) {
		out.Changes = append(out.Changes, VMChange{Entry: VMEntry{ID: id}, Ended: true})
	}
	return out
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
