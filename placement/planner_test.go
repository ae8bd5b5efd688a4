package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/target"
)

func service(targets []configuration.Target) *configuration.ServiceView {
	d := configuration.Document{
		Services: []configuration.Service{{Name: "pisar", Kind: configuration.Generation, Selector: "s=p", Model: "writer", Version: "1"}},
		Targets:  targets,
	}
	s, err := configuration.NewSnapshot(1, d)
	So(err, ShouldBeNil)
	v, _ := s.Service("pisar")
	return v
}

// targetState returns a target that reports version have of the model. Its wanted
// version is want; if want is empty, it has no wanted state.
func targetState(name, have, want string) TargetState {
	t := configuration.Target{Name: name, Labels: map[string]string{"s": "p"}, Permits: 1, ChecksFencing: true}
	if want != "" {
		t.Wanted = map[string]string{"writer": want}
	}
	return TargetState{Target: t, Reported: true, Report: target.Load{Incarnation: 1, Models: map[string]string{"writer": have}}}
}

func planInput(maxLoads int, states ...TargetState) PlanInput {
	in := PlanInput{Targets: states, Fencing: 4, AllowUnfenced: true, MaxLoads: maxLoads}
	var targets []configuration.Target
	for _, s := range states {
		targets = append(targets, s.Target)
	}
	in.Service = service(targets)
	return in
}

func targetNames(orders []TargetOrder) []string {
	out := []string{}
	for _, s := range orders {
		out = append(out, s.Target)
	}
	return out
}

func TestPlan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	modified := func(s TargetState, fn func(*TargetState)) TargetState {
		fn(&s)
		return s
	}
	cases := []struct {
		name   string
		in     func() PlanInput
		orders []string
	}{
		{"orders go only to targets whose state differs from the wanted one", func() PlanInput {
			return planInput(9, targetState("a", "1", "1"), targetState("b", "0", "1"), targetState("c", "1", ""))
		}, []string{"b"}},
		{"targets of the old system get no orders", func() PlanInput {
			return planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Target.System = configuration.OldSystem }))
		}, []string{}},
		{"targets that are leaving get no orders", func() PlanInput {
			return planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Leaving = true }))
		}, []string{}},
		{"targets whose report can't be read get no orders", func() PlanInput {
			return planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Reported = false }))
		}, []string{}},
		{"the last target that can serve gets no order to change", func() PlanInput {
			return planInput(9, targetState("a", "1", "2"), targetState("b", "0", ""))
		}, []string{}},
		{"of two targets that can serve, one gets an order to change", func() PlanInput {
			return planInput(9, targetState("a", "1", "2"), targetState("b", "1", "2"))
		}, []string{"a"}},
		{"a target whose report can't be read does not count as serving", func() PlanInput {
			return planInput(9, targetState("a", "1", "2"), modified(targetState("b", "1", "1"), func(s *TargetState) { s.Reported = false }))
		}, []string{}},
		{"at most MaxLoads targets load at the same time", func() PlanInput {
			return planInput(2, targetState("a", "0", "1"), targetState("b", "0", "1"), targetState("c", "0", "1"))
		}, []string{"a", "b"}},
		{"a target that ignores fencing numbers gets no order while orders of the previous holder may be in flight", func() PlanInput {
			in := planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Target.ChecksFencing = false }), targetState("b", "0", "1"))
			in.AllowUnfenced = false
			return in
		}, []string{"b"}},
		{"a target that differs from its wanted state only in its role gets an order", func() PlanInput {
			return planInput(9, modified(targetState("a", "1", "1"), func(s *TargetState) { s.Target.WantedRole = "prefill" }))
		}, []string{"a"}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			So(targetNames(NewPlanner(DefaultSettings()).Plan(now, c.in(), random)), ShouldResemble, c.orders)
		})
	}
}

func TestPlanOverTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	random := rand.New(rand.NewPCG(1, 1))
	Convey("Given a target to which an order was sent", t, func() {
		p := NewPlanner(DefaultSettings())
		first := p.Plan(now, planInput(9, targetState("a", "0", "1")), random)
		So(first, ShouldHaveLength, 1)
		So(first[0].Order, ShouldResemble, target.Order{FencingNumber: 4, Models: map[string]string{"writer": "1"}})
		Convey("it gets no other order while it loads", func() {
			So(p.Plan(now.Add(time.Second), planInput(9, targetState("a", "0", "1")), random), ShouldBeEmpty)
		})
		Convey("an order without effect is repeated after LoadTimeout and a backoff", func() {
			timeoutAt := now.Add(DefaultSettings().LoadTimeout.Std())
			So(p.Plan(timeoutAt, planInput(9, targetState("a", "0", "1")), random), ShouldBeEmpty)
			So(p.Plan(timeoutAt.Add(backoffMin), planInput(9, targetState("a", "0", "1")), random), ShouldHaveLength, 1)
		})
		Convey("a stale order that takes effect after the current one is detected and corrected", func() {
			So(p.Plan(now.Add(time.Second), planInput(9, targetState("a", "1", "1")), random), ShouldBeEmpty)
			So(p.Plan(now.Add(2*time.Second), planInput(9, targetState("a", "0", "1")), random), ShouldHaveLength, 1)
		})
		Convey("a target that restarted gets the order again after a backoff", func() {
			s := targetState("a", "0", "1")
			s.Report.Incarnation = 2
			So(p.Plan(now.Add(time.Second), planInput(9, s), random), ShouldBeEmpty)
			So(p.Plan(now.Add(time.Second+backoffMin), planInput(9, s), random), ShouldHaveLength, 1)
		})
		Convey("a changed wanted state replaces the pending order", func() {
			next := p.Plan(now.Add(time.Second), planInput(9, targetState("a", "0", "2")), random)
			So(next, ShouldHaveLength, 1)
			So(next[0].Order.Models["writer"], ShouldEqual, "2")
		})
	})
}

// rollout runs a planner against simulated targets. Their loads take a random time;
// orders to them and reads of their reports fail at random. rollout returns the
// minimum number of targets that could serve at any time, and whether all targets
// reached their wanted state.
func rollout(seed uint64, plan func(*Planner, time.Time, PlanInput, *rand.Rand) []TargetOrder) (minServing int, upToDate bool) {
	random := rand.New(rand.NewPCG(seed, seed))
	now := time.Unix(1_000_000, 0)
	p := NewPlanner(DefaultSettings())
	states := make([]TargetState, 2+random.IntN(6))
	for i := range states {
		states[i] = targetState(fmt.Sprint("t", i), "1", "1")
		if i > 0 {
			states[i] = targetState(fmt.Sprint("t", i), "1", "2")
		}
	}
	minServing = len(states)
	loading := make(map[string]map[string]string)
	const steps = 2000
	for range steps {
		now = now.Add(time.Second)
		for i := range states {
			s := &states[i]
			s.Reported = random.IntN(10) > 0
			if want, ok := loading[s.Target.Name]; ok && random.IntN(20) == 0 {
				s.Report.Models = want
				delete(loading, s.Target.Name)
			}
		}
		for _, order := range plan(p, now, planInput(2, states...), random) {
			if random.IntN(4) == 0 {
				p.RecordFailure(now, order.Target, random)
				continue
			}
			loading[order.Target] = order.Order.Models
		}
		minServing = min(minServing, serving(states, loading))
	}
	for _, s := range states {
		upToDate = s.upToDate()
		if !upToDate {
			break
		}
	}
	return minServing, upToDate
}

// serving returns the number of targets that serve version 1 and are not loading
// another version.
func serving(states []TargetState, loading map[string]map[string]string) int {
	var n int
	for _, s := range states {
		want, pending := loading[s.Target.Name]
		if s.Report.Models["writer"] == "1" && (!pending || want["writer"] == "1") {
			n++
		}
	}
	return n
}

const rolloutSeeds = 40

func TestRollout(t *testing.T) {
	Convey("With random load times, failed orders and unreadable reports, at least one target can serve at any time, and all reach their wanted state", t, func() {
		for seed := uint64(1); seed <= rolloutSeeds; seed++ {
			minServing, upToDate := rollout(seed, (*Planner).Plan)
			So(minServing, ShouldBeGreaterThanOrEqualTo, 1)
			So(upToDate, ShouldBeTrue)
		}
	})
	Convey("The test detects a faulty variant that counts no target as serving", t, func() {
		detected := false
		for seed := uint64(1); seed <= rolloutSeeds && !detected; seed++ {
			minServing, _ := rollout(seed, func(p *Planner, now time.Time, in PlanInput, r *rand.Rand) []TargetOrder {
				for i := range in.Targets {
					in.Targets[i].Target.Wanted = map[string]string{"writer": "2"}
				}
				in.Service.Version = "none" // no target counts as serving, so the last one that does gets an order too
				return p.Plan(now, in, r)
			})
			detected = minServing < 1
		}
		So(detected, ShouldBeTrue)
	})
}
