package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Fanout is the maximum number of daemons to which one daemon relays a message.
const Fanout = 4

// Arc is an interval of the hash ring on which the members are placed. Both ends
// are inclusive.
type Arc struct {
	Lo uint64 `msgpack:"l"`
	Hi uint64 `msgpack:"h"`
}

// FullRing returns the arc that contains all members.
func FullRing() Arc { return Arc{0, math.MaxUint64} }

// Branch is a member that receives a broadcast message, and the arc to whose
// members it relays the message.
type Branch struct {
	Member   Member
	RelayArc Arc
	// NeedsRelay reports whether RelayArc contains other members.
	NeedsRelay bool
}

// Branches splits the recipients on an arc, this daemon included, into at most
// Fanout branches of a broadcast tree. The member of a branch relays within the
// branch's arc according to its own view. If the views of two members differ, only
// individual members are missed or receive the message twice. The tree does not
// depend on the daemon that starts the broadcast: if several daemons broadcast the
// same message, each continues where another one stopped. salt, which differs per
// message, determines the order of the members on the ring, so that the relay load
// is balanced over many messages.
func (v *View) Branches(salt uint64, arc Arc) []Branch {
	type point struct {
		position uint64
		member   Member
	}
	var points []point
	for _, m := range append(v.Recipients(), Member{Identity: v.Self}) {
		if position := ringPoint(salt, m.ID); position >= arc.Lo && position <= arc.Hi {
			points = append(points, point{position, m})
		}
	}
	sort.Slice(points, func(i, j int) bool { return points[i].position < points[j].position })
	size := (len(points) + Fanout - 1) / Fanout
	var out []Branch
	for i := 0; i < len(points); i += size {
		end := arc.Hi
		if i+size < len(points) {
			end = points[i+size].position - 1
		}
		needsRelay := min(i+size, len(points))-i > 1
		out = append(out, Branch{points[i].member, Arc{points[i].position + 1, end}, needsRelay})
	}
	return out
}

// RelayClaims records the arcs of the hash ring on which a daemon has relayed the
// newest message, so that it relays the message on each arc only once. A daemon that
// already has the message must still relay it, because it may have fetched the
// message in another way.
type RelayClaims struct {
	number int64 // number of the newest message
	arcs   []Arc // arcs on which it was relayed
}

// Claim reports whether the message with the given number still has to be relayed
// on arc, and records the relay. Messages older than the newest one are not relayed.
func (c *RelayClaims) Claim(number int64, arc Arc) bool {
	if number < c.number {
		return false
	}
	if number > c.number {
		c.number, c.arcs = number, nil
	}
	if slices.Contains(c.arcs, arc) {
		return false
	}
	c.arcs = append(c.arcs, arc)
	return true
}

func ringPoint(salt uint64, id string) uint64 {
	return xxhash.Sum64(append(binary.LittleEndian.AppendUint64(nil, salt), id...))
}

// readerCandidates is the maximum number of readers that PlatformReaders returns.
const readerCandidates = 3

// PlatformReaders returns up to readerCandidates daemons that this daemon can query
// instead of reading the platform's store itself, best first: one daemon of each
// place, starting with its own place, then other places of its region, then other
// regions. If these are fewer than readerCandidates, further daemons of the same
// places are added. The result may contain this daemon.
func (v *View) PlatformReaders() []Member {
	var candidates []Member
	for _, m := range v.Members {
		if m.State == Alive || m.State == Starting {
			candidates = append(candidates, m)
		}
	}
	Rank(candidates, "platform reader")
	distance := func(m Member) int {
		switch {
		case m.Place == v.Self.Place:
			return 0
		case m.Region == v.Self.Region:
			return 1
		}
		return 2
	}
	sort.SliceStable(candidates, func(i, j int) bool { return distance(candidates[i]) < distance(candidates[j]) })
	var onePerPlace, others []Member
	seenPlaces := make(map[string]bool)
	for _, m := range candidates {
		if seenPlaces[m.Place] {
			others = append(others, m)
		} else {
			onePerPlace = append(onePerPlace, m)
		}
		seenPlaces[m.Place] = true
	}
	ordered := append(onePerPlace, others...)
	return ordered[:min(len(ordered), readerCandidates)]
}
