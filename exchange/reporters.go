package exchange

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Daemons of a large fleet don't send their reports to all others, which would cost each of
// them in proportion to the fleet. Those of a place send them to its reporters, which pass
// them on: to the place, and to the reporters of the other places.
const (
	// reportersPerPlace is the number of reporters of a place. With two, the reports of a
	// place don't stop when one of them ends.
	reportersPerPlace = 2
	// reporterTimeout is the time without a sign of a reporter after which the next daemon
	// takes its place. It is longer than a report and a digest take together.
	reporterTimeout = 1500 * time.Millisecond
	// relayedSilenceTimeout is silenceTimeout for daemons that are heard through reporters.
	// It covers the time until a place whose reporters both ended has others.
	relayedSilenceTimeout = 3500 * time.Millisecond
	// startGrace is how long after its start a daemon takes all registered daemons for live,
	// so that those that start together agree on the reporters.
	startGrace = reporterTimeout
)

// reportInterval is the time between two reports of a daemon in a fleet of up to
// unscaledDaemons. Larger fleets report less often, which keeps the bytes of digests at each
// daemon the same.
const (
	reportInterval  = 500 * time.Millisecond
	unscaledDaemons = 400
)

// ReportInterval returns the time between two reports of a daemon.
func (l *MemberList) ReportInterval() time.Duration { return l.scaled(reportInterval) }

// scaled returns a time that is stated for unscaledDaemons.
func (l *MemberList) scaled(d time.Duration) time.Duration {
	return d * time.Duration(max(unscaledDaemons, len(l.members))) / unscaledDaemons
}

// UseReporters sets whether daemons are heard through reporters, and so count as live for
// longer.
func (l *MemberList) UseReporters(use bool) { l.relayed = use }

// Reporters returns the reporters of this daemon's place, the primary one first, and the
// rank of this daemon among them, or -1 if it is none. Daemons with an older build, which
// don't know reporters, are none.
func (l *MemberList) Reporters(now time.Time, place string) (reporters []Member, rank int) {
	rank = -1
	for _, m := range l.rankedReporters(place) {
		if len(reporters) == reportersPerPlace {
			break
		}
		if m.ID == l.self {
			rank = len(reporters)
		} else if !l.mayReport(now, m.ID) {
			continue
		}
		reporters = append(reporters, m)
	}
	return reporters, rank
}

// RemoteReporters returns the reporters of the other places. Of a place without any that is
// heard, it returns daemons in turn: each passes on what it gets, so that places that are cut
// off from each other, or whose reporters ended, find each other again.
func (l *MemberList) RemoteReporters(now time.Time, ownPlace string, turn int) (out []Member) {
	for _, place := range l.places() {
		if place == ownPlace {
			continue
		}
		ranked := l.rankedReporters(place)
		var chosen, rest []Member
		for _, m := range ranked {
			switch {
			case len(chosen) == reportersPerPlace:
			case l.mayReport(now, m.ID):
				chosen = append(chosen, m)
			case !l.heartbeats[m.ID].olderBuild:
				rest = append(rest, m)
			}
		}
		for i := range min(reportersPerPlace-len(chosen), len(rest)) {
			chosen = append(chosen, rest[(turn*reportersPerPlace+i)%len(rest)])
		}
		out = append(out, chosen...)
	}
	return out
}

// mayReport reports whether another daemon was heard within reporterTimeout, or may have started
// with this one, and neither leaves nor has an older build.
func (l *MemberList) mayReport(now time.Time, id string) bool {
	h, heard := l.heartbeats[id]
	if !heard {
		return now.Sub(l.startedAt) < l.scaled(startGrace)
	}
	return now.Sub(h.at) < l.scaled(reporterTimeout) && !h.leaving && !h.olderBuild
}

// rankedReporters returns the daemons of a place in the order in which they become
// reporters. It is the same on all daemons and doesn't follow the order of ids, in which
// VMs may be replaced one after the other.
func (l *MemberList) rankedReporters(place string) []Member {
	if l.ranked == nil {
		l.ranked = make(map[string][]Member)
		for _, m := range l.members {
			l.ranked[m.Place] = append(l.ranked[m.Place], m)
		}
		for _, list := range l.ranked {
			sort.Slice(list, func(i, j int) bool {
				a, b := xxhash.Sum64String(list[i].ID), xxhash.Sum64String(list[j].ID)
				return a < b || a == b && list[i].ID < list[j].ID
			})
		}
	}
	return l.ranked[place]
}

// places returns the places of the registered daemons, sorted.
func (l *MemberList) places() (out []string) {
	l.rankedReporters("")
	for place := range l.ranked {
		out = append(out, place)
	}
	sort.Strings(out)
	return out
}

// Unrelayed returns the other daemons to which this one sends its reports itself: those with an
// older build, and in turn at most limit of those that it doesn't hear, which may not hear
// it either.
func (l *MemberList) Unrelayed(now time.Time, turn, limit int) (out []Member) {
	var silent []Member
	for _, m := range l.Others() {
		h, heard := l.heartbeats[m.ID]
		switch {
		case l.Live(now, m.ID):
			if h.olderBuild {
				out = append(out, m)
			}
		case heard || now.Sub(l.startedAt) >= l.scaled(startGrace):
			silent = append(silent, m)
		}
	}
	for i := range min(limit, len(silent)) {
		out = append(out, silent[(turn*limit+i)%len(silent)])
	}
	return out
}

// Neighbors returns the other registered daemons of a place, without those of an older build.
func (l *MemberList) Neighbors(place string) (out []Member) {
	for _, m := range l.rankedReporters(place) {
		if m.ID != l.self && !l.heartbeats[m.ID].olderBuild {
			out = append(out, m)
		}
	}
	return out
}
