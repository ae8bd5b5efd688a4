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

// firstFreePlacer places every ticket on the first free target in a fixed order.
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

// testBed runs a controller and collects its decisions.
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

// ticket returns a ticket of normal priority, of workspace "w", with a deadline
// in 10 s.
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
		{"a released permit goes to the queued ticket", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"an abandoned attempt keeps its permit", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Release{1, false})
		}, []uint64{1}, nil, 1},
		{"an abandoned attempt's permit is released when its end is known", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a restart releases the permits of abandoned attempts granted before it", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Restarted{"e1", b.now.Add(time.Second)})
		}, []uint64{1, 2}, nil, 0},
		{"a restart releases no permit of an abandoned attempt granted after it", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Restarted{"e1", b.now.Add(-time.Second)})
		}, []uint64{1}, nil, 1},
		{"a restart releases no permit of an attempt that was not abandoned", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Restarted{"e1", b.now.Add(time.Second)})
		}, []uint64{1}, nil, 0},
		{"the removal of a VM releases the permits of abandoned attempts", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Release{1, false})
			b.step(Gone{"e1"})
		}, []uint64{1, 2}, nil, 0},
		{"a permit that is released twice is counted once", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, nil)
			b.step(Release{1, true})
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a canceled ticket is not granted", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, nil)
			b.step(Cancel{2})
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"a cancel after the grant releases no permit", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Cancel{1})
		}, []uint64{1}, nil, 0},
		{"urgent tickets are granted first", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, urgent)
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"urgent tickets can use reserved permits, normal tickets can't", []TargetLimit{{Name: "e1", Permits: 2, Reserved: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, urgent)
		}, []uint64{1, 3}, nil, 0},
		{"a retry within the retry budget is granted before new work", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, retry)
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"a retry over the retry budget queues with new work", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, retry)
			b.submit(2, nil)
			b.submit(3, retry)
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a retry over the retry budget is granted before new work once it has aged", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, retry)
			b.submit(2, nil)
			b.submit(3, retry)
			b.advance(DefaultSettings().AgeStep.Std())
			b.step(Release{1, true})
		}, []uint64{1, 3}, nil, 0},
		{"a batch ticket that has aged is granted before a normal ticket submitted later", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, batch)
			b.advance(DefaultSettings().AgeStep.Std())
			b.submit(3, nil)
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"the daemon's queue is bounded by the number of tickets", []TargetLimit{onePermit}, func(b *testBed) {
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
		{"the permits of a workspace are bounded", []TargetLimit{{Name: "e1", Permits: 3}}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.MaxInFlight = 1 })
			b.submit(2, func(t *Ticket) { t.MaxInFlight = 1 })
			b.submit(3, workspace("other"))
		}, []uint64{1, 3}, nil, 0},
		{"a ticket whose deadline passes in the queue is refused", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.advance(10 * time.Second)
		}, []uint64{1}, map[uint64]Reason{2: Expired}, 0},
		{"a ticket that is expected to miss its deadline is refused at once", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(8 * time.Second)
			b.step(Release{1, true})
			b.submit(2, nil)
			b.submit(3, nil)                                                     // expected wait: 8 s
			b.submit(4, nil)                                                     // expected wait: 16 s
			b.submit(5, func(t *Ticket) { t.Deadline = b.now.Add(time.Second) }) // expected wait: 24 s
		}, []uint64{1, 2}, map[uint64]Reason{4: TooLate, 5: TooLate}, 0},
		{"a request that no target can run is refused at once", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.Request = "never" })
		}, nil, map[uint64]Reason{1: NoTarget}, 0},
		{"a retry that no target can run is queued", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.Request, t.Retry = "never", true })
		}, nil, nil, 0},
		{"a ticket that can't be placed does not block other tickets", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, func(t *Ticket) { t.Request, t.Retry = "never", true })
			b.submit(2, nil)
		}, []uint64{2}, nil, 0},
		{"a lower limit takes effect as permits are released", []TargetLimit{{Name: "e1", Permits: 2}}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.submit(3, nil)
			b.step(Configure{Targets: []TargetLimit{onePermit}, Lanes: map[string][]string{testLane: {"e1"}}})
			b.step(Release{1, true})
		}, []uint64{1, 2}, nil, 0},
		{"a target that was removed from the configuration gets no ticket", []TargetLimit{onePermit}, func(b *testBed) {
			b.submit(1, nil)
			b.submit(2, nil)
			b.step(Configure{Lanes: map[string][]string{testLane: nil}})
			b.step(Release{1, true})
		}, []uint64{1}, nil, 0},
		{"a blocked target gets no ticket until it is unblocked", []TargetLimit{onePermit}, func(b *testBed) {
			b.step(Block{"e1", true})
			b.submit(1, nil)
			b.submit(2, urgent)
			b.step(Block{"e1", false})
		}, []uint64{2}, nil, 0},
		{"a blocked target does not count for the expected wait", []TargetLimit{onePermit, {Name: "e2", Permits: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(4 * time.Second)
			b.step(Release{1, true})
			b.step(Block{"e2", true})
			b.submit(2, nil)
			b.submit(3, nil) // expected wait: 4 s
			b.submit(4, nil) // expected wait: 8 s
			b.submit(5, nil) // expected wait: 12 s, or 6 s if the blocked target counted
		}, []uint64{1, 2}, map[uint64]Reason{5: TooLate}, 0},
		{"tickets that are expected to miss their deadlines after a loss of permits are refused at once", []TargetLimit{onePermit, {Name: "e2", Permits: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(4 * time.Second)
			b.step(Release{1, true})
			b.submit(2, nil)
			b.submit(3, nil)
			for id := uint64(4); id <= 6; id++ {
				b.submit(id, nil) // expected waits of tickets 4, 5 and 6: 2, 4 and 6 s
			}
			b.step(Tick{})
			b.step(Block{"e2", true})
			// With e1 alone, the expected waits of tickets 4, 5 and 6 are 4, 8 and 12 s.
			// Their deadlines are in 10 s.
			b.step(Tick{})
		}, []uint64{1, 2, 3}, map[uint64]Reason{6: TooLate}, 0},
		{"reserved permits do not count for the expected wait of normal tickets", []TargetLimit{{Name: "e1", Permits: 2, Reserved: 1}}, func(b *testBed) {
			b.submit(1, nil)
			b.now = b.now.Add(4 * time.Second)
			b.step(Release{1, true})
			b.submit(2, nil)
			b.submit(3, nil) // expected wait: 4 s
			b.submit(4, nil) // expected wait: 8 s
			b.submit(5, nil) // expected wait: 12 s, or 6 s if the reserved permit counted
		}, []uint64{1, 2}, map[uint64]Reason{5: TooLate}, 0},
		{"a ticket submitted twice is granted once", []TargetLimit{{Name: "e1", Permits: 2}}, func(b *testBed) {
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
	Convey("Given a workspace with 100 queued tickets and one with a single ticket", t, func() {
		b := newTestBed(DefaultSettings(), nil, TargetLimit{Name: "e1", Permits: 4})
		for id := uint64(1); id <= 100; id++ {
			b.submit(id, workspace("flood"))
		}
		b.submit(1000, workspace("quiet"))
		Convey("the next permit goes to the single ticket", func() {
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
		Convey("their permits are in the ratio of the weights", func() {
			for i := 0; i < 60; i++ {
				b.step(Release{b.granted[i], true})
			}
			So(b.c.lanes[testLane].flows["heavy"].inFlight, ShouldEqual, 6)
			So(b.c.lanes[testLane].flows["light"].inFlight, ShouldEqual, 2)
		})
	})
	Convey("Given a continuous backlog of urgent tickets and one normal ticket", t, func() {
		b := newTestBed(DefaultSettings(), nil, TargetLimit{Name: "e1", Permits: 1})
		b.submit(1, urgent)
		b.submit(2, nil)
		for id := uint64(3); id < 100; id++ {
			b.submit(id, urgent)
		}
		Convey("the normal ticket still gets a permit", func() {
			for i := 0; i < 2*maxUrgentStreak; i++ {
				b.step(Release{b.granted[len(b.granted)-1], true})
			}
			So(b.granted, ShouldContain, uint64(2))
		})
	})
}
