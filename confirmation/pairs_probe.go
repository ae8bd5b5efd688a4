package confirmation

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/control"
)

// peerHealth is the state of another daemon according to probes.
type peerHealth struct {
	ref          Ref // the incarnation that answered the last successful probe
	failedProbes int // consecutive probes without an answer
	leaving      bool
	lastProbe    time.Time
}

// probePeers periodically probes the other daemons of this daemon's shards.
func (p *PairService) probePeers() {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		refs, err := control.Call(p.ctx, p.Loop, func(now time.Time) []Ref { return p.dueProbes(now) })
		if err != nil {
			return
		}
		var wg sync.WaitGroup
		for _, ref := range refs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.probeRun(ref)
			}()
		}
		wg.Wait()
	}
}

// dueProbes returns the daemons whose probe is due, each once.
func (p *PairService) dueProbes(now time.Time) []Ref {
	seen := make(map[string]bool)
	var out []Ref
	for _, n := range sortedNumbers(p.replicas) {
		r := p.replicas[n]
		if !r.Shard().inPair(p.self) {
			continue
		}
		for _, ref := range r.watchedRuns() {
			if seen[ref.ID] || !p.probeDue(now, ref, r) {
				continue
			}
			seen[ref.ID] = true
			out = append(out, ref)
		}
	}
	return out
}

// watchedRuns returns the daemons to probe for this shard: the partner, the third
// daemon if this one is the first, and the holders that may still report an
// outcome.
func (r *Replica) watchedRuns() []Ref {
	out := []Ref{r.shard.partner(r.self)}
	if r.isFirst() && r.shard.Third.ID != "" {
		out = append(out, r.shard.Third)
	}
	if r.ownsShard() {
		for holder := range r.holders() {
			out = append(out, holder)
		}
	}
	return out
}

// probeDue reports whether a probe of a daemon is due. If so, it records now as
// the time of the probe.
func (p *PairService) probeDue(now time.Time, ref Ref, r *Replica) bool {
	h := p.healthOf(ref.ID)
	urgent := h.failedProbes > 0 || r.awaitsPartner() && ref.SameRun(r.shard.partner(r.self))
	if !urgent && now.Sub(h.lastProbe) < idleProbePeriod {
		return false
	}
	h.lastProbe = now
	return true
}

// awaitsPartner reports whether a key awaits an answer of the partner, or a
// caller's request could not reach the partner.
func (r *Replica) awaitsPartner() bool {
	if r.firstUnreachable {
		return true
	}
	for _, e := range r.inFlight {
		if e.phase == phaseIntentSent || e.phase == phaseCopying {
			return true
		}
	}
	return false
}

func (p *PairService) healthOf(id string) *peerHealth {
	h := p.health[id]
	if h == nil {
		h = new(peerHealth)
		p.health[id] = h
	}
	return h
}

// probe returns the current incarnation of the daemon at an address and whether
// the daemon is leaving.
func (p *PairService) probe(ctx context.Context, address string) (probeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply probeReply
	err := p.Transport.Call(ctx, address, kindProbe, struct{}{}, &reply)
	return reply, err
}

func (p *PairService) probeRun(ref Ref) {
	reply, err := p.probe(p.ctx, ref.Address)
	if p.ctx.Err() != nil {
		return
	}
	_ = p.Loop.Post(func(now time.Time) { p.handleProbeResult(now, ref.ID, reply, err) })
}

// handleProbeResult records the result of a probe and passes it to the
// replicas. It runs on the control loop.
func (p *PairService) handleProbeResult(now time.Time, id string, reply probeReply, err error) {
	h := p.healthOf(id)
	if err != nil {
		h.failedProbes++
	} else {
		h.ref, h.failedProbes, h.leaving = reply.Ref, 0, reply.Leaving
	}
	for _, n := range sortedNumbers(p.replicas) {
		p.applyHealth(now, n, id, h)
	}
}

// applyHealth reports the state of a daemon to the replica of shard n.
func (p *PairService) applyHealth(now time.Time, n int, id string, h *peerHealth) {
	s := p.replicas[n].Shard()
	if !s.inPair(p.self) {
		return
	}
	if p.replicas[n].ownsShard() {
		for holder := range p.replicas[n].holders() {
			if holder.ID == id && p.runEnded(holder, h) {
				p.step(now, n, Lost{holder})
			}
		}
	}
	if partner := s.partner(p.self); partner.ID == id {
		if p.runEnded(partner, h) {
			p.step(now, n, Lost{partner})
		}
		if silent := h.failedProbes >= silentAfterProbes; silent || p.replicas[n].partner.silent {
			p.step(now, n, Reach{Peer: partner, Silent: silent})
		}
	}
	if s.First.SameRun(p.self) && (s.Third.ID == id && p.thirdMissing(s.Third, h) || s.Third.ID == "") && p.hasSpareThird(s) {
		p.step(now, n, Repair{})
	}
}

// runEnded reports whether an incarnation of a daemon has certainly ended.
func (p *PairService) runEnded(r Ref, h *peerHealth) bool {
	return h.ref.ID == r.ID && h.ref.Incarnation > r.Incarnation || p.View().Terminated(r.ID, r.Incarnation)
}

// thirdMissing reports whether the third daemon of a shard does not answer, is
// leaving or has restarted.
func (p *PairService) thirdMissing(third Ref, h *peerHealth) bool {
	return h.failedProbes > 2*silentAfterProbes || h.leaving || h.ref.ID == third.ID && h.ref.Incarnation != third.Incarnation
}

// hasSpareThird reports whether another daemon could become the third daemon of
// a shard.
func (p *PairService) hasSpareThird(s Shard) bool {
	for id, h := range p.health {
		if h.failedProbes == 0 && !h.leaving && id != s.First.ID && id != s.Second.ID && h.ref != s.Third {
			return true
		}
	}
	return false
}
