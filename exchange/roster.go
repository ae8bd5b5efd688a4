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

// silentAfter is how long a daemon may be silent until callers are no longer sent
// to it: a few heartbeats.
const silentAfter = 1500 * time.Millisecond

// Roster knows the daemons and which of them callers should use. It is pure and
// not safe for concurrent use.
type Roster struct {
	self    string
	members map[string]Member
	others  []Member // without self, by id; replaced as a whole
	heard   map[string]hearing
}

type hearing struct {
	at      time.Time
	leaving bool
}

// NewRoster returns a roster for the daemon named self.
func NewRoster(self string) *Roster {
	return &Roster{self: self, members: make(map[string]Member), heard: make(map[string]hearing)}
}

// Put takes the entry of a daemon; it returns whether it is new.
func (r *Roster) Put(m Member) bool {
	_, known := r.members[m.ID]
	r.members[m.ID] = m
	r.list()
	return !known
}

// Remove takes note that a daemon's entry is gone.
func (r *Roster) Remove(id string) {
	delete(r.members, id)
	r.list()
}

func (r *Roster) list() {
	r.others = nil
	for _, m := range r.members {
		if m.ID != r.self {
			r.others = append(r.others, m)
		}
	}
	sortByID(r.others)
}

func sortByID(list []Member) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}

// Heard takes note of a sign of life of a daemon, and whether it leaves. It returns
// whether the daemon was not heard for a while.
func (r *Roster) Heard(now time.Time, id string, leaving bool) bool {
	was := r.Live(now, id)
	r.heard[id] = hearing{now, leaving}
	return !was
}

// Live tells whether a daemon gave a sign of life lately.
func (r *Roster) Live(now time.Time, id string) bool {
	h, ok := r.heard[id]
	return id == r.self || ok && now.Sub(h.at) < silentAfter
}

// Len returns the number of daemons that have an entry.
func (r *Roster) Len() int { return len(r.members) }

// Others returns all daemons but this one, by id. The list is not to be changed.
func (r *Roster) Others() []Member { return r.others }

// Directory returns the daemons for callers, by id: those that live and don't
// leave. Where none is heard, as when this daemon is cut off from all, it is all
// that don't leave: callers find out better than it can.
func (r *Roster) Directory(now time.Time) []Member {
	var live, known []Member
	for _, m := range r.members {
		if r.heard[m.ID].leaving {
			continue
		}
		known = append(known, m)
		if r.Live(now, m.ID) {
			live = append(live, m)
		}
	}
	out := live
	if alone := len(live) == 0 || len(live) == 1 && live[0].ID == r.self; alone {
		out = known
	}
	sortByID(out)
	return out
}
