package confirmation

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/peer"
)

// No daemon watches the map. Whoever writes an epoch sends it to the daemons it
// concerns; everyone else learns it from the daemons of the shard when it asks
// them, from another daemon when those do not answer, and from the platform only
// when that did not help, at most once in mapReadPeriod.

// ErrNoMap is returned when this daemon has not learned the map yet.
var ErrNoMap = errors.New("shard map not known yet")

// learn takes over newer assignments. It runs on the loop.
func (p *PairService) learn(now time.Time, shards []Shard) {
	old := p.shards.Load()
	if old == nil {
		return
	}
	next := Map{Shards: append([]Shard(nil), old.Shards...)}
	var changed []Shard
	for _, s := range shards {
		if s.Number >= 0 && s.Number < len(next.Shards) && s.Epoch > next.Shards[s.Number].Epoch {
			next.Shards[s.Number] = s
			changed = append(changed, s)
		}
	}
	if len(changed) == 0 {
		return
	}
	p.shards.Store(&next)
	for _, s := range changed {
		delete(p.stuck, s.Number)
		p.assign(now, s)
	}
}

func (p *PairService) assign(now time.Time, s Shard) {
	if next, ok := p.proposals[s.Number]; ok && s.Epoch >= next.Epoch {
		delete(p.proposals, s.Number)
	}
	if p.replicas[s.Number] == nil && !s.has(p.self) {
		return
	}
	p.step(now, s.Number, Assigned{s})
	if s.First.Same(p.self) {
		p.moved.count++
		if s.Floor == s.Epoch {
			p.moved.unsure++
		}
	}
}

// adoptMap takes over a whole map. It runs on the loop.
func (p *PairService) adoptMap(now time.Time, m Map) {
	if p.shards.Load() != nil {
		p.learn(now, m.Shards)
		return
	}
	if len(m.Shards) == 0 {
		return
	}
	p.shards.Store(&m)
	for _, s := range m.Shards {
		if s.has(p.self) {
			p.replica(now, s.Number)
		}
	}
}

// fetch asks a daemon for an epoch that is not known here. It runs on the loop.
func (p *PairService) fetch(n int, from Ref) {
	if p.fetching[n] {
		return
	}
	p.fetching[n] = true
	p.spawn(func() {
		got, err := p.askShard(p.ctx, from.Address, n)
		_ = p.Loop.Post(func(now time.Time) {
			delete(p.fetching, n)
			if err == nil {
				p.learn(now, []Shard{got})
			}
		})
	})
}

func (p *PairService) askShard(ctx context.Context, address string, n int) (Shard, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var s Shard
	err := p.Transport.Call(ctx, address, kindShard, shardRequest{n}, &s)
	return s, err
}

// registerQueries registers the handlers that answer from the published map.
func (p *PairService) registerQueries() {
	p.Transport.Handle(kindProbe, func(context.Context, peer.Identity, []byte) (any, error) {
		return probeReply{Ref: p.self, Leaving: p.leaving.Load()}, nil
	})
	p.Transport.Handle(kindMap, func(context.Context, peer.Identity, []byte) (any, error) {
		if m := p.shards.Load(); m != nil {
			return shardsMessage{m.Shards}, nil
		}
		return nil, errors.WithStack(ErrNoMap)
	})
	peer.HandleTyped(p.Transport, kindShard, func(_ context.Context, _ peer.Identity, q shardRequest) (any, error) {
		m := p.shards.Load()
		if m == nil || q.Number < 0 || q.Number >= len(m.Shards) {
			return nil, errors.WithStack(ErrNoMap)
		}
		return m.Shards[q.Number], nil
	})
	peer.HandleTyped(p.Transport, kindPush, func(_ context.Context, _ peer.Identity, m shardsMessage) (any, error) {
		return nil, p.Loop.Post(func(now time.Time) { p.learn(now, m.Shards) })
	})
	peer.HandleTyped(p.Transport, kindAsk, p.serveAsk)
	p.Transport.Handle(kindIssue, p.serveIssue)
}

// others returns live daemons other than this one, in random order.
func (p *PairService) others() []membership.Member {
	var out []membership.Member
	for _, m := range p.View().Live() {
		if m.ID != p.self.ID {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// mapAsks bounds the daemons asked for the map or an epoch of it.
const mapAsks = 3

// refresh looks for newer assignments at other daemons, then at the platform.
func (p *PairService) refresh(ctx context.Context, n int) {
	if !p.reads.Allow() {
		return
	}
	have := p.shards.Load()
	for i, m := range p.others() {
		if i == mapAsks {
			break
		}
		if have == nil {
			if p.copyMap(ctx, m.PeerAddress) {
				return
			}
			continue
		}
		if s, err := p.askShard(ctx, m.PeerAddress, n); err == nil && s.Epoch > have.Shards[n].Epoch {
			_ = p.Loop.Post(func(now time.Time) { p.learn(now, []Shard{s}) })
			return
		}
	}
	if m, _, err := p.readMap(ctx); err == nil {
		_ = p.Loop.Post(func(now time.Time) { p.adoptMap(now, m) })
	}
}

// copyMap takes over another daemon's map.
func (p *PairService) copyMap(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var m shardsMessage
	if p.Transport.Call(ctx, address, kindMap, struct{}{}, &m) != nil || len(m.Shards) == 0 {
		return false
	}
	return p.Loop.Post(func(now time.Time) { p.adoptMap(now, Map(m)) }) == nil
}

// readMap reads the platform's map and its version.
func (p *PairService) readMap(ctx context.Context) (Map, int64, error) {
	o, err := p.Store.Get(ctx, ObjectKind, ObjectName)
	if err != nil {
		return Map{}, 0, errors.Wrap(err, "read shard map")
	}
	m, err := DecodeMap(o.Value)
	return m, o.Version, err
}

// unwritten tells whether the platform has no map yet.
func unwritten(err error) bool { return errors.Is(err, objectstore.ErrNotFound) }
