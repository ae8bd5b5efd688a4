package routing

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// Limits of the view of a target's prefix cache.
const (
	maxViewBlocks = 4096             // per target
	maxViewAge    = 30 * time.Second // since the last read of events
)

// Prefixes is a daemon's view of its targets' prefix caches, built from cache events
// that arrive late and have gaps. After a gap it clears the view of the target, because
// the event that dropped a block may be missing. It is not safe for concurrent use.
type Prefixes struct {
	targets map[string]*prefixView
}

// prefixView is the view of the prefix cache of one target.
type prefixView struct {
	lastSequence int64 // of the last event applied
	lastRead     time.Time
	blocks       map[uint64]struct{}
	order        []uint64 // blocks in the order of insertion, oldest first; may include dropped blocks
}

// NewPrefixes returns Prefixes without targets.
func NewPrefixes() *Prefixes { return &Prefixes{targets: make(map[string]*prefixView)} }

// LastSequence returns the sequence number of the last event applied for a target, or 0
// if there is none. The next read requests the events after it.
func (p *Prefixes) LastSequence(name string) int64 {
	if v := p.targets[name]; v != nil {
		return v.lastSequence
	}
	return 0
}

// Apply applies the events of one read and returns whether the view was cleared because
// events were missing.
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
	if _, exists := v.blocks[block]; exists {
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

// compact removes dropped and duplicate blocks from the order.
func (v *prefixView) compact() {
	kept := make([]uint64, 0, len(v.blocks))
	seen := make(map[uint64]struct{}, len(v.blocks))
	for _, b := range v.order {
		_, held := v.blocks[b]
		if _, duplicate := seen[b]; held && !duplicate {
			kept = append(kept, b)
			seen[b] = struct{}{}
		}
	}
	v.order = kept
}

// CachedPrefixBlocks returns how many leading blocks of the prompt the target's cache
// holds according to the view, or 0 if the view is older than maxViewAge. It uses a
// binary search, which assumes that a cache with a block also has all blocks before it.
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

// Forget drops the view of a target, such as after its restart.
func (p *Prefixes) Forget(name string) { delete(p.targets, name) }

// Retain drops the targets for which keep returns false.
func (p *Prefixes) Retain(keep func(name string) bool) {
	for name := range p.targets {
		if !keep(name) {
			delete(p.targets, name)
		}
	}
}
