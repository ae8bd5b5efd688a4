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

// action is one thing that happens to a fleet.
type action struct {
	What string
	Who  int
	For  int // ticks that pass afterwards
}

const scriptFleet = 5

var scripts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	return action{
		What: rapid.SampledFrom([]string{"pause", "wake", "cut", "heal", "restart", "leave", "stale list", "platform"}).Draw(t, "what"),
		Who:  rapid.IntRange(0, scriptFleet-1).Draw(t, "who"),
		For:  rapid.IntRange(0, 4).Draw(t, "for"),
	}
}), 1, 25)

// history is what must not turn back: by viewer, member and incarnation.
type history struct {
	incarnation map[string]uint64
	left        map[string]bool
}

func (l *link) act(a action) {
	id := fmt.Sprintf("vm-%d", a.Who)
	switch a.What {
	case "pause":
		l.paused[id] = true
	case "wake":
		l.paused[id] = false
	case "cut":
		l.reaches = cut(id)
	case "heal":
		l.reaches = nil
	case "restart":
		l.add(id, l.machines[id].self.Incarnation+1)
		l.paused[id] = false
		l.deliver(id, l.listing())
		l.deliver(id, InForce{1})
	case "leave":
		l.deliver(id, Leave{})
	case "stale list":
		// Two reads disagree: one lacks a VM, the next one names it again.
		for _, viewer := range l.ids() {
			if viewer != id {
				l.deliver(viewer, VMs{Changes: []VMChange{{Entry: VMEntry{ID: id}, Ended: true}}})
				l.deliver(viewer, VMs{Changes: []VMChange{{Entry: VMEntry{ID: id, APIAddress: id, PeerAddress: id}}}})
			}
		}
	case "platform":
		l.platform()
	}
}

// violation runs a script and returns the first broken rule.
func violation(l *link, script []action) error {
	h := history{make(map[string]uint64), make(map[string]bool)}
	for _, a := range script {
		l.act(a)
		for range a.For {
			l.run(1)
			if err := l.check(h); err != nil {
				return err
			}
		}
		if err := l.check(h); err != nil {
			return err
		}
	}
	return l.settled(h)
}

func (l *link) viewOf(id string) *View {
	v := l.machines[id].View()
	if l.view != nil {
		v = l.view(v)
	}
	return v
}

func (l *link) check(h history) error {
	for _, viewer := range l.ids() {
		run := fmt.Sprint(viewer, l.machines[viewer].self.Incarnation)
		v := l.viewOf(viewer)
		for _, m := range v.Members {
			now := l.machines[m.ID].self
			key := run + " " + m.ID
			if v.Terminated(m.ID, now.Incarnation) {
				return errors.Errorf("%s takes the run of %s that lives for gone", viewer, m.ID)
			}
			if m.Incarnation < h.incarnation[key] {
				return errors.Errorf("%s went back to an older run of %s", viewer, m.ID)
			}
			h.incarnation[key] = m.Incarnation
			key += fmt.Sprint(m.Incarnation)
			if h.left[key] && m.State == Alive {
				return errors.Errorf("%s takes %s back from leaving", viewer, m.ID)
			}
			h.left[key] = h.left[key] || m.State == Leaving
		}
	}
	return nil
}

// settled mends everything and checks that all agree on the truth.
func (l *link) settled(h history) error {
	l.reaches = nil
	clear(l.paused)
	for range 40 {
		l.run(1)
		if err := l.check(h); err != nil {
			return err
		}
	}
	for _, viewer := range l.ids() {
		if l.viewOf(viewer).Isolated {
			return errors.Errorf("%s stays isolated", viewer)
		}
		for _, m := range l.viewOf(viewer).Members {
			want := Alive
			if l.machines[m.ID].self.Leaving {
				want = Leaving
			}
			if run := l.machines[m.ID].self.Incarnation; m.Incarnation != run {
				return errors.Errorf("%s takes run %d of %s for run %d", viewer, run, m.ID, m.Incarnation)
			}
			if m.State != want {
				return errors.Errorf("%s sees %s as %s, not %s", viewer, m.ID, m.State, want)
			}
		}
	}
	return nil
}

func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := violation(newLink(scriptFleet), scripts.Draw(t, "script")); err != nil {
			t.Fatal(err)
		}
	})
}

// mutants break one rule each, at the border of the machine.
var mutants = map[string]func(*link){
	"a refutation does not raise the counter": func(l *link) {
		l.tamper = func(_ string, m Message) Message {
			m.From.Counter = 0
			m.Rumors = nil
			return m
		}
	},
	"a suspect is not told of the suspicion": func(l *link) {
		l.tamper = func(to string, m Message) Message {
			m.Rumors = slices.DeleteFunc(slices.Clone(m.Rumors), func(r Rumor) bool { return r.ID == to })
			return m
		}
	},
	"silence is taken for the end": func(l *link) {
		l.view = func(v *View) *View {
			for _, m := range v.Members {
				if m.State == Suspect {
					v.RemovedVMs[m.ID] = true
				}
			}
			return v
		}
	},
	"leaving is not told": func(l *link) {
		l.tamper = func(_ string, m Message) Message {
			m.From.Leaving = false
			for i := range m.Rumors {
				m.Rumors[i].Leaving = false
			}
			return m
		}
	},
	"incarnations are not compared": func(l *link) {
		l.tamper = func(_ string, m Message) Message {
			m.From.Incarnation = 1
			return m
		}
	},
}

func TestMutantsAreCaught(t *testing.T) {
	const tries = 60
	for name, breakRule := range mutants {
		Convey("A machine where "+name+" is caught", t, func() {
			var caught error
			for seed := 0; seed < tries && caught == nil; seed++ {
				l := newLink(scriptFleet)
				breakRule(l)
				caught = violation(l, scripts.Example(seed))
			}
			So(caught, ShouldNotBeNil)
		})
	}
}

func TestReplay(t *testing.T) {
	Convey("A recorded run replays to the same decisions", t, func() {
		var file bytes.Buffer
		rec, err := trace.NewRecorder(&file, "vm-0")
		So(err, ShouldBeNil)
		l := newLink(3)
		made := l.machines["vm-0"].made
		m := New(made)
		rec.RecordInit(Slice, "vm-0", start, made)
		now := start
		step := func(in Input) {
			now = now.Add(ProbePeriod)
			trace.Record(rec, Slice, "vm-0", now, in, m.Step(now, in))
		}
		step(l.listing())
		step(InForce{3})
		for i := range 200 {
			step(Tick{})
			step(Heard{Message{From: Rumor{Identity: l.machines["vm-1"].made.Self, Counter: uint64(i / 10), Version: int64(i)}}})
			step(Probed{ID: "vm-2", OK: i%3 == 0})
			step(Probed{ID: "vm-2", Via: "vm-1", Asked: true})
			step(Synced{[]Rumor{{Identity: l.machines["vm-2"].made.Self, Counter: uint64(i)}}})
			step(PlatformSeen{Age: time.Duration(i) * time.Second})
		}
		step(Leave{})
		So(rec.Err(), ShouldBeNil)
		steps, err := trace.Replay(&file, map[string]trace.MachineFactory{Slice: NewReplay})
		So(err, ShouldBeNil)
		So(steps, ShouldEqual, 1+2+200*6+1)
	})
}

func TestListing(t *testing.T) {
	vm := func(id string, leaving bool) VMEntry { return VMEntry{ID: id, APIAddress: id, Leaving: leaving} }
	target := func(id string, leaving bool) VMEntry { return VMEntry{ID: id, Leaving: leaving} }
	Convey("Given a listing that read four VMs", t, func() {
		l := NewVMListTracker()
		l.ApplyList(start, []VMEntry{vm("a", false), vm("b", false), target("x", false), target("y", false)})
		seq := l.Seq()
		Convey("news tells what changed since", func() {
			l.ApplyList(start, []VMEntry{vm("a", false), target("x", true), target("y", false)})
			So(l.ChangesSince(seq), ShouldResemble, VMs{Changes: []VMChange{{Entry: target("x", true)}, {Entry: vm("b", false), Ended: true}}})
			Convey("and the whole to whom it is all news", func() {
				So(l.ChangesSince(0), ShouldResemble, VMs{Full: true, Changes: []VMChange{{Entry: vm("a", false)}, {Entry: target("x", true)}, {Entry: VMEntry{ID: "b"}, Ended: true}}})
			})
		})
		Convey("an empty list is never believed", func() {
			for range 5 {
				l.ApplyList(start, nil)
			}
			So(l.Seq(), ShouldEqual, seq)
		})
	})
	Convey("A list that lost most VMs is believed at the second read", t, func() {
		l := NewVMListTracker()
		l.ApplyList(start, []VMEntry{vm("a", false), vm("b", false), vm("c", false)})
		seq := l.Seq()
		l.ApplyList(start, []VMEntry{vm("a", false)})
		So(l.Seq(), ShouldEqual, seq)
		l.ApplyList(start, []VMEntry{vm("a", false)})
		So(l.Seq(), ShouldEqual, seq+2)
	})
}
