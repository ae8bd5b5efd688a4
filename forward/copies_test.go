package forward

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// TestNoCopyWithoutRoom guards against standby copies that take the memory which the runs of their
// holder need: these are preempted then, and their streams are silent (issue 54).
func TestNoCopyWithoutRoom(t *testing.T) {
	const capacity, run = 50_000, 6_000 // of the fixture, in tokens
	for _, used := range []int{0, capacity - 2*run, capacity - 2*run + 1, capacity - run, capacity - 1, 2 * capacity} {
		t.Run(fmt.Sprintf("%d of %d tokens in use", used, capacity), inBubble(func(t *testing.T) {
			s := newFixture(map[string]behaviour{"a": streaming(20, -1, eventGap, nil), "b": streaming(20, -1, eventGap, nil)})
			s.Fleet.SetPeerLoads("vm-2", map[string]fleet.DaemonLoad{"b": {Running: 1, MemoryTokens: used}})
			s.Fleet.SetPeerLoads("vm-3", map[string]fleet.DaemonLoad{"b": {Running: 1, PrefillTokens: 2_000}}) // so that it begins at a
			if got := s.serve(t, streamRoute); !got.ended {
				t.Fatalf("the stream did not end: %v", got.err)
			}
			want := used+2*run <= capacity // for the copy, and for the next run
			if sent := s.client.attempt(0); sent.Target.ID != "a" || (sent.CopyTo != nil) != want {
				t.Errorf("sent to %s, copy %v, want a, with a copy: %v", sent.Target.ID, sent.CopyTo, want)
			}
			synctest.Wait()
		}))
	}
}
