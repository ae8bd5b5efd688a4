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

// Periods and bounds of writes to the map.
const (
	writeRetry     = 300 * time.Millisecond // wait after a failed write, plus as much jitter
	conflictRetry  = 20 * time.Millisecond  // wait after a lost race, plus as much jitter
	maxDoublings   = 3                      // of a wait, by failures in a row
	foundersWait   = 3 * time.Second        // longest wait for all daemons before the first map
	foundersPeriod = 200 * time.Millisecond
	candidateCount = 16 // daemons looked at for a new second or third
)

// writeProposals learns the map, or founds it, and then writes new epochs.
func (p *PairService) writeProposals() {
	p.found()
	for p.ctx.Err() == nil {
		select {
		case <-p.ctx.Done():
			return
		case <-p.wake:
		}
		p.writeAll()
	}
}

// writeAll writes until no proposal is left. Each failure in a row doubles the
// wait, so that daemons which race after an outage spread out.
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

// writeOnce writes all proposals in one conditional update and returns how long
// to wait before the next try, or 0 when none is left, and whether it wrote.
func (p *PairService) writeOnce() (wait time.Duration, written bool) {
	wanted, err := control.Call(p.ctx, p.Loop, func(time.Time) []Shard { return p.wanted() })
	if err != nil || len(wanted) == 0 {
		return 0, false
	}
	m, version, err := p.readMap(p.ctx)
	if err != nil {
		return writeRetry, false
	}
	changed := p.apply(&m, wanted)
	if len(changed) == 0 {
		// What was proposed is overtaken, or nobody can be second yet.
		p.adopt(m)
		return writeRetry, false
	}
	if err := p.writeMap(m, version); err != nil {
		return conflictRetry, false
	}
	p.adopt(m)
	p.push(changed)
	return conflictRetry, true
}

// wanted returns the proposals in order. It runs on the loop.
func (p *PairService) wanted() []Shard {
	out := make([]Shard, 0, len(p.proposals))
	for _, s := range p.proposals {
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Number < out[j].Number })
	return out
}

// apply puts each proposal for the next epoch into the map and returns those
// with the assignments they replace.
func (p *PairService) apply(m *Map, wanted []Shard) []Shard {
	candidates := p.candidates(candidateCount)
	load := m.load()
	var changed []Shard
	for _, s := range wanted {
		if s.Number >= len(m.Shards) || s.Epoch != m.Shards[s.Number].Epoch+1 {
			continue
		}
		s, ok := Staff(s, candidates, load)
		if !ok {
			continue
		}
		load[s.Second.ID]++
		changed = append(changed, m.Shards[s.Number], s)
		m.Shards[s.Number] = s
	}
	return changed
}

// writeMap writes the map if its version is the one expected. After an answer
// that was lost the caller reads back.
func (p *PairService) writeMap(m Map, version int64) error {
	b, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode shard map")
	}
	_, err = p.Store.Put(p.ctx, ObjectKind, ObjectName, b, version)
	return errors.Wrap(err, "write shard map")
}

func (p *PairService) adopt(m Map) {
	_, _ = control.Call(p.ctx, p.Loop, func(now time.Time) bool {
		p.adoptMap(now, m)
		return true
	})
}

// push tells the daemons of old and new pairs.
func (p *PairService) push(changed []Shard) {
	to := make(map[string]bool)
	for _, s := range changed {
		for _, r := range []Ref{s.First, s.Second, s.Third} {
			if r.Address != "" && r.ID != p.self.ID {
				to[r.Address] = true
			}
		}
	}
	for address := range to {
		p.spawn(func() {
			ctx, cancel := context.WithTimeout(p.ctx, sendTimeout)
			defer cancel()
			_ = p.Transport.Send(ctx, address, kindPush, shardsMessage{changed})
		})
	}
}

// candidates returns up to limit other daemons that answer now and do not leave.
func (p *PairService) candidates(limit int) []Ref {
	others := p.others()
	if len(others) > limit {
		others = others[:limit]
	}
	found := make([]Ref, len(others))
	var wg sync.WaitGroup
	for i, m := range others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if reply, err := p.probe(p.ctx, m.PeerAddress); err == nil && !reply.Leaving {
				found[i] = reply.Ref
			}
		}()
	}
	wg.Wait()
	var out []Ref
	for _, r := range found {
		if r.ID != "" {
			out = append(out, r)
		}
	}
	return out
}

// found learns the map, or writes the first one once the daemons of the VM list
// answer.
func (p *PairService) found() {
	started := time.Now()
	for p.ctx.Err() == nil && p.shards.Load() == nil {
		for _, m := range p.others() {
			if p.copyMap(p.ctx, m.PeerAddress) {
				break
			}
		}
		m, _, err := p.readMap(p.ctx)
		switch {
		case err == nil:
			p.adopt(m)
		case unwritten(err):
			p.writeFirst(time.Since(started))
		}
		pause.For(p.ctx, foundersPeriod+rand.N(foundersPeriod))
	}
}

// writeFirst writes the first map when all daemons answer, or when waited for
// long. One daemon after another tries, in the order of their ids.
func (p *PairService) writeFirst(waited time.Duration) {
	others := p.others()
	for _, m := range others {
		if m.ID < p.self.ID {
			waited -= foundersWait
		}
	}
	if waited < 0 {
		return
	}
	daemons := p.candidates(len(others))
	if len(daemons) == 0 || len(daemons) < len(others) && waited < foundersWait {
		return
	}
	daemons = append(daemons, p.self)
	sort.Slice(daemons, func(i, j int) bool { return daemons[i].ID < daemons[j].ID })
	m, err := NewMap(daemons, time.Now().UnixMilli())
	if err == nil && p.writeMap(m, 0) == nil {
		p.adopt(m)
		p.push(m.Shards)
	}
}
