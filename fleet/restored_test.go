package fleet

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestRestoredEntries guards against a target that is used although it is leaving, or that
// loses its state, because a store that was restored holds an older entry of it.
func TestRestoredEntries(t *testing.T) {
	current := Target{ID: "i-1", Service: "s", Address: "a:1", Slots: 4, Leaving: true, StartMillis: 5, Sequence: 30}
	cases := []struct {
		name    string
		entry   func(*Target)
		applied bool
	}{
		{"of before it was leaving", func(e *Target) { e.Leaving, e.Sequence = false, 20 }, false},
		{"of an earlier incarnation", func(e *Target) { e.Leaving, e.StartMillis, e.Sequence = false, 4, 90 }, false},
		{"the same", func(*Target) {}, true},
		{"a newer one", func(e *Target) { e.Sequence, e.Slots = 31, 5 }, true},
		{"of a later incarnation", func(e *Target) { e.Leaving, e.StartMillis, e.Sequence = false, 6, 1 }, true},
	}
	for _, c := range cases {
		Convey("an entry "+c.name, t, func() {
			f := New("p", 1)
			f.Put(current)
			f.Remove(start, "i-1", true)
			entry := current
			c.entry(&entry)
			f.PutRestored(entry)
			So(f.Expire(start.Add(2*missingGrace)), ShouldBeEmpty)
			want := current
			if c.applied {
				want = entry
			}
			So(f.targets["i-1"].Target, ShouldResemble, want)
		})
	}
	Convey("an entry of an unknown target", t, func() {
		f := New("p", 1)
		f.PutRestored(current)
		So(f.Has("i-1"), ShouldBeTrue)
	})
}

// TestRestoredEntryReplacesNoTarget guards against runs that are given up because a store
// that was restored holds an entry of a target from before, whose address their own target
// has now.
func TestRestoredEntryReplacesNoTarget(t *testing.T) {
	for _, startMillis := range []int64{0, 5} {
		Convey("an entry of a target that is gone, of one start", t, func() {
			f := New("p", 1)
			f.Put(Target{ID: "i-2", Service: "s", Address: "a:1", Slots: 4, StartMillis: startMillis})
			current, lost := f.Incarnation("i-2"), f.Lost("i-2")
			gone := Target{ID: "i-1", Service: "s", Address: "a:1", Slots: 4, StartMillis: startMillis}
			f.PutRestored(gone)
			So(current.Terminated(start), ShouldBeFalse)
			So(f.State(start, "i-2"), ShouldEqual, Ready)
			select {
			case <-lost:
				t.Error("the target counts as lost")
			default:
			}
		})
	}
}
