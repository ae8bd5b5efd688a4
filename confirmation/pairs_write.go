package confirmation

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// Delays and bounds of writes to the map. Jitter of up to the same length is added
// to each wait, except bootstrapWait.
const (
	proposalRetryDelay = 300 * time.Millisecond // wait if the map could not be read or no proposal applied
	nextWriteDelay     = 20 * time.Millisecond  // wait after a write, even if it lost a race
	maxDoublings       = 3                      // doublings of a wait after consecutive failures
	bootstrapWait      = 3 * time.Second        // longest wait for all daemons before the first map is written
	bootstrapPeriod    = 200 * time.Millisecond // wait between attempts to load or write the first map
	maxCandidates      = 16                     // daemons probed as candidates for second and third daemons
)

// writeProposals loads the map, or writes the first one, and then writes new
// epochs.
func (p *PairService) writeProposals() {
	p.bootstrapMap()
	for p.ctx.Err() == nil {
		select {
		case <-p.ctx.Done():
			return
		case <-p.writerWake:
		}
		p.writeAll()
	}
}

// writeAll writes until no proposal is left. Each consecutive failure doubles
// the wait, so that daemons that race after an outage spread out.
func (p *PairService) writeAll() {
	for failures := 0; p.ctx.Err() == nil; {
		wait, written := p.writeOnce()
		if wait == 0 {
			return
		}
		wait <<= min(failures, maxDoublings)
		failures++
		if written {
			failures = 0
		}
		pause.For(p.ctx, wait+rand.N(wait))
	}
}

// writeOnce writes all proposals in one conditional update. It returns the wait
// before the next attempt, or 0 if no proposal is left, and whether it wrote
// the map.
func (p *PairService) writeOnce() (wait time.Duration, written bool) {
	proposals, err := control.Call(p.ctx, p.Loop, func(time.Time) []Shard { return p.sortedProposals() })
	if err != nil || len(proposals) == 0 {
		return 0, false
	}
	m, version, err := p.readMap(p.ctx)
	if err != nil {
		return proposalRetryDelay, false
	}
	changed := p.applyProposals(&m, proposals)
	if len(changed) == 0 {
		// The proposals are outdated, or there is no candidate for the second daemon yet.
		p.adoptMapOnLoop(m)
		return proposalRetryDelay, false
	}
	if err := p.writeMap(m, version); err != nil {
		return nextWriteDelay, false
	}
	p.adoptMapOnLoop(m)
	p.pushShards(changed)
	return nextWriteDelay, true
}

// sortedProposals returns the proposals by shard number. It runs on the control
// loop.
func (p *PairService) sortedProposals() []Shard {
	out := make([]Shard, 0, len(p.proposals))
	for _, s := range p.proposals {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// applyProposals puts each proposal for the next epoch into the map. It returns
// the applied proposals and the assignments that they replace.
func (p *PairService) applyProposals(m *ShardMap, proposals []Shard) []Shard {
	candidates := p.probeCandidates(maxCandidates)
	load := m.load()
	var changed []Shard
	for _, s := range proposals {
		if s.Number >= len(m.Shards) || s.Epoch != m.Shards[s.Number].Epoch+1 {
			continue
		}
		s, ok := CompleteShard(s, candidates, load)
		if !ok {
			continue
		}
		load[s.Second.ID]++
		changed = append(changed, m.Shards[s.Number], s)
		m.Shards[s.Number] = s
	}
	return changed
}

// writeMap writes the map if its version on the platform is the expected one.
// If the answer is lost, the caller reads the map again.
func (p *PairService) writeMap(m ShardMap, version int64) error {
	b, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode shard map")
	}
	_, err = p.Store.Put(p.ctx, ObjectKind, ObjectName, b, version)
	return errors.Wrap(err, "write shard map")
}

// adoptMapOnLoop applies a complete map on the control loop and waits until it
// is applied.
func (p *PairService) adoptMapOnLoop(m ShardMap) {
	_, _ = control.Call(p.ctx, p.Loop, func(now time.Time) bool {
		p.adoptMap(now, m)
		return true
	})
}

// pushShards sends changed assignments to the daemons that they name.
func (p *PairService) pushShards(changed []Shard) {
	addresses := make(map[string]bool)
	for _, s := range changed {
		for _, r := range []Ref{s.First, s.Second, s.Third} {
			if r.Address != "" && r.ID != p.self.ID {
				addresses[r.Address] = true
			}
		}
	}
	for address := range addresses {
		p.spawn(func() {
			ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
			defer cancel()
			_ = p.Transport.Send(ctx, address, kindPush, shardsMessage{changed})
		})
	}
}

// probeCandidates returns up to limit other daemons that answer a probe and are
// not leaving.
func (p *PairService) probeCandidates(limit int) []Ref {
	others := p.otherDaemons()
	if len(others) > limit {
		others = others[:limit]
	}
	replies := make([]Ref, len(others))
	var wg sync.WaitGroup
	for i, m := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if reply, err := p.probe(p.ctx, m.PeerAddress); err == nil && !reply.Leaving {
				replies[i] = reply.Ref
			}
		}()
	}
	wg.Wait()
	var out []Ref
	for _, r := range replies {
		if r.ID != "" {
			out = append(out, r)
		}
	}
	return out
}

// bootstrapMap loads the map, or writes the first one once the daemons of the
// VM list answer.
func (p *PairService) bootstrapMap() {
	started := time.Now()
	for p.ctx.Err() == nil && p.shards.Load() == nil {
		for _, m := range p.otherDaemons() {
			if p.fetchMap(p.ctx, m.PeerAddress) {
				break
			}
		}
		m, _, err := p.readMap(p.ctx)
		switch {
		case err == nil:
			p.adoptMapOnLoop(m)
		case isMapMissing(err):
			p.writeFirstMap(time.Since(started))
		}
		pause.For(p.ctx, bootstrapPeriod+rand.N(bootstrapPeriod))
	}
}

// writeFirstMap writes the first map if all daemons answer, or if some do and
// this daemon has waited for bootstrapWait. waitTime is the time since its start.
// For each daemon with a lower ID, this daemon waits bootstrapWait longer, so
// that the daemons try one after another.
func (p *PairService) writeFirstMap(waitTime time.Duration) {
	others := p.otherDaemons()
	for _, m := range others {
		if m.ID < p.self.ID {
			waitTime -= bootstrapWait
		}
	}
	if waitTime < 0 {
		return
	}
	daemons := p.probeCandidates(len(others))
	if len(daemons) == 0 || len(daemons) < len(others) && waitTime < bootstrapWait {
		return
	}
	daemons = append(daemons, p.self)
	sort.Slice(daemons, func(i, j int) bool { return daemons[i].ID < daemons[j].ID })
	m, err := NewShardMap(daemons, time.Now().UnixMilli())
	if err == nil && p.writeMap(m, 0) == nil {
		p.adoptMapOnLoop(m)
		p.pushShards(m.Shards)
	}
}
