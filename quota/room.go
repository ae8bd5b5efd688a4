package quota

import "time"

// Size is what requests take up at a target.
type Size struct {
	Requests     int
	MemoryTokens int // of the KV cache; 0 for plain calls
}

// Times returns a fraction of a size, at least one request.
func (s Size) Times(fraction float64) Size {
	return Size{Requests: max(1, int(float64(s.Requests)*fraction)), MemoryTokens: int(float64(s.MemoryTokens) * fraction)}
}

// Parameters of a Room.
const (
	// refusalPause is how long no lease is issued after the target refused a request for
	// want of room.
	refusalPause = 300 * time.Millisecond
	// growInterval is the time after which a lowered limit rises by one request.
	growInterval = 500 * time.Millisecond
	// roomRetryDelay is the time after which it is useful to ask again for a lease.
	roomRetryDelay = 15 * time.Millisecond
	// urgentPeriod is how long a place is left to requests that got no lease.
	urgentPeriod = 200 * time.Millisecond
	// reportLag is the age from which a lease must show in its holder's load report. For as
	// long a grantor that issues its first leases goes by the reports, too: requests that
	// were sent before have no lease.
	reportLag = 1500 * time.Millisecond
)

// Room issues leases to requests at targets that must not be filled until they refuse. For
// each target it issues as many at a time as the target runs at once, and fewer after a
// refusal.
type Room struct {
	targets map[Key]*roomState
}

type roomState struct {
	leases    map[string]lease // by id
	used      Size
	denied    map[int]time.Time // the latest request without a lease, by priority
	limit     int               // of requests; 0 if it was not lowered
	raisedAt  time.Time
	pausedTo  time.Time
	createdAt time.Time
	usedAt    time.Time
}

type lease struct {
	holder string
	size   Size
	at     time.Time
}

// NewRoom returns a room without leases.
func NewRoom() *Room { return &Room{targets: make(map[Key]*roomState)} }

// Take takes a lease for a request of a holder at a target with a capacity. reported is what
// runs at the target as load reports say. Those are too late for plain calls, except that
// the first leases of a target count on them. A capacity of 0 tokens is not known. A request that is larger than the target gets a lease if it is
// alone. After a more urgent request got none, one place is left to such for urgentPeriod;
// priority 0 is the most urgent.
func (r *Room) Take(now time.Time, key Key, id, holder string, priority int, size, reported, capacity Size) (retryAfter time.Duration, ok bool) {
	s := r.targets[key]
	if s == nil {
		s = &roomState{leases: make(map[string]lease), denied: make(map[int]time.Time), createdAt: now}
		r.targets[key] = s
	}
	s.usedAt = now
	if size.MemoryTokens == 0 && now.Sub(s.createdAt) > reportLag {
		reported = Size{}
	}
	s.grow(now, capacity.Requests)
	switch {
	case now.Before(s.pausedTo):
		return s.pausedTo.Sub(now), false
	case !s.fits(s.withReserve(now, priority, size), reported, capacity):
		s.denied[priority] = now
		return roomRetryDelay, false
	}
	s.leases[id] = lease{holder, size, now}
	s.used.Requests += size.Requests
	s.used.MemoryTokens += size.MemoryTokens
	return 0, true
}

// withReserve returns the size of a request with the place that it leaves to more urgent
// ones.
func (s *roomState) withReserve(now time.Time, priority int, size Size) Size {
	for p, at := range s.denied {
		if p < priority && now.Sub(at) < urgentPeriod {
			size.Requests++
			break
		}
	}
	return size
}

// grow raises a lowered limit.
func (s *roomState) grow(now time.Time, slots int) {
	for s.limit > 0 && now.Sub(s.raisedAt) >= growInterval {
		s.limit, s.raisedAt = s.limit+1, s.raisedAt.Add(growInterval)
		if s.limit >= slots {
			s.limit = 0
		}
	}
}

func (s *roomState) fits(size, reported, capacity Size) bool {
	limit := max(1, capacity.Requests)
	if s.limit > 0 {
		limit = min(limit, s.limit)
	}
	requests, memory := max(s.used.Requests, reported.Requests), max(s.used.MemoryTokens, reported.MemoryTokens)
	return requests == 0 || requests+size.Requests <= limit && (capacity.MemoryTokens <= 0 || memory+size.MemoryTokens <= capacity.MemoryTokens)
}

// Release returns a lease. If the target refused the request, fewer are issued for a time.
func (r *Room) Release(now time.Time, key Key, id string, refused bool) {
	s := r.targets[key]
	if s == nil {
		return
	}
	if refused {
		s.limit, s.raisedAt, s.pausedTo = max(1, s.used.Requests-1), now, now.Add(refusalPause)
	}
	s.drop(id)
}

func (s *roomState) drop(id string) {
	l, ok := s.leases[id]
	if !ok {
		return
	}
	delete(s.leases, id)
	s.used.Requests -= l.size.Requests
	s.used.MemoryTokens -= l.size.MemoryTokens
}

// Reconcile drops leases of a holder that reports fewer running requests at a target than
// it has leases: their release was lost, or the holder has started again.
func (r *Room) Reconcile(now time.Time, key Key, running func(holder string) int) {
	s := r.targets[key]
	if s == nil {
		return
	}
	old := make(map[string][]string) // ids by holder
	for id, l := range s.leases {
		if now.Sub(l.at) > reportLag {
			old[l.holder] = append(old[l.holder], id)
		}
	}
	for holder, ids := range old {
		for _, id := range ids[:max(0, len(ids)-running(holder))] {
			s.drop(id)
		}
	}
}

// Keys returns the targets with leases.
func (r *Room) Keys() (keys []Key) {
	for key := range r.targets {
		keys = append(keys, key)
	}
	return keys
}

// Expire drops the targets that are no longer in use.
func (r *Room) Expire(now time.Time) {
	for key, s := range r.targets {
		if len(s.leases) == 0 && now.Sub(s.usedAt) > accountMaxAge {
			delete(r.targets, key)
		}
	}
}
