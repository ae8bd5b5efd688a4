package node

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/routing"
)

// hubSweepPeriod is how often the hub checks for answers to end or to remove.
const hubSweepPeriod = time.Second

func (n *Node) buildGenerations() {
	n.generationPeers = n.newGenerationPeers()
	n.hub = generation.NewHub(n.settings.Generation, generation.Deps{
		Router: &router{n}, Joiner: &joiner{n}, Guard: n.newGuard(), Peers: n.generationPeers,
		Events: n.events, Trace: n.trace, Self: n.self.PeerAddress,
	})
	n.loop.Every(hubSweepPeriod, n.hub.Sweep)
}

// joiner grants permits for attempts that already run on a target. Such an attempt adds
// no load to the target, so its permit is granted at once, even beyond the limit.
type joiner struct{ n *Node }

var _ generation.Joiner = (*joiner)(nil)

// Join implements generation.Joiner.
func (j *joiner) Join(_ context.Context, r generation.Request, name string) (generation.Grant, *failure.Error) {
	snapshot := j.n.snapshot.Load()
	t, targetFound := snapshot.Target(name)
	svc, serviceFound := snapshot.Service(r.Service)
	if !targetFound || !serviceFound {
		return generation.Grant{}, failure.New(failure.NoTarget, failure.NotRun, "join", name, "target or service is not configured")
	}
	p := j.n.adoptPermit(permitRequest{
		request: routing.Request{ID: r.ID, Service: svc, System: routing.SystemOf(&t)}, workspace: r.Workspace, priority: r.Priority,
	}, t)
	return j.n.newGrant(p, svc, r.Cursor.Version), nil
}
