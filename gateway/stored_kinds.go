package gateway

import (
	"github.com/vanillaroad/vanillaroad/durable"
	"github.com/vanillaroad/vanillaroad/platform"
)

// declareKinds declares what this daemon writes to the store. docs/decisions/restorations.md
// lists who writes each kind again, and what is concluded where nothing is found.
func (g *Gateway) declareKinds() {
	g.store.Declare(
		durable.Kind{Name: memberKind}, // see members.applyChange
		durable.Kind{Name: verdictKind, Restore: func(int64) { g.verdicts.saveAgain() }},
		durable.Kind{Name: versionsKind, Restore: func(era int64) { go g.origins.restore(g.peers.ctx, era) }},
		durable.Kind{Name: coverageKind}, // with versionsKind
		durable.Kind{Name: originsKind, Restore: func(int64) { go g.origins.store.restore(g.peers.ctx) }},
	)
	if g.rollouts != nil {
		g.store.Declare(durable.Kind{Name: platform.RolloutKind}) // see rollouts.restoreState
	}
}
