package node

import (
	"time"

	"github.com/vanillaroad/vanillaroad/generation"
)

// sweepPeriod is how often answers whose retention is over are forgotten.
const sweepPeriod = time.Second

func (n *Node) buildGenerations() {
	n.hub = generation.NewHub(n.settings.Generation, &router{n}, n.events)
	n.loop.Every(sweepPeriod, n.hub.Sweep)
}
