package gateway

import (
	"context"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/platform"
)

// TestSeedSendsEmptyDatasets guards against daemons that all read the store when they start,
// because a dataset of their seed is empty: before the first daemon has registered, that of the
// daemons is.
func TestSeedSendsEmptyDatasets(t *testing.T) {
	noEntries, err := msgpack.Marshal(exchange.Entries(nil))
	if err != nil {
		t.Fatal(err)
	}
	for name, encode := range map[string]func(exchange.Snapshot) (startDataset, error){
		"this build":     newStartup(nil).encode,
		"an older build": func(s exchange.Snapshot) (startDataset, error) { return startDataset{s, noEntries}, nil },
	} {
		t.Run(name, func(t *testing.T) {
			sent, err := encode(exchange.Snapshot{Kind: memberKind, StoreRevision: 7})
			if err != nil {
				t.Fatal(err)
			}
			body, err := msgpack.Marshal(startAnswer{Datasets: []startDataset{sent}})
			if err != nil {
				t.Fatal(err)
			}
			var received startAnswer
			if err := msgpack.Unmarshal(body, &received); err != nil {
				t.Fatal(err)
			}
			snapshot, err := received.Datasets[0].decode()
			if err != nil || snapshot.StoreRevision != 7 || len(snapshot.Entries) != 0 {
				t.Errorf("an empty dataset arrives as %+v, %v", snapshot, err)
			}
			var asOlderBuild exchange.Entries
			if err := msgpack.Unmarshal(received.Datasets[0].Entries, &asOlderBuild); name == "this build" && err != nil {
				t.Errorf("an older build can't read an empty dataset of this one: %v", err)
			}
		})
	}
}

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
		stored := func(kind, name string) bool {
			_, err := env.storeClient.Get(context.Background(), kind, name)
			return err == nil
		}
		eventually(func() bool { return stored(memberKind, "vm-0") && stored(versionsKind, "s") }) // the seed's own writes
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
