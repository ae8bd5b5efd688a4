package gateway

import (
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/peer"
)

// TestLoadsOfEndedDaemonsExpire guards against the load of a daemon whose entry was removed before it was
// silent, or whose last report came later: it counted for as long as this daemon ran, and so did the
// streams that it held.
func TestLoadsOfEndedDaemonsExpire(t *testing.T) {
	env := newTestEnv(t)
	env.configure(1, "/a/")
	s, _ := env.startDaemon("vm-1", env.store.Listener.Addr().String())
	g := env.gateways[s.ID]
	g.fleet.Put(fleet.Target{ID: "i-1", Service: "svc", Address: "127.0.0.1:1", Slots: 8})
	report := loadReport{Loads: map[string]fleet.DaemonLoad{"i-1": {Running: 8}}, Held: map[string][]int{"svc": {1}}}
	g.peers.applyLoad(peer.Identity{ID: "vm-2", Incarnation: 1}, report)
	for end := time.Now().Add(20 * time.Second); !g.fleet.HasRoom("i-1", 0, 0); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the load of a daemon that is not registered still counts")
		}
	}
}
