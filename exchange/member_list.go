package exchange

import (
	"slices"
	"sort"
	"time"
)

// Member is the registration of one daemon.
type Member struct {
	ID      string `json:"id"`
	Place   string `json:"place"`
	Region  string `json:"region"`
	Callers string `json:"callers"` // IP:port for callers
	Peers   string `json:"peers"`   // IP:port for other daemons
	// Relay is the IP:port at which the daemon relays connections to targets; empty if it
	// doesn't.
	Relay string `json:"relay,omitempty"`
}

// silenceTimeout is the time without a heartbeat after which a daemon is considered
// silent, so that callers are no longer directed to it. It is a few heartbeat intervals
// long.
const silenceTimeout = 1500 * time.Millisecond

// MemberList holds the registered daemons and their last heartbeats, and selects the
// daemons that callers should connect to. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type MemberList struct {
	self        string
	incarnation uint64 // of this daemon
	members     map[string]Member
	missing     map[string]time.Time // since when the entries of members are missing that may return
	others      []Member             // without self, sorted by id; replaced, never modified; nil if outdated
	ranked      map[string][]Member  // by place, see rankedReporters; nil if outdated
	heartbeats  map[string]heartbeat
	startedAt   time.Time       // when this daemon knew of daemons first
	relayed     bool            // see UseReporters
	short       map[string]bool // daemons that are short of capacity, by id
	oldest      oldestLive
}

type heartbeat struct {
	at          time.Time
	incarnation uint64
	leaving     bool
	since       time.Time // of the incarnation's first heartbeat, or of its registration if that came later
	updated     bool      // this daemon has brought the incarnation up to date
	returned    time.Time // when this daemon heard the other one again after a silence
	answered    time.Time // when the other one had last asked to be brought up to date
	olderBuild  bool      // it doesn't know reporters
}

// NewMemberList returns an empty list for an incarnation of the daemon with the id self.
func NewMemberList(self string, incarnation uint64) *MemberList {
	return &MemberList{self: self, incarnation: incarnation, members: make(map[string]Member), missing: make(map[string]time.Time), heartbeats: make(map[string]heartbeat)}
}

// Put adds or replaces the entry of a daemon. It reports whether the daemon is new.
func (l *MemberList) Put(now time.Time, m Member) bool {
	known, ok := l.members[m.ID]
	l.members[m.ID] = m
	delete(l.missing, m.ID)
	l.others, l.ranked = nil, nil
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	if h, heard := l.heartbeats[m.ID]; heard && known.Peers != m.Peers {
		h.since, h.updated = now, false // what was sent to all others before did not reach it
		l.heartbeats[m.ID] = h
	}
	return !ok
}

// Remove removes a daemon whose entry is gone. If mayReturn is set, as after a restoration
// of the store, the daemon is kept until Expire removes it.
func (l *MemberList) Remove(now time.Time, id string, mayReturn bool) {
	if _, known := l.members[id]; !known {
		return
	}
	if mayReturn {
		l.missing[id] = now
		return
	}
	l.drop(id)
}

// drop removes a daemon.
func (l *MemberList) drop(id string) {
	delete(l.members, id)
	delete(l.missing, id)
	delete(l.short, id)
	l.others, l.ranked = nil, nil
}

// missingMemberGrace is how long a silent daemon is kept without an entry. A live one is
// kept: it writes its entry again.
const missingMemberGrace = 5 * time.Second

// Expire removes the daemons whose entries are missing and that are silent, and returns
// their ids.
func (l *MemberList) Expire(now time.Time) (expired []string) {
	for id, since := range l.missing {
		if now.Sub(since) > missingMemberGrace && !l.Live(now, id) {
			l.drop(id)
			expired = append(expired, id)
		}
	}
	sort.Strings(expired)
	return expired
}

// Registered reports whether a daemon has the given entry.
func (l *MemberList) Registered(m Member) bool {
	_, missing := l.missing[m.ID]
	return l.members[m.ID] == m && !missing
}

func sortByID(list []Member) {
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
}

// Presence is what a heartbeat shows about a daemon.
type Presence int

// Values of a Presence.
const (
	Continuing Presence = iota // it was live before
	Returned                   // it was silent for a while
	Started                    // the first heartbeat of its incarnation
)

// RecordHeartbeat records a heartbeat of an incarnation of a daemon and whether the
// daemon is leaving. update reports whether this daemon should bring the other one up to
// date: the other was silent, so that neither received what the other one sent, or it has
// started and this daemon is one of its sponsors. With reporters, many daemons may count as
// silent at once, and only their sponsors do; the others are asked, see HeardAgain.
func (l *MemberList) RecordHeartbeat(now time.Time, id string, incarnation uint64, leaving bool) (p Presence, update bool) {
	h, known := l.heartbeats[id]
	wasLive := l.Live(now, id)
	switch {
	case !known || h.incarnation != incarnation:
		p, h = Started, heartbeat{incarnation: incarnation, since: now}
		if slices.Contains(l.oldest.ids, id) {
			l.oldest = oldestLive{}
		}
	case !wasLive:
		p = Returned
		if len(l.HeardAgain(now)) < maxAsked {
			h.returned = now
		}
	}
	h.at, h.leaving = now, leaving
	l.heartbeats[id] = h
	starting := !h.updated && now.Sub(h.since) <= sponsorPeriod
	if update = p == Returned && !l.relayed || (starting || p == Returned) && l.sponsors(now, id); update {
		h.updated = true
		l.heartbeats[id] = h
	}
	return p, update
}

// RecordAlive records that a reporter heard an incarnation of a daemon whose report is known.
// It reports whether this daemon should bring the other one up to date, see RecordHeartbeat.
func (l *MemberList) RecordAlive(now time.Time, id string, incarnation uint64) (update bool) {
	if h, known := l.heartbeats[id]; known && h.incarnation == incarnation {
		_, update = l.RecordHeartbeat(now, id, incarnation, h.leaving)
	}
	return update
}

// A daemon that hears others again may have received nothing meanwhile although they heard it.
// It asks them in its heartbeats for what it missed, all or maxAsked of many, in askPeriod:
// some heartbeats, as each may be lost. It is shorter than the time between two silences.
const (
	maxAsked  = 8
	askPeriod = silenceTimeout * 2 / 3
)

// HeardAgain returns the incarnations of the daemons that this one has just heard again after
// a silence, by id. Its heartbeats carry them.
func (l *MemberList) HeardAgain(now time.Time) map[string]uint64 {
	var out map[string]uint64
	for id, h := range l.heartbeats {
		if h.returned.IsZero() || now.Sub(h.returned) >= askPeriod {
			continue
		}
		if out == nil {
			out = make(map[string]uint64)
		}
		out[id] = h.incarnation
	}
	return out
}

// RecordHeardAgain records the HeardAgain of another daemon's heartbeat. It reports whether
// this daemon should bring the other one up to date: once for each silence.
func (l *MemberList) RecordHeardAgain(now time.Time, id string, heardAgain map[string]uint64) (update bool) {
	h, known := l.heartbeats[id]
	incarnation, asked := heardAgain[l.self]
	if !known || !asked || incarnation != l.incarnation || now.Sub(h.answered) < silenceTimeout {
		return false
	}
	h.answered = now
	l.heartbeats[id] = h
	return true
}

// Live reports whether a daemon has sent a heartbeat within silenceTimeout. This daemon
// itself is always live.
func (l *MemberList) Live(now time.Time, id string) bool {
	h, ok := l.heartbeats[id]
	timeout := silenceTimeout
	if l.relayed && !h.olderBuild {
		timeout = l.scaled(relayedSilenceTimeout)
	}
	return id == l.self || ok && now.Sub(h.at) < timeout
}

// MarkBuild records whether a daemon that was heard has an older build, which doesn't know
// reporters.
func (l *MemberList) MarkBuild(id string, older bool) {
	if h, ok := l.heartbeats[id]; ok && h.olderBuild != older {
		h.olderBuild = older
		l.heartbeats[id] = h
	}
}

// Active returns the ids of the live daemons that are not leaving, this one among them, and
// the number of live daemons.
func (l *MemberList) Active(now time.Time) (active []string, live int) {
	active, live = []string{l.self}, 1
	for _, m := range l.Others() {
		if !l.Live(now, m.ID) {
			continue
		}
		live++
		if !l.heartbeats[m.ID].leaving {
			active = append(active, m.ID)
		}
	}
	return active, live
}

// maxSponsors is how many daemons bring a daemon that has started up to date. More than
// one does, since their views may differ and a call may fail.
const maxSponsors = 3

// sponsorPeriod is how long after its start a daemon may get sponsors. Daemons that ended
// at the same time as its previous incarnation count as live, and as its sponsors, for
// silenceTimeout.
const sponsorPeriod = 2 * silenceTimeout

// oldestLive has the other live daemons that have run longest, one more than a daemon has
// sponsors. Finding them takes a pass over all daemons, too much for each heartbeat.
type oldestLive struct {
	ids []string
	at  time.Time
}

// oldestMaxAge is how long an oldestLive is used. It is short against silenceTimeout.
const oldestMaxAge = 200 * time.Millisecond

// sponsors reports whether this daemon brings another one, which has started, up to date.
// Of the live daemons, those that have run longest do: others may have started at the
// same time, and the cost for one that starts must not grow with their number.
func (l *MemberList) sponsors(now time.Time, id string) bool {
	if len(l.oldest.ids) <= maxSponsors || now.Sub(l.oldest.at) >= oldestMaxAge {
		l.oldest = oldestLive{at: now}
		for _, m := range l.LongestRunning(now, maxSponsors+1) {
			l.oldest.ids = append(l.oldest.ids, m.ID)
		}
	}
	older := 0
	for _, o := range l.oldest.ids {
		if o != id && l.startedBefore(o, l.self) {
			older++
		}
	}
	return older < maxSponsors
}

// startedBefore reports whether the incarnation of the daemon a started before that of
// b. The id decides between equal incarnations.
func (l *MemberList) startedBefore(a, b string) bool {
	if x, y := l.incarnationOf(a), l.incarnationOf(b); x != y {
		return x < y
	}
	return a < b
}

// LongestRunning returns the other live daemons that have run longest, at most limit.
func (l *MemberList) LongestRunning(now time.Time, limit int) []Member {
	var oldest []Member
	for _, m := range l.Others() {
		if !l.Live(now, m.ID) {
			continue
		}
		at := sort.Search(len(oldest), func(i int) bool { return l.startedBefore(m.ID, oldest[i].ID) })
		if at < limit {
			oldest = slices.Insert(oldest, at, m)
			oldest = oldest[:min(limit, len(oldest))]
		}
	}
	return oldest
}

func (l *MemberList) incarnationOf(id string) uint64 {
	if id == l.self {
		return l.incarnation
	}
	return l.heartbeats[id].incarnation
}

// Len returns the number of daemons that have an entry.
func (l *MemberList) Len() int { return len(l.members) }

// Others returns all daemons but this one, sorted by id. The caller must not modify the
// slice.
func (l *MemberList) Others() []Member {
	if l.others == nil {
		l.others = make([]Member, 0, len(l.members))
		for _, m := range l.members {
			if m.ID != l.self {
				l.others = append(l.others, m)
			}
		}
		sortByID(l.others)
	}
	return l.others
}

// Member returns the entry of a daemon.
func (l *MemberList) Member(id string) (m Member, ok bool) {
	m, ok = l.members[id]
	return m, ok
}

// Directory returns the daemons that callers should connect to, sorted by id: those that
// are live and not leaving. If no other daemon is live, as when this daemon is
// partitioned from all others, it returns all daemons that are not leaving, because
// callers may still reach daemons that this one can't.
func (l *MemberList) Directory(now time.Time) []Member {
	var live, registered []Member
	for _, m := range l.members {
		if l.heartbeats[m.ID].leaving {
			continue
		}
		registered = append(registered, m)
		if l.Live(now, m.ID) {
			live = append(live, m)
		}
	}
	out := live
	if isolated := len(live) == 0 || len(live) == 1 && live[0].ID == l.self; isolated {
		out = registered
	}
	sortByID(out)
	return out
}
