package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTestFleet returns a fleet of n targets, two in each place.
func newTestFleet(n int) *Fleet {
	f := New("p0", 1)
	for i := range n {
		f.Put(Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Place: fmt.Sprint("p", i/2), Slots: 16})
	}
	return f
}

func promptOf(tokens int) (Criteria, Demand) {
	return Criteria{Service: "s", MemoryTokens: tokens, CapacityTokens: 55_000}, Demand{PrefillTokens: tokens, MemoryTokens: tokens}
}

// TestHerdIsSpread plays callers that come back all at once: no target gets a
// second long prompt while another one has none.
func TestHerdIsSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		f := newTestFleet(n)
		wish, demand := promptOf(5000)
		load := make(map[string]int)
		for i := range 3 * n {
			wish.Affinity = fmt.Sprint(i)
			got, err := f.Pick(start, wish)
			if err != nil {
				t.Fatal(err)
			}
			f.Begin(start, got.ID, demand)
			load[got.ID]++
			if load[got.ID] > i/n+1 {
				t.Fatalf("prompt %d is the %dth on %s of %d targets: %v", i, load[got.ID], got.ID, n, load)
			}
		}
	})
}

// TestStaleHerd plays the loss of a place in a large system: at once, each of many
// daemons places a prompt by a view that shows none of the others' and one idle target.
func TestStaleHerd(t *testing.T) {
	Convey("Given 76 daemons and 136 targets, one of them idle, by a view that is old", t, func() {
		const rounds, daemons, targets = 10, 76, 136
		wish, demand := promptOf(5000)
		idle := 0
		for seed := range rounds * daemons {
			f := New("p0", uint64(seed))
			f.SetStaleness(500 * time.Millisecond)
			for i := range targets {
				id := fmt.Sprint("t", i)
				f.Put(Target{ID: id, Service: "s", Address: id, Place: fmt.Sprint("p", i%3), Slots: 16})
				if i > 0 {
					f.Begin(start, id, demand)
				}
			}
			wish.Affinity = fmt.Sprint(seed)
			got, err := f.Pick(start, wish)
			So(err, ShouldBeNil)
			if got.ID == "t0" {
				idle++
			}
		}
		Convey("the idle target gets no more than it reads before the first event is late", func() {
			So(idle, ShouldBeBetweenOrEqual, rounds, 4*rounds) // of 4.5 s, at a second each
		})
	})
}

// TestIndex plays entries that come, change and go: each target stands once among those
// of its service, by id.
func TestIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := New("p0", 1)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now := at(step * 1000)
			id := fmt.Sprint("t", rapid.IntRange(0, 6).Draw(t, "target"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				f.Remove(now, id, rapid.Bool().Draw(t, "may return"))
			case 1:
				f.Expire(now)
			default:
				f.Put(Target{
					ID: id, Service: rapid.SampledFrom([]string{"s", "r"}).Draw(t, "service"), Address: id,
					StartMillis: int64(rapid.IntRange(0, 1).Draw(t, "born")),
				})
			}
			listed := 0
			for service, list := range f.services {
				for i, s := range list {
					if s != f.targets[s.ID] || s.Service != service || i > 0 && list[i-1].ID >= s.ID {
						t.Fatalf("step %d: %s at %d among those of %s", step, s.ID, i, service)
					}
				}
				listed += len(list)
			}
			if listed != f.Len() {
				t.Fatalf("step %d: %d of %d targets are listed", step, listed, f.Len())
			}
		}
	})
}

func TestPeersWorkCounts(t *testing.T) {
	Convey("What peers run counts like own work, until they are gone", t, func() {
		f := newTestFleet(2)
		wish, _ := promptOf(5000)
		f.SetPeerLoads("peer", map[string]DaemonLoad{"t0": {Running: 2, PrefillTokens: 9000}})
		got, err := f.Pick(start, wish)
		So(err, ShouldBeNil)
		So(got.ID, ShouldEqual, "t1")
		f.SetPeerLoads("other", map[string]DaemonLoad{"t1": {Running: 4, PrefillTokens: 20_000}})
		got, _ = f.Pick(start, wish)
		So(got.ID, ShouldEqual, "t0")
		f.SetPeerLoads("other", nil)
		got, _ = f.Pick(start, wish)
		So(got.ID, ShouldEqual, "t1")
	})
}

func TestUnusableTargets(t *testing.T) {
	wish, _ := promptOf(5000)
	cases := []struct {
		name string
		do   func(f *Fleet)
		back int // milliseconds after which the target is used again; -1 for never
	}{
		{"leaves", func(f *Fleet) {
			f.Put(Target{ID: "t0", Service: "s", Address: "10.0.0.0:1", Place: "p0", Leaving: true})
		}, -1},
		{"is gone", func(f *Fleet) { f.Remove(start, "t0", false) }, -1},
		{"has ended", func(f *Fleet) { f.MarkTerminated(start, Target{ID: "t0"}) }, int(terminatedDuration.Milliseconds())},
		{"has lost its address to a new one", func(f *Fleet) { f.Put(Target{ID: "new", Service: "other", Address: "10.0.0.0:1"}) }, -1},
		{"is taken for dead", func(f *Fleet) { f.Suspect(start, "t0") }, int(SuspectDuration.Milliseconds())},
		{"refused", func(f *Fleet) { f.MarkRefused(start, "t0") }, int(2 * avoidBase.Milliseconds())},
	}
	for _, c := range cases {
		Convey("A target that "+c.name+" gets no new work", t, func() {
			f := newTestFleet(1)
			lost, unfit := f.Lost("t0"), f.Unusable(start, "t0")
			c.do(f)
			_, err := f.Pick(start, wish)
			So(err, ShouldNotBeNil)
			if c.back < 0 {
				_, err = f.Pick(at(600_000), wish)
				So(err, ShouldNotBeNil)
			} else {
				_, err = f.Pick(at(c.back), wish)
				So(err, ShouldBeNil)
			}
			dead := c.name == "has ended" || c.name == "is taken for dead" || c.name == "has lost its address to a new one"
			So(isClosed(lost), ShouldEqual, dead) // runs go on at a target that leaves
			So(isClosed(unfit), ShouldEqual, c.name != "refused")
		})
	}
	Convey("A target that ended is used again once its entry changes", t, func() {
		f := newTestFleet(1)
		f.MarkTerminated(start, Target{ID: "t0"})
		f.Put(Target{ID: "t0", Service: "s", Address: "10.0.0.0:1", Place: "p0", Slots: 16, StartMillis: 5})
		_, err := f.Pick(start, wish)
		So(err, ShouldBeNil)
	})
	Convey("What is known of another run of a target does not count against this one", t, func() {
		f := newTestFleet(1)
		f.Put(Target{ID: "t0", Service: "s", Address: "10.0.0.0:1", Place: "p0", Slots: 16, StartMillis: 5})
		So(f.MarkTerminated(start, Target{ID: "t0", StartMillis: 4}), ShouldBeFalse)
		_, err := f.Pick(start, wish)
		So(err, ShouldBeNil)
	})
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestLapsedEntries plays an outage of the store after which the entries of all
// targets have lapsed: they stay in use until it is certain which are gone.
func TestLapsedEntries(t *testing.T) {
	Convey("Given two targets whose entries lapsed", t, func() {
		f := newTestFleet(2)
		wish, _ := promptOf(5000)
		f.Remove(start, "t0", true)
		f.Remove(start, "t1", true)
		_, err := f.Pick(start, wish)
		So(err, ShouldBeNil)
		Convey("one that is back goes first", func() {
			f.Put(Target{ID: "t1", Service: "s", Address: "10.0.0.1:1", Place: "p0", Slots: 16})
			got, err := f.Pick(at(100), wish)
			So(err, ShouldBeNil)
			So(got.ID, ShouldEqual, "t1")
		})
		Convey("one that is not back in time is gone", func() {
			f.Put(Target{ID: "t1", Service: "s", Address: "10.0.0.1:1", Place: "p0", Slots: 16})
			unfit := f.Unusable(at(100), "t0")
			So(f.Expire(at(1900)), ShouldBeEmpty)
			So(isClosed(unfit), ShouldBeFalse)
			So(f.Expire(at(2100)), ShouldResemble, []string{"t0"})
			So(isClosed(unfit), ShouldBeTrue) // copies there are made elsewhere
			So(f.Len(), ShouldEqual, 1)
			So(f.Has("t1"), ShouldBeTrue)
		})
	})
}

// TestPlaceIsAskedAboutOnce plays the loss of a place with many targets: what one daemon
// told of, the others don't ask about unless they use it.
func TestPlaceIsAskedAboutOnce(t *testing.T) {
	Convey("Given a place of which a peer doubts some targets", t, func() {
		f := New("p0", 1)
		for _, id := range []string{"lost", "used", "unused", "unknown"} {
			f.Put(Target{ID: id, Service: "s", Address: id, Place: "p1", Slots: 16})
		}
		f.Begin(start, "used", Demand{})
		for _, id := range []string{"used", "unused"} {
			f.ApplyPeerSuspicion(start, id)
		}
		var asked []string
		for _, o := range f.SamePlaceTargets(start, Target{ID: "lost", Service: "s", Place: "p1"}, 5) {
			asked = append(asked, o.ID)
		}
		So(asked, ShouldResemble, []string{"used", "unknown"})
	})
}

func TestCopiesGoElsewhere(t *testing.T) {
	Convey("A copy goes out of the run's place, where there is room", t, func() {
		f := newTestFleet(6)
		for _, full := range []string{"t2", "t3", "t4"} {
			f.ReserveCopy(full, 54_000)
		}
		got, err := f.Pick(start, Criteria{Service: "s", Exclude: map[string]bool{"t0": true}, AvoidPlaces: []string{"p0"}, MemoryTokens: 6000, CapacityTokens: 55_000, ForCopy: true})
		So(err, ShouldBeNil)
		So(got.ID, ShouldEqual, "t5")
	})
}

// TestCountsReturnToNothing plays requests that start, end and are lost in any
// order, and targets that restart under them.
func TestCountsReturnToNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(3)
		var works []*ActiveRequest
		var holds []func()
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				works = append(works, f.Begin(now, id, Demand{PrefillTokens: 100, MemoryTokens: 150}))
			case 1:
				holds = append(holds, f.ReserveCopy(id, 70))
			case 2:
				if len(works) > 0 {
					works[rapid.IntRange(0, len(works)-1).Draw(t, "work")].MarkFirstEvent(now)
				}
			case 3:
				if len(works) > 0 {
					works[rapid.IntRange(0, len(works)-1).Draw(t, "work")].Done(now, rapid.Bool().Draw(t, "failed"))
				}
			case 4:
				f.Put(Target{ID: id, Service: "s", Address: "10.0.0.9" + id[1:] + ":1", Place: "p0", Slots: 4, StartMillis: now.UnixMilli()})
			}
		}
		for _, w := range works {
			w.Done(now, false)
			w.Done(now, true)
		}
		for _, release := range holds {
			release()
			release()
		}
		if left := f.OwnLoads(); len(left) != 0 {
			t.Fatalf("left: %v", left)
		}
	})
}

func TestEstimatesAreForgotten(t *testing.T) {
	Convey("A target that failed is avoided for a while, then tried again", t, func() {
		f := newTestFleet(2)
		w := f.Begin(start, "t0", Demand{})
		w.Done(at(20), true)
		first := func(now time.Time) map[string]bool {
			seen := make(map[string]bool)
			for range 40 {
				got, _ := f.Pick(now, Criteria{Service: "s"})
				seen[got.ID] = true
			}
			return seen
		}
		So(first(at(30)), ShouldResemble, map[string]bool{"t1": true})
		So(first(at(30+int(estimateMaxAge.Milliseconds()))), ShouldResemble, map[string]bool{"t0": true, "t1": true})
	})
}

// TestPromptsSpareStreams names the pattern of a calm day: some targets run streams,
// whose events a prompt beside them would hold up.
func TestPromptsSpareStreams(t *testing.T) {
	Convey("A prompt goes where nothing runs, rather than beside streams", t, func() {
		f := newTestFleet(4)
		for _, id := range []string{"t0", "t1", "t2"} {
			f.Begin(start, id, Demand{MemoryTokens: 6000}) // its prompt is read
		}
		wish, _ := promptOf(5000)
		for i := range 20 {
			wish.Affinity = fmt.Sprint(i)
			got, err := f.Pick(start, wish)
			So(err, ShouldBeNil)
			So(got.ID, ShouldEqual, "t3")
		}
	})
}

func TestPeersWordOnATarget(t *testing.T) {
	Convey("A target that a peer doubts gets no new work, and is asked if it is in use", t, func() {
		f := newTestFleet(1)
		wish, _ := promptOf(5000)
		_, used := f.ApplyPeerSuspicion(start, "t0")
		So(used, ShouldBeFalse)
		_, err := f.Pick(start, wish)
		So(err, ShouldNotBeNil)
		_, err = f.Pick(start.Add(SuspectDuration), wish)
		So(err, ShouldBeNil)

		lost := f.Lost("t0")
		f.Begin(start, "t0", Demand{MemoryTokens: 10})
		got, used := f.ApplyPeerSuspicion(start, "t0")
		So(used, ShouldBeTrue)
		So(got.ID, ShouldEqual, "t0")
		select {
		case <-lost:
			t.Fatal("a peer's word alone ended a run")
		default:
		}
	})
}

func TestPlaceIsProbedInParts(t *testing.T) {
	Convey("Of a large place the targets in use are asked, and a few others", t, func() {
		f := New("p", 1)
		for i := range 50 {
			f.Put(Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Place: "p"})
		}
		f.Begin(start, "t7", Demand{MemoryTokens: 1})
		asked := f.SamePlaceTargets(start, Target{ID: "t0", Service: "s", Place: "p"}, 5)
		So(asked, ShouldHaveLength, 6)
		So(asked[0].ID, ShouldEqual, "t7")
	})
}

// TestSlowTargetsAreLeft names the pattern of a slow engine: what it takes for its
// prompts counts against it, until it is forgotten.
func TestSlowTargetsAreLeft(t *testing.T) {
	Convey("A target whose prompts take five times as long gets the next one last", t, func() {
		f := newTestFleet(2)
		wish, demand := promptOf(5000)
		w := f.Begin(start, "t0", demand)
		w.MarkFirstEvent(at(5000))
		w.Done(at(5000), false)
		f.Begin(at(5000), "t1", Demand{MemoryTokens: 6000})
		got, err := f.Pick(at(5000), wish)
		So(err, ShouldBeNil)
		So(got.ID, ShouldEqual, "t1") // though it runs a stream, and t0 nothing
	})
}
