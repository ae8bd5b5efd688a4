package compare

import (
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// Site is the set of engines and daemons that serve a trace.
type Site struct {
	Engines       int
	Daemons       int
	Slots         int
	TokenInterval time.Duration
	PrefillRate   float64 // tokens a second
	CacheBlocks   int
	LoadLag       time.Duration // between two load reports of an engine
	PollPeriod    time.Duration // of one daemon
}

// DefaultSite returns a site of today's size.
func DefaultSite() Site {
	return Site{
		Engines: 24, Daemons: 8, Slots: 32, TokenInterval: 30 * time.Millisecond, PrefillRate: 40000,
		CacheBlocks: 1500, LoadLag: 500 * time.Millisecond, PollPeriod: 1600 * time.Millisecond,
	}
}

// blockTokens is the number of tokens of one prefix block.
const blockTokens = 16

// engine prefills one prompt after another and decodes a batch.
type engine struct {
	running       int
	waiting       []*request
	prefillIdleAt time.Duration // when the prefill queue is empty
	lastUses      map[uint64]int
	useLog        []prefixUse
	cachedBlocks  int
	events        []target.CacheEvent
	report        target.Load
	reportTime    time.Duration
}

// prefixUse is one use of a shared prefix, for the order of eviction.
type prefixUse struct {
	prefix uint64
	number int
}

type request struct {
	Arrival
	daemon int
	engine int
}

func newEngine() *engine { return &engine{lastUses: make(map[uint64]int), reportTime: -time.Hour} }

// sharedBlockHash returns the hash of a shared prefix's block.
func sharedBlockHash(prefix uint64, i int) uint64 { return prefix<<32 | uint64(i) }

func promptBlocks(a *Arrival) []uint64 {
	out := make([]uint64, 0, a.SharedBlocks+a.OwnBlocks)
	for i := range a.SharedBlocks {
		out = append(out, sharedBlockHash(a.Prefix, i))
	}
	for i := range a.OwnBlocks {
		out = append(out, ^sharedBlockHash(uint64(a.At), i)) // never seen again
	}
	return out
}

func (e *engine) addCacheEvent(b uint64, dropped bool) {
	e.events = append(e.events, target.CacheEvent{Sequence: int64(len(e.events) + 1), Block: b, Dropped: dropped})
}

// useSharedPrefix takes a shared prefix into the cache and returns whether it was there.
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

// evict drops the prefixes used longest ago. sizes gives their blocks.
func (e *engine) evict(capacity int, sizes map[uint64]int) {
	for e.cachedBlocks > capacity {
		oldest := e.useLog[0]
		e.useLog = e.useLog[1:]
		if e.lastUses[oldest.prefix] != oldest.number {
			continue
		}
		delete(e.lastUses, oldest.prefix)
		e.cachedBlocks -= sizes[oldest.prefix]
		for i := range sizes[oldest.prefix] {
			e.addCacheEvent(sharedBlockHash(oldest.prefix, i), true)
		}
	}
}
