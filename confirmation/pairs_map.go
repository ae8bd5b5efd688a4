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

// How daemons learn of changed assignments: the daemon that writes an assignment
// to the map on the platform sends it to the daemons of the old and of the new
// assignment. Any other daemon learns the assignment from the daemons of the
// shard when it sends a request to them. If they do not answer, the requesting
// daemon queries other daemons and, if that fails too, reads the map, at most
// once in mapReadPeriod. No daemon watches the map.

// ErrNoMap is returned while this daemon does not know the shard map.
var ErrNoMap = errors.New("shard map not known yet")

// applyShards applies those of the assignments that are newer than the known
// ones. It runs on the control loop.
func (p *PairService) applyShards(now time.Time, shards []Shard) {
	old := p.shards.Load()
	if old == nil {
		return
	}
	next := ShardMap{Shards: append([]Shard(nil), old.Shards...)}
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
		delete(p.unservedSince, s.Number)
		p.updateReplica(now, s)
	}
}

// updateReplica passes a newer assignment to the replica of its shard. A daemon
// without a replica creates one only if it is the first or the second daemon.
func (p *PairService) updateReplica(now time.Time, s Shard) {
	if next, ok := p.proposals[s.Number]; ok && s.Epoch >= next.Epoch {
		delete(p.proposals, s.Number)
	}
	if p.replicas[s.Number] == nil && !s.inPair(p.self) {
		return
	}
	p.step(now, s.Number, Assigned{s})
	if s.First.SameRun(p.self) {
		p.moves.newEpochs++
		if s.Floor == s.Epoch {
			p.moves.withoutHistory++
		}
	}
}

// adoptMap applies a complete map. It runs on the control loop.
func (p *PairService) adoptMap(now time.Time, m ShardMap) {
	if p.shards.Load() != nil {
		p.applyShards(now, m.Shards)
		return
	}
	if len(m.Shards) == 0 {
		return
	}
	p.shards.Store(&m)
	for _, s := range m.Shards {
		if s.inPair(p.self) {
			p.replica(now, s.Number)
		}
	}
}

// fetchShard requests the assignment of shard n from a daemon that knows a
// newer epoch than this daemon. It runs on the control loop.
func (p *PairService) fetchShard(n int, from Ref) {
	if p.fetching[n] {
		return
	}
	p.fetching[n] = true
	p.spawn(func() {
		shard, err := p.requestShard(p.ctx, from.Address, n)
		_ = p.Loop.Post(func(now time.Time) {
			delete(p.fetching, n)
			if err == nil {
				p.applyShards(now, []Shard{shard})
			}
		})
	})
}

func (p *PairService) requestShard(ctx context.Context, address string, n int) (Shard, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var s Shard
	err := p.Transport.Call(ctx, address, kindShard, shardRequest{n}, &s)
	return s, err
}

// registerQueries registers the handlers of queries and callers' requests.
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
		return nil, p.Loop.Post(func(now time.Time) { p.applyShards(now, m.Shards) })
	})
	peer.HandleTyped(p.Transport, kindAsk, p.serveAsk)
	p.Transport.Handle(kindIssue, p.serveIssue)
}

// otherDaemons returns the live daemons other than this one, in random order.
func (p *PairService) otherDaemons() []membership.Member {
	var out []membership.Member
	for _, m := range p.View().Live() {
		if m.ID != p.self.ID {
			out = append(out, m)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// maxMapPeers is the maximum number of daemons that one search queries for the
// shard map or for a newer assignment.
const maxMapPeers = 3

// refreshMap looks for a newer assignment of shard n at other daemons, then on
// the platform. It does nothing within mapReadPeriod of the last search.
func (p *PairService) refreshMap(ctx context.Context, n int) {
	if !p.mapReads.Allow() {
		return
	}
	current := p.shards.Load()
	for i, m := range p.otherDaemons() {
		if i == maxMapPeers {
			break
		}
		if current == nil {
			if p.fetchMap(ctx, m.PeerAddress) {
				return
			}
			continue
		}
		if s, err := p.requestShard(ctx, m.PeerAddress, n); err == nil && s.Epoch > current.Shards[n].Epoch {
			_ = p.Loop.Post(func(now time.Time) { p.applyShards(now, []Shard{s}) })
			return
		}
	}
	if m, _, err := p.readMap(ctx); err == nil {
		_ = p.Loop.Post(func(now time.Time) { p.adoptMap(now, m) })
	}
}

// fetchMap requests the shard map from another daemon and has the control loop
// apply it. It reports whether the daemon sent a map.
func (p *PairService) fetchMap(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var m shardsMessage
	if p.Transport.Call(ctx, address, kindMap, struct{}{}, &m) != nil || len(m.Shards) == 0 {
		return false
	}
	return p.Loop.Post(func(now time.Time) { p.adoptMap(now, ShardMap(m)) }) == nil
}

// readMap reads the map and its object version from the platform.
func (p *PairService) readMap(ctx context.Context) (ShardMap, int64, error) {
	o, err := p.Store.Get(ctx, ObjectKind, ObjectName)
	if err != nil {
		return ShardMap{}, 0, errors.Wrap(err, "read shard map")
	}
	m, err := DecodeShardMap(o.Value)
	return m, o.Version, err
}

// isMapMissing reports whether err means that the platform has no map yet.
func isMapMissing(err error) bool { return errors.Is(err, objectstore.ErrNotFound) }
