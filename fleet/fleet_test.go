package fleet

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// at returns the time that is ms milliseconds after start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTestFleet returns a fleet of n targets, two in each place.
func newTestFleet(n int) *Fleet {
	f := New("p0", 1)
	for i := range n {
		f.Put(Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Place: fmt.Sprint("p", i/2), Slots: 16})
	}
	return f
}

// promptOf returns the criteria and the demand of a request with a prompt of so many
// tokens and no output.
func promptOf(tokens int) (Criteria, Demand) {
	return Criteria{Service: "s", MemoryTokens: tokens, CapacityTokens: 55_000}, Demand{PrefillTokens: tokens, MemoryTokens: tokens}
}

// TestHerdIsSpread guards against overloading one target when many callers reconnect
// at the same time: no target gets a second long prompt while another has none.
func TestHerdIsSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		f := newTestFleet(n)
		criteria, demand := promptOf(5000)
		load := make(map[string]int)
		for i := range 3 * n {
			criteria.Affinity = fmt.Sprint(i)
			got, err := f.Pick(start, criteria)
			if err != nil {
				t.Fatal(err)
			}
			f.Begin(start, got.ID, demand)
			load[got.ID]++
			if load[got.ID] > i/n+1 {
				t.Fatalf("prompt %d is number %d on target %s of %d, want an even distribution; prompts by target: %v", i, load[got.ID], got.ID, n, load)
			}
		}
	})
}

// TestStaleHerd guards against the overload of one idle target after the loss of a
// place: many daemons place a prompt at the same time, and their views don't include
// each other's placements yet.
func TestStaleHerd(t *testing.T) {
	Convey("Given 76 daemons whose views are stale and 136 targets, one of them idle", t, func() {
		const rounds, daemons, targets = 10, 76, 136
		criteria, demand := promptOf(5000)
		idlePicks := 0
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
			criteria.Affinity = fmt.Sprint(seed)
			got, err := f.Pick(start, criteria)
			So(err, ShouldBeNil)
			if got.ID == "t0" {
				idlePicks++
			}
		}
		Convey("the idle target gets no more prompts than it can prefill before a first event is late", func() {
			So(idlePicks, ShouldBeBetweenOrEqual, rounds, 4*rounds) // a first event is late after 4.5 s; a prefill takes 1 s
		})
	})
}

// TestIndex adds, changes and removes entries in random order: each target must be listed
// once, under its service and sorted by ID.
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
						t.Fatalf("step %d: target %s is misplaced at index %d of service %s, want the lists sorted by ID, each target under its service", step, s.ID, i, service)
					}
				}
				listed += len(list)
			}
			if listed != f.Len() {
				t.Fatalf("step %d: services list %d targets, the fleet has %d", step, listed, f.Len())
			}
		}
	})
}

func TestPeersWorkCounts(t *testing.T) {
	Convey("The load of a peer counts like the daemon's own until it is removed", t, func() {
		f := newTestFleet(2)
		criteria, _ := promptOf(5000)
		f.SetPeerLoads("peer", map[string]DaemonLoad{"t0": {Running: 2, PrefillTokens: 9000}})
		got, err := f.Pick(start, criteria)
		So(err, ShouldBeNil)
		So(got.ID, ShouldEqual, "t1")
		f.SetPeerLoads("other", map[string]DaemonLoad{"t1": {Running: 4, PrefillTokens: 20_000}})
		got, _ = f.Pick(start, criteria)
		So(got.ID, ShouldEqual, "t0")
		f.SetPeerLoads("other", nil)
		got, _ = f.Pick(start, criteria)
		So(got.ID, ShouldEqual, "t1")
	})
}

func TestUnusableTargets(t *testing.T) {
	criteria, _ := promptOf(5000)
	cases := []struct {
		name           string
		act            func(f *Fleet)
		recoveryMillis int // after which the target is used again; -1 for never
	}{
		{"is leaving", func(f *Fleet) {
			f.Put(Target{ID: "t0", Service: "s", Address: "10.0.0.0:1", Place: "p0", Leaving: true})
		}, -1},
		{"was removed", func(f *Fleet) { f.Remove(start, "t0", false) }, -1},
		{"has terminated", func(f *Fleet) { f.MarkTerminated(start, Target{ID: "t0"}) }, int(terminatedDuration.Milliseconds())},
		{"was replaced at its address", func(f *Fleet) { f.Put(Target{ID: "new", Service: "other", Address: "10.0.0.0:1"}) }, -1},
		{"is suspected", func(f *Fleet) { f.Suspect(start, "t0", false) }, int(SuspectDuration.Milliseconds())},
		{"refused a request", func(f *Fleet) { f.MarkRefused(start, "t0") }, int(2 * avoidBase.Milliseconds())},
	}
	for _, c := range cases {
		Convey("A target that "+c.name+" gets no new work", t, func() {
			f := newTestFleet(1)
			lost, unusable := f.Lost("t0"), f.Unusable(start, "t0")
			c.act(f)
			_, err := f.Pick(start, criteria)
			So(err, ShouldNotBeNil)
			if c.recoveryMillis < 0 {
				_, err = f.Pick(at(600_000), criteria)
				So(err, ShouldNotBeNil)
			} else {
				_, err = f.Pick(at(c.recoveryMillis), criteria)
				So(err, ShouldBeNil)
			}
			failed := c.name == "has terminated" || c.name == "is suspected" || c.name == "was replaced at its address"
			So(isClosed(lost), ShouldEqual, failed) // running requests continue on a leaving target
			So(isClosed(unusable), ShouldEqual, c.name != "refused a request")
		})
	}
	Convey("A terminated target is used again once its entry changes", t, func() {
		f := newTestFleet(1)
		f.MarkTerminated(start, Target{ID: "t0"})
		f.Put(Target{ID: "t0", Service: "s", Address: "10.0.0.0:1", Place: "p0", Slots: 16, StartMillis: 5})
		_, err := f.Pick(start, criteria)
		So(err, ShouldBeNil)
	})
	Convey("The termination of another incarnation does not affect the registered one", t, func() {
		f := newTestFleet(1)
		f.Put(Target{ID: "t0", Service: "s", Address: "10.0.0.0:1", Place: "p0", Slots: 16, StartMillis: 5})
		So(f.MarkTerminated(start, Target{ID: "t0", StartMillis: 4}), ShouldBeFalse)
		_, err := f.Pick(start, criteria)
		So(err, ShouldBeNil)
	})
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestLapsedEntries guards against a service without targets after a store outage in
// which the entries of all targets expired: the targets stay in use until their entries
// return or missingGrace ends.
func TestLapsedEntries(t *testing.T) {
	Convey("Given two targets whose entries expired", t, func() {
		f := newTestFleet(2)
		criteria, _ := promptOf(5000)
		f.Remove(start, "t0", true)
		f.Remove(start, "t1", true)
		_, err := f.Pick(start, criteria)
		So(err, ShouldBeNil)
		Convey("a target whose entry returned is preferred", func() {
			f.Put(Target{ID: "t1", Service: "s", Address: "10.0.0.1:1", Place: "p0", Slots: 16})
			got, err := f.Pick(at(100), criteria)
			So(err, ShouldBeNil)
			So(got.ID, ShouldEqual, "t1")
		})
		Convey("a target whose entry does not return in time is removed", func() {
			f.Put(Target{ID: "t1", Service: "s", Address: "10.0.0.1:1", Place: "p0", Slots: 16})
			unusable := f.Unusable(at(100), "t0")
			So(f.Expire(at(1900)), ShouldBeEmpty)
			So(isClosed(unusable), ShouldBeFalse)
			So(f.Expire(at(2100)), ShouldResemble, []string{"t0"})
			So(isClosed(unusable), ShouldBeTrue) // so that standby copies there are replaced
			So(f.Len(), ShouldEqual, 1)
			So(f.Has("t1"), ShouldBeTrue)
		})
	})
}

// TestPlaceIsAskedAboutOnce guards against every daemon probing every target of a lost
// place: a target that a peer has reported is probed only by the daemons that use it.
func TestPlaceIsAskedAboutOnce(t *testing.T) {
	Convey("A target that a peer suspects is probed only if this daemon uses it", t, func() {
		f := New("p0", 1)
		for _, id := range []string{"lost", "used", "unused", "unknown"} {
			f.Put(Target{ID: id, Service: "s", Address: id, Place: "p1", Slots: 16})
		}
		f.Begin(start, "used", Demand{})
		for _, id := range []string{"used", "unused"} {
			f.ApplyPeerSuspicion(start, id)
		}
		var probed []string
		for _, o := range f.SamePlaceTargets(start, Target{ID: "lost", Service: "s", Place: "p1"}, 5) {
			probed = append(probed, o.ID)
		}
		So(probed, ShouldResemble, []string{"used", "unknown"})
	})
}

func TestCopiesGoElsewhere(t *testing.T) {
	Convey("A standby copy goes to another place than its run, to a target with enough memory", t, func() {
		f := newTestFleet(6)
		for _, full := range []string{"t2", "t3", "t4"} {
			f.ReserveCopy(full, 54_000)
		}
		got, err := f.Pick(start, Criteria{Service: "s", Exclude: map[string]bool{"t0": true}, AvoidPlaces: []string{"p0"}, MemoryTokens: 6000, CapacityTokens: 55_000, ForCopy: true})
		So(err, ShouldBeNil)
		So(got.ID, ShouldEqual, "t5")
	})
}

// TestCopiesGoToTheLeastAvoidedPlace guards against standby copies in the place of their run, by the
// chance of the sample that is drawn when the view of the loads is old: both are lost together.
func TestCopiesGoToTheLeastAvoidedPlace(t *testing.T) {
	cases := []struct {
		avoid []string // least avoided first
		down  string   // place whose targets are suspected
		full  string   // place whose targets have no memory
		want  string
	}{
		{avoid: []string{"p0", "p1"}, want: "p2"},
		{avoid: []string{"p0", "p2", "p1"}, want: "p0"},
		{avoid: []string{"p0", "p2", "p1", "p0", "p2"}, want: "p1"},
		{avoid: []string{"p0", "p1"}, down: "p2", want: "p0"},
		{avoid: []string{"p0", "p1"}, full: "p2", want: "p0"},
		{avoid: []string{"p0", "p2", "p1"}, down: "p0", full: "p2", want: "p1"},
	}
	for _, c := range cases {
		f := newTestFleet(6)
		f.SetStaleness(500 * time.Millisecond)
		for i := range 6 {
			switch fmt.Sprint("p", i/2) {
			case c.down:
				f.Suspect(start, fmt.Sprint("t", i), false)
			case c.full:
				f.ReserveCopy(fmt.Sprint("t", i), 54_000)
			}
		}
		for range 200 {
			got, err := f.Pick(start, Criteria{Service: "s", AvoidPlaces: c.avoid, MemoryTokens: 6000, CapacityTokens: 55_000, NeedsMemory: true, ForCopy: true})
			if err != nil || got.Place != c.want {
				t.Fatalf("%+v: the copy goes to %s, error %v", c, got.Place, err)
			}
		}
	}
}

// TestCountsReturnToNothing guards against load that is never released: requests and
// copies begin and end in random order while their targets restart.
func TestCountsReturnToNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(3)
		var requests []*ActiveRequest
		var releases []func()
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				requests = append(requests, f.Begin(now, id, Demand{PrefillTokens: 100, MemoryTokens: 150}))
			case 1:
				releases = append(releases, f.ReserveCopy(id, 70))
			case 2:
				if len(requests) > 0 {
					requests[rapid.IntRange(0, len(requests)-1).Draw(t, "work")].MarkFirstEvent(now)
				}
			case 3:
				if len(requests) > 0 {
					requests[rapid.IntRange(0, len(requests)-1).Draw(t, "work")].Done(now, rapid.Bool().Draw(t, "failed"))
				}
			case 4:
				f.Put(Target{ID: id, Service: "s", Address: "10.0.0.9" + id[1:] + ":1", Place: "p0", Slots: 4, StartMillis: now.UnixMilli()})
			}
		}
		for _, r := range requests {
			r.Done(now, false)
			r.Done(now, true)
		}
		for _, release := range releases {
			release()
			release()
		}
		if remaining := f.OwnLoads(); len(remaining) != 0 {
			t.Fatalf("loads after all requests and copies ended: %v, want none", remaining)
		}
	})
}

func TestEstimatesAreForgotten(t *testing.T) {
	Convey("A target that answered with a failure is avoided until its failure rate expires", t, func() {
		f := newTestFleet(2)
		r := f.Begin(start, "t0", Demand{})
		r.Done(at(20), true)
		picked := func(now time.Time) map[string]bool {
			ids := make(map[string]bool)
			for range 40 {
				got, _ := f.Pick(now, Criteria{Service: "s"})
				ids[got.ID] = true
			}
			return ids
		}
		So(picked(at(30)), ShouldResemble, map[string]bool{"t1": true})
		So(picked(at(30+int(estimateMaxAge.Milliseconds()))), ShouldResemble, map[string]bool{"t0": true, "t1": true})
	})
}

// TestPromptsSpareStreams guards against prompts on targets that run streams while
// another target is idle: a prefill delays the events of the streams on its target.
func TestPromptsSpareStreams(t *testing.T) {
	Convey("A prompt goes to an idle target rather than to one that runs streams", t, func() {
		f := newTestFleet(4)
		for _, id := range []string{"t0", "t1", "t2"} {
			f.Begin(start, id, Demand{MemoryTokens: 6000}) // its prompt is prefilled already
		}
		criteria, _ := promptOf(5000)
		for i := range 20 {
			criteria.Affinity = fmt.Sprint(i)
			got, err := f.Pick(start, criteria)
			So(err, ShouldBeNil)
			So(got.ID, ShouldEqual, "t3")
		}
	})
}

func TestPeersWordOnATarget(t *testing.T) {
	Convey("A target that a peer suspects gets no new work, and is probed if it is in use", t, func() {
		f := newTestFleet(1)
		criteria, _ := promptOf(5000)
		_, used := f.ApplyPeerSuspicion(start, "t0")
		So(used, ShouldBeFalse)
		_, err := f.Pick(start, criteria)
		So(err, ShouldNotBeNil)
		_, err = f.Pick(start.Add(SuspectDuration), criteria)
		So(err, ShouldBeNil)

		lost := f.Lost("t0")
		f.Begin(start, "t0", Demand{MemoryTokens: 10})
		got, used := f.ApplyPeerSuspicion(start, "t0")
		So(used, ShouldBeTrue)
		So(got.ID, ShouldEqual, "t0")
		select {
		case <-lost:
			t.Fatal("a peer's suspicion alone ended the requests on the target")
		default:
		}
	})
}

func TestPlaceIsProbedInParts(t *testing.T) {
	Convey("In a large place, the targets in use and a few others are probed", t, func() {
		f := New("p", 1)
		for i := range 50 {
			f.Put(Target{ID: fmt.Sprint("t", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Place: "p"})
		}
		f.Begin(start, "t7", Demand{MemoryTokens: 1})
		probed := f.SamePlaceTargets(start, Target{ID: "t0", Service: "s", Place: "p"}, 5)
		So(probed, ShouldHaveLength, 6)
		So(probed[0].ID, ShouldEqual, "t7")
	})
}

// TestSlowTargetsAreLeft guards against new prompts on a slow engine: the measured times
// to first event raise its expected delay until the estimate expires.
func TestSlowTargetsAreLeft(t *testing.T) {
	Convey("A target whose last prompt took five times the expected time does not get the next one", t, func() {
		f := newTestFleet(2)
		criteria, demand := promptOf(5000)
		r := f.Begin(start, "t0", demand)
		r.MarkFirstEvent(at(5000))
		r.Done(at(5000), false)
		f.Begin(at(5000), "t1", Demand{MemoryTokens: 6000})
		got, err := f.Pick(at(5000), criteria)
		So(err, ShouldBeNil)
		So(got.ID, ShouldEqual, "t1") // although t1 runs a stream and t0 is idle
	})
}
