package confirmation

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// The platform object that holds the Map.
const (
	ObjectKind = "confirmation-map"
	ObjectName = "shards"
)

// Shards of a new map: enough that every daemon has some, few enough that the map
// fits one value of the platform.
const (
	defaultMapShards = 256
	largeMapShards   = 1024
	largeMapDaemons  = 128 // daemons from which a map is large
)

func shardCount(daemons int) int {
	if daemons < largeMapDaemons {
		return defaultMapShards
	}
	return largeMapShards
}

// Ref names one run of a daemon and where other daemons reach it.
type Ref struct {
	ID          string `json:"id" msgpack:"id"`
	Incarnation uint64 `json:"inc" msgpack:"inc"`
	Address     string `json:"addr" msgpack:"addr"`
	Place       string `json:"place" msgpack:"place"`
	Region      string `json:"region" msgpack:"region"`
}

// SameRun tells whether both name the same run.
func (r Ref) SameRun(o Ref) bool { return r.ID == o.ID && r.Incarnation == o.Incarnation }

// Shard assigns one shard to an ordered pair of daemons for one epoch. Third
// keeps no record: it grants one of the two, once, to go on without the other.
type Shard struct {
	Number int   `json:"n" msgpack:"n"`
	Epoch  int64 `json:"e" msgpack:"e"`
	First  Ref   `json:"f" msgpack:"f"`
	Second Ref   `json:"s" msgpack:"s"`
	Third  Ref   `json:"t" msgpack:"t"`
	// Floor is the epoch in which records were last lost. A key issued before
	// it of which the pair has no record may have run.
	Floor int64 `json:"floor" msgpack:"floor"`
}

// inPair tells whether a run is one of the pair.
func (s Shard) inPair(r Ref) bool { return s.First.SameRun(r) || s.Second.SameRun(r) }

// partner returns the other one of the pair.
func (s Shard) partner(r Ref) Ref {
	if s.First.SameRun(r) {
		return s.Second
	}
	return s.First
}

// ShardMap assigns every shard. It is one object of the platform and changes by
// conditional update only; a shard's epoch only rises.
type ShardMap struct {
	Shards []Shard `json:"shards"`
}

// DecodeShardMap reads a map.
func DecodeShardMap(b []byte) (ShardMap, error) {
	var m ShardMap
	if err := json.Unmarshal(b, &m); err != nil {
		return ShardMap{}, errors.Wrap(err, "decode shard map")
	}
	for i, s := range m.Shards {
		if s.Number != i {
			return ShardMap{}, errors.Errorf("decode shard map: shard %d stands at %d", s.Number, i)
		}
	}
	return m, nil
}

// load counts how many places in pairs each daemon holds.
func (m ShardMap) load() map[string]int {
	out := make(map[string]int)
	for _, s := range m.Shards {
		out[s.First.ID]++
		out[s.Second.ID]++
	}
	return out
}

// ChooseDaemon picks one more daemon for a shard: in a place that holds none of the
// shard's yet before others, in the first's region before others, then the least
// load, then by a hash that spreads the shards of one daemon over the others. ok
// is false when there is no other daemon.
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
	for _, h := range refs {
		if h.ID == c.ID {
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
	for _, h := range members {
		if h.Place == c.Place {
			return false
		}
	}
	return true
}

// CompleteShard fills Second and Third of a shard that has its First. ok is false when
// there is no other daemon; a missing third only leaves less room for losses.
func CompleteShard(s Shard, candidates []Ref, load map[string]int) (Shard, bool) {
	var ok bool
	if s.Second, ok = ChooseDaemon(s.Number, []Ref{s.First}, candidates, load); !ok {
		return s, false
	}
	s.Third, _ = ChooseDaemon(s.Number, []Ref{s.First, s.Second}, candidates, load)
	return s, true
}

// NewShardMap spreads the shards over pairs of daemons. It needs two daemons. The
// epoch must be greater than any that a lost map may have had.
func NewShardMap(daemons []Ref, epoch int64) (ShardMap, error) {
	if len(daemons) < 2 {
		return ShardMap{}, errors.Errorf("a pair needs two daemons, not %d", len(daemons))
	}
	m := ShardMap{Shards: make([]Shard, shardCount(len(daemons)))}
	for i := range m.Shards {
		first := daemons[i%len(daemons)]
		m.Shards[i], _ = CompleteShard(Shard{Number: i, Epoch: epoch, First: first, Floor: epoch}, daemons, nil)
	}
	return m, nil
}
