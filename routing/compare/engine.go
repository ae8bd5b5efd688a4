package compare

import (
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// Site describes the engines and daemons that serve a trace.
type Site struct {
	Engines       int
	Daemons       int
	Slots         int           // batch size of an engine
	TokenInterval time.Duration // between two tokens of an answer
	PrefillRate   float64       // tokens per second
	CacheBlocks   int           // capacity of an engine's prefix cache
	LoadLag       time.Duration // minimum time between two load reports of an engine
	PollPeriod    time.Duration // mean time between two polls of an engine by one daemon
}

// DefaultSite returns a site of the size of the current sites.
func DefaultSite() Site {
	return Site{
		Engines: 24, Daemons: 8, Slots: 32, TokenInterval: 30 * time.Millisecond, PrefillRate: 40000,
		CacheBlocks: 1500, LoadLag: 500 * time.Millisecond, PollPeriod: 1600 * time.Millisecond,
	}
}

// blockTokens is the number of tokens of one prefix block.
const blockTokens = 16

// engine simulates an engine that prefills one prompt at a time and decodes a batch.
type engine struct {
	running       int
	waiting       []*request
	prefillIdleAt time.Duration       // when the prefill queue will be empty
	lastUses      map[uint64]int      // number of the last use of each cached prefix
	useLog        []prefixUse         // oldest first
	cachedBlocks  int                 // of shared prefixes
	events        []target.CacheEvent // of the prefix cache, since the start
	report        target.Load         // last load report
	reportTime    time.Duration       // when report was made
}

// prefixUse is one use of a shared prefix. The uses give the order of eviction.
type prefixUse struct {
	prefix uint64
	number int // 1 for the first use of the prefix since it was cached
}

// request is an arrival with the daemon that routes it and the engine that serves it.
type request struct {
	Arrival
	daemon int
	engine int
}

func newEngine() *engine { return &engine{lastUses: make(map[uint64]int), reportTime: -time.Hour} }

// sharedBlockHash returns the hash of block i of a shared prefix.
func sharedBlockHash(prefix uint64, i int) uint64 { return prefix<<32 | uint64(i) }

// promptBlocks returns the block hashes of a prompt.
func promptBlocks(a *Arrival) []uint64 {
	hashes := make([]uint64, 0, a.SharedBlocks+a.OwnBlocks)
	for i := range a.SharedBlocks {
		hashes = append(hashes, sharedBlockHash(a.Prefix, i))
	}
	for i := range a.OwnBlocks {
		hashes = append(hashes, ^sharedBlockHash(uint64(a.At), i)) // unique to this prompt
	}
	return hashes
}

// addCacheEvent appends an event of a block that was added or dropped.
func (e *engine) addCacheEvent(block uint64, dropped bool) {
	e.events = append(e.events, target.CacheEvent{Sequence: int64(len(e.events) + 1), Block: block, Dropped: dropped})
}

// useSharedPrefix records a use of the shared prefix of a prompt, adds it to the cache
// if it is missing, and returns whether it was cached.
func (e *engine) useSharedPrefix(a *Arrival) bool {
	_, hit := e.lastUses[a.Prefix]
	number := e.lastUses[a.Prefix] + 1
	e.lastUses[a.Prefix] = number
	e.useLog = append(e.useLog, prefixUse{a.Prefix, number})
	if hit {
		return true
	}
	e.cachedBlocks += a.SharedBlocks
	for i := range a.SharedBlocks {
		e.addCacheEvent(sharedBlockHash(a.Prefix, i), false)
	}
	return false
}

// evict drops the least recently used prefixes until the cache has at most capacity
// blocks. sizes has the number of blocks of each prefix.
func (e *engine) evict(capacity int, sizes map[uint64]int) {
	for e.cachedBlocks > capacity {
		oldest := e.useLog[0]
		e.useLog = e.useLog[1:]
		if e.lastUses[oldest.prefix] != oldest.number {
			continue // used again since, or dropped already
		}
		delete(e.lastUses, oldest.prefix)
		e.cachedBlocks -= sizes[oldest.prefix]
		for i := range sizes[oldest.prefix] {
			e.addCacheEvent(sharedBlockHash(oldest.prefix, i), true)
		}
	}
}
