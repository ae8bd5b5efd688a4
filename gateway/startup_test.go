package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
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

// TestFirstStartHasRetryBudget guards against streams that are not moved in the first seconds after
// the first start of a fleet for want of retry budget, and against slack that is used twice because a
// daemon has started again.
func TestFirstStartHasRetryBudget(t *testing.T) {
	for name, c := range map[string]struct{ first, again, want bool }{
		"the fleet starts for the first time": {first: true, want: true},
		"the daemon has an entry":             {first: true, again: true},
		"the fleet has run":                   {},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.configure(1, "/a/")
			env.registerTarget("i-1", env.target)
			env.change = func(s *Settings) { s.FirstStart, s.RetryBudget.Window = c.first, jsontime.Duration(time.Hour) }
			stored := func() bool {
				_, err := env.storeClient.Get(context.Background(), memberKind, "vm-0")
				return err == nil
			}
			if c.again {
				env.put(memberKind, "vm-0", exchange.Member{ID: "vm-0"})
			}
			started := time.Now()
			env.startDaemon("vm-0", env.store.Listener.Addr().String())
			g := env.gateways["vm-0"]
			eventually(func() bool { return g.datasets.isLoaded(memberKind) && stored() && !g.members.registering.Load() })
			known := func() bool {
				g.members.mu.Lock()
				defer g.members.mu.Unlock()
				return g.members.list.Registered(g.members.self)
			}
			eventually(known)
			if g.forwarder.RetryBudget.AllowRetry(started.Add(membersKnownWithin/2), "s") {
				t.Error("slack is used before the number of daemons is known")
			}
			allows := func() bool { return g.forwarder.RetryBudget.AllowRetry(time.Now().Add(membersKnownWithin), "s") }
			if c.want {
				eventually(allows)
			} else if allows() {
				t.Error("slack is used that an earlier process may have used up")
			}
		})
	}
}
