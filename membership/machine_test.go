package membership

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/peer"
)

var start = time.Unix(1_700_000_000, 0)

// link carries messages between machines in the order they are decided.
// reaches tells whether from can open a connection to to.
type link struct {
	now      time.Time
	machines map[string]*Machine
	paused   map[string]bool
	reaches  func(from, to string) bool
	tamper   func(to string, m Message) Message
	view     func(*View) *View
	largest  int
}

func newLink(n int) *link {
	l := &link{now: start, machines: make(map[string]*Machine), paused: make(map[string]bool)}
	for i := range n {
		l.add(fmt.Sprintf("vm-%d", i), 1)
	}
	for _, id := range l.ids() {
		l.deliver(id, l.listing())
		l.deliver(id, InForce{Version: 1})
	}
	return l
}

func (l *link) add(id string, incarnation uint64) {
	self := peer.Identity{ID: id, Incarnation: incarnation, PeerAddress: id, APIAddress: id}
	l.machines[id] = New(Made{Self: self, Settings: DefaultSettings(), Seed: uint64(len(id)) + incarnation})
}

func (l *link) ids() []string { return sortedKeys(l.machines) }

func (l *link) listing() VMs {
	out := VMs{Full: true}
	for _, id := range l.ids() {
		out.Changes = append(out.Changes, VMChange{Entry: VMEntry{ID: id, APIAddress: id, PeerAddress: id}})
	}
	return out
}

func (l *link) connects(from, to string) bool {
	m := l.machines[to]
	return m != nil && !l.paused[to] && (l.reaches == nil || l.reaches(from, to))
}

func (l *link) deliver(id string, in Input) *Message {
	var reply *Message
	for _, d := range l.machines[id].Step(l.now, in) {
		switch d := d.(type) {
		case Reply:
			reply = &d.Message
		case Probe:
			ok := l.probe(id, d.ID, d.Message)
			l.deliver(id, Probed{ID: d.ID, OK: ok})
		case ProbeVia:
			asked := l.connects(id, d.Via)
			ok := asked && l.probe(d.Via, d.ID, Message{From: l.machines[d.Via].Self()})
			l.deliver(id, Probed{ID: d.ID, Via: d.Via, Asked: asked, OK: ok})
		case Sync:
			if l.connects(id, d.ID) {
				l.deliver(id, Synced{l.machines[d.ID].DifferingRumors(l.machines[id].Digest())})
			}
		}
	}
	return reply
}

func (l *link) probe(from, to string, msg Message) bool {
	if !l.connects(from, to) {
		return false
	}
	if l.tamper != nil {
		msg = l.tamper(to, msg)
	}
	l.largest = max(l.largest, len(msg.Rumors))
	reply := *l.deliver(to, Heard{msg})
	if l.tamper != nil {
		reply = l.tamper(from, reply)
	}
	l.deliver(from, Heard{reply})
	return true
}

// run lets time pass on all machines that are not paused.
func (l *link) run(ticks int) {
	for range ticks {
		l.now = l.now.Add(ProbePeriod)
		for _, id := range l.ids() {
			if !l.paused[id] {
				l.deliver(id, Tick{})
			}
		}
	}
}

func (l *link) platform() {
	for _, id := range l.ids() {
		if !l.paused[id] {
			l.deliver(id, PlatformSeen{})
		}
	}
}

func (l *link) state(of, seenBy string) State {
	for _, m := range l.machines[seenBy].View().Members {
		if m.ID == of {
			return m.State
		}
	}
	return ""
}

// seen returns how the others see a member, each state once.
func (l *link) seen(of string) []State {
	var out []State
	for _, by := range l.ids() {
		if s := l.state(of, by); by != of && !l.paused[by] && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

func cut(ids ...string) func(from, to string) bool {
	return func(from, to string) bool { return slices.Contains(ids, from) == slices.Contains(ids, to) }
}

func TestFaults(t *testing.T) {
	const fleet, settle = 8, 25
	cases := []struct {
		name     string
		fault    func(l *link)
		mend     func(l *link)
		during   []State // how others see vm-0 under the fault
		isolated bool    // vm-0 under the fault, in an outage of the platform
		after    []State
	}{
		{"nothing", func(*link) {}, func(*link) {}, []State{Alive}, false, []State{Alive}},
		{"paused and woken", func(l *link) { l.paused["vm-0"] = true }, func(l *link) { l.paused["vm-0"] = false },
			[]State{Suspect}, false, []State{Alive}},
		{"cut off both ways", func(l *link) { l.reaches = cut("vm-0") }, func(l *link) { l.reaches = nil },
			[]State{Suspect}, true, []State{Alive}},
		{"can't be reached", func(l *link) { l.reaches = func(_, to string) bool { return to != "vm-0" } },
			func(l *link) { l.reaches = nil }, []State{Suspect}, false, []State{Alive}},
		{"can't reach others", func(l *link) { l.reaches = func(from, _ string) bool { return from != "vm-0" } },
			func(l *link) { l.reaches = nil }, []State{Alive}, true, []State{Alive}},
		{"cut from one peer only", func(l *link) {
			l.reaches = func(from, to string) bool { return from+to != "vm-0vm-1" && from+to != "vm-1vm-0" }
		}, func(l *link) { l.reaches = nil }, []State{Alive}, false, []State{Alive}},
		{"in a minority of three", func(l *link) { l.reaches = cut("vm-0", "vm-1", "vm-2") },
			func(l *link) { l.reaches = nil }, nil, true, []State{Alive}},
		{"restarted", func(l *link) { l.add("vm-0", 2); l.deliver("vm-0", l.listing()); l.deliver("vm-0", InForce{1}) },
			func(*link) {}, []State{Alive}, false, []State{Alive}},
		{"leaving", func(l *link) { l.deliver("vm-0", Leave{}) }, func(*link) {}, []State{Leaving}, false, []State{Leaving}},
	}
	for _, c := range cases {
		Convey("A daemon that is "+c.name, t, func() {
			l := newLink(fleet)
			l.run(settle)
			c.fault(l)
			l.run(settle)
			if c.during != nil {
				So(l.seen("vm-0"), ShouldResemble, c.during)
			}
			So(l.machines["vm-0"].View().Isolated, ShouldEqual, c.isolated)
			So(l.machines["vm-7"].View().Terminated("vm-0", 2), ShouldBeFalse)
			c.mend(l)
			l.run(2 * settle)
			So(l.seen("vm-0"), ShouldResemble, c.after)
			So(l.machines["vm-0"].View().Isolated, ShouldBeFalse)
			So(l.largest, ShouldBeLessThanOrEqualTo, maxRumors+1)
		})
	}
}

func TestIsolation(t *testing.T) {
	Convey("Given a daemon that is cut off from all peers", t, func() {
		l := newLink(8)
		l.run(20)
		l.reaches = cut("vm-0")
		Convey("it takes work as long as the platform answers", func() {
			for range 20 {
				l.platform()
				l.run(1)
				So(l.machines["vm-0"].View().Isolated, ShouldBeFalse)
			}
		})
		Convey("it takes none a few seconds after the platform is lost too", func() {
			l.run(6)
			So(l.machines["vm-0"].View().Isolated, ShouldBeTrue)
			So(l.machines["vm-0"].View().Directory("", "k"), ShouldNotContain, "vm-0")
			So(l.machines["vm-1"].View().Isolated, ShouldBeFalse)
		})
	})
	Convey("In an outage of the platform that all see, everyone goes on", t, func() {
		l := newLink(8)
		l.run(120)
		for _, id := range l.ids() {
			So(l.machines[id].View().Isolated, ShouldBeFalse)
		}
	})
	Convey("A daemon that wakes from a pause takes no work before it heard of anyone", t, func() {
		l := newLink(4)
		l.run(10)
		l.platform()
		l.reaches = cut("vm-0")
		l.now = l.now.Add(time.Minute)
		l.run(1)
		So(l.machines["vm-0"].View().Isolated, ShouldBeTrue)
		l.deliver("vm-0", PlatformSeen{})
		So(l.machines["vm-0"].View().Isolated, ShouldBeFalse)
	})
}

func TestGone(t *testing.T) {
	Convey("Given a daemon that fell silent", t, func() {
		l := newLink(4)
		l.run(10)
		l.paused["vm-0"] = true
		gone := func() bool { return l.machines["vm-1"].View().Terminated("vm-0", 1) }
		ended := VMs{Changes: []VMChange{{Entry: VMEntry{ID: "vm-0"}, Ended: true}}}
		Convey("silence is never the end", func() {
			l.run(3600)
			So(gone(), ShouldBeFalse)
		})
		Convey("leaving the VM list is, after the grace for lists that disagree", func() {
			l.run(10)
			l.deliver("vm-1", ended)
			So(gone(), ShouldBeFalse)
			l.run(4)
			l.deliver("vm-1", VMs{})
			So(gone(), ShouldBeTrue)
		})
		Convey("a list that names it again in time takes that back", func() {
			l.run(10)
			l.deliver("vm-1", ended)
			l.deliver("vm-1", l.listing())
			l.run(10)
			l.deliver("vm-1", VMs{})
			So(gone(), ShouldBeFalse)
		})
		Convey("a later incarnation is", func() {
			l.add("vm-0", 2)
			l.paused["vm-0"] = false
			l.deliver("vm-0", l.listing())
			l.run(10)
			So(gone(), ShouldBeTrue)
			So(l.machines["vm-1"].View().Terminated("vm-0", 2), ShouldBeFalse)
		})
	})
	Convey("A daemon that is heard although its VM left the list is not gone", t, func() {
		l := newLink(4)
		l.run(10)
		l.deliver("vm-1", VMs{Changes: []VMChange{{Entry: VMEntry{ID: "vm-0"}, Ended: true}}})
		l.run(1)
		l.deliver("vm-1", VMs{})
		So(l.machines["vm-1"].View().Terminated("vm-0", 1), ShouldBeFalse)
	})
}

func TestBranches(t *testing.T) {
	Convey("A tree of branches covers every serving member once, its root included", t, func() {
		l := newLink(40)
		l.run(20)
		view := l.machines["vm-0"].View()
		for salt := range uint64(20) {
			seen := make(map[string]int)
			var cover func(Arc)
			cover = func(a Arc) {
				for _, b := range view.Branches(salt, a) {
					seen[b.Member.ID]++
					if b.NeedsRelay {
						cover(b.RelayArc)
					}
				}
			}
			cover(Arc{0, math.MaxUint64})
			So(len(seen), ShouldEqual, 40)
			for _, times := range seen {
				So(times, ShouldEqual, 1)
			}
		}
	})
}

func TestDirectory(t *testing.T) {
	Convey("Given a view of two places", t, func() {
		v := &View{}
		for i := range 8 {
			id := fmt.Sprintf("vm-%d", i)
			v.Members = append(v.Members, Member{Identity: peer.Identity{ID: id, APIAddress: id, Place: fmt.Sprint("p", i%2)}, State: Alive})
		}
		Convey("callers get their own place first, and land evenly", func() {
			first := make(map[string]int)
			const callers = 4000
			for k := range callers {
				first[v.Directory("p1", fmt.Sprint(k))[0]]++
			}
			So(len(first), ShouldEqual, 4)
			for _, n := range first {
				So(n, ShouldBeBetween, callers/4*8/10, callers/4*12/10)
			}
		})
		Convey("a member that leaves is in no answer", func() {
			v.Members[3].State = Leaving
			So(v.Directory("p1", "k"), ShouldNotContain, "vm-3")
			So(len(v.Directory("p1", "k")), ShouldEqual, 7)
		})
	})
}
