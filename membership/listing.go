package membership

import (
	"sort"
	"time"
)

// VMEntry is a VM of the VM list.
type VMEntry struct {
	ID          string `msgpack:"i"`
	Place       string `msgpack:"p,omitempty"`
	Region      string `msgpack:"r,omitempty"`
	APIAddress  string `msgpack:"a,omitempty"` // empty unless it runs a daemon
	PeerAddress string `msgpack:"d,omitempty"`
	Leaving     bool   `msgpack:"l,omitempty"`
}

// VMChange is one VM that appeared or changed, or that left the list.
type VMChange struct {
	Entry VMEntry `msgpack:"e"`
	Ended bool    `msgpack:"x,omitempty"`
}

// Bounds of a Listing.
const (
	changeLogLen  = 512
	departedKeep  = 24 * time.Hour
	minListedPart = 2 // a list shorter than 1/minListedPart of the last is read twice
)

// VMListTracker turns successive reads of the VM list into numbered changes, so that
// daemons that don't read it get only what is new. VMs that run no daemon are
// told of only when they are leaving or have ended. It is pure.
type VMListTracker struct {
	seq     int64
	entries map[string]VMEntry
	ended   map[string]time.Time
	log     []VMChange // the newest has number seq
	doubted bool
}

// NewVMListTracker returns an empty listing.
func NewVMListTracker() *VMListTracker {
	return &VMListTracker{entries: make(map[string]VMEntry), ended: make(map[string]time.Time)}
}

// Seq returns the number of the newest change.
func (l *VMListTracker) Seq() int64 { return l.seq }

// ApplyList takes one read of the list. A list that lost most of its VMs at once,
// all of them for instance, is believed only when the next read says the same.
func (l *VMListTracker) ApplyList(now time.Time, vms []VMEntry) {
	if len(vms)*minListedPart < len(l.entries) && !l.doubted {
		l.doubted = true
		return
	}
	l.doubted = false
	if len(vms) == 0 {
		return
	}
	listed := make(map[string]bool, len(vms))
	for _, v := range vms {
		listed[v.ID] = true
		l.update(v)
	}
	for _, id := range sortedKeys(l.entries) {
		if !listed[id] {
			l.add(VMChange{Entry: l.entries[id], Ended: true})
			l.ended[id] = now
			delete(l.entries, id)
		}
	}
	for id, at := range l.ended {
		if now.Sub(at) > departedKeep {
			delete(l.ended, id)
		}
	}
}

func (l *VMListTracker) update(v VMEntry) {
	old, known := l.entries[v.ID]
	l.entries[v.ID] = v
	delete(l.ended, v.ID)
	if known && old == v {
		return
	}
	if v.APIAddress != "" || v.Leaving || old.Leaving {
		l.add(VMChange{Entry: v})
	}
}

func (l *VMListTracker) add(c VMChange) {
	l.seq++
	l.log = append(l.log, c)
	if len(l.log) > changeLogLen {
		l.log = append([]VMChange(nil), l.log[len(l.log)-changeLogLen:]...)
	}
}

// ChangesSince returns the changes after number seq, or everything when the log does
// not reach back so far.
func (l *VMListTracker) ChangesSince(seq int64) VMs {
	if missed := l.seq - seq; seq > 0 && missed >= 0 && missed <= int64(len(l.log)) {
		return VMs{Changes: append([]VMChange(nil), l.log[int64(len(l.log))-missed:]...)}
	}
	out := VMs{Full: true}
	for _, id := range sortedKeys(l.entries) {
		if v := l.entries[id]; v.APIAddress != "" || v.Leaving {
			out.Changes = append(out.Changes, VMChange{Entry: v})
		}
	}
	for _, id := range sortedKeys(l.ended) {
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
