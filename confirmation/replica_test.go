package confirmation

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/failure"
)

// worldCount can be raised for a longer search by hand.
var worldCount = flag.Int("worlds", 8_000, "worlds to explore")

// explore runs worlds from fixed seeds and returns the first violation, the
// number of worlds and how often callers were told each outcome.
func explore(f faults, limits Limits, worlds, steps int) (string, int, map[string]int) {
	told := make(map[string]int)
	for seed := range worlds {
		w := newWorld(uint64(seed), f, limits)
		if v := w.run(steps); v != "" {
			return v, seed, told
		}
		for _, r := range w.told {
			told[string(r.Outcome)]++
		}
	}
	return "", worlds, told
}

func TestExplore(t *testing.T) {
	Convey("Given daemons that crash, pause and restart, and messages lost, late and doubled", t, func() {
		worlds, steps := *worldCount, 300
		Convey("no key runs twice, not_run is true, and a key has one outcome", func() {
			v, _, told := explore(faults{}, simLimits, worlds, steps)
			So(v, ShouldBeEmpty)
			So(told["ran"], ShouldBeGreaterThan, worlds/10)
			So(told["not_run"], ShouldBeGreaterThan, worlds/50)
		})
		Convey("so too when records expire while callers still ask", func() {
			short := simLimits
			short.Retention, short.Skew = 500*time.Millisecond, 100*time.Millisecond
			v, _, _ := explore(faults{}, short, worlds, steps)
			So(v, ShouldBeEmpty)
			v, _, _ = explore(faults{forgetEarly: true}, short, worlds, steps)
			So(v, ShouldNotBeEmpty)
		})
		mutants := map[string]faults{
			"second acknowledges after sealing":             {ackAfterSeal: true},
			"restart keeps the old incarnation":             {sameIncarnation: true},
			"retry after a connection reset":                {retryAfterReset: true},
			"first goes on after handing over":              {onAfterHandOver: true},
			"no unknown for old keys":                       {noUnknown: true},
			"second replaced though not certainly excluded": {replacedNotGone: true},
			"third grants twice":                            {twoGrants: true},
			"first dispatches without the second":           {dispatchUnrecorded: true},
		}
		for name, f := range mutants {
			Convey("caught: "+name, func() {
				v, seed, _ := explore(f, simLimits, worlds, steps)
				So(v, ShouldNotBeEmpty)
				t.Logf("%s: caught in world %d", name, seed)
			})
		}
	})
}

func TestPlannedStops(t *testing.T) {
	Convey("Given daemons that stop as planned and come back empty, one after another", t, func() {
		const worlds, steps = 1500, 400
		stops, found := 0, 0
		lost := ""
		for seed := range worlds {
			w := newWorld(uint64(seed), faults{}, simLimits)
			w.calm = true
			w.run(steps)
			w.settle()
			stops += w.crashes
			want := w.told
			w.told = make(map[string]Record)
			for _, key := range w.keys {
				w.askOwners(key)
				if rec, told := want[key]; told {
					found++
					if w.told[key] != rec {
						lost = key + " in\n" + strings.Join(w.log, "\n")
					}
				}
			}
			lost += w.violation
		}
		Convey("every outcome that was told is still found", func() {
			So(lost, ShouldBeEmpty)
			So(stops, ShouldBeGreaterThan, worlds/5)
			So(found, ShouldBeGreaterThan, worlds)
			t.Logf("%d stops, %d outcomes found again", stops, found)
		})
	})
}

func TestDelayedDecline(t *testing.T) {
	Convey("Given a key that the first declined and the second, alone, has run", t, func() {
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
		declined := ra.Step(now, granted)
		rb.Step(now, granted)
		So(rb.Step(now, Ask{Token: 2, Request: request}), ShouldResemble, []Decision{Dispatch{request}})
		rb.Step(now, Result{Record{Key: key, Outcome: failure.Ran}})
		late := sentCopy(declined)
		So(late.Record.Outcome, ShouldEqual, failure.NotRun)
		told := func(in Copy) failure.Outcome {
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
		Convey("its late decline does not close the key in an epoch without its record", func() {
			So(told(late), ShouldEqual, failure.Unknown)
		})
		Convey("a decline that passed for settled would", func() {
			late.Settled = true
			So(told(late), ShouldEqual, failure.NotRun)
		})
	})
}

func sentCopy(decisions []Decision) Copy {
	for _, d := range decisions {
		if s, ok := d.(Send); ok {
			if c, ok := s.Message.(Copy); ok {
				return c
			}
		}
	}
	return Copy{}
}
