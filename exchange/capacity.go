package exchange

import (
	"slices"
	"time"
)

// Limits of the state of a CapacityMonitor.
const (
	// shortBelow is the part of a daemon's capacity below which it is short. What is left lasts
	// until callers have new directory answers, some of which are used for several seconds.
	shortBelow = 1.0 / 8
	// restoredAbove is the part that must be left again, for restoredAfter. Callers that return
	// would otherwise use it up at once.
	restoredAbove = 1.0 / 4
	restoredAfter = 5 * time.Second
)

// CapacityMonitor decides whether a daemon is short of capacity. The zero value is that of a daemon
// that isn't.
type CapacityMonitor struct {
	short    bool
	enoughAt time.Time // since when more than restoredAbove is left; zero if less is left
}

// Update records the part of the capacity that is left, 0 to 1. It reports whether the daemon is short
// of capacity, and whether that changed.
func (m *CapacityMonitor) Update(now time.Time, left float64) (short, changed bool) {
	was := m.short
	switch {
	case left < shortBelow:
		m.short, m.enoughAt = true, time.Time{}
	case left < restoredAbove:
		m.enoughAt = time.Time{}
	case m.enoughAt.IsZero():
		m.enoughAt = now
	}
	if m.short && !m.enoughAt.IsZero() && now.Sub(m.enoughAt) >= restoredAfter {
		m.short = false
	}
	return m.short, m.short != was
}

// WithoutShort returns the daemons that callers should connect to: those that are not short of
// capacity, or all if more than half of them are, because the others could not carry their callers.
func WithoutShort(list []Member, short func(id string) bool) []Member {
	enough := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return short(m.ID) })
	if 2*len(enough) < len(list) {
		return list
	}
	return enough
}

// MarkShort records whether a daemon is short of capacity, as it reports itself.
func (l *MemberList) MarkShort(id string, short bool) {
	if !short {
		delete(l.short, id)
		return
	}
	if l.short == nil {
		l.short = make(map[string]bool)
	}
	l.short[id] = true
}

// DirectoryForCallers is Directory without the daemons that are short of capacity, see WithoutShort.
// leftOut is their number. If leaving is set, this daemon is not listed, and is none of those that
// could carry the callers of others.
func (l *MemberList) DirectoryForCallers(now time.Time, leaving bool) (list []Member, leftOut int) {
	all := l.Directory(now)
	if leaving {
		all = slices.DeleteFunc(all, func(m Member) bool { return m.ID == l.self })
	}
	if len(l.short) == 0 {
		return all, 0
	}
	list = WithoutShort(all, func(id string) bool { return l.short[id] })
	return list, len(all) - len(list)
}
