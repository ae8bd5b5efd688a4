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

// dissemination simulates the broadcast of one message that several daemons start.
// Relays are delivered in any order.
type dissemination struct {
	views    map[string]*View
	claims   map[string]*RelayClaims
	received map[string]bool
	inFlight []Branch
	// suppressRelay reports whether a daemon must not relay the message on an arc.
	suppressRelay func(s *dissemination, id string, arc Arc) bool
}

func newDissemination(n int) *dissemination {
	s := &dissemination{views: make(map[string]*View), claims: make(map[string]*RelayClaims), received: make(map[string]bool)}
	var members []Member
	for i := range n {
		id := fmt.Sprintf("vm-%d", i)
		members = append(members, Member{Identity: peer.Identity{ID: id, Incarnation: 1}, State: Alive})
	}
	for _, m := range members {
		s.views[m.ID] = &View{Self: m.Identity, Members: members}
		s.claims[m.ID] = new(RelayClaims)
	}
	s.suppressRelay = func(s *dissemination, id string, arc Arc) bool { return !s.claims[id].Claim(1, arc) }
	return s
}

func (s *dissemination) relay(id string, arc Arc) {
	for _, b := range s.views[id].Branches(1, arc) {
		switch {
		case b.Member.ID != id:
			s.inFlight = append(s.inFlight, b)
		case b.NeedsRelay:
			s.relay(id, b.RelayArc)
		}
	}
}

func (s *dissemination) startAt(id string) {
	if !s.suppressRelay(s, id, FullRing()) {
		s.received[id] = true
		s.relay(id, FullRing())
	}
}

func (s *dissemination) deliver(i int) {
	b := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	suppressed := s.suppressRelay(s, b.Member.ID, b.RelayArc)
	s.received[b.Member.ID] = true
	if b.NeedsRelay && !suppressed {
		s.relay(b.Member.ID, b.RelayArc)
	}
}

// run starts the broadcast at the daemons numbered in roots. The daemons numbered in
// fetched already have the message. run returns the number of daemons that have the
// message at the end and the number of messages sent.
func (s *dissemination) run(roots, fetched []int, random *rand.Rand) (reached, messages int) {
	for _, f := range fetched {
		s.received[fmt.Sprintf("vm-%d", f)] = true
	}
	for len(roots) > 0 || len(s.inFlight) > 0 {
		if len(roots) > 0 && (len(s.inFlight) == 0 || random.IntN(4) == 0) {
			s.startAt(fmt.Sprintf("vm-%d", roots[0]))
			roots = roots[1:]
			continue
		}
		s.deliver(random.IntN(len(s.inFlight)))
		messages++
	}
	return len(s.received), messages
}

// TestSpreadReachesAll guards against broadcasts that miss a daemon or send too many
// messages when several daemons start them and some already have the message.
func TestSpreadReachesAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(t, "daemons")
		roots := rapid.SliceOfN(rapid.IntRange(0, n-1), 1, 4).Draw(t, "roots")
		fetched := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 5).Draw(t, "fetched")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		reached, messages := newDissemination(n).run(roots, fetched, random)
		if reached != n {
			t.Fatalf("broadcast reached %d of %d daemons, want all of them", reached, n)
		}
		if limit := n + len(roots)*2*Fanout; messages > limit {
			t.Fatalf("broadcast sent %d messages, want at most %d", messages, limit)
		}
	})
}

// TestRelaysThatStopEarlyAreCaught guards against a simulation that doesn't detect
// missed daemons. Its daemons are deliberately broken: they don't relay a message
// that they already have.
func TestRelaysThatStopEarlyAreCaught(t *testing.T) {
	Convey("If daemons that already have the message do not relay it, other daemons miss it", t, func() {
		incomplete := 0
		for seed := range uint64(100) {
			s := newDissemination(40)
			s.suppressRelay = func(s *dissemination, id string, _ Arc) bool { return s.received[id] }
			if reached, _ := s.run([]int{0, 7}, []int{3, 4}, rand.New(rand.NewPCG(seed, 0))); reached < 40 {
				incomplete++
			}
		}
		So(incomplete, ShouldBeGreaterThan, 0)
	})
}
