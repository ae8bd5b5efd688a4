package membership

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/trace"
)

// action is one step of a fault script.
type action struct {
	Kind   string
	Member int
	Ticks  int // ticks to run after the action
}

const scriptFleetSize = 5

var actionScripts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	return action{
		Kind:   rapid.SampledFrom([]string{"pause", "wake", "cut", "heal", "restart", "leave", "stale list", "platform"}).Draw(t, "what"),
		Member: rapid.IntRange(0, scriptFleetSize-1).Draw(t, "who"),
		Ticks:  rapid.IntRange(0, 4).Draw(t, "for"),
	}
}), 1, 25)

// observations records, for each viewer and member, the highest incarnation of the
// member that the viewer has seen, and whether that incarnation was leaving. The
// viewer must not revert to an earlier state. Keys contain the viewer with its
// incarnation and the member; keys of leaving also contain the member's incarnation.
type observations struct {
	incarnation map[string]uint64
	leaving     map[string]bool
}

func (sim *simulation) apply(a action) {
	id := fmt.Sprintf("vm-%d", a.Member)
	switch a.Kind {
	case "pause":
		sim.paused[id] = true
	case "wake":
		sim.paused[id] = false
	case "cut":
		sim.canConnect = partition(id)
	case "heal":
		sim.canConnect = nil
	case "restart":
		sim.addDaemon(id, sim.machines[id].self.Incarnation+1)
		sim.paused[id] = false
		sim.deliver(id, sim.fullList())
		sim.deliver(id, InForce{1})
	case "leave":
		sim.deliver(id, Leave{})
	case "stale list":
		// Two reads disagree: the first one lacks a VM that the second one contains.
		for _, viewer := range sim.ids() {
			if viewer != id {
				sim.deliver(viewer, VMs{Changes: []VMChange{{Entry: VMEntry{ID: id}, Ended: true}}})
				sim.deliver(viewer, VMs{Changes: []VMChange{{Entry: VMEntry{ID: id, APIAddress: id, PeerAddress: id}}}})
			}
		}
	case "platform":
		sim.deliverPlatformAnswer()
	}
}

// firstViolation runs a script and returns the first violated invariant, or nil.
func firstViolation(sim *simulation, script []action) error {
	seen := observations{make(map[string]uint64), make(map[string]bool)}
	for _, a := range script {
		sim.apply(a)
		for range a.Ticks {
			sim.run(1)
			if err := sim.checkInvariants(seen); err != nil {
				return err
			}
		}
		if err := sim.checkInvariants(seen); err != nil {
			return err
		}
	}
	return sim.checkConvergence(seen)
}

func (sim *simulation) viewOf(id string) *View {
	v := sim.machines[id].View()
	if sim.alterView != nil {
		v = sim.alterView(v)
	}
	return v
}

func (sim *simulation) checkInvariants(seen observations) error {
	for _, viewer := range sim.ids() {
		viewerRun := fmt.Sprint(viewer, sim.machines[viewer].self.Incarnation)
		v := sim.viewOf(viewer)
		for _, m := range v.Members {
			current := sim.machines[m.ID].self
			key := viewerRun + " " + m.ID
			if v.Terminated(m.ID, current.Incarnation) {
				return errors.Errorf("%s considers the current incarnation of %s terminated, want not terminated", viewer, m.ID)
			}
			if m.Incarnation < seen.incarnation[key] {
				return errors.Errorf("%s returned to an earlier incarnation of %s, want the same or a later one", viewer, m.ID)
			}
			seen.incarnation[key] = m.Incarnation
			key += fmt.Sprint(m.Incarnation)
			if seen.leaving[key] && m.State == Alive {
				return errors.Errorf("%s changed the state of %s from leaving to alive, want leaving", viewer, m.ID)
			}
			seen.leaving[key] = seen.leaving[key] || m.State == Leaving
		}
	}
	return nil
}

// checkConvergence repairs all faults and checks that all views converge to the
// actual state.
func (sim *simulation) checkConvergence(seen observations) error {
	sim.canConnect = nil
	clear(sim.paused)
	for range 40 {
		sim.run(1)
		if err := sim.checkInvariants(seen); err != nil {
			return err
		}
	}
	for _, viewer := range sim.ids() {
		if sim.viewOf(viewer).Isolated {
			return errors.Errorf("%s is isolated after all faults were repaired, want not isolated", viewer)
		}
		for _, m := range sim.viewOf(viewer).Members {
			want := Alive
			if sim.machines[m.ID].self.Leaving {
				want = Leaving
			}
			if incarnation := sim.machines[m.ID].self.Incarnation; m.Incarnation != incarnation {
				return errors.Errorf("after all faults were repaired, %s does not know incarnation %d of %s, only incarnation %d", viewer, incarnation, m.ID, m.Incarnation)
			}
			if m.State != want {
				return errors.Errorf("after all faults were repaired, %s sees member %s as %s, want %s", viewer, m.ID, m.State, want)
			}
		}
	}
	return nil
}

// TestAnyFaults runs random fault scripts and guards against violated invariants during
// the faults and views that don't converge after them.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := firstViolation(newSimulation(scriptFleetSize), actionScripts.Draw(t, "script")); err != nil {
			t.Fatal(err)
		}
	})
}

// mutants simulate deliberately broken machines that violate one protocol rule each,
// by modifying their messages or views. firstViolation must detect each of them.
var mutants = map[string]func(*simulation){
	"a refutation does not increment the counter": func(sim *simulation) {
		sim.tamper = func(_ string, m Message) Message {
			m.From.Counter = 0
			m.Rumors = nil
			return m
		}
	},
	"a suspect is not notified of the suspicion": func(sim *simulation) {
		sim.tamper = func(to string, m Message) Message {
			m.Rumors = slices.DeleteFunc(slices.Clone(m.Rumors), func(r Rumor) bool { return r.ID == to })
			return m
		}
	},
	"a suspect is considered terminated": func(sim *simulation) {
		sim.alterView = func(v *View) *View {
			for _, m := range v.Members {
				if m.State == Suspect {
					v.RemovedVMs[m.ID] = true
				}
			}
			return v
		}
	},
	"leaving is not announced": func(sim *simulation) {
		sim.tamper = func(_ string, m Message) Message {
			m.From.Leaving = false
			for i := range m.Rumors {
				m.Rumors[i].Leaving = false
			}
			return m
		}
	},
	"incarnations are not compared": func(sim *simulation) {
		sim.tamper = func(_ string, m Message) Message {
			m.From.Incarnation = 1
			return m
		}
	},
}

// TestMutantsAreCaught guards against a firstViolation that misses violations.
func TestMutantsAreCaught(t *testing.T) {
	const tries = 60
	for name, breakRule := range mutants {
		Convey("A machine where "+name+" is detected", t, func() {
			var detected error
			for seed := 0; seed < tries && detected == nil; seed++ {
				sim := newSimulation(scriptFleetSize)
				breakRule(sim)
				detected = firstViolation(sim, actionScripts.Example(seed))
			}
			So(detected, ShouldNotBeNil)
		})
	}
}

func TestReplay(t *testing.T) {
	Convey("A recorded run replays to the same decisions", t, func() {
		var file bytes.Buffer
		rec, err := trace.NewRecorder(&file, "vm-0")
		So(err, ShouldBeNil)
		sim := newSimulation(3)
		args := sim.machines["vm-0"].args
		m := New(args)
		rec.RecordInit(TraceSlice, "vm-0", start, args)
		now := start
		step := func(in Input) {
			now = now.Add(ProbePeriod)
			trace.Record(rec, TraceSlice, "vm-0", now, in, m.Step(now, in))
		}
		step(sim.fullList())
		step(InForce{3})
		for i := range 200 {
			step(Tick{})
			step(Heard{Message{From: Rumor{Identity: sim.machines["vm-1"].args.Self, Counter: uint64(i / 10), Version: int64(i)}}})
			step(Probed{ID: "vm-2", OK: i%3 == 0})
			step(Probed{ID: "vm-2", Via: "vm-1", Asked: true})
			step(Synced{[]Rumor{{Identity: sim.machines["vm-2"].args.Self, Counter: uint64(i)}}})
			step(PlatformSeen{Age: time.Duration(i) * time.Second})
		}
		step(Leave{})
		So(rec.Err(), ShouldBeNil)
		steps, err := trace.Replay(&file, map[string]trace.MachineFactory{TraceSlice: NewReplay})
		So(err, ShouldBeNil)
		So(steps, ShouldEqual, 1+2+200*6+1)
	})
}

func TestListing(t *testing.T) {
	vm := func(id string, leaving bool) VMEntry { return VMEntry{ID: id, APIAddress: id, Leaving: leaving} }
	target := func(id string, leaving bool) VMEntry { return VMEntry{ID: id, Leaving: leaving} }
	Convey("Given a tracker that read a list of four VMs", t, func() {
		l := NewVMListTracker()
		l.ApplyList(start, []VMEntry{vm("a", false), vm("b", false), target("x", false), target("y", false)})
		seq := l.Seq()
		Convey("ChangesSince returns the changes after a number", func() {
			l.ApplyList(start, []VMEntry{vm("a", false), target("x", true), target("y", false)})
			So(l.ChangesSince(seq), ShouldResemble, VMs{Changes: []VMChange{{Entry: target("x", true)}, {Entry: vm("b", false), Ended: true}}})
			Convey("and the complete list for number 0", func() {
				So(l.ChangesSince(0), ShouldResemble, VMs{Full: true, Changes: []VMChange{{Entry: vm("a", false)}, {Entry: target("x", true)}, {Entry: VMEntry{ID: "b"}, Ended: true}}})
			})
		})
		Convey("an empty list is always ignored", func() {
			for range 5 {
				l.ApplyList(start, nil)
			}
			So(l.Seq(), ShouldEqual, seq)
		})
	})
	Convey("A list that lost most of its VMs is applied at the second read", t, func() {
		l := NewVMListTracker()
		l.ApplyList(start, []VMEntry{vm("a", false), vm("b", false), vm("c", false)})
		seq := l.Seq()
		l.ApplyList(start, []VMEntry{vm("a", false)})
		So(l.Seq(), ShouldEqual, seq)
		l.ApplyList(start, []VMEntry{vm("a", false)})
		So(l.Seq(), ShouldEqual, seq+2)
	})
}
