package fleet

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestIncarnationEnded guards against crashes that are not counted because the target's
// entry changed or vanished before the crash was noticed, and against planned departures
// and outages of the store that count as crashes.
func TestIncarnationEnded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	entry := Target{ID: "i-1", Service: "s", Address: "a:1", StartMillis: 1}
	leaving, restarted, successor := entry, entry, Target{ID: "i-2", Service: "s", Address: "a:1", StartMillis: 2}
	leaving.Leaving, restarted.StartMillis = true, 2
	cases := []struct {
		name   string
		change func(*Fleet)
		ended  bool
	}{
		{"nothing happens", func(*Fleet) {}, false},
		{"it does not answer", func(f *Fleet) { f.Suspect(now, "i-1", false) }, false},
		{"its process has terminated", func(f *Fleet) { f.MarkTerminated(now, entry) }, true},
		{"it restarts under its id", func(f *Fleet) { f.Put(restarted) }, true},
		{"another target registers at its address", func(f *Fleet) { f.Put(successor) }, true},
		{"its entry is removed", func(f *Fleet) { f.Remove(now, "i-1", false) }, true},
		{"its entry is removed while it leaves", func(f *Fleet) { f.Put(leaving); f.Remove(now, "i-1", false) }, false},
		{"its entry expires in an outage of the store", func(f *Fleet) { f.Remove(now, "i-1", true); f.Expire(now.Add(2 * missingGrace)) }, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			f := New("p", 1)
			f.Put(entry)
			i := f.Incarnation("i-1")
			c.change(f)
			So(i.Ended(now), ShouldEqual, c.ended)
		})
	}
	Convey("an unknown target never ends", t, func() {
		So(New("p", 1).Incarnation("i-1").Ended(now), ShouldBeFalse)
	})
}

// TestIncarnationTerminated guards against streams that return to a target which has
// restarted under its id, with another software version, after its entry was removed.
func TestIncarnationTerminated(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	entry := Target{ID: "i-1", Service: "s", Address: "a:1", StartMillis: 1}
	restarted := entry
	restarted.StartMillis = 2
	for name, c := range map[string]struct {
		registered []Target // after the entry was removed
		terminated bool
	}{"its entry is removed": {nil, false}, "its entry returns": {[]Target{entry}, false}, "it restarts": {[]Target{restarted}, true}} {
		Convey(name, t, func() {
			f := New("p", 1)
			f.Put(entry)
			i := f.Incarnation("i-1")
			f.Remove(now, "i-1", false)
			for _, r := range c.registered {
				f.Put(r)
			}
			So(i.Terminated(now), ShouldEqual, c.terminated)
		})
	}
}
