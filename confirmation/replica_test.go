package confirmation

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// worldCount can be raised for a longer search by hand.
var worldCount = flag.Int("worlds", 12_000, "worlds to explore")

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
