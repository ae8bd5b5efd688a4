package gateway

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/peer"
)

// suspicion reports that a target seems to have failed.
type suspicion struct {
	ID          string `msgpack:"i"`
	StartMillis int64  `msgpack:"b,omitempty"`
	Terminated  bool   `msgpack:"e,omitempty"` // no process or another target listens at its address
}

// reportSuspect reports a suspected target to the other daemons, unless a peer has
// reported it within the last SuspectDuration.
func (p *peers) reportSuspect(t fleet.Target, terminated bool) {
	p.mu.Lock()
	reported := time.Since(p.suspectedAt[t.ID]) < fleet.SuspectDuration
	p.mu.Unlock()
	if !reported {
		p.broadcast(kindSuspicion, suspicion{t.ID, t.StartMillis, terminated})
	}
}

// handleSuspicion handles a peer's report of a suspected target. A target that the peer
// can't reach may still be reachable from this daemon, so a target in use is probed. A
// process that has terminated is gone for all daemons, so a report of its end is
// applied without a probe.
func (p *peers) handleSuspicion(_ context.Context, from peer.Identity, s suspicion) (any, error) {
	now := time.Now()
	p.mu.Lock()
	p.suspectedAt[s.ID] = now
	p.mu.Unlock()
	if s.Terminated {
		if p.g.fleet.MarkTerminated(now, fleet.Target{ID: s.ID, StartMillis: s.StartMillis}) {
			p.g.events.Record(event.TargetTerminated, "", event.F("target", s.ID), event.F("member", from.ID))
		}
		return nil, nil
	}
	if t, used := p.g.fleet.ApplyPeerSuspicion(now, s.ID); used {
		p.g.forwarder.Prober.Check(t)
	}
	return nil, nil
}
