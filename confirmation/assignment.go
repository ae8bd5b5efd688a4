package confirmation

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Kind and name of the platform object that stores the ShardMap.
const (
	ObjectKind = "confirmation-map"
	ObjectName = "shards"
)

// Numbers of shards in a new map. They give every daemon some shards and keep
// the map within the size limit of one platform value.
const (
	defaultMapShards = 256
	largeMapShards   = 1024
	largeMapDaemons  = 128 // number of daemons from which largeMapShards applies
)

func shardCount(daemons int) int {
	if daemons < largeMapDaemons {
		return defaultMapShards
	}
	return largeMapShards
}

// Ref identifies one incarnation of a daemon and the address at which other
// daemons reach it.
type Ref struct {
	ID          string `json:"id" msgpack:"id"`
	Incarnation uint64 `json:"inc" msgpack:"inc"`
	Address     string `json:"addr" msgpack:"addr"`
	Place       string `json:"place" msgpack:"place"`
	Region      string `json:"region" msgpack:"region"`
}

// SameRun reports whether r and o identify the same incarnation of a daemon.
func (r Ref) SameRun(o Ref) bool { return r.ID == o.ID && r.Incarnation == o.Incarnation }

// Shard assigns one shard to an ordered pair of daemons, First and Second, for
// one epoch. Third keeps no records. Once in an epoch, it grants one daemon of
// the pair the right to continue without the other.
type Shard struct {
	Number int   `json:"n" msgpack:"n"`
	Epoch  int64 `json:"e" msgpack:"e"`
	First  Ref   `json:"f" msgpack:"f"`
	Second Ref   `json:"s" msgpack:"s"`
	Third  Ref   `json:"t" msgpack:"t"`
	// Floor is the epoch in which records were last lost. A key that was issued
	// in an earlier epoch and of which the pair has no record may have run.
	Floor int64 `json:"floor" msgpack:"floor"`
}

// inPair reports whether r is the first or the second daemon of the shard.
func (s Shard) inPair(r Ref) bool { return s.First.SameRun(r) || s.Second.SameRun(r) }

// partner returns the daemon of the pair that is not r.
func (s Shard) partner(r Ref) Ref {
	if s.First.SameRun(r) {
		return s.Second
	}
	return s.First
}

// ShardMap holds the assignments of all shards. It is one object of the platform
// and changes only by conditional update. The epoch of a shard only increases.
type ShardMap struct {
	Shards []Shard `json:"shards"`
}

// DecodeShardMap decodes a map from JSON. The shards must be in the order of
// their numbers.
func DecodeShardMap(b []byte) (ShardMap, error) {
	var m ShardMap
	if err := json.Unmarshal(b, &m); err != nil {
		return ShardMap{}, errors.Wrap(err, "decode shard map")
	}
	for i, s := range m.Shards {
		if s.Number != i {
			return ShardMap{}, errors.Errorf("decode shard map: shard %d found at index %d", s.Number, i)
		}
	}
	return m, nil
}

// load counts the positions that each daemon holds in pairs, by daemon ID.
func (m ShardMap) load() map[string]int {
	out := make(map[string]int)
	for _, s := range m.Shards {
		out[s.First.ID]++
		out[s.Second.ID]++
	}
	return out
}

// ChooseDaemon picks one more daemon for a shard that already has members. It
// prefers, in this order: a place without a member, the region of the first
// member, the lowest load, and a hash that spreads the shards of one daemon over
// the others. ok is false if every candidate is a member already.
func ChooseDaemon(number int, members, candidates []Ref, load map[string]int) (best Ref, ok bool) {
	for _, c := range candidates {
		if containsDaemon(members, c) {
			continue
		}
		if !ok || betterCandidate(number, members, c, best, load) {
			best, ok = c, true
		}
	}
	return best, ok
}

func containsDaemon(refs []Ref, c Ref) bool {
	for _, r := range refs {
		if r.ID == c.ID {
			return true
		}
	}
	return false
}

func betterCandidate(number int, members []Ref, a, b Ref, load map[string]int) bool {
	if x, y := inNewPlace(members, a), inNewPlace(members, b); x != y {
		return x
	}
	if x, y := a.Region == members[0].Region, b.Region == members[0].Region; x != y {
		return x
	}
	if load[a.ID] != load[b.ID] {
		return load[a.ID] < load[b.ID]
	}
	if x, y := candidateHash(number, a), candidateHash(number, b); x != y {
		return x < y
	}
	return a.ID < b.ID
}

func candidateHash(number int, r Ref) uint64 {
	return xxhash.Sum64String(strconv.Itoa(number) + "\x00" + r.ID)
}

func inNewPlace(members []Ref, c Ref) bool {
	for _, m := range members {
		if m.Place == c.Place {
			return false
		}
	}
	return true
}

// CompleteShard chooses Second and Third of a shard whose First is set. ok is
// false if there is no daemon for Second. Third may stay empty; the shard then
// tolerates fewer losses of daemons.
func CompleteShard(s Shard, candidates []Ref, load map[string]int) (Shard, bool) {
	var ok bool
	if s.Second, ok = ChooseDaemon(s.Number, []Ref{s.First}, candidates, load); !ok {
		return s, false
	}
	s.Third, _ = ChooseDaemon(s.Number, []Ref{s.First, s.Second}, candidates, load)
	return s, true
}

// NewShardMap distributes the shards over pairs of daemons. It returns an error
// for fewer than two daemons. The epoch must be greater than any epoch of a map
// that was lost.
func NewShardMap(daemons []Ref, epoch int64) (ShardMap, error) {
	if len(daemons) < 2 {
		return ShardMap{}, errors.Errorf("a shard map needs at least two daemons, got %d", len(daemons))
	}
	m := ShardMap{Shards: make([]Shard, shardCount(len(daemons)))}
	for i := range m.Shards {
		first := daemons[i%len(daemons)]
		m.Shards[i], _ = CompleteShard(Shard{Number: i, Epoch: epoch, First: first, Floor: epoch}, daemons, nil)
	}
	return m, nil
}
