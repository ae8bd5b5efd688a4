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
	running  int
	waiting  []*request
	prefill  time.Duration // when the prefill queue is empty
	cache    map[uint64]int
	uses     []use
	blocks   int
	events   []target.CacheEvent
	report   target.Load
	reported time.Duration
}

// use is one use of a shared prefix, for the order of eviction.
type use struct {
	prefix uint64
	number int
}

type request struct {
	Arrival
	daemon int
	engine int
}

func newEngine() *engine { return &engine{cache: make(map[uint64]int), reported: -time.Hour} }

// block returns the hash of a shared prefix's block.
func block(prefix uint64, i int) uint64 { return prefix<<32 | uint64(i) }

func blocksOf(a *Arrival) []uint64 {
	out := make([]uint64, 0, a.Shared+a.Own)
	for i := range a.Shared {
		out = append(out, block(a.Prefix, i))
	}
	for i := range a.Own {
		out = append(out, ^block(uint64(a.At), i)) // never seen again
	}
	return out
}

func (e *engine) publish(b uint64, dropped bool) {
	e.events = append(e.events, target.CacheEvent{Sequence: int64(len(e.events) + 1), Block: b, Dropped: dropped})
}

// touch takes a shared prefix into the cache and returns whether it was there.
func (e *engine) touch(a *Arrival) bool {
	_, hit := e.cache[a.Prefix]
	number := e.cache[a.Prefix] + 1
	e.cache[a.Prefix] = number
	e.uses = append(e.uses, use{a.Prefix, number})
	if hit {
		return true
	}
	e.blocks += a.Shared
	for i := range a.Shared {
		e.publish(block(a.Prefix, i), false)
	}
	return false
}

// evict drops the prefixes used longest ago. sizes gives their blocks.
func (e *engine) evict(capacity int, sizes map[uint64]int) {
	for e.blocks > capacity {
		oldest := e.uses[0]
		e.uses = e.uses[1:]
		if e.cache[oldest.prefix] != oldest.number {
			continue
		}
		delete(e.cache, oldest.prefix)
		e.blocks -= sizes[oldest.prefix]
		for i := range sizes[oldest.prefix] {
			e.publish(block(oldest.prefix, i), true)
		}
	}
}
