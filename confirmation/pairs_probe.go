package confirmation

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/control"
)

// health is what is known of another daemon from probes.
type health struct {
	ref     Ref // the run that answered last
	failed  int // probes in a row without an answer
	leaving bool
	probed  time.Time
}

// probePeers asks the other daemons of this one's shards whether they answer.
func (p *PairService) probePeers() {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		targets, err := control.Call(p.ctx, p.Loop, func(now time.Time) []Ref { return p.probed(now) })
		if err != nil {
			return
		}
		var wg sync.WaitGroup
		for _, t := range targets {
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.probeOne(t)
			}()
		}
		wg.Wait()
	}
}

// probed returns one run of each daemon that is to be probed now.
func (p *PairService) probed(now time.Time) []Ref {
	seen := make(map[string]bool)
	var out []Ref
	for _, n := range sortedNumbers(p.replicas) {
		r := p.replicas[n]
		if !r.Shard().has(p.self) {
			continue
		}
		for _, ref := range r.companions() {
			if seen[ref.ID] || !p.probeDue(now, ref, r) {
				continue
			}
			seen[ref.ID] = true
			out = append(out, ref)
		}
	}
	return out
}

// companions returns the partner, a first's third, and the runs that may still
// tell an outcome.
func (r *Replica) companions() []Ref {
	out := []Ref{r.shard.partner(r.self)}
	if r.isFirst() && r.shard.Third.ID != "" {
		out = append(out, r.shard.Third)
	}
	if r.acting() {
		for holder := range r.holders() {
			out = append(out, holder)
		}
	}
	return out
}

// probeDue tells whether a daemon is to be probed now, and notes that it is.
func (p *PairService) probeDue(now time.Time, ref Ref, r *Replica) bool {
	h := p.healthOf(ref.ID)
	urgent := h.failed > 0 || r.waitsForPartner() && ref.Same(r.shard.partner(r.self))
	if !urgent && now.Sub(h.probed) < calmProbePeriod {
		return false
	}
	h.probed = now
	return true
}

// waitsForPartner tells whether an answer of the partner is awaited.
func (r *Replica) waitsForPartner() bool {
	if r.wanted {
		return true
	}
	for _, e := range r.open {
		if e.phase == phaseSent || e.phase == phaseClosing {
			return true
		}
	}
	return false
}

func (p *PairService) healthOf(id string) *health {
	h := p.peers[id]
	if h == nil {
		h = new(health)
		p.peers[id] = h
	}
	return h
}

// probe asks the daemon at an address who it is.
func (p *PairService) probe(ctx context.Context, address string) (probeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply probeReply
	err := p.Transport.Call(ctx, address, kindProbe, struct{}{}, &reply)
	return reply, err
}

func (p *PairService) probeOne(t Ref) {
	reply, err := p.probe(p.ctx, t.Address)
	if p.ctx.Err() != nil {
		return
	}
	_ = p.Loop.Post(func(now time.Time) { p.probeEnded(now, t.ID, reply, err) })
}

// probeEnded tells the replicas what a probe found. It runs on the loop.
func (p *PairService) probeEnded(now time.Time, id string, reply probeReply, err error) {
	h := p.healthOf(id)
	if err != nil {
		h.failed++
	} else {
		h.ref, h.failed, h.leaving = reply.Ref, 0, reply.Leaving
	}
	for _, n := range sortedNumbers(p.replicas) {
		p.tellHealth(now, n, id, h)
	}
}

func (p *PairService) tellHealth(now time.Time, n int, id string, h *health) {
	s := p.replicas[n].Shard()
	if !s.has(p.self) {
		return
	}
	if p.replicas[n].acting() {
		for holder := range p.replicas[n].holders() {
			if holder.ID == id && p.gone(holder, h) {
				p.step(now, n, Lost{holder})
			}
		}
	}
	if partner := s.partner(p.self); partner.ID == id {
		if p.gone(partner, h) {
			p.step(now, n, Lost{partner})
		}
		if silent := h.failed >= silentProbes; silent || p.replicas[n].partner.silent {
			p.step(now, n, Reach{Peer: partner, Silent: silent})
		}
	}
	if s.First.Same(p.self) && (s.Third.ID == id && p.thirdMissing(s.Third, h) || s.Third.ID == "") && p.spare(s) {
		p.step(now, n, Repair{})
	}
}

// gone tells whether a run has certainly ended.
func (p *PairService) gone(r Ref, h *health) bool {
	return h.ref.ID == r.ID && h.ref.Incarnation > r.Incarnation || p.View().Terminated(r.ID, r.Incarnation)
}

func (p *PairService) thirdMissing(third Ref, h *health) bool {
	return h.failed > 2*silentProbes || h.leaving || h.ref.ID == third.ID && h.ref.Incarnation != third.Incarnation
}

// spare tells whether another daemon could be the third of a shard.
func (p *PairService) spare(s Shard) bool {
	for id, h := range p.peers {
		if h.failed == 0 && !h.leaving && id != s.First.ID && id != s.Second.ID && h.ref != s.Third {
			return true
		}
	}
	return false
}
