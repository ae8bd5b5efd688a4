package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// A stream whose run waits at a target that answers, preempted or in its queue, has a place there
// and loses it by leaving. What daemons know of each other's requests and of copies is no promise
// of another place, so it leaves only for one that another target has reserved.

// Reserver reserves room at targets.
type Reserver interface {
	// Reserve reserves a slot, and memory for so many tokens, at a target for at most d, and
	// returns the id of the reservation. tokens is at least 1. The error is ErrNoRoom if the target
	// refuses, and ErrNoReservations if it doesn't reserve room.
	Reserve(ctx context.Context, t fleet.Target, tokens int, d time.Duration) (id string, err error)
	// EndReservation ends a reservation that was not used.
	EndReservation(ctx context.Context, t fleet.Target, id string) error
}

// Errors of a Reserver.
var (
	ErrNoRoom         = errors.New("the target has no room")
	ErrNoReservations = errors.New("the target reserves no room")
)

// Timing of reservations.
const (
	// reserveTimeout bounds the request for a reservation, which takes some milliseconds.
	reserveTimeout = 200 * time.Millisecond
	// maxReservation bounds the time from a reservation to the send that uses it.
	maxReservation = time.Second
	// reserveInterval is the time until a stream asks a target again that refused.
	reserveInterval = 500 * time.Millisecond
)

// Reasons why a stream stays where its run waits.
var (
	errNotReserved = errors.New("no other target has reserved room")
	errReserving   = errors.New("another target is asked for a reservation")
)

// Names of the counters of reservations.
const (
	metricReserved    = "forward.reservations"
	metricNotReserved = "forward.reservations_refused"
)

// reservation is the answer to a request for one.
type reservation struct {
	target fleet.Target
	id     string
	until  time.Time
	reason string // why the stream leaves its target
	err    error
}

// reservationTime returns for how long targets of a service reserve room, 0 if they don't.
func (f *Forwarder) reservationTime(service string) time.Duration {
	m := f.Model(service)
	if f.Reserver == nil || m == nil {
		return 0
	}
	return min(m.MaxReservation, maxReservation)
}

// keepsPlace reports whether the target of the attempt answers, so that the run has a place there,
// and other targets can be asked for one.
func (a *streamAttempt) keepsPlace(now time.Time) bool {
	f, t := a.stream.forwarder, a.attempt.Target
	return f.reservationTime(a.stream.request.Service) > 0 && f.Fleet.State(now, t.ID) == fleet.Ready && f.Prober.answeredSince(t, a.detector.lastProgress)
}

// isPreemptedIn reports whether the result of a probe shows that the target has preempted the run: it
// has a queue, and doesn't run it.
func (a *streamAttempt) isPreemptedIn(p ProbeResult) bool {
	_, running := p.Report.Running[a.stream.request.ID]
	return a.detector.firstEventSeen && p.completedAt.Sub(a.firstEventAt) >= maxReportAge && p.Report.Running != nil && p.Report.Queued > 0 && !running
}

// isPreempted reports whether the run waits in its target's queue. Its prompt is prefilled again in
// any case, so another target that has reserved room is as good.
func (a *streamAttempt) isPreempted(now time.Time) bool {
	return a.preemptedAt.After(a.detector.lastProgress) && now.Sub(a.preemptedAt) < maxReportAge && a.keepsPlace(now)
}

// reserve asks the target of the slot that is held for a reservation, if the stream has a place to
// lose. The error is why the stream stays, errReserving until handleReservation.
func (a *streamAttempt) reserve(ctx context.Context, reason string) error {
	s, now := a.stream, time.Now()
	slot := s.succession.slot
	switch {
	case !a.keepsPlace(now):
		return nil
	case slot == nil && now.Sub(a.queuedAt) < maxReportAge:
		return errNoRoom // the queue of another target is no better
	case slot == nil:
		return nil
	}
	f, d, target := s.forwarder, s.forwarder.reservationTime(s.request.Service), slot.target
	a.reserving = true
	go func() {
		reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
		defer cancel()
		r := reservation{target: target, until: now.Add(d), reason: reason}
		if r.id, r.err = f.Reserver.Reserve(reserveCtx, target, max(1, s.memoryTokens()), d); !sendUnlessDone(ctx, a.reservations, r) && r.err == nil {
			f.endReservation(target, r.id)
		}
	}()
	return errReserving
}

// handleReservation handles the answer to a request for a reservation. If the attempt has ended,
// it returns how and true.
func (a *streamAttempt) handleReservation(r reservation) (attemptEnd, bool) {
	a.reserving = false
	s, none := a.stream, errors.Is(r.err, ErrNoReservations)
	slot := s.succession.slot
	switch {
	case r.err != nil && !none:
		metrics.GetOrRegisterCounter(metricNotReserved, s.forwarder.Metrics).Inc(1)
		s.succession.recordRefusal(r.target.ID)
		s.succession.releaseSlot()
		a.keep(r.reason, errNotReserved)
		return 0, false
	case slot == nil || slot.target.ID != r.target.ID || a.eventArrived(): // the run goes on
		if !none {
			go s.forwarder.endReservation(r.target, r.id)
		}
		return 0, false
	case !none:
		metrics.GetOrRegisterCounter(metricReserved, s.forwarder.Metrics).Inc(1)
		slot.reservation, slot.until = r.id, r.until
		slot.endReservation = func() { go s.forwarder.endReservation(r.target, r.id) }
	}
	if slot.returns {
		s.succession.returnFirst = true
		return a.abandon(r.reason), true
	}
	return a.abandonSilent(r.reason), true
}

// endReservation ends a reservation that was not used. It ends by itself if that fails.
func (f *Forwarder) endReservation(t fleet.Target, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), reserveTimeout)
	defer cancel()
	_ = f.Reserver.EndReservation(ctx, t, id)
}

// recordRefusal records that a target has just refused a reservation.
func (c *succession) recordRefusal(id string) {
	if c.refusedAt == nil {
		c.refusedAt = make(map[string]time.Time)
	}
	c.refusedAt[id] = time.Now()
}

// withRefusals adds to a set of target ids those that have just refused a reservation.
func (c *succession) withRefusals(exclude map[string]bool) map[string]bool {
	for id := range c.refusedAt {
		if c.hasRefused(id) {
			exclude = withID(exclude, id)
		}
	}
	return exclude
}

// hasRefused reports whether a target has just refused a reservation.
func (c *succession) hasRefused(id string) bool { return time.Since(c.refusedAt[id]) < reserveInterval }

// takeReservation returns the reservation for the next attempt, which uses it at t, and "" if there
// is none.
func (c *succession) takeReservation(t fleet.Target) string {
	slot := c.slot
	if slot == nil || slot.target.ID != t.ID || !time.Now().Before(slot.until) {
		return ""
	}
	id := slot.reservation
	slot.reservation = ""
	return id
}

// keepReservation keeps the place of an attempt whose target doesn't have the copy that the run was
// to resume from. It reports whether the stream may begin there without.
func (s *stream) keepReservation(a Attempt) bool {
	if a.Reservation == "" || a.Resume == (Copy{}) {
		return false
	}
	release, ok := s.forwarder.Fleet.HoldSlot(a.Target.ID, 0, 0)
	if !ok {
		release = func() {} // the target knows better than the daemons' loads
	}
	s.succession.releaseSlot()
	s.succession.slot = &heldSlot{target: a.Target, release: release, reservation: a.Reservation, until: s.request.SentAt.Add(s.forwarder.reservationTime(s.request.Service)),
		endReservation: func() { go s.forwarder.endReservation(a.Target, a.Reservation) }}
	return true
}
