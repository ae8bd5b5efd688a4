package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// simReservations are the reservations at the targets of a simulation. The simulation's mutex
// protects them.
type simReservations struct {
	asked int
	open  map[string]string // target by id, of those that were neither used nor ended
}

// planWait lets the first run of one stream in three be preempted.
func (p *simPlan) planWait(seed uint64, n int) {
	random := rand.New(rand.NewPCG(seed, uint64(n)+9))
	if random.IntN(3) == 0 && p.lastEvent > 1 {
		p.waitsAt, p.waits = 1+random.IntN(p.lastEvent-1), between(random, 300*time.Millisecond, 6*time.Second)
	}
}

// setWaiting records whether the target of a run has preempted it.
func (w *simulation) setWaiting(r *simRun, waits bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.waits = waits
}

// Reserve implements Reserver. Targets that refuse requests reserve nothing, and others refuse
// every third time.
func (w *simulation) Reserve(ctx context.Context, t fleet.Target, _ int, _ time.Duration) (string, error) {
	p, err := w.call(ctx, t)
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reservations.asked++
	if p.refusing || w.reservations.asked%3 == 0 {
		return "", errors.WithStack(ErrNoRoom)
	}
	id := fmt.Sprint("reservation-", w.reservations.asked)
	w.reservations.open[id] = p.ID
	return id, nil
}

// EndReservation implements Reserver. One at a target that doesn't answer ends by itself.
func (w *simulation) EndReservation(ctx context.Context, t fleet.Target, id string) error {
	w.mu.Lock()
	delete(w.reservations.open, id)
	w.mu.Unlock()
	_, err := w.call(ctx, t)
	return err
}

// useReservation checks and ends the reservation of an attempt. The caller holds the mutex.
func (w *simulation) useReservation(a Attempt) {
	if a.Reservation == "" {
		return
	}
	if id, ok := w.reservations.open[a.Reservation]; ok && id != a.Target.ID {
		w.faults = append(w.faults, a.Request.ID+" uses a reservation of another target")
	}
	delete(w.reservations.open, a.Reservation)
}

// checkReservations returns the reservations that were neither used nor ended.
func (w *simulation) checkReservations() (faults []string) {
	for id, target := range w.reservations.open {
		faults = append(faults, fmt.Sprintf("%s at %s was neither used nor ended", id, target))
	}
	return faults
}
