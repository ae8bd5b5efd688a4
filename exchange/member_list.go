package exchange

import (
	"sort"
	"time"
)

// Member is one daemon.
type Member struct {
	ID      string `json:"id"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	Callers string `json:"callers"` // IP:port for callers
	Peers   string `json:"peers"`   // IP:port for other daemons
}

// silenceTimeout is how long a daemon may be silent until callers are no longer sent
// to it: a few heartbeats.
const silenceTimeout = 1500 * time.Millisecond

// MemberList knows the daemons and which of them callers should use. It is pure and
// not safe for concurrent use.
type MemberList struct {
	self       string
	members    map[string]Member
	others     []Member // without self, by id; replaced as a whole
	heartbeats map[string]heartbeat
}

type heartbeat struct {
	at      time.Time
	leaving bool
}

// NewMemberList returns a roster for the daemon named self.
func NewMemberList(self string) *MemberList {
	return &MemberList{self: self, members: make(map[string]Member), heartbeats: make(map[string]heartbeat)}
}

// Put takes the entry of a daemon; it returns whether it is new.
func (l *MemberList) Put(m Member) bool {
	_, known := l.members[m.ID]
	l.members[m.ID] = m
	l.rebuildOthers()
	return !known
}

// Remove takes note that a daemon's entry is gone.
func (l *MemberList) Remove(id string) {
	delete(l.members, id)
	l.rebuildOthers()
}

func (l *MemberList) rebuildOthers() {
	l.others = nil
	for _, m := range l.members {
		if m.ID != l.self {
			l.others = append(l.others, m)
		}
	}
	sortByID(l.others)
}

func sortByID(list []Member) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}

// RecordHeartbeat takes note of a sign of life of a daemon, and whether it leaves. It returns
// whether the daemon was not heard for a while.
func (l *MemberList) RecordHeartbeat(now time.Time, id string, leaving bool) bool {
	wasLive := l.Live(now, id)
	l.heartbeats[id] = heartbeat{now, leaving}
	return !wasLive
}

// Live tells whether a daemon gave a sign of life lately.
func (l *MemberList) Live(now time.Time, id string) bool {
	h, ok := l.heartbeats[id]
	return id == l.self || ok && now.Sub(h.at) < silenceTimeout
}

// Len returns the number of daemons that have an entry.
func (l *MemberList) Len() int { return len(l.members) }

// Others returns all daemons but this one, by id. The list is not to be changed.
func (l *MemberList) Others() []Member { return l.others }

// Directory returns the daemons for callers, by id: those that live and don't
// leave. Where none is heard, as when this daemon is cut off from all, it is all
// that don't leave: callers find out better than it can.
func (l *MemberList) Directory(now time.Time) []Member {
	var live, known []Member
	for _, m := range l.members {
		if l.heartbeats[m.ID].leaving {
			continue
		}
		known = append(known, m)
		if l.Live(now, m.ID) {
			live = append(live, m)
		}
	}
	out := live
	if isolated := len(live) == 0 || len(live) == 1 && live[0].ID == l.self; isolated {
		out = known
	}
	sortByID(out)
	return out
}
