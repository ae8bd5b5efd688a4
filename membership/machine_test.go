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

// simulation connects several machines and delivers their messages in the order of
// the decisions. canConnect reports whether daemon from can open a connection to
// daemon to; nil means that all daemons are connected. tamper and alterView, if set,
// modify messages and views to simulate a faulty machine.
type simulation struct {
	now           time.Time
	machines      map[string]*Machine
	paused        map[string]bool
	canConnect    func(from, to string) bool
	tamper        func(to string, m Message) Message
	alterView     func(*View) *View
	maxRumorsSent int
}

func newSimulation(n int) *simulation {
	sim := &simulation{now: start, machines: make(map[string]*Machine), paused: make(map[string]bool)}
	for i := range n {
		sim.addDaemon(fmt.Sprintf("vm-%d", i), 1)
	}
	for _, id := range sim.ids() {
		sim.deliver(id, sim.fullList())
		sim.deliver(id, InForce{Version: 1})
	}
	return sim
}

func (sim *simulation) addDaemon(id string, incarnation uint64) {
	self := peer.Identity{ID: id, Incarnation: incarnation, PeerAddress: id, APIAddress: id}
	sim.machines[id] = New(Made{Self: self, Settings: DefaultSettings(), Seed: uint64(len(id)) + incarnation})
}

func (sim *simulation) ids() []string { return sortedKeys(sim.machines) }

func (sim *simulation) fullList() VMs {
	out := VMs{Full: true}
	for _, id := range sim.ids() {
		out.Changes = append(out.Changes, VMChange{Entry: VMEntry{ID: id, APIAddress: id, PeerAddress: id}})
	}
	return out
}

func (sim *simulation) reachable(from, to string) bool {
	m := sim.machines[to]
	return m != nil && !sim.paused[to] && (sim.canConnect == nil || sim.canConnect(from, to))
}

func (sim *simulation) deliver(id string, in Input) *Message {
	var reply *Message
	for _, d := range sim.machines[id].Step(sim.now, in) {
		switch d := d.(type) {
		case Reply:
			reply = &d.Message
		case Probe:
			ok := sim.probe(id, d.ID, d.Message)
			sim.deliver(id, Probed{ID: d.ID, OK: ok})
		case ProbeVia:
			asked := sim.reachable(id, d.Via)
			ok := asked && sim.probe(d.Via, d.ID, Message{From: sim.machines[d.Via].Self()})
			sim.deliver(id, Probed{ID: d.ID, Via: d.Via, Asked: asked, OK: ok})
		case Sync:
			if sim.reachable(id, d.ID) {
				sim.deliver(id, Synced{sim.machines[d.ID].DifferingRumors(sim.machines[id].Digest())})
			}
		}
	}
	return reply
}

func (sim *simulation) probe(from, to string, msg Message) bool {
	if !sim.reachable(from, to) {
		return false
	}
	if sim.tamper != nil {
		msg = sim.tamper(to, msg)
	}
	sim.maxRumorsSent = max(sim.maxRumorsSent, len(msg.Rumors))
	reply := *sim.deliver(to, Heard{msg})
	if sim.tamper != nil {
		reply = sim.tamper(from, reply)
	}
	sim.deliver(from, Heard{reply})
	return true
}

// run advances the time by a number of ticks on all machines that are not paused.
func (sim *simulation) run(ticks int) {
	for range ticks {
		sim.now = sim.now.Add(ProbePeriod)
		for _, id := range sim.ids() {
			if !sim.paused[id] {
				sim.deliver(id, Tick{})
			}
		}
	}
}

func (sim *simulation) deliverPlatformAnswer() {
	for _, id := range sim.ids() {
		if !sim.paused[id] {
			sim.deliver(id, PlatformSeen{})
		}
	}
}

func (sim *simulation) state(id, viewer string) State {
	for _, m := range sim.machines[viewer].View().Members {
		if m.ID == id {
			return m.State
		}
	}
	return ""
}

// observedStates returns the distinct states in which the other members see a
// member.
func (sim *simulation) observedStates(id string) []State {
	var out []State
	for _, viewer := range sim.ids() {
		if s := sim.state(id, viewer); viewer != id && !sim.paused[viewer] && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// partition returns a canConnect function that separates the given daemons from all
// others.
func partition(ids ...string) func(from, to string) bool {
	return func(from, to string) bool { return slices.Contains(ids, from) == slices.Contains(ids, to) }
}

// TestFaults guards against a daemon being suspected, isolated or considered
// terminated without reason, and against a state that remains after the fault that
// caused it was repaired.
func TestFaults(t *testing.T) {
	const fleetSize, settleTicks = 8, 25
	cases := []struct {
		name              string
		fault             func(sim *simulation)
		repair            func(sim *simulation)
		statesDuringFault []State // of vm-0 as seen by the others; nil skips the check
		isolated          bool    // whether vm-0 is isolated during the fault, with the platform unavailable
		statesAfterRepair []State
	}{
		{"not faulty", func(*simulation) {}, func(*simulation) {}, []State{Alive}, false, []State{Alive}},
		{"paused and resumed", func(sim *simulation) { sim.paused["vm-0"] = true }, func(sim *simulation) { sim.paused["vm-0"] = false },
			[]State{Suspect}, false, []State{Alive}},
		{"partitioned in both directions", func(sim *simulation) { sim.canConnect = partition("vm-0") }, func(sim *simulation) { sim.canConnect = nil },
			[]State{Suspect}, true, []State{Alive}},
		{"unreachable for its peers", func(sim *simulation) { sim.canConnect = func(_, to string) bool { return to != "vm-0" } },
			func(sim *simulation) { sim.canConnect = nil }, []State{Suspect}, false, []State{Alive}},
		{"unable to reach its peers", func(sim *simulation) { sim.canConnect = func(from, _ string) bool { return from != "vm-0" } },
			func(sim *simulation) { sim.canConnect = nil }, []State{Alive}, true, []State{Alive}},
		{"disconnected from one peer only", func(sim *simulation) {
			sim.canConnect = func(from, to string) bool { return from+to != "vm-0vm-1" && from+to != "vm-1vm-0" }
		}, func(sim *simulation) { sim.canConnect = nil }, []State{Alive}, false, []State{Alive}},
		{"in a partition of three of eight", func(sim *simulation) { sim.canConnect = partition("vm-0", "vm-1", "vm-2") },
			func(sim *simulation) { sim.canConnect = nil }, nil, true, []State{Alive}},
		{"restarted", func(sim *simulation) {
			sim.addDaemon("vm-0", 2)
			sim.deliver("vm-0", sim.fullList())
			sim.deliver("vm-0", InForce{1})
		},
			func(*simulation) {}, []State{Alive}, false, []State{Alive}},
		{"leaving", func(sim *simulation) { sim.deliver("vm-0", Leave{}) }, func(*simulation) {}, []State{Leaving}, false, []State{Leaving}},
	}
	for _, c := range cases {
		Convey("A daemon that is "+c.name, t, func() {
			sim := newSimulation(fleetSize)
			sim.run(settleTicks)
			c.fault(sim)
			sim.run(settleTicks)
			if c.statesDuringFault != nil {
				So(sim.observedStates("vm-0"), ShouldResemble, c.statesDuringFault)
			}
			So(sim.machines["vm-0"].View().Isolated, ShouldEqual, c.isolated)
			So(sim.machines["vm-7"].View().Terminated("vm-0", 2), ShouldBeFalse)
			c.repair(sim)
			sim.run(2 * settleTicks)
			So(sim.observedStates("vm-0"), ShouldResemble, c.statesAfterRepair)
			So(sim.machines["vm-0"].View().Isolated, ShouldBeFalse)
			So(sim.maxRumorsSent, ShouldBeLessThanOrEqualTo, maxRumors+1)
		})
	}
}

// TestIsolation guards against a disconnected daemon that continues to accept work,
// and against all daemons stopping when only the platform fails.
func TestIsolation(t *testing.T) {
	Convey("Given a daemon that is disconnected from all peers", t, func() {
		sim := newSimulation(8)
		sim.run(20)
		sim.canConnect = partition("vm-0")
		Convey("it accepts work while the platform answers", func() {
			for range 20 {
				sim.deliverPlatformAnswer()
				sim.run(1)
				So(sim.machines["vm-0"].View().Isolated, ShouldBeFalse)
			}
		})
		Convey("it stops accepting work a few seconds after the platform fails too", func() {
			sim.run(6)
			So(sim.machines["vm-0"].View().Isolated, ShouldBeTrue)
			So(sim.machines["vm-0"].View().Directory("", "k"), ShouldNotContain, "vm-0")
			So(sim.machines["vm-1"].View().Isolated, ShouldBeFalse)
		})
	})
	Convey("If all daemons lose the platform, none is isolated", t, func() {
		sim := newSimulation(8)
		sim.run(120)
		for _, id := range sim.ids() {
			So(sim.machines[id].View().Isolated, ShouldBeFalse)
		}
	})
	Convey("A daemon that resumes from a pause is isolated until its first contact", t, func() {
		sim := newSimulation(4)
		sim.run(10)
		sim.deliverPlatformAnswer()
		sim.canConnect = partition("vm-0")
		sim.now = sim.now.Add(time.Minute)
		sim.run(1)
		So(sim.machines["vm-0"].View().Isolated, ShouldBeTrue)
		sim.deliver("vm-0", PlatformSeen{})
		So(sim.machines["vm-0"].View().Isolated, ShouldBeFalse)
	})
}

// TestGone guards against considering a daemon terminated while it may still run:
// pauses, partitions and VM lists that disagree must not have this effect.
func TestGone(t *testing.T) {
	Convey("Given a daemon that stopped answering", t, func() {
		sim := newSimulation(4)
		sim.run(10)
		sim.paused["vm-0"] = true
		terminated := func() bool { return sim.machines["vm-1"].View().Terminated("vm-0", 1) }
		removal := VMs{Changes: []VMChange{{Entry: VMEntry{ID: "vm-0"}, Ended: true}}}
		Convey("it is not considered terminated, however long it does not answer", func() {
			sim.run(3600)
			So(terminated(), ShouldBeFalse)
		})
		Convey("it is terminated when its VM is removed from the VM list and the grace period passes", func() {
			sim.run(10)
			sim.deliver("vm-1", removal)
			So(terminated(), ShouldBeFalse)
			sim.run(4)
			sim.deliver("vm-1", VMs{})
			So(terminated(), ShouldBeTrue)
		})
		Convey("it is not terminated if its VM is listed again within the grace period", func() {
			sim.run(10)
			sim.deliver("vm-1", removal)
			sim.deliver("vm-1", sim.fullList())
			sim.run(10)
			sim.deliver("vm-1", VMs{})
			So(terminated(), ShouldBeFalse)
		})
		Convey("it is terminated when a later incarnation is known", func() {
			sim.addDaemon("vm-0", 2)
			sim.paused["vm-0"] = false
			sim.deliver("vm-0", sim.fullList())
			sim.run(10)
			So(terminated(), ShouldBeTrue)
			So(sim.machines["vm-1"].View().Terminated("vm-0", 2), ShouldBeFalse)
		})
	})
	Convey("A daemon that still sends messages is not terminated although its VM was removed from the list", t, func() {
		sim := newSimulation(4)
		sim.run(10)
		sim.deliver("vm-1", VMs{Changes: []VMChange{{Entry: VMEntry{ID: "vm-0"}, Ended: true}}})
		sim.run(1)
		sim.deliver("vm-1", VMs{})
		So(sim.machines["vm-1"].View().Terminated("vm-0", 1), ShouldBeFalse)
	})
}

func TestBranches(t *testing.T) {
	Convey("A broadcast tree contains every recipient and its root exactly once", t, func() {
		sim := newSimulation(40)
		sim.run(20)
		view := sim.machines["vm-0"].View()
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
	Convey("Given a view with members in two places", t, func() {
		v := &View{}
		for i := range 8 {
			id := fmt.Sprintf("vm-%d", i)
			v.Members = append(v.Members, Member{Identity: peer.Identity{ID: id, APIAddress: id, Place: fmt.Sprint("p", i%2)}, State: Alive})
		}
		Convey("callers get members of their own place first, and spread evenly over them", func() {
			hits := make(map[string]int)
			const callers = 4000
			for k := range callers {
				hits[v.Directory("p1", fmt.Sprint(k))[0]]++
			}
			So(len(hits), ShouldEqual, 4)
			for _, n := range hits {
				So(n, ShouldBeBetween, callers/4*8/10, callers/4*12/10)
			}
		})
		Convey("a leaving member is in no answer", func() {
			v.Members[3].State = Leaving
			So(v.Directory("p1", "k"), ShouldNotContain, "vm-3")
			So(len(v.Directory("p1", "k")), ShouldEqual, 7)
		})
	})
}
