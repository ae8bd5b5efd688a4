package routing

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// Bounds of a prefix view.
const (
	maxViewBlocks = 4096             // per target
	maxViewAge    = 30 * time.Second // since events were last read
)

// Prefixes is a daemon's view of its targets' prefix caches, built from cache
// events that are late and have gaps. After a gap it forgets what it knew of the
// target, because a block may have been dropped unseen. It is not safe for
// concurrent use.
type Prefixes struct {
	targets map[string]*prefixView
}

type prefixView struct {
	lastSequence int64 // sequence number
	lastRead     time.Time
	blocks       map[uint64]struct{}
	order        []uint64 // oldest first; may name blocks that were dropped
}

// NewPrefixes returns a view without targets.
func NewPrefixes() *Prefixes { return &Prefixes{targets: make(map[string]*prefixView)} }

// LastSequence returns the sequence number after which to read a target's events.
func (p *Prefixes) LastSequence(name string) int64 {
	if v := p.targets[name]; v != nil {
		return v.lastSequence
	}
	return 0
}

// Apply takes the events of one read and returns whether there was a gap.
func (p *Prefixes) Apply(now time.Time, name string, events []target.CacheEvent) bool {
	v := p.targets[name]
	if v == nil {
		v = &prefixView{}
		v.clear()
		p.targets[name] = v
	}
	v.lastRead = now
	gap := false
	for _, e := range events {
		if e.Sequence <= v.lastSequence {
			continue
		}
		if e.Sequence != v.lastSequence+1 && len(v.blocks) > 0 {
			gap = true
			v.clear()
		}
		v.lastSequence = e.Sequence
		v.apply(e)
	}
	return gap
}

func (v *prefixView) clear() { v.blocks, v.order = make(map[uint64]struct{}), nil }

func (v *prefixView) apply(e target.CacheEvent) {
	switch {
	case e.Cleared:
		v.clear()
	case e.Dropped:
		delete(v.blocks, e.Block)
	default:
		v.add(e.Block)
	}
}

func (v *prefixView) add(block uint64) {
	if _, known := v.blocks[block]; known {
		return
	}
	v.blocks[block] = struct{}{}
	v.order = append(v.order, block)
	for len(v.blocks) > maxViewBlocks {
		delete(v.blocks, v.order[0])
		v.order = v.order[1:]
	}
	if len(v.order) > 2*maxViewBlocks {
		v.compact()
	}
}

// compact removes dropped blocks from the order.
func (v *prefixView) compact() {
	kept := make([]uint64, 0, len(v.blocks))
	seen := make(map[uint64]struct{}, len(v.blocks))
	for _, b := range v.order {
		_, held := v.blocks[b]
		if _, twice := seen[b]; held && !twice {
			kept = append(kept, b)
			seen[b] = struct{}{}
		}
	}
	v.order = kept
}

// CachedPrefixBlocks returns how many of the prompt's blocks, from the first on, the
// target's cache holds as far as is known. It looks at few of the blocks: a
// cache that holds a block is taken to hold those before it.
func (p *Prefixes) CachedPrefixBlocks(now time.Time, name string, blocks []uint64) int {
	v := p.targets[name]
	if v == nil || len(blocks) == 0 || now.Sub(v.lastRead) > maxViewAge || !v.holds(blocks[0]) {
		return 0
	}
	return sort.Search(len(blocks), func(i int) bool { return !v.holds(blocks[i]) })
}

func (v *prefixView) holds(block uint64) bool {
	_, ok := v.blocks[block]
	return ok
}

// Forget drops what is known of a target, such as after its restart.
func (p *Prefixes) Forget(name string) { delete(p.targets, name) }

// Retain forgets the targets for which fn returns false.
func (p *Prefixes) Retain(fn func(name string) bool) {
	for name := range p.targets {
		if !fn(name) {
			delete(p.targets, name)
		}
	}
}
