package rollout

import (
	"math"
	"slices"
	"time"
)

// Evidence is what one daemon has counted for one order. A slice of newer evidence replaces the
// same slice of older evidence of that daemon.
type Evidence struct {
	Target   string `msgpack:"t"`
	Instance int64  `msgpack:"i,omitempty"` // of the order
	// Sequence numbers the evidence of one incarnation of a daemon.
	Sequence uint64 `msgpack:"n"`
	// Age is the age of the order as the daemon knows it. The greatest age of all counts.
	Age    time.Duration `msgpack:"a,omitempty"`
	Slices []Slice       `msgpack:"s,omitempty"`
	// Waiting are the requests that wait now, by age, instead of those sent before.
	Waiting []RouteCounts `msgpack:"w,omitempty"`
	// Bad is the reason of a verdict against the target, empty without one.
	Bad string `msgpack:"b,omitempty"`
}

// Slice holds the responses of a short period of the roll-out. Versions are compared within a
// slice, so that a disruption that hits both isn't attributed to one of them.
type Slice struct {
	Index  int           `msgpack:"i"`
	Routes []RouteCounts `msgpack:"r"`
}

// RouteCounts are the counters of one route.
type RouteCounts struct {
	Route string `msgpack:"r,omitempty"`
	New   Counts `msgpack:"n"` // of the order's target
	Old   Counts `msgpack:"o"` // of all other versions
}

// Counts are the counters of one side of the comparison on one route.
type Counts struct {
	Responses uint32 `msgpack:"c,omitempty"` // without broken ones
	Failures  uint32 `msgpack:"f,omitempty"` // without broken ones
	// Broken are hashes of the targets that lost a connection.
	Broken []uint32 `msgpack:"b,omitempty"`
	// Latencies counts successful responses by latency.
	Latencies Histogram `msgpack:"l,omitempty"`
	// Unfinished counts failures and abandoned requests by the time that they took: lower
	// bounds of a latency. In Waiting, it counts the requests that wait.
	Unfinished Histogram `msgpack:"u,omitempty"`
}

// Histogram is a list of pairs: the number of a bucket, ascending, and its count.
type Histogram []uint32

// Buckets of latencies: bucket 0 is below bucketBase, and bucket b > 0 begins at bucketBase ×
// 2^((b-1)/bucketsPerOctave).
const (
	bucketBase       = time.Millisecond
	bucketsPerOctave = 4
	buckets          = 72 // the last one begins at 186 s
)

func bucketOf(d time.Duration) uint32 {
	if d < bucketBase {
		return 0
	}
	return uint32(min(buckets-1, 1+math.Floor(bucketsPerOctave*math.Log2(float64(d)/float64(bucketBase)))))
}

// add adds a count to a bucket and returns the histogram.
func (h Histogram) add(bucket, n uint32) Histogram {
	i := 0
	for i+1 < len(h) && h[i] < bucket {
		i += 2
	}
	if i+1 < len(h) && h[i] == bucket {
		h[i+1] += n
		return h
	}
	return slices.Insert(h, i, bucket, n)
}

func (c Counts) clone() Counts {
	c.Broken = slices.Clone(c.Broken)
	c.Latencies = slices.Clone(c.Latencies)
	c.Unfinished = slices.Clone(c.Unfinished)
	return c
}

func cloneRoutes(routes []RouteCounts) []RouteCounts {
	clone := slices.Clone(routes)
	for i := range clone {
		clone[i].New, clone[i].Old = clone[i].New.clone(), clone[i].Old.clone()
	}
	return clone
}

// route returns the counters of a route, and adds them if there are none.
func route(routes *[]RouteCounts, name string) *RouteCounts {
	i := slices.IndexFunc(*routes, func(r RouteCounts) bool { return r.Route == name })
	if i < 0 {
		i = len(*routes)
		*routes = append(*routes, RouteCounts{Route: name})
	}
	return &(*routes)[i]
}

// side returns the counters of one version.
func (r *RouteCounts) side(isNew bool) *Counts {
	if isNew {
		return &r.New
	}
	return &r.Old
}
