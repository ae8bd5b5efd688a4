package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/vanillaroad/vanillaroad/configuration"
	gen "github.com/vanillaroad/vanillaroad/gen/operations"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/settings"
)

// fleet is a set of daemons in one process that share a stand-in of the platform.
type fleet struct {
	platform        *standin.Platform
	server          *httptest.Server
	nodes           []*Node
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	platformBlocked []atomic.Bool // by daemon: whether the platform answers its calls with an error
}

// handler serves each daemon under a path of its own, so that the platform can be
// made unavailable to single daemons.
func (f *fleet) handler(w http.ResponseWriter, r *http.Request) {
	var i int
	if _, err := fmt.Sscanf(r.URL.Path, "/%d/", &i); err != nil || f.platformBlocked[i].Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	http.StripPrefix(fmt.Sprintf("/%d", i), f.platform.Handler()).ServeHTTP(w, r)
}

func newFleet(subnet, n int) (*fleet, error) { return newFleetOn(standin.NewPlatform(), subnet, n) }

func newFleetOn(p *standin.Platform, subnet, n int) (*fleet, error) {
	f := &fleet{platform: p, platformBlocked: make([]atomic.Bool, n)}
	f.server = httptest.NewServer(http.HandlerFunc(f.handler))
	var vms []objectstore.VM
	for i := range n {
		vms = append(vms, objectstore.VM{ID: fmt.Sprintf("vm-%d", i), Address: fleetIP(subnet, i), Place: fmt.Sprint("place-", i%4),
			Region: "region", Labels: map[string]string{RoleLabel: EntryRole}})
	}
	f.platform.SetVMs(vms)
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i, vm := range vms {
		s := settings.Default()
		s.ID, s.Place, s.Region, s.Platform = vm.ID, vm.Place, vm.Region, fmt.Sprintf("%s/%d", f.server.URL, i)
		s.APIAddress, s.PeerAddress = vm.Address+":7100", vm.Address+":7200"
		s.EventRing, s.LogLevel = 1024, "error"
		s.Membership.DirectoryTTL = jsontime.Duration(100 * time.Millisecond)
		node, err := New(s, io.Discard)
		if err != nil {
			f.close()
			return nil, err
		}
		f.nodes = append(f.nodes, node)
		f.wg.Go(func() { _ = node.Run(ctx) })
	}
	return f, nil
}

// fleetIP returns the IP address of a daemon. It includes the process ID, so that two
// concurrent runs of the tests use different addresses.
func fleetIP(subnet, i int) string {
	const processes, daemonsPerSubnet = 250, 250
	return fmt.Sprintf("127.%d.%d.%d", subnet+i/daemonsPerSubnet, os.Getpid()%processes, 1+i%daemonsPerSubnet)
}

// close stops the daemons. It ends all partitions first, because a daemon that stops
// waits for others to take over its shards.
func (f *fleet) close() {
	for i, n := range f.nodes {
		f.platformBlocked[i].Store(false)
		n.transport.Block(nil)
	}
	f.cancel()
	f.wg.Wait()
	f.server.Close()
}

func (f *fleet) document(targets int) configuration.Document {
	d := configuration.Document{Services: []configuration.Service{{Name: "pisar", Kind: configuration.Generation, Selector: "s=pisar", NewShare: 100}}}
	for i := range targets {
		d.Targets = append(d.Targets, configuration.Target{Name: fmt.Sprintf("t%05d", i), Address: "127.0.0.1:1", Place: "p", Permits: 1, Labels: map[string]string{"s": "pisar"}})
	}
	return d
}

func (f *fleet) apply(node int, d configuration.Document, base int64, wait time.Duration) (*gen.ApplyResult, error) {
	ms := wait.Milliseconds()
	api := &operationsAPI{f.nodes[node]}
	return api.Apply(context.Background(), &gen.ApplyPayload{Document: d, BaseVersion: base, WaitMs: &ms})
}

// waitUntil waits until condition is true. If that never happens, the timeout of the
// test run fails the test.
func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) all(condition func(n *Node) bool) bool {
	for _, n := range f.nodes {
		if !condition(n) {
			return false
		}
	}
	return true
}

func (f *fleet) allActive(version int64) bool {
	return f.all(func(n *Node) bool { return n.snapshot.Load().Version >= version })
}

// allMembersAlive reports whether every daemon sees all daemons as alive.
func (f *fleet) allMembersAlive() bool {
	return f.all(func(n *Node) bool { return len(n.view.Load().Live()) == len(f.nodes) })
}

// copyMargin separates the writes before a copy of the store from those after it.
const copyMargin = 20 * time.Millisecond

func TestFleet(t *testing.T) {
	Convey("Given five daemons with a configuration", t, func() {
		leaks := goleak.IgnoreCurrent()
		f, err := newFleet(57, 5)
		So(err, ShouldBeNil)
		Reset(func() {
			f.close()
			So(goleak.Find(leaks), ShouldBeNil)
		})
		_, err = f.apply(0, f.document(100), 0, 0)
		So(err, ShouldBeNil)
		waitUntil(func() bool { return f.allActive(1) && f.allMembersAlive() })

		Convey("a change is active on all daemons once Apply has waited for it", func() {
			out, err := f.apply(3, f.document(101), 1, time.Minute)
			So(err, ShouldBeNil)
			So(out.Lagging, ShouldBeEmpty)
			So(f.allActive(2), ShouldBeTrue)
		})
		Convey("a daemon partitioned from the platform and its peers refuses new work until the partition ends", func() {
			isolated := f.nodes[4]
			f.partition(4, true)
			waitUntil(func() bool { return isolated.view.Load().Isolated })
			e := isolated.refusal()
			So(string(e.Code), ShouldEqual, "isolated")
			So(string(e.Outcome), ShouldEqual, "not_run")
			So(e.RetryAfter, ShouldBeGreaterThan, 0)
			So(f.nodes[0].refusal(), ShouldBeNil)
			f.partition(4, false)
			waitUntil(func() bool { return !isolated.view.Load().Isolated && f.allMembersAlive() })
			So(isolated.refusal(), ShouldBeNil)
		})
		Convey("a daemon without a reachable peer reads versions from the platform and accepts work", func() {
			isolated := slices.IndexFunc(f.nodes, func(n *Node) bool { return n.view.Load().PlatformReaders()[0].ID != n.self.ID })
			f.partition(isolated, true)
			f.platformBlocked[isolated].Store(false)
			_, err := f.apply((isolated+1)%len(f.nodes), f.document(101), 1, 0)
			So(err, ShouldBeNil)
			waitUntil(func() bool { return f.allActive(2) })
			So(f.nodes[isolated].refusal(), ShouldBeNil)
		})
		Convey("a daemon that missed versions whose deltas are no longer kept catches up from peers during a platform outage", func() {
			f.partition(4, true)
			const versions = maxHeads + 20
			for v := int64(1); v < versions; v++ {
				_, err := f.apply(0, f.document(100+int(v)), v, 0)
				So(err, ShouldBeNil)
				waitUntil(func() bool { return f.nodes[1].snapshot.Load().Version == v+1 })
			}
			f.platform.SetFaults(standin.PlatformFaults{Down: true})
			f.partition(4, false)
			waitUntil(func() bool { return f.allActive(versions) })
			So(len(f.nodes[4].snapshot.Load().Document.Targets), ShouldEqual, 100+versions-1)
		})
		Convey("versions that are written after the store's history was lost become active", func() {
			ctx := context.Background()
			store := platform.NewClient(f.server.URL+"/0", metrics.NewRegistry())
			defer store.Close()
			time.Sleep(copyMargin)
			copied := time.Now()
			time.Sleep(copyMargin)
			const unrelated = 50 // writes that raise the store's revision beyond what follows
			for i := range unrelated {
				_, err := store.Put(ctx, "unrelated", fmt.Sprint(i), []byte(`1`), 0)
				So(err, ShouldBeNil)
			}
			_, err := f.apply(0, f.document(101), 1, 0)
			So(err, ShouldBeNil)
			waitUntil(func() bool { return f.allActive(2) })
			f.platform.Restore(standin.Restoration{AgeMillis: int(time.Since(copied).Milliseconds())})
			for base := int64(1); base <= 2; base++ {
				_, err := configuration.Write(ctx, store, configuration.Change{WriteID: fmt.Sprint("w-", base), Document: f.document(200), BaseVersion: base})
				So(err, ShouldBeNil)
			}
			waitUntil(func() bool { return f.allActive(3) })
		})
		Convey("a draining daemon is in no daemon's directory answers once it has announced the stop, and refuses work after that", func() {
			refusalStarted := f.nodes[2].Drain()
			drainedAddress := f.nodes[2].self.APIAddress
			waitUntil(func() bool {
				return f.all(func(n *Node) bool { return !slices.Contains(n.view.Load().Directory("", "k"), drainedAddress) })
			})
			<-refusalStarted
			e := f.nodes[2].refusal()
			So(string(e.Code), ShouldEqual, "draining")
			So(string(e.Outcome), ShouldEqual, "not_run")
			So(e.Addresses, ShouldNotContain, drainedAddress)
			So(len(e.Addresses), ShouldEqual, 4)
		})
		Convey("every daemon learns that a target's VM is leaving and that it was removed", func() {
			vms := f.vms()
			f.platform.SetVMs(append(vms, objectstore.VM{ID: "e-1", Leaving: true}))
			waitUntil(func() bool { return f.all(func(n *Node) bool { return n.view.Load().LeavingVMs["e-1"] }) })
			f.platform.SetVMs(vms)
			waitUntil(func() bool { return f.all(func(n *Node) bool { return n.view.Load().RemovedVMs["e-1"] }) })
		})
	})
}

// partition separates one daemon from the platform and from all other daemons, or
// ends the partition.
func (f *fleet) partition(isolated int, enabled bool) {
	f.platformBlocked[isolated].Store(enabled)
	for i, n := range f.nodes {
		n.transport.Block(func(address string) bool {
			return enabled && (i == isolated || address == f.nodes[isolated].self.PeerAddress)
		})
	}
}

func TestColdStart(t *testing.T) {
	Convey("Daemons that are all restarted activate the version stored in the platform", t, func() {
		f, err := newFleet(66, 4)
		So(err, ShouldBeNil)
		_, err = f.apply(0, f.document(100), 0, 0)
		So(err, ShouldBeNil)
		f.close()
		restarted, err := newFleetOn(f.platform, 66, 4)
		So(err, ShouldBeNil)
		Reset(restarted.close)
		waitUntil(func() bool { return restarted.allActive(1) && restarted.allMembersAlive() })
		So(len(restarted.nodes[3].snapshot.Load().Document.Targets), ShouldEqual, 100)
	})
}

func TestWaitNamesLaggards(t *testing.T) {
	Convey("A wait that times out names the live daemons that lag", t, func() {
		f, err := newFleet(67, 4)
		So(err, ShouldBeNil)
		Reset(f.close)
		_, err = f.apply(0, f.document(10), 0, 0)
		So(err, ShouldBeNil)
		waitUntil(func() bool { return f.allActive(1) && f.allMembersAlive() })
		f.partition(3, true)
		out, err := f.apply(0, f.document(11), 1, 300*time.Millisecond)
		So(err, ShouldBeNil)
		// On a busy machine other daemons may not reply in time at first.
		for len(out.Lagging) != 1 {
			out.Lagging = f.nodes[0].configuration.awaitActive(context.Background(), out.Version, 300*time.Millisecond)
		}
		So(out.Lagging, ShouldResemble, []string{"vm-3"})
	})
}

func (f *fleet) vms() []objectstore.VM {
	var out []objectstore.VM
	for _, m := range f.nodes[0].view.Load().Members {
		ip := m.APIAddress[:len(m.APIAddress)-len(":7100")]
		out = append(out, objectstore.VM{ID: m.ID, Address: ip, Place: m.Place, Region: m.Region, Labels: map[string]string{RoleLabel: EntryRole}})
	}
	return out
}
