package admission

import "time"

// permit is one permit that was granted and not given back.
type permit struct {
	ticket  Ticket
	target  string
	granted time.Time
	left    bool // the attempt was left and may still run
}

// ledger counts the permits of one target on this daemon.
type ledger struct {
	limit    int
	reserved int
	taken    int // of them left: left
	ordinary int // taken by requests that are not urgent
	left     int
	blocked  bool
}

// free tells whether a request may take a permit.
func (l *ledger) free(urgent bool) bool {
	if l == nil || l.blocked || l.taken >= l.limit {
		return false
	}
	return urgent || l.ordinary < l.limit-l.reserved
}

// usable returns the permits that serve waiting requests sooner or later.
func (l *ledger) usable(urgent bool) int {
	switch {
	case l == nil || l.blocked:
		return 0
	case urgent:
		return max(0, l.limit-l.left)
	}
	return max(0, l.limit-l.reserved-l.left)
}

func (l *ledger) take(urgent bool) {
	l.taken++
	if !urgent {
		l.ordinary++
	}
}

func (l *ledger) give(p *permit) {
	l.taken--
	if !p.ticket.urgent() {
		l.ordinary--
	}
	if p.left {
		l.left--
	}
}

// idle tells whether the ledger can be forgotten.
func (l *ledger) idle() bool { return l.limit == 0 && l.taken == 0 }
