package callers

import "github.com/vanillaroad/vanillaroad/internal/membudget"

// Resources are what a process may use.
type Resources struct {
	MemoryBytes int64 // 0 if unknown
	FDs         int   // file descriptors; 0 if unknown
}

// Parts of the memory, see docs/design/caller-memory.md.
const (
	// BuffersShare is the part for requests, answers and callers' connections. With the 20 MB of
	// an idle daemon, it is below HeapShare.
	BuffersShare = 1.0 / 3
	// connsShare is the largest part of the buffers that callers' connections use.
	connsShare = 3.0 / 8
	// peersShare is the largest part for connections from other daemons of PeerConnBytes each:
	// two stacks, a read buffer and a send queue. framesShare is that for their frames, of which
	// minFrameBytes are enough for the largest one while its buffer is replaced.
	peersShare    = 1.0 / 6
	PeerConnBytes = 24 << 10
	framesShare   = 1.0 / 16
	minFrameBytes = 8 << 20
	// unreadShare is the part for bytes that callers sent behind a request that is being
	// served. They wait in the kernel, which uses up to twice as much for them.
	unreadShare = 1.0 / 32
	// HeapShare is the part that is set as the soft memory limit of the garbage collector. The
	// rest is left for stacks, sockets and the runtime.
	HeapShare = 0.6
)

// Parts of the file descriptors without reservedFDs, which are for files. Each request needs a
// connection to a target, so callers' connections are fewer than the rest, which is for
// connections to targets, other daemons and the store.
const (
	reservedFDs    = 200
	callerFDsShare = 9.0 / 32
	peerFDsShare   = 9.0 / 32
)

const (
	// MinConns is the smallest bound of any port.
	MinConns = 16
	// NoBound is the number of connections where nothing bounds it.
	NoBound = 1 << 30
)

// Known reports whether anything is bounded.
func (r Resources) Known() bool { return r.MemoryBytes > 0 || r.FDs > 0 }

// Conns returns how many connections of connBytes each fit into a part of the memory, and, with a
// descriptor each, into a part of the descriptors.
func (r Resources) Conns(memoryShare float64, connBytes int64, fdShare float64) int {
	n := NoBound
	if r.MemoryBytes > 0 {
		n = int(memoryShare * float64(r.MemoryBytes) / float64(connBytes))
	}
	if r.FDs > 0 {
		n = min(n, int(fdShare*float64(max(0, r.FDs-reservedFDs))))
	}
	return max(MinConns, n)
}

// CallerConns returns the largest number of connections at the port for callers' requests.
func (r Resources) CallerConns() int {
	return r.Conns(connsShare*BuffersShare, membudget.ConnBytes, callerFDsShare)
}

// PeerConns returns the largest number of connections from other daemons.
func (r Resources) PeerConns() int { return r.Conns(peersShare, PeerConnBytes, peerFDsShare) }

// FrameBudget returns the budget for the frames of other daemons, or nil for no bound.
func (r Resources) FrameBudget() *membudget.Budget {
	if r.MemoryBytes == 0 {
		return nil
	}
	return membudget.New(max(minFrameBytes, int64(framesShare*float64(r.MemoryBytes))))
}

// heapLimit returns the soft memory limit of the garbage collector, or 0 for none.
func (r Resources) heapLimit() int64 { return int64(HeapShare * float64(r.MemoryBytes)) }
