package membership

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Fanout is the number of daemons that one daemon relays a message to.
const Fanout = 4

// Arc is a part of the hash ring that all members lie on, ends included.
type Arc struct {
	Lo uint64 `msgpack:"l"`
	Hi uint64 `msgpack:"h"`
}

// FullRing is the arc of all members.
func FullRing() Arc { return Arc{0, math.MaxUint64} }

// Branch is a member and the arc it relays to next.
type Branch struct {
	Member   Member
	RelayArc Arc
	// NeedsRelay tells that other members lie on Rest.
	NeedsRelay bool
}

// Branches splits the members that serve on an arc, this daemon included, into
// at most Fanout branches. Each relays within its own arc by its own view, so
// views that differ lose or repeat single members only. The tree does not
// depend on who begins it: of several daemons that spread one message, each
// goes on where another one stopped. salt gives each message its own order, so
// that no daemon relays more than others in the long run.
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

// RelayClaims remembers which arcs a daemon has relayed the newest message on, so
// that it relays each only once. It goes by relays, not by whether the daemon
// has the message already: it may have got it in another way.
type RelayClaims struct {
	number int64
	arcs   []Arc
}

// Claim returns whether to relay message number on an arc.
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

// readerCandidates bounds the daemons that are asked in one poll.
const readerCandidates = 3

// PlatformReaders returns the daemons that read the platform for this one, best first:
// the first of its place, then others of its region, then anyone. It may name
// this daemon itself.
func (v *View) PlatformReaders() []Member {
	var live []Member
	for _, m := range v.Members {
		if m.State == Alive || m.State == Starting {
			live = append(live, m)
		}
	}
	Rank(live, "platform reader")
	distance := func(m Member) int {
		switch {
		case m.Place == v.Self.Place:
			return 0
		case m.Region == v.Self.Region:
			return 1
		}
		return 2
	}
	sort.SliceStable(live, func(i, j int) bool { return distance(live[i]) < distance(live[j]) })
	var onePerPlace, others []Member
	seenPlaces := make(map[string]bool)
	for _, m := range live {
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
