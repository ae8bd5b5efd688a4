package soak

import (
	"testing"
	"time"
)

// TestVerdictsOfWaits guards against a soak that excuses a stream which waited while another
// engine could have gone on with it.
func TestVerdictsOfWaits(t *testing.T) {
	for name, c := range map[string]struct {
		waitsFrom, waitsUntil time.Duration // after the SIGTERM
		slots                 int           // of the other engine
		late                  bool          // the engine begins late
		want                  verdict
	}{
		"early":                         {2 * time.Second, 0, 2, false, lost},
		"before the signal":             {-time.Second, 0, 2, false, lost},
		"in time for a move":            {6500 * time.Millisecond, 0, 2, false, lost},
		"ended in the last sixth":       {2 * time.Second, 7 * time.Second, 2, false, excused},
		"in the last sixth":             {6900 * time.Millisecond, 0, 2, false, excused},
		"without room elsewhere":        {2 * time.Second, 0, 1, false, noneBegan},
		"early, and late elsewhere":     {2 * time.Second, 0, 2, true, lost},
		"too late for a late beginning": {6500 * time.Millisecond, 0, 2, true, noneBegan},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			at := func(d time.Duration) time.Time {
				if d == 0 {
					return time.Time{}
				}
				return start.Add(d)
			}
			ends := start.Add(grace - 400*time.Millisecond)
			id := "a.0"
			for i := 0; new(engine).resumeTime(id, true) > time.Millisecond != c.late; i++ {
				id = string(rune('a'+i)) + ".0"
			}
			a := &attempt{id: id, kind: kindStream, daemon: "127.0.0.1:8740", begun: start.Add(-2 * time.Second), sent: start.Add(-2 * time.Second), ended: ends, deadline: start.Add(time.Minute), status: 200, events: 9}
			waits := run{engine: "i-1", began: a.sent, firstEvent: a.sent, ended: ends, waits: []span{{from: at(c.waitsFrom), until: at(c.waitsUntil)}}}
			other := run{engine: "i-2", began: a.sent, firstEvent: a.sent, ended: ends}
			s := &site{
				copies: true, start: start, daemons: []*daemon{{id: "vm-0", ip: "127.0.0.1"}}, ledger: &ledger{runs: map[string][]*run{id: {&waits}, "other.0": {&other}}},
				engines: []*engine{{id: "i-1", service: modelService, slots: 9}, {id: "i-2", service: modelService, slots: c.slots}, {id: "i-0", service: "booking", slots: 9}},
				planned: []span{{"SIGTERM", "vm-0", start, ends}},
			}
			if got, _ := s.judge(a, s.ledger.of(id)); got != c.want {
				t.Errorf("got verdict %d, want %d", got, c.want)
			}
		})
	}
}
