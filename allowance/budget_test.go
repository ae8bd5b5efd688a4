package allowance

import (
	"fmt"
	"testing"
	"time"
)

var defaultSettings = Settings{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}

// TestFleetKeepsLimit guards against a fleet that spends more than the limit allows, because a
// credit is used twice or longer than its lender counts it: messages are lost, late or repeated,
// daemons end with loans and restart, are cut off from half of the others, or don't lend.
func TestFleetKeepsLimit(t *testing.T) {
	for _, c := range []struct{ daemons, seeds int }{{8, 90}, {90, 80}, {300, 24}, {760, 8}} {
		t.Run(fmt.Sprint(c.daemons), func(t *testing.T) {
			for seed := range uint64(c.seeds) {
				f := faults{
					lost: 0.1 * float64(seed%3), duplicated: 0.2 * float64(seed%2), delayed: 0.1 * float64(seed%4),
					deaths: c.daemons / 4 * int(seed%3), oldBuilds: 0.3 * float64(seed%5/3), partition: seed%4 == 1, fresh: seed%7 == 2,
				}
				w := newSimFleet(seed, c.daemons, defaultSettings, f, 40*time.Second)
				w.settings.Slack *= float64(seed % 3)
				for _, d := range w.daemons {
					d.budget.UpdateSettings(w.settings)
				}
				w.addRequests(0.3, 10*time.Second)
				w.addFaults()
				few := min(5, c.daemons)
				w.addLosses(losses{count: min(90, c.daemons), minDaemons: 1, maxDaemons: few, minStreams: 1, maxStreams: 12}, 0)
				w.run()
				for _, v := range w.checkLimit() {
					t.Fatalf("seed %d: %s", seed, v)
				}
			}
		})
	}
}

// TestVanishedTargetsOfAFewDaemons is the load at which 133 streams were cut for want of credits
// although the fleet as a whole had enough: 91 daemons with about three streams in ten seconds
// each, of which a few lose 6 to 12 streams at the same moment, up to 227 in ten seconds.
func TestVanishedTargetsOfAFewDaemons(t *testing.T) {
	const daemons, most, length = 91, 227, 60 * time.Second
	for seed := range uint64(40) {
		w := newSimFleet(seed, daemons, defaultSettings, faults{}, length)
		w.addRequests(0.3, 20*time.Second)
		w.addEvenLosses(most, 20*time.Second)
		w.run()
		if w.denied > 0 {
			t.Errorf("seed %d: %d streams were denied while %.2f of the credits could be lent, %d were served, at most %d in a window", seed, w.denied, w.deniedAtFree, w.served, w.mostUses())
		}
		if perSecond := float64(w.messages) / daemons / 40; perSecond > 4 {
			t.Errorf("seed %d: %.1f messages per daemon and second", seed, perSecond)
		}
		for _, v := range w.checkLimit() {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}
