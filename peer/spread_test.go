package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestBranchesReachAllOnce checks the broadcast tree without a network: every daemon gets
// a message once, none sends it more than fanout times, and four hops reach a thousand
// daemons.
func TestBranchesReachAllOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 1000).Draw(t, "daemons")
		var all []string
		for i := range n {
			all = append(all, fmt.Sprint(i))
		}
		got := make(map[string]int)
		var relay func(to []string, hops int)
		relay = func(to []string, hops int) {
			if len(to) > 0 && hops == 4 {
				t.Fatalf("%d daemons are more than four hops away, want none", len(to))
			}
			subtrees := branches(to, fanout)
			if len(subtrees) > fanout {
				t.Fatalf("a daemon sends the message %d times, want at most fanout", len(subtrees))
			}
			for _, b := range subtrees {
				got[b[0]]++
				relay(b[1:], hops+1)
			}
		}
		relay(all, 0)
		for _, address := range all {
			if got[address] != 1 {
				t.Fatalf("daemon %s got the message %d times, want once", address, got[address])
			}
		}
	})
}

func TestSpread(t *testing.T) {
	Convey("Given a daemon and three times fanout other daemons, two of which are stopped", t, func() {
		root := listen("root")
		var mu sync.Mutex
		got := make(map[string]int)
		var arrived sync.WaitGroup
		others := []*Transport{}
		var to []string
		for i := range 3 * fanout {
			other := listen(fmt.Sprint(i))
			others = append(others, other)
			to = append(to, other.self.PeerAddress)
			HandleTyped(other, testKind, func(_ context.Context, _ Identity, s string) (any, error) {
				mu.Lock()
				defer mu.Unlock()
				got[s+other.self.ID]++
				arrived.Done()
				return nil, nil
			})
		}
		Reset(func() {
			root.Close()
			for _, other := range others {
				other.Close()
			}
		})
		others[0].Close() // the first daemon of a branch, which would relay the message
		others[3*fanout-1].Close()
		arrived.Add(len(others) - 2)
		root.Broadcast(to, testKind, "told ", func(string, error) {})
		arrived.Wait()
		Convey("all running daemons get the message once", func() {
			mu.Lock()
			defer mu.Unlock()
			So(got, ShouldHaveLength, len(others)-2)
			for _, n := range got {
				So(n, ShouldEqual, 1)
			}
		})
	})
}
