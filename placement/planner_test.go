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

// targetState is a target that reports version have of the model and should report want.
func targetState(name, have, want string) TargetState {
	t := configuration.Target{Name: name, Labels: map[string]string{"s": "p"}, Permits: 1, ChecksFencing: true}
	if want != "" {
		t.Wanted = map[string]string{"writer": want}
	}
	return TargetState{Target: t, Reported: true, Report: target.Load{Incarnation: 1, Models: map[string]string{"writer": have}}}
}

func planInput(loads int, states ...TargetState) PlanInput {
	in := PlanInput{Targets: states, Fencing: 4, AllowUnfenced: true, MaxLoads: loads}
	var targets []configuration.Target
	for _, s := range states {
		targets = append(targets, s.Target)
	}
	in.Service = service(targets)
	return in
}

func targetNames(sends []TargetOrder) []string {
	out := []string{}
	for _, s := range sends {
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
		{"only the difference is ordered", func() PlanInput {
			return planInput(9, targetState("a", "1", "1"), targetState("b", "0", "1"), targetState("c", "1", ""))
		}, []string{"b"}},
		{"targets of the old system are left alone", func() PlanInput {
			return planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Target.System = configuration.OldSystem }))
		}, []string{}},
		{"targets that are leaving are left alone", func() PlanInput {
			return planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Leaving = true }))
		}, []string{}},
		{"targets that don't report are left alone", func() PlanInput {
			return planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Reported = false }))
		}, []string{}},
		{"the last target able to serve is left alone", func() PlanInput {
			return planInput(9, targetState("a", "1", "2"), targetState("b", "0", ""))
		}, []string{}},
		{"of two able targets one is changed away", func() PlanInput {
			return planInput(9, targetState("a", "1", "2"), targetState("b", "1", "2"))
		}, []string{"a"}},
		{"an able target that can't be reached counts for nothing", func() PlanInput {
			return planInput(9, targetState("a", "1", "2"), modified(targetState("b", "1", "1"), func(s *TargetState) { s.Reported = false }))
		}, []string{}},
		{"no more load at once than the bound", func() PlanInput {
			return planInput(2, targetState("a", "0", "1"), targetState("b", "0", "1"), targetState("c", "0", "1"))
		}, []string{"a", "b"}},
		{"a target that ignores fencing waits for the old holder's orders", func() PlanInput {
			in := planInput(9, modified(targetState("a", "0", "1"), func(s *TargetState) { s.Target.ChecksFencing = false }), targetState("b", "0", "1"))
			in.AllowUnfenced = false
			return in
		}, []string{"b"}},
		{"a wanted role alone is a difference", func() PlanInput {
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
	Convey("Given a target that was ordered", t, func() {
		p := NewPlanner(DefaultSettings())
		first := p.Plan(now, planInput(9, targetState("a", "0", "1")), random)
		So(first, ShouldHaveLength, 1)
		So(first[0].Order, ShouldResemble, target.Order{FencingNumber: 4, Models: map[string]string{"writer": "1"}})
		Convey("it is not ordered again while it loads", func() {
			So(p.Plan(now.Add(time.Second), planInput(9, targetState("a", "0", "1")), random), ShouldBeEmpty)
		})
		Convey("an order that had no effect is repeated later, and later again", func() {
			timeoutAt := now.Add(DefaultSettings().LoadTimeout.Std())
			So(p.Plan(timeoutAt, planInput(9, targetState("a", "0", "1")), random), ShouldBeEmpty)
			So(p.Plan(timeoutAt.Add(backoffMin), planInput(9, targetState("a", "0", "1")), random), ShouldHaveLength, 1)
		})
		Convey("a stale order that took effect after it is found and mended", func() {
			So(p.Plan(now.Add(time.Second), planInput(9, targetState("a", "1", "1")), random), ShouldBeEmpty)
			So(p.Plan(now.Add(2*time.Second), planInput(9, targetState("a", "0", "1")), random), ShouldHaveLength, 1)
		})
		Convey("a target that restarted is ordered again after a pause", func() {
			s := targetState("a", "0", "1")
			s.Report.Incarnation = 2
			So(p.Plan(now.Add(time.Second), planInput(9, s), random), ShouldBeEmpty)
			So(p.Plan(now.Add(time.Second+backoffMin), planInput(9, s), random), ShouldHaveLength, 1)
		})
		Convey("a new wish replaces the order under way", func() {
			next := p.Plan(now.Add(time.Second), planInput(9, targetState("a", "0", "2")), random)
			So(next, ShouldHaveLength, 1)
			So(next[0].Order.Models["writer"], ShouldEqual, "2")
		})
	})
}

// rollout drives a planner against targets that load at random, and returns
// the fewest that could serve at any time and whether all got what was wanted.
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
		for _, send := range plan(p, now, planInput(2, states...), random) {
			if random.IntN(4) == 0 {
				p.RecordFailure(now, send.Target, random)
				continue
			}
			loading[send.Target] = send.Order.Models
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

// serving counts the targets that serve version 1 and are not being changed.
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
	Convey("Whatever loads, fails and is not reached, one target can serve at any time, and all get what is wanted", t, func() {
		for seed := uint64(1); seed <= rolloutSeeds; seed++ {
			minServing, upToDate := rollout(seed, (*Planner).Plan)
			So(minServing, ShouldBeGreaterThanOrEqualTo, 1)
			So(upToDate, ShouldBeTrue)
		}
	})
	Convey("A variant that does not know which targets serve is caught", t, func() {
		detected := false
		for seed := uint64(1); seed <= rolloutSeeds && !detected; seed++ {
			minServing, _ := rollout(seed, func(p *Planner, now time.Time, in PlanInput, r *rand.Rand) []TargetOrder {
				for i := range in.Targets {
					in.Targets[i].Target.Wanted = map[string]string{"writer": "2"}
				}
				in.Service.Version = "none" // nothing is seen as able, so nothing is kept
				return p.Plan(now, in, r)
			})
			detected = minServing < 1
		}
		So(detected, ShouldBeTrue)
	})
}
