package admission

import "time"

// permit is one permit that was granted and not given back.
type permit struct {
	ticket    Ticket
	target    string
	grantedAt time.Time
	abandoned bool // the attempt was left and may still run
}

// permitPool counts the permits of one target on this daemon.
type permitPool struct {
	limit     int
	reserved  int
	inUse     int // of them left: left
	nonUrgent int // taken by requests that are not urgent
	abandoned int
	blocked   bool
}

// hasFree tells whether a request may take a permit.
func (l *permitPool) hasFree(urgent bool) bool {
	if l == nil || l.blocked || l.inUse >= l.limit {
		return false
	}
	return urgent || l.nonUrgent < l.limit-l.reserved
}

// usablePermits returns the permits that serve waiting requests sooner or later.
func (l *permitPool) usablePermits(urgent bool) int {
	switch {
	case l == nil || l.blocked:
		return 0
	case urgent:
		return max(0, l.limit-l.abandoned)
	}
	return max(0, l.limit-l.reserved-l.abandoned)
}

func (l *permitPool) acquire(urgent bool) {
	l.inUse++
	if !urgent {
		l.nonUrgent++
	}
}

func (l *permitPool) release(p *permit) {
	l.inUse--
	if !p.ticket.urgent() {
		l.nonUrgent--
	}
	if p.abandoned {
		l.abandoned--
	}
}

// idle tells whether the ledger can be forgotten.
func (l *permitPool) idle() bool { return l.limit == 0 && l.inUse == 0 }
