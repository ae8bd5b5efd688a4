package admission

import "time"

// permit is a granted permit that was not yet released.
type permit struct {
	ticket    Ticket
	target    string
	grantedAt time.Time
	abandoned bool // the daemon gave up the attempt, which may still run on the target
}

// permitPool counts this daemon's permits of one target.
type permitPool struct {
	limit     int  // this daemon's share of the target's permits
	reserved  int  // how many of limit are reserved for urgent requests
	inUse     int  // including permits of abandoned attempts
	nonUrgent int  // how many of inUse belong to requests that are not urgent
	abandoned int  // how many of inUse belong to abandoned attempts
	blocked   bool // the target gets no grants; see Block
}

// hasFree reports whether a request can get a permit now. A nil pool has none.
func (p *permitPool) hasFree(urgent bool) bool {
	if p == nil || p.blocked || p.inUse >= p.limit {
		return false
	}
	return urgent || p.nonUrgent < p.limit-p.reserved
}

// usablePermits returns the number of permits that queued requests can get, now or
// once they are released. It excludes permits of abandoned attempts, because it is
// not known when those attempts end, and reserved ones unless the request is urgent.
func (p *permitPool) usablePermits(urgent bool) int {
	switch {
	case p == nil || p.blocked:
		return 0
	case urgent:
		return max(0, p.limit-p.abandoned)
	}
	return max(0, p.limit-p.reserved-p.abandoned)
}

func (p *permitPool) acquire(urgent bool) {
	p.inUse++
	if !urgent {
		p.nonUrgent++
	}
}

func (p *permitPool) release(r *permit) {
	p.inUse--
	if !r.ticket.urgent() {
		p.nonUrgent--
	}
	if r.abandoned {
		p.abandoned--
	}
}

// idle reports whether the pool can be deleted.
func (p *permitPool) idle() bool { return p.limit == 0 && p.inUse == 0 }
