package confirmation

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/failure"
)

// simulationCount is the number of simulations of each exploration. The flag
// allows longer searches.
var simulationCount = flag.Int("worlds", 8_000, "number of simulations to run")

// explore runs simulations with consecutive seeds until one finds a violation.
// It returns the violation, the number of simulations before it and how often
// callers received each outcome.
func explore(f ruleFaults, limits Limits, simulations, steps int) (string, int, map[string]int) {
	outcomes := make(map[string]int)
	for seed := range simulations {
		s := newSimulation(uint64(seed), f, limits)
		if v := s.run(steps); v != "" {
			return v, seed, outcomes
		}
		for _, r := range s.reported {
			outcomes[string(r.Outcome)]++
		}
	}
	return "", simulations, outcomes
}

func TestExplore(t *testing.T) {
	Convey("Given daemons that crash, pause and restart, and messages that are lost, delayed and duplicated", t, func() {
		simulations, steps := *simulationCount, 300
		Convey("no key runs twice, a key reported as not_run never runs, and a key has one outcome", func() {
			v, _, outcomes := explore(ruleFaults{}, simLimits, simulations, steps)
			So(v, ShouldBeEmpty)
			So(outcomes["ran"], ShouldBeGreaterThan, simulations/10)
			So(outcomes["not_run"], ShouldBeGreaterThan, simulations/50)
		})
		Convey("the same holds when records expire while callers still send requests", func() {
			shortLimits := simLimits
			shortLimits.Retention, shortLimits.Skew = 500*time.Millisecond, 100*time.Millisecond
			v, _, _ := explore(ruleFaults{}, shortLimits, simulations, steps)
			So(v, ShouldBeEmpty)
			v, _, _ = explore(ruleFaults{expireEarly: true}, shortLimits, simulations, steps)
			So(v, ShouldNotBeEmpty)
		})
		mutants := map[string]ruleFaults{
			"second daemon acknowledges intents after sealing the epoch":        {ackAfterSeal: true},
			"restarted daemon keeps the old incarnation":                        {sameIncarnation: true},
			"call on a broken connection is reported as not run":                {resetAsNotRun: true},
			"first daemon decides after handing over":                           {actAfterHandOver: true},
			"old keys are run without their records":                            {ignoreFloor: true},
			"second daemon is replaced although it may still take over":         {replaceLiveSecond: true},
			"third daemon gives its grant to both daemons of the pair":          {twoGrants: true},
			"first daemon dispatches before the second has recorded the intent": {dispatchUnrecorded: true},
		}
		for name, f := range mutants {
			Convey("detected: "+name, func() {
				v, seed, _ := explore(f, simLimits, simulations, steps)
				So(v, ShouldNotBeEmpty)
				t.Logf("%s: detected in simulation %d", name, seed)
			})
		}
	})
}

func TestPlannedStops(t *testing.T) {
	Convey("Given daemons that hand over, stop and restart without records, one after another", t, func() {
		const simulations, steps = 1500, 400
		totalRestarts, outcomesFound := 0, 0
		violations := ""
		for seed := range simulations {
			s := newSimulation(uint64(seed), ruleFaults{}, simLimits)
			s.faultFree = true
			s.run(steps)
			s.quiesce()
			totalRestarts += s.restarts
			want := s.reported
			s.reported = make(map[string]Record)
			for _, key := range s.keys {
				s.askAllDaemons(key)
				if rec, known := want[key]; known {
					outcomesFound++
					if s.reported[key] != rec {
						violations = key + ": a lookup after the restarts differs from the outcome that a caller received; events:\n" + strings.Join(s.log, "\n")
					}
				}
			}
			violations += s.violation
		}
		Convey("every outcome that was reported is still found", func() {
			So(violations, ShouldBeEmpty)
			So(totalRestarts, ShouldBeGreaterThan, simulations/5)
			So(outcomesFound, ShouldBeGreaterThan, simulations)
			t.Logf("%d restarts, %d outcomes found again", totalRestarts, outcomesFound)
		})
	})
}

// TestDelayedDecline guards against two outcomes of one key. The first daemon
// steps down and reports the key as not run to the second, which then runs it.
// The report is delayed until an epoch in which the second has no record of the
// key.
func TestDelayedDecline(t *testing.T) {
	Convey("Given a key that the first daemon did not dispatch because the second got the grant, and that the second has run", t, func() {
		now := time.UnixMilli(1_700_000_000_000)
		a, b, c := Ref{ID: "a", Incarnation: 1}, Ref{ID: "b", Incarnation: 1}, Ref{ID: "c", Incarnation: 1}
		first := Shard{Epoch: 1, Floor: 1, First: a, Second: b, Third: c}
		key := FormatKey(now, 1, "k")
		request := Request{Key: key, Deadline: time.Minute}
		ra, rb := NewReplica(a, simLimits), NewReplica(b, simLimits)
		ra.Step(now, Assigned{first})
		rb.Step(now, Assigned{first})
		ra.Step(now, Ask{Token: 1, Request: request})
		granted := Granted{Epoch: 1, From: c, Holder: b}
		decisions := ra.Step(now, granted)
		rb.Step(now, granted)
		So(rb.Step(now, Ask{Token: 2, Request: request}), ShouldResemble, []Decision{Dispatch{request}})
		rb.Step(now, Result{Record{Key: key, Outcome: failure.Ran}})
		decline := findCopy(decisions)
		So(decline.Record.Outcome, ShouldEqual, failure.NotRun)
		outcomeAfter := func(in Copy) failure.Outcome {
			rb.Step(now, Assigned{Shard{Epoch: 3, Floor: 3, First: b, Second: c}})
			rb.Step(now, in)
			for _, d := range rb.Step(now, Ask{Token: 3, Request: request}) {
				if r, ok := d.(Reply); ok {
					return r.Answer.Record.Outcome
				}
			}
			rb.Step(now, CopyAck{Epoch: 3, From: c, Key: key})
			return rb.entries[key].record.Outcome
		}
		Convey("the delayed not_run is not adopted in an epoch without the key's record", func() {
			So(outcomeAfter(decline), ShouldEqual, failure.Unknown)
		})
		Convey("a delayed not_run that is marked as settled is adopted", func() {
			decline.Settled = true
			So(outcomeAfter(decline), ShouldEqual, failure.NotRun)
		})
	})
}

func findCopy(decisions []Decision) Copy {
	for _, d := range decisions {
		if s, ok := d.(Send); ok {
			if c, ok := s.Message.(Copy); ok {
				return c
			}
		}
	}
	return Copy{}
}
