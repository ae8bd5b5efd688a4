package fleet

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"
)

// TestChoiceWithoutStatements guards against a choice that changes where no target states
// its load, or none states its slowness. The hashes are those of the picks at 9bdc34c, before
// loads were stated.
func TestChoiceWithoutStatements(t *testing.T) {
	prompt, demand := promptOf(5000)
	for _, c := range []struct {
		name      string
		staleness time.Duration
		criteria  Criteria
		demand    Demand
		want      uint32
	}{
		{"calls", 4 * time.Millisecond, Criteria{Service: "s"}, Demand{}, 0x3021be06},
		{"calls, old reports", 500 * time.Millisecond, Criteria{Service: "s"}, Demand{}, 0x8c300cdc},
		{"prompts", 4 * time.Millisecond, prompt, demand, 0x9dfcdd7},
		{"prompts, old reports", 500 * time.Millisecond, prompt, demand, 0xbe55646d},
	} {
		for _, states := range []bool{false, true} {
			f, picks := newTestFleet(6), fnv.New32a()
			f.SetStaleness(c.staleness)
			var active []*ActiveRequest
			for i := range 400 {
				now := at(5 * i)
				f.SetPeerLoads(fmt.Sprint("d", i%7), map[string]DaemonLoad{fmt.Sprint("t", i%5): {Running: i % 4, PrefillTokens: 700 * (i % 3)}})
				picked, err := f.Pick(now, c.criteria)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = picks.Write([]byte(picked.ID))
				active = append(active, f.Begin(now, picked.ID, c.demand))
				if states {
					f.RecordLoad(now, picked, LoadStatement{Running: i % 5, Slots: 6})
				}
				if i >= 6 {
					active[i-6].MarkFirstEvent(now)
					active[i-6].Done(now, i%11 == 0)
				}
			}
			if got := picks.Sum32(); got != c.want {
				t.Errorf("%s, load stated %t: hash %#x of the picks, want %#x", c.name, states, got, c.want)
			}
		}
	}
}

// TestShares guards against targets that get more or less than their part: a slow one must
// get a part by its speed instead of none, and a failing one hardly any.
func TestShares(t *testing.T) {
	const picks = 6000
	for _, c := range []struct {
		name     string
		slowness float64 // that t1 states at the end, 0 for none
		millis   int     // of its calls; those of t0 and t2 take 20 ms
		failed   bool    // its latest call
		min, max float64
	}{
		{"equal", 0, 20, false, 0.32, 0.35},
		{"half as fast", 0, 40, false, 0.19, 0.23},
		{"slow now", 2.5, 20, false, 0.15, 0.22},
		{"failed", 0, 20, true, 0, 0.001},
	} {
		f := newTestFleet(3)
		f.SetReportAge(500 * time.Millisecond)
		now := start
		for range 30 {
			for i := range 3 {
				id, millis, load := fmt.Sprint("t", i), 20, LoadStatement{Running: 2, Slots: 6, Slowness: 1}
				if i == 1 {
					millis = c.millis
				}
				r := f.Begin(now, id, Demand{})
				now = now.Add(time.Duration(millis) * time.Millisecond)
				f.RecordLoad(now, Target{ID: id}, load)
				r.Done(now, i == 1 && c.failed)
			}
		}
		if c.slowness > 0 {
			f.RecordLoad(now, Target{ID: "t1"}, LoadStatement{Running: 2, Slots: 6, Slowness: c.slowness})
		}
		n := 0
		for range picks {
			got, err := f.Pick(now.Add(50*time.Millisecond), Criteria{Service: "s"})
			if err != nil {
				t.Fatal(err)
			}
			if got.ID == "t1" {
				n++
			}
		}
		if share := float64(n) / picks; share < c.min || share > c.max {
			t.Errorf("%s: t1 gets %.3f of the calls, want %v to %v", c.name, share, c.min, c.max)
		}
	}
}

// TestOverloadIsCorrected guards against a target that stays overloaded because this daemon
// gets too few answers from it to know its speed, although all daemons report the load.
func TestOverloadIsCorrected(t *testing.T) {
	f := newTestFleet(2)
	f.SetReportAge(500 * time.Millisecond)
	f.RecordLoad(start, Target{ID: "t0"}, LoadStatement{Running: 1, Slots: 6, Slowness: 1})
	late := 0
	for i := range 2000 {
		f.SetPeerLoads("peer", map[string]DaemonLoad{"t0": {Running: 20}, "t1": {Running: 10}})
		got, err := f.Pick(at(10*i), Criteria{Service: "s"})
		if err != nil {
			t.Fatal(err)
		}
		if i >= 1000 && got.ID == "t0" {
			late++
		}
	}
	if late > 250 {
		t.Errorf("a target with twice the load of the other one gets %d of 1000 calls after 10 s, want 250 at most", late)
	}
}

// TestOldStatements guards against statements of an ended incarnation, and against a service
// that is taken for one whose targets state their load long after they stopped.
func TestOldStatements(t *testing.T) {
	f := newTestFleet(2)
	f.RecordLoad(start, Target{ID: "t0", StartMillis: 7}, LoadStatement{Running: 1, Slots: 6, Slowness: 1})
	if f.statesLoad(start, "s") != nil {
		t.Error("the statement of another incarnation counts")
	}
	if !f.RecordLoad(start, Target{ID: "t0"}, LoadStatement{Running: 1, Slots: 6, Slowness: 1}) || f.RecordLoad(start, Target{ID: "t1"}, LoadStatement{Running: 3, Slots: 6, Slowness: 1}) {
		t.Error("only the first statement of a service begins it")
	}
	if spread := f.LoadSpreads(start)["s"]; spread != 1.5 {
		t.Errorf("spread %v of loads 1 and 3, want 1.5", spread)
	}
	if f.statesLoad(start.Add(loadMaxAge), "s") == nil {
		t.Error("a statement does not count")
	}
	if f.statesLoad(start.Add(loadMaxAge+1), "s") != nil {
		t.Error("a statement counts after loadMaxAge")
	}
}

// TestPrefillRate guards against waits that are expected by the prefill rate of another type
// of target, and against prompts that were cached or waited and count as measurements.
func TestPrefillRate(t *testing.T) {
	f := newTestFleet(6)
	_, prompt := promptOf(8000)
	run := func(now time.Time, id string, d time.Duration) {
		r := f.Begin(now, id, prompt)
		r.MarkFirstEvent(now.Add(d))
		r.Done(now.Add(d), false)
	}
	for i := range 40 { // no target states its load
		run(at(5000*i), "t0", time.Second)
	}
	if got := f.prefillRate(at(200_000), "s"); got != usualPrefillRate {
		t.Errorf("rate %v of a service whose targets state no load, want %v", got, usualPrefillRate)
	}
	for i := range 40 {
		now := at(200_000 + 5000*i)
		f.RecordLoad(now, Target{ID: "t1"}, LoadStatement{Slots: 16, Slowness: 1})
		run(now, "t1", time.Second) // 8 tokens a millisecond
		if i%4 == 0 {
			run(now, "t2", 50*time.Millisecond) // cached
		}
		f.SetPeerLoads("peer", map[string]DaemonLoad{"t3": {Running: 1}})
		run(now, "t3", 8*time.Second) // another request runs
	}
	if got := f.prefillRate(at(395_000), "s"); got != 8 {
		t.Errorf("rate %v after prompts of 8000 tokens a second, want 8", got)
	}
}
