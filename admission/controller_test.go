package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/target"
)

var start = time.Unix(1_800_000_000, 0)

const testLane = "pisar/new"

// firstFreePlacer places every ticket on the first free target in order.
type firstFreePlacer struct {
	order       []string
	unplaceable map[string]bool // requests that no target can run
}

func (p firstFreePlacer) Place(_ time.Time, t Ticket, free func(string) bool) (string, PlacementResult) {
	if p.unplaceable[t.Request] {
		return "", NoneEligible
	}
	for _, name := range p.order {
		if free(name) {
			return name, Placed
		}
	}
	return "", AllBusy
}

// testBed drives a controller and keeps what it decided.
type testBed struct {
	c       *Controller
	now     time.Time
	granted []uint64
	refused map[uint64]Refuse
	delayed int
}

func newTestBed(s Settings, unplaceable []string, targets ...TargetLimit) *testBed {
	p := firstFreePlacer{unplaceable: make(map[string]bool)}
	for _, r := range unplaceable {
		p.unplaceable[r] = true
	}
	var names []string
	for _, t := range targets {
		names = append(names, t.Name)
	}
	p.order = names
	b := &testBed{c: NewController(s, p), now: start, refused: make(map[uint64]Refuse)}
	b.step(Configure{Targets: targets, Lanes: map[string][]string{testLane: names}})
	return b
}

func (b *testBed) step(m Message) {
	for _, d := range b.c.Step(b.now, m) {
		switch d := d.(type) {
		case Grant:
			b.granted = append(b.granted, d.ID)
		case Refuse:
			b.refused[d.ID] = d
		case Delayed:
			b.delayed++
		}
	}
}

func (b *testBed) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.step(Tick{})
}

// ticket returns a normal ticket of workspace "w" that can wait 10 s.
func (b *testBed) ticket(id uint64) Ticket {
	return Ticket{
		ID: id, Request: fmt.Sprint("r", id), Workspace: "w", Lane: testLane, Priority: target.Normal,
		Deadline: b.now.Add(10 * time.Second), Bytes: 100, Weight: 1, MaxQueued: 1000,
	}
}

func (b *testBed) submit(id uint64, change func(*Ticket)) {
	t := b.ticket(id)
	if change != nil {
		change(&t)
	}
	b.step(Submit{t})
}

func urgent(t *Ticket) { t.Priority = target.Urgent }
func batch(t *Ticket)  { t.Priority = target.Batch }
func retry(t *Ticket)  { t.Retry = true }
func workspace(name string) func(*Ticket) {
	return func(t *Ticket) { t.Workspace = name }
}

func TestControllerFaults(t *testing.T) {
	smallSettings := DefaultSettings()
	smallSettings.MaxQueued, smallSettings.MaxQueuedBytes, smallSettings.RetryBurst = 3, 1000, 1
	onePermit := TargetLimit{Name: "e1", Permits: 1}
	cases := []struct {
		name      string
		targets   []TargetLimit
		run       func(*testBed)
		granted   []uint64
		refused   map[uint64]Reason
		abandoned int
	}{
		{"a permit that comes free goes to the one that waits", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a left attempt keeps its permit", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Release{1, false})
		}, []uint64{1}, nil, 1},
		{"a left attempt's permit comes back when its end is known", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a restart frees left attempts granted before it", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Restarted{"e1", b.now.Add(time.Second)})
		}, []uint64{1, 2}, nil, 0},
		{"a restart frees no left attempt granted after it", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Restarted{"e1", b.now.Add(-time.Second)})
		}, []uint64{1}, nil, 1},
		{"a restart frees no attempt that was not left", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Restarted{"e1", b.now.Add(time.Second)})
		}, []uint64{1}, nil, 0},
		{"a VM that is gone frees left attempts", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Gone{"e1"})
		}, []uint64{1, 2}, nil, 0},
		{"a double release gives back one permit", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, nil)
			b.step(Release{1, true})
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a cancelled ticket is not granted", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, nil)
			b.step(Cancel{2})
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"a cancel after the grant frees nothing", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Cancel{1})
		}, []uint64{1}, nil, 0},
		{"confirmations go first", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, urgent)
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"drafts don't use the reserved permits, confirmations do", []TargetLimit{{Name: "e1", Permits: 2, Reserved: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, urgent)
		}, []uint64{1, 3}, nil, 0},
		{"an attempt after a loss goes before new work, within the budget", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, retry)
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"over the budget it waits with new work", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, retry)
			b.submit(2, nil)
			b.submit(3, retry)
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"over the budget it still goes ahead once it has aged", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, retry)
			b.submit(2, nil)
			b.submit(3, retry)
			b.advance(DefaultSettings().AgeStep.Std())
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"batch work that aged goes with normal work of its time", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, batch)
			b.advance(DefaultSettings().AgeStep.Std())
			b.submit(3, nil)
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"the daemon's queue is bounded by count", []TargetLimit{onePermit}, func(b *testBed) {
			for id := uint64(1); id <= 5; id++ {
				b.submit(id, nil)
			}
		}, []uint64{1}, map[uint64]Reason{5: QueueFull}, 0},
		{"the daemon's queue is bounded by bytes", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, func(t *Ticket) { t.Bytes = 900 })
			b.submit(3, func(t *Ticket) { t.Bytes = 101 })
		}, []uint64{1}, map[uint64]Reason{3: QueueFull}, 0},
		{"a workspace's queue is bounded", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, func(t *Ticket) { t.MaxQueued = 1 })
			b.submit(3, func(t *Ticket) { t.MaxQueued = 1 })
			b.submit(4, workspace("other"))
		}, []uint64{1}, map[uint64]Reason{3: WorkspaceFull}, 0},
		{"a workspace's running work is bounded", []TargetLimit{{Name: "e1", Permits: 3}}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.MaxInFlight = 1 })
			b.submit(2, func(t *Ticket) { t.MaxInFlight = 1 })
			b.submit(3, workspace("other"))
		}, []uint64{1, 3}, nil, 0},
		{"a deadline that passes in the queue is told", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.advance(10 * time.Second)
		}, []uint64{1}, map[uint64]Reason{2: Expired}, 0},
		{"a wait beyond the deadline is refused at once", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(8 * time.Second)
			b.step(Release{1, true})
			b.submit(2, nil)
			b.submit(3, nil)                                                     // 8 s expected
			b.submit(4, nil)                                                     // 16 s expected
			b.submit(5, func(t *Ticket) { t.Deadline = b.now.Add(time.Second) }) // 24 s expected
		}, []uint64{1, 2}, map[uint64]Reason{4: TooLate, 5: TooLate}, 0},
		{"a request that no target can run is refused at once", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.Request = "never" })
		}, nil, map[uint64]Reason{1: NoTarget}, 0},
		{"an answer that runs waits for a target that can go on", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.Request, t.Retry = "never", true })
		}, nil, nil, 0},
		{"a ticket that finds no target does not hold others back", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.Request, t.Retry = "never", true })
			b.submit(2, nil)
		}, []uint64{2}, nil, 0},
		{"a lower limit takes effect as permits come back", []TargetLimit{{Name: "e1", Permits: 2}}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, nil)
			b.step(Configure{Targets: []TargetLimit{onePermit}, Lanes: map[string][]string{testLane: {"e1"}}})
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a target that left the configuration gets nothing", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Configure{Lanes: map[string][]string{testLane: nil}})
			b.step(Release{1, true})
		}, []uint64{1}, nil, 0},
		{"a blocked target gets nothing until it is back", []TargetLimit{onePermit}, func(b *testBed) {
			b.step(Block{"e1", true})
			b.submit(1, nil)
			b.submit(2, urgent)
			b.step(Block{"e1", false})
		}, []uint64{2}, nil, 0},
		{"a blocked target shortens no expected wait", []TargetLimit{onePermit, {Name: "e2", Permits: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(4 * time.Second)
			b.step(Release{1, true})
			b.step(Block{"e2", true})
			b.submit(2, nil)
			b.submit(3, nil) // 4 s expected
			b.submit(4, nil) // 8 s expected
			b.submit(5, nil) // 12 s expected, 6 s if the blocked one counted
		}, []uint64{1, 2}, map[uint64]Reason{5: TooLate}, 0},
		{"tickets that can't be served in time any more are refused when permits are lost", []TargetLimit{onePermit, {Name: "e2", Permits: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(4 * time.Second)
			b.step(Release{1, true})
			b.submit(2, nil)
			b.submit(3, nil)
			for id := uint64(4); id <= 6; id++ {
				b.submit(id, nil) // 2, 4 and 6 s expected
			}
			b.step(Tick{})
			b.step(Block{"e2", true})
			b.step(Tick{}) // 4, 8 and 12 s expected
		}, []uint64{1, 2, 3}, map[uint64]Reason{6: TooLate}, 0},
		{"reserved permits shorten no draft's expected wait", []TargetLimit{{Name: "e1", Permits: 2, Reserved: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(4 * time.Second)
			b.step(Release{1, true})
			b.submit(2, nil)
			b.submit(3, nil) // 4 s expected
			b.submit(4, nil) // 8 s expected
			b.submit(5, nil) // 12 s expected, 6 s if the reserved one counted
		}, []uint64{1, 2}, map[uint64]Reason{5: TooLate}, 0},
		{"the same ticket twice is one", []TargetLimit{{Name: "e1", Permits: 2}}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(1, nil)
		}, []uint64{1}, nil, 0},
	}
	Convey("Given a controller", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				b := newTestBed(smallSettings, []string{"never"}, c.targets...)
				c.run(b)
				So(b.granted, ShouldResemble, c.granted)
				So(len(b.refused), ShouldEqual, len(c.refused))
				for id, reason := range c.refused {
					So(b.refused[id].Reason, ShouldEqual, reason)
					So(b.refused[id].RetryAfter, ShouldBeGreaterThanOrEqualTo, minRetryAfter)
				}
				So(b.c.Stats().Abandoned, ShouldEqual, c.abandoned)
			})
		}
	})
}

func TestFairness(t *testing.T) {
	Convey("Given a workspace that floods the queue and one that asks now and then", t, func() {
		b := newTestBed(DefaultSettings(), nil, TargetLimit{Name: "e1", Permits: 4})
		for id := uint64(1); id <= 100; id++ {
			b.submit(id, workspace("flood"))
		}
		b.submit(1000, workspace("quiet"))
		Convey("the next permit goes to the quiet one", func() {
			b.step(Release{1, true})
			So(b.granted[len(b.granted)-1], ShouldEqual, 1000)
		})
	})
	Convey("Given two workspaces with queues and weights 3 and 1", t, func() {
		b := newTestBed(DefaultSettings(), nil, TargetLimit{Name: "e1", Permits: 8})
		for id := uint64(1); id <= 100; id++ {
			b.submit(2*id, func(t *Ticket) { t.Workspace, t.Weight = "heavy", 3 })
			b.submit(2*id+1, workspace("light"))
		}
		Convey("permits are held in that ratio", func() {
			for i := 0; i < 60; i++ {
				b.step(Release{b.granted[i], true})
			}
			So(b.c.lanes[testLane].flows["heavy"].inFlight, ShouldEqual, 6)
			So(b.c.lanes[testLane].flows["light"].inFlight, ShouldEqual, 2)
		})
	})
	Convey("Given confirmations without end", t, func() {
		b := newTestBed(DefaultSettings(), nil, TargetLimit{Name: "e1", Permits: 1})
		b.submit(1, urgent)
		b.submit(2, nil)
		for id := uint64(3); id < 100; id++ {
			b.submit(id, urgent)
		}
		Convey("a draft still gets a permit", func() {
			for i := 0; i < 2*maxUrgentStreak; i++ {
				b.step(Release{b.granted[len(b.granted)-1], true})
			}
			So(b.granted, ShouldContain, uint64(2))
		})
	})
}
