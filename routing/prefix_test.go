package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/target"
)

func blockAdded(sequence int64, block uint64) target.CacheEvent {
	return target.CacheEvent{Sequence: sequence, Block: block}
}

func TestPrefixes(t *testing.T) {
	Convey("Given a view that holds blocks 1 to 3 of a target", t, func() {
		p := NewPrefixes()
		p.Apply(start, "e", []target.CacheEvent{blockAdded(1, 1), blockAdded(2, 2), blockAdded(3, 3)})
		leading := func(blocks ...uint64) int { return p.CachedPrefixBlocks(start, "e", blocks) }
		So(leading(1, 2, 3, 4), ShouldEqual, 3)
		cases := []struct {
			name   string
			events []target.CacheEvent
			gap    bool
			want   int // leading blocks of 1 2 3 4
		}{
			{"an added block counts", []target.CacheEvent{blockAdded(4, 4)}, false, 4},
			{"a dropped last block does not count", []target.CacheEvent{{Sequence: 4, Block: 3, Dropped: true}}, false, 2},
			{"a prompt whose first block was dropped has no cached prefix", []target.CacheEvent{{Sequence: 4, Block: 1, Dropped: true}}, false, 0},
			{"a cleared cache holds nothing", []target.CacheEvent{{Sequence: 4, Cleared: true}}, false, 0},
			{"repeated events have no effect", []target.CacheEvent{{Sequence: 2, Block: 2, Dropped: true}, blockAdded(3, 3)}, false, 3},
			{"a gap clears the view, as blocks may have been dropped", []target.CacheEvent{blockAdded(6, 4)}, true, 0},
			{"the view is rebuilt after a gap", []target.CacheEvent{blockAdded(6, 1), blockAdded(7, 2)}, true, 2},
		}
		for _, c := range cases {
			Convey(c.name, func() {
				So(p.Apply(start, "e", c.events), ShouldEqual, c.gap)
				So(leading(1, 2, 3, 4), ShouldEqual, c.want)
			})
		}
		Convey("another prompt has no cached prefix", func() { So(leading(9, 2, 3), ShouldEqual, 0) })
		Convey("a view older than maxViewAge is not used", func() {
			So(p.CachedPrefixBlocks(start.Add(maxViewAge+time.Second), "e", []uint64{1}), ShouldEqual, 0)
		})
		Convey("the view of a restarted target is empty", func() {
			p.Forget("e")
			So(p.LastSequence("e"), ShouldEqual, 0)
			So(leading(1), ShouldEqual, 0)
		})
	})
}

// TestPrefixViewNeverOutlivesADrop guards against routing by blocks that a target has
// dropped: whichever events are lost, the view must not contain a dropped block once a
// later event was applied.
func TestPrefixViewNeverOutlivesADrop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPrefixes()
		held := make(map[uint64]bool)
		for sequence := int64(1); sequence < 60; sequence++ {
			e := target.CacheEvent{Sequence: sequence, Block: rapid.Uint64Range(1, 5).Draw(t, "block"), Dropped: rapid.Bool().Draw(t, "dropped")}
			held[e.Block] = !e.Dropped
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			p.Apply(start, "e", []target.CacheEvent{e})
			for b := range p.targets["e"].blocks {
				if !held[b] {
					t.Fatalf("the view still holds block %d, which was dropped, after event %d", b, sequence)
				}
			}
		}
	})
}

func TestPrefixViewIsBounded(t *testing.T) {
	p := NewPrefixes()
	var sequence int64
	for i := range uint64(20 * maxViewBlocks) {
		sequence++
		p.Apply(start, "e", []target.CacheEvent{blockAdded(sequence, i)})
		if i%3 == 0 {
			sequence++
			p.Apply(start, "e", []target.CacheEvent{{Sequence: sequence, Block: i, Dropped: true}})
		}
	}
	v := p.targets["e"]
	if len(v.blocks) > maxViewBlocks || len(v.order) > 2*maxViewBlocks+1 {
		t.Fatalf("view has %d blocks and %d entries in order, more than its limits", len(v.blocks), len(v.order))
	}
}
