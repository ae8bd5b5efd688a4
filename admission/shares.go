package admission

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The homes of a target are the daemons that share its permits. In a fleet of at most
// smallFleetSize daemons every daemon is a home of every target, so that each daemon
// can serve any caller by itself. In a larger fleet a target has largeFleetHomes
// homes, which bounds the number of targets that one daemon polls and tracks.
const (
	smallFleetSize  = 8
	largeFleetHomes = 4
)

// HomeCount returns the number of homes of a target with the given number of permits:
// how many daemons share its permits. live is the number of live daemons in the fleet.
func HomeCount(live, permits int) int {
	homes := live
	if live > smallFleetSize {
		homes = largeFleetHomes
	}
	return min(homes, permits)
}

// Share is one daemon's share of a target's permits. Reserved is how many of Permits
// are reserved for urgent requests.
type Share struct {
	Permits  int
	Reserved int
}

// Fleet is a set of daemons with precomputed hashes of their ids.
type Fleet struct {
	self   int // index of this daemon in ids, -1 if it is not one of them
	hashes []uint64
	ids    []string
}

// NewFleet returns the fleet of the daemons with the given ids. If self is not one
// of them, its shares are empty.
func NewFleet(self string, live []string) *Fleet {
	f := &Fleet{self: -1, ids: live}
	for i, id := range live {
		if id == self {
			f.self = i
		}
		f.hashes = append(f.hashes, xxhash.Sum64String(id))
	}
	return f
}

// Size returns the number of daemons.
func (f *Fleet) Size() int { return len(f.ids) }

// Fingerprint returns a hash of the set of daemon ids. Different fleets have
// different fingerprints, up to collisions.
func (f *Fleet) Fingerprint() uint64 {
	var hash uint64
	for _, h := range f.hashes {
		hash ^= mix(h)
	}
	return hash
}

// Share returns this daemon's share of a target's permits. The shares computed by
// daemons with the same fleet and limits add up to exactly the limits: the homes
// are the daemons with the highest rendezvous hashes, and remainders go to the
// first of them.
func (f *Fleet) Share(target string, permits, reserved int) Share {
	if f.self < 0 {
		return Share{}
	}
	homes := HomeCount(len(f.ids), permits)
	rank := f.rank(xxhash.Sum64String(target), homes)
	if rank >= homes {
		return Share{}
	}
	return Share{Permits: part(permits, homes, rank), Reserved: part(reserved, homes, rank)}
}

// Homes returns the ids of the daemons that share a target's permits, in
// descending order of their rendezvous hashes.
func (f *Fleet) Homes(target string, permits int) []string {
	hash := xxhash.Sum64String(target)
	order := make([]int, len(f.ids))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(i, j int) bool {
		a, b := mix(hash^f.hashes[order[i]]), mix(hash^f.hashes[order[j]])
		return a > b || (a == b && f.ids[order[i]] < f.ids[order[j]])
	})
	var out []string
	for _, i := range order[:HomeCount(len(f.ids), permits)] {
		out = append(out, f.ids[i])
	}
	return out
}

// rank returns how many daemons precede this one in the rendezvous order of a
// target, at most limit.
func (f *Fleet) rank(target uint64, limit int) int {
	ownHash := mix(target ^ f.hashes[f.self])
	var rank int
	for i, h := range f.hashes {
		w := mix(target ^ h)
		if w > ownHash || (w == ownHash && f.ids[i] < f.ids[f.self]) {
			if rank++; rank >= limit {
				return rank
			}
		}
	}
	return rank
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// part returns the size of part number rank when total is split as evenly as
// possible, with the remainder in the first parts.
func part(total, parts, rank int) int {
	n := total / parts
	if rank < total%parts {
		n++
	}
	return n
}

// Shares applies the wanted shares of a daemon: a decrease at once, an increase
// only when the fleet has not changed for the delay. As long as the views of the
// daemons differ for less than the delay, the daemons together thus never use more
// permits than the limit.
type Shares struct {
	delay     time.Duration
	fleet     uint64           // Fingerprint of the fleet at the last Update
	changedAt time.Time        // when the fleet last changed
	inUse     map[string]Share // by target
}

// NewShares returns the shares of a daemon, all empty.
func NewShares(delay time.Duration) *Shares {
	return &Shares{delay: delay, inUse: make(map[string]Share)}
}

// Update applies the wanted shares by target, computed for the fleet with the
// given Fingerprint. It reports whether a share in use changed.
func (s *Shares) Update(now time.Time, fleet uint64, wanted map[string]Share) bool {
	if s.changedAt.IsZero() || fleet != s.fleet {
		s.fleet, s.changedAt = fleet, now
	}
	stable := now.Sub(s.changedAt) >= s.delay
	changed := false
	for name, inUse := range s.inUse {
		if _, ok := wanted[name]; !ok {
			delete(s.inUse, name)
			changed = changed || inUse != Share{}
		}
	}
	for name, w := range wanted {
		inUse := s.inUse[name]
		next := w
		if !stable {
			next = Share{Permits: min(inUse.Permits, w.Permits), Reserved: min(inUse.Reserved, w.Reserved)}
		}
		changed = changed || next != inUse
		s.inUse[name] = next
	}
	return changed
}

// AllInUse reports whether every wanted share is in use.
func (s *Shares) AllInUse(wanted map[string]Share) bool {
	for name, w := range wanted {
		if s.inUse[name] != w {
			return false
		}
	}
	return true
}

// InUse returns the share of a target that is in use.
func (s *Shares) InUse(target string) Share { return s.inUse[target] }
