package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/peer"
)

// spreading is one message that several daemons begin to spread, delivered in
// any order.
type spreading struct {
	views  map[string]*View
	claims map[string]*RelayClaims
	has    map[string]bool
	queue  []Branch
	// stop tells whether a daemon that gets a push does not relay it.
	stop func(s *spreading, id string, rest Arc) bool
}

func newSpreading(n int) *spreading {
	s := &spreading{views: make(map[string]*View), claims: make(map[string]*RelayClaims), has: make(map[string]bool)}
	var members []Member
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		members = append(members, Member{Identity: peer.Identity{ID: id, Incarnation: 1}, State: Alive})
	}
	for _, m := range members {
		s.views[m.ID] = &View{Self: m.Identity, Members: members}
		s.claims[m.ID] = new(RelayClaims)
	}
	s.stop = func(s *spreading, id string, rest Arc) bool { return !s.claims[id].Claim(1, rest) }
	return s
}

func (s *spreading) relay(id string, arc Arc) {
	for _, b := range s.views[id].Branches(1, arc) {
		switch {
		case b.Member.ID != id:
			s.queue = append(s.queue, b)
		case b.NeedsRelay:
			s.relay(id, b.RelayArc)
		}
	}
}

func (s *spreading) begin(id string) {
	if !s.stop(s, id, FullRing()) {
		s.has[id] = true
		s.relay(id, FullRing())
	}
}

func (s *spreading) deliver(i int) {
	b := s.queue[i]
	s.queue = slices.Delete(s.queue, i, i+1)
	stopped := s.stop(s, b.Member.ID, b.RelayArc)
	s.has[b.Member.ID] = true
	if b.NeedsRelay && !stopped {
		s.relay(b.Member.ID, b.RelayArc)
	}
}

// run begins at the roots, with some daemons that have the message already,
// and returns how many have it at the end and how many messages went out.
func (s *spreading) run(roots, fetched []int, random *rand.Rand) (reached, messages int) {
	for _, f := range fetched {
		s.has[fmt.Sprintf("vm-%d", f)] = true
	}
	for len(roots) > 0 || len(s.queue) > 0 {
		if len(roots) > 0 && (len(s.queue) == 0 || random.IntN(4) == 0) {
			s.begin(fmt.Sprintf("vm-%d", roots[0]))
			roots = roots[1:]
			continue
		}
		s.deliver(random.IntN(len(s.queue)))
		messages++
	}
	return len(s.has), messages
}

func TestSpreadReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "daemons")
		roots := rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 4).Draw(t, "roots")
		fetched := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 5).Draw(t, "fetched")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		reached, messages := newSpreading(n).run(roots, fetched, random)
		if reached != n {
			t.Fatalf("%d of %d daemons reached", reached, n)
		}
		if limit := n + len(roots)*2*Fanout; messages > limit {
			t.Fatalf("%d messages, more than %d", messages, limit)
		}
	})
}

func TestRelaysThatStopEarlyAreCaught(t *testing.T) {
	Convey("A daemon that relays nothing that it has already leaves others out", t, func() {
		missed := 0
		for seed := range uint64(100) {
			s := newSpreading(40)
			s.stop = func(s *spreading, id string, _ Arc) bool { return s.has[id] }
			if reached, _ := s.run([]int{0, 7}, []int{3, 4}, rand.New(rand.NewPCG(seed, 0))); reached < 40 {
				missed++
			}
		}
		So(missed, ShouldBeGreaterThan, 0)
	})
}
