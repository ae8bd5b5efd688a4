package rollout

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/racemode"
)

// TestShare guards against more requests to a version under roll-out than its share and the slack
// over all daemons, while daemons join, leave, restart and are cut off from each other, and against
// requests to a bad version later than 5 s after its 50th bad response.
func TestShare(t *testing.T) {
	for _, size := range []struct{ daemons, seeds int }{{8, 120}, {90, 60}, {760, 20}} {
		t.Run(strconv.Itoa(size.daemons), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(racemode.Seeds(size.seeds)) {
				r := rand.New(rand.NewPCG(seed, uint64(size.daemons)))
				rate, d := 100.0, 12*time.Second
				switch seed % 4 {
				case 1:
					rate, d = 2, time.Minute
				case 2:
					rate = 400
				}
				failures := []float64{0.002, 0.02, 0.3}[r.IntN(3)]
				split := seed%3 == 0
				fault := func(f *fleet) {
					for range 1 + size.daemons/90 {
						i := r.IntN(len(f.daemons))
						switch r.IntN(int(10 * time.Second / tick)) {
						case 0:
							f.start(i, false)
						case 1:
							if f.start(len(f.daemons), false); split {
								f.daemons[len(f.daemons)-1].side = r.IntN(2)
							}
						case 2:
							f.daemons[i].up = false
						case 3:
							f.daemons[i].pausedUntil = f.now.Add(time.Duration(r.IntN(4000)) * time.Millisecond)
						case 4:
							if split {
								side := r.IntN(2)
								for j := range f.daemons {
									f.daemons[j].side = side * (j % 2)
								}
							}
						}
					}
				}
				new := func(string, float64, int) (float64, float64) { return failures, 1 }
				f := newFleet(site{daemons: size.daemons, rate: rate, duration: d, settle: 6 * time.Second, fault: fault,
					respond:   respond(good, new, d),
					storeDown: func(age time.Duration) bool { return seed%5 == 0 && age > 3*time.Second },
				}, seed).run()
				limit := settings.Share*float64(f.requestsInTime) + settings.Slack
				if float64(f.sent) > limit {
					t.Errorf("%d daemons, seed %d: %d sends of %d requests, at most %.0f are allowed", size.daemons, seed, f.sent, f.requestsInTime, limit)
				}
				if failures == 0.3 && !split && f.object.State != Completed && f.sentLate > 0 {
					t.Errorf("%d daemons, seed %d: %d requests later than 5 s after the 50th bad response", size.daemons, seed, f.sentLate)
				}
			}
		})
	}
}

// TestOrders guards against invalid durations that are taken, evidence and statuses of another
// order that are applied, a final state that is replaced, and a machine of a presumed order that
// loses its count when the order arrives.
func TestOrders(t *testing.T) {
	for _, invalid := range []any{nil, "12", true, 0.0, -1.0, 86401.0} {
		if _, err := ParseDuration(invalid); err == nil {
			t.Errorf("duration_s %v is valid", invalid)
		}
	}
	if d, err := ParseDuration(12.5); err != nil || d != 12500*time.Millisecond {
		t.Error(d, err)
	}
	m := NewMachine(settings, Order{Target: "v2", Created: epoch}, epoch, true)
	m.SetDaemons(1)
	for range 100 {
		m.CountRequest(epoch)
		m.Allow(epoch)
	}
	_, before, _ := m.Usage(epoch)
	o := Order{Target: "v2", Duration: time.Minute, Created: epoch, Instance: 9}
	m.UpdateOrder(o)
	if _, sent, _ := m.Usage(epoch); sent == 0 || sent != before {
		t.Errorf("%d sends before the order, %d after", before, sent)
	}
	m.Merge(epoch, "b", 1, Evidence{Target: "v1", Instance: 9, Sequence: 1, Bad: "other target"})
	m.Merge(epoch, "b", 1, Evidence{Target: "v2", Instance: 8, Sequence: 2, Bad: "other order"})
	m.ApplyStatus(RolledBack, "v1")
	if d := m.Decide(epoch); d.Verdict == Bad || d.Write != Running || !m.Allows("v2") {
		t.Errorf("%+v", d)
	}
	m.SetTargets(false)
	if d := m.Decide(epoch.Add(time.Minute - time.Millisecond)); d.Write != RolledBack {
		t.Errorf("no target has the version: %+v", d)
	}
	m.ApplyStatus(Completed, "v2")
	m.ApplyStatus(RolledBack, "v2")
	m.MarkBad("late verdict")
	if d := m.Decide(epoch); d.Phase != Ended || d.Write != "" || m.Allows("v1") || !m.Allows("v2") {
		t.Errorf("%+v", d)
	}

	w, done := NewWriter(o), Decision{Write: Completed}
	w.Saw(epoch, Object{Revision: 3, Instance: 9, Target: "v3"}, false)
	if a := w.Next(epoch, done, 0); a.Kind != Nothing {
		t.Errorf("replaced order: %+v", a)
	}
	w = NewWriter(o)
	w.Saw(epoch, Object{Revision: 3, Instance: 9, Target: "v2", State: RolledBack, StatusTarget: "v2"}, false)
	if a := w.Next(epoch, done, 0); a.Kind != Nothing {
		t.Errorf("final state: %+v", a)
	}
	w = NewWriter(o)
	w.Next(epoch, done, 0)
	w.Failed(epoch, Missing)
	if a := w.Next(epoch.Add(time.Minute), done, 0); a.Kind != Nothing {
		t.Errorf("deleted order: %+v", a)
	}
}
