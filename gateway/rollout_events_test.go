package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/platform"
)

// logWriter calls a function for each line of the log.
type logWriter func(line string)

func (w logWriter) Write(line []byte) (int, error) {
	w(string(line))
	return len(line), nil
}

// TestRolloutEventsLeaveTheLockFree guards against requests that wait for the log, because an event
// of a roll-out is recorded while the lock is held that each request to the service needs.
func TestRolloutEventsLeaveTheLockFree(t *testing.T) {
	s := DefaultSettings()
	s.ID, s.Place, s.Region, s.Store, s.Rollout = "vm-1", "p", "r", "127.0.0.1:1", rolloutBlock
	var r *rollouts
	g, err := newGateway(s, logWriter(func(line string) {
		if r == nil {
			return
		}
		if !r.mu.TryLock() { // nothing else runs
			t.Errorf("the lock is held while this is logged: %s", line)
			return
		}
		r.mu.Unlock()
	}), platform.DialTarget)
	if err != nil {
		t.Fatal(err)
	}
	r = g.rollouts
	g.table.Store(ingress.NewTable(ingress.Document{Version: 1, Routes: []ingress.Route{{
		Name: "a", Host: "h", Prefix: "/a/", Kind: ingress.Idempotent, Services: []ingress.WeightedService{{Service: "s", Weight: 1}},
	}}}))
	entry := func(created int64, spec, status string) exchange.Change {
		return exchange.Change{Changed: exchange.Entries{{Name: "s", Revision: created, Created: created, Value: []byte(spec), Status: []byte(status)}}}
	}
	const spec, running, completed = `{"service":"s","target":"v2","duration_s":12}`, `{"state":"running","target":"v2"}`, `{"state":"completed","target":"v2"}`

	r.applyChange(entry(1, `"torn"`, ""), changeOrigin{})
	r.applyChange(entry(2, spec, running), changeOrigin{})
	r.tick(context.Background())
	r.applyChange(entry(2, spec, completed), changeOrigin{})
	r.tick(context.Background())
	r.applyChange(exchange.Change{Removed: []string{"s"}}, changeOrigin{})
	r.applyChange(entry(3, spec, running), changeOrigin{})
	r.mu.Lock()
	o := r.services["s"].order
	o.machine.MarkBad("test")
	r.decide(time.Now(), o)
	r.unlockAndRecord()

	for number, least := range map[event.Number]int64{event.RolloutInvalid: 1, event.RolloutStarted: 2, event.RolloutPhase: 2, event.RolloutEnded: 2, event.RolloutJudged: 1} {
		if got := g.events.Counts()[number]; got < least {
			t.Errorf("%d events %s, want at least %d", got, event.Lookup(number).Name, least)
		}
	}
	var order []string
	for _, e := range g.events.Events("", 0) {
		if e.Number >= event.RolloutStarted && e.Number <= event.RolloutInvalid {
			order = append(order, e.Name)
		}
	}
	if got, want := fmt.Sprint(order), "[rollout_invalid rollout_started rollout_phase rollout_ended rollout_ended rollout_started rollout_judged rollout_phase]"; got != want {
		t.Errorf("the events are %s, want %s", got, want)
	}
}
