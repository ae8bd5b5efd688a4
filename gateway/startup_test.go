package gateway

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/platform"
)

// TestStartAsksSeeds guards against calls to the store that grow with the number of daemons
// that start together: each made eight of them.
func TestStartAsksSeeds(t *testing.T) {
	Convey("Given a daemon that is a seed", t, func() {
		const others = 12
		env := newTestEnv(t)
		env.configure(1, "/a/")
		env.registerTarget("i-1", env.target)
		store := env.store.Listener.Addr().String()
		seed, _ := env.startDaemon("vm-0", store)
		eventually(env.gateways["vm-0"].ready)
		before := env.platform.Calls()
		Convey("daemons that start get what they need from it, and only write their entries", func() {
			for i := range others {
				env.startDaemon(fmt.Sprint("vm-", i+1), store, seed.Peers)
			}
			for i := range others {
				g := env.gateways[fmt.Sprint("vm-", i+1)]
				eventually(g.ready)
				eventually(func() bool { return g.startup.verdictsLoaded() && g.datasets.isLoaded(memberKind) })
				So(g.table.Load().Version, ShouldEqual, 1)
			}
			eventually(func() bool { return env.platform.Calls()["put"]-before["put"] >= others })
			calls := env.platform.Calls()
			So(calls["get"]-before["get"], ShouldBeLessThan, others)
			So(calls["put"]-before["put"], ShouldEqual, others)
		})
		Convey("a daemon whose seeds are down reads the store", func() {
			env.startDaemon("vm-1", store, env.freeAddress())
			eventually(env.gateways["vm-1"].ready)
			eventually(func() bool { return env.gateways["vm-1"].datasets.isLoaded(platform.TargetKind) })
		})
	})
}
