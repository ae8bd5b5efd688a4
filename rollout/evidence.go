package rollout

import "time"

// Evidence is what one daemon has counted for one order. Counters only grow; the newest evidence
// of a daemon replaces its older evidence.
type Evidence struct {
	Target string `msgpack:"t"`
	// Sequence numbers the evidence of one incarnation of a daemon.
	Sequence uint64 `msgpack:"n"`
	// Age is the age of the order as the daemon knows it. The greatest age of all counts.
	Age    time.Duration `msgpack:"a,omitempty"`
	Routes []RouteCounts `msgpack:"r,omitempty"`
	// Bad is the reason of a verdict against the target, empty without one.
	Bad string `msgpack:"b,omitempty"`
}

// RouteCounts are the counters of one route.
type RouteCounts struct {
	Route string `msgpack:"r,omitempty"`
	New   Counts `msgpack:"n"` // of the order's target
	Old   Counts `msgpack:"o"` // of all other versions
}

// Counts are the counters of one side of the comparison on one route.
type Counts struct {
	Responses uint32 `msgpack:"c,omitempty"`
	Failures  uint32 `msgpack:"f,omitempty"`
	// Latencies counts successful responses by latency; see latencyBucket.
	Latencies []uint32 `msgpack:"l,omitempty"`
	// Unfinished counts failures and abandoned requests by the time that they took: lower
	// bounds of a latency.
	Unfinished []uint32 `msgpack:"u,omitempty"`
	// Waiting counts the requests that wait now, by age. It is not cumulative.
	Waiting []uint32 `msgpack:"w,omitempty"`
}
