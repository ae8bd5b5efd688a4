package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// run is one attempt of a stream at one target.
type run struct {
	s       *stream
	a       Attempt
	started time.Time // first event; zero before
	work    *fleet.ActiveRequest
	watch   *watch
	lost    <-chan struct{} // closed when the target is taken for dead
	probed  chan Probe
	parts   chan part
	copier  *copier
	moved   chan copyResult // the outcome of moving the run away
	moving  bool
	framed  bool // see Answer
	failed  bool // by the target itself
}

// part is what the reader hands over: the head of the answer, an event, or the
// end of it.
type part struct {
	answer *Answer
	event  Event
	err    error
}

// read sends the attempt and reads its answer until it ends or ctx does.
func (r *run) read(ctx context.Context) {
	answer, err := r.s.f.TargetClient.Send(ctx, r.a)
	if !hand(ctx, r.parts, part{answer: answer, err: err}) || err != nil {
		if answer != nil {
			_ = answer.Body.Close()
		}
		return
	}
	if !isStream(answer) {
		return // follow reads the body
	}
	defer func() { _ = answer.Body.Close() }()
	for events := newEventReader(answer.Body); ; {
		ev, err := events.next()
		if !hand(ctx, r.parts, part{event: ev, err: err}) || err != nil {
			return
		}
	}
}

// hand sends a value to whoever follows the run, unless ctx ends first.
func hand[T any](ctx context.Context, to chan<- T, value T) bool {
	select {
	case to <- value:
		return true
	case <-ctx.Done():
		return false
	}
}

// follow passes on the answer until it ends, the target is lost, or ctx is done.
func (r *run) follow(ctx context.Context) ending {
	timer := time.NewTimer(firstProbe)
	defer timer.Stop()
	head := false
	for {
		select {
		case <-ctx.Done():
			r.s.ran = true
			r.s.err = stopped(ctx, failure.Unknown, "await answer", r.a.Target.ID)
			return endGone
		case <-r.lost:
			return r.leave("the target is taken for dead")
		case p := <-r.probed:
			if p.Alive && r.s.r.Route.Repeatable() && r.watch.muted(r.s.r.ID, p.Report) {
				return r.leave("the target runs the request, and its answer does not arrive")
			}
			if p.Alive && r.watch.started && lostRun(p.at, r.started, r.s.r.ID, p.Report) {
				return r.leave("the target no longer has the request")
			}
		case <-r.copier.unfit:
			r.copier.move(time.Now())
		case <-r.copier.again():
			r.copier.refresh(ctx)
		case c := <-r.copier.copied:
			r.copier.took(c)
		case <-timer.C:
			action, wait := r.watch.next(time.Now())
			switch action {
			case watchLeave:
				if !r.move(ctx) {
					return r.leave("the stream is silent")
				}
			case watchProbe:
				r.s.f.Prober.Ask(r.a.Target, r.probed)
			}
			timer.Reset(max(wait, time.Millisecond))
		case m := <-r.moved:
			if m.err != nil {
				return r.leave("the stream is silent, and not moved: " + m.err.Error())
			}
			r.copier.held = &m.heldCopy
			end := r.leave("the stream is silent, and was moved")
			if m.at.ID == r.a.Target.ID {
				delete(r.s.tried, r.a.Target.ID) // it stopped the run and holds it still
			}
			return end
		case p := <-r.parts:
			if ctx.Err() != nil {
				continue // what the reader met is the end of ctx, not of the target
			}
			if r.moving && p.err != nil && !(ended(p.err) && r.framed) {
				continue // moving ends the stream; the outcome of the move comes next
			}
			if !head {
				head = true
				if end, done := r.head(p); done {
					return end
				}
				continue
			}
			if end, done := r.next(p); done {
				return end
			}
		}
	}
}

// move has a run that its living target does not get on with stopped and its
// memory moved: nothing is lost, unlike with a copy that may not be there. It
// returns false where that can't be done.
func (r *run) move(ctx context.Context) bool {
	if r.moving {
		return true
	}
	if !r.watch.started || r.s.f.Fleet.State(time.Now(), r.a.Target.ID) != fleet.Ready {
		return false
	}
	to, ok := r.s.copyTarget(time.Now(), r.a.Target, r.copier.failed)
	if !ok {
		return false
	}
	r.moving = true
	go func() {
		moveCtx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		c, at, err := r.s.f.TargetClient.Move(moveCtx, r.a.Target, r.s.r.ID, to)
		hand(ctx, r.moved, copyResult{heldCopy{at, c}, err})
	}()
	return true
}

// leave gives the target up.
func (r *run) leave(why string) ending {
	r.s.ran, r.failed = true, true
	r.s.held = nil
	if r.watch.started || r.a.Resume != (Copy{}) || r.copier.byHand {
		// The copy of a run whose prompt was still read is seldom there yet; a target
		// that is asked for it in vain costs an attempt and a part of the retry budget.
		r.s.held = r.copier.held
	}
	r.s.tried[r.a.Target.ID] = true
	r.s.places = append(r.s.places, r.a.Target.Place)
	r.s.note(failure.New(failure.TargetLost, failure.Unknown, "stream", r.a.Target.ID, "%s", why), r.a)
	return endLost
}

// head takes the head of the answer, or why there is none.
func (r *run) head(p part) (ending, bool) {
	s, t := r.s, r.a.Target
	switch {
	case errors.Is(p.err, ErrNotSent):
		s.note(s.f.notReached(t, p.err), r.a)
		s.f.Prober.Check(t)
		return endUnsent, true
	case p.err != nil:
		s.f.CrashTracker.ReportCrash(s.r, t)
		s.f.Prober.Check(t) // the others on it want to know at once
		return r.leave(p.err.Error()), true
	case p.answer.NotRun:
		_ = p.answer.Body.Close()
		s.tried[t.ID] = true
		s.note(s.f.turnedAway(t, p.answer, r.a.Resume != (Copy{})), r.a)
		if p.answer.OtherTarget {
			s.f.Prober.CheckPlace(t)
		}
		return endLost, true
	case !isStream(p.answer):
		return r.refused(p.answer), true
	}
	s.ran, r.framed = true, p.answer.Framed
	s.f.Fleet.MarkAnswered(t.ID)
	if s.begun {
		return 0, false
	}
	if err := s.w.Begin(p.answer.Status, p.answer.Header); err != nil {
		s.err = failure.Wrap(err, failure.Canceled, failure.Unknown, "answer the caller", "")
		return endGone, true
	}
	s.begun = true
	return 0, false
}

// refused takes an answer that is no stream: a failure of the target's own.
func (r *run) refused(a *Answer) ending {
	s := r.s
	s.ran, r.failed = true, true
	s.tried[r.a.Target.ID] = true
	err := s.keep(a)
	if err == nil {
		err = errors.Errorf("status %d", a.Status)
	}
	s.note(failure.Wrap(err, failure.TargetLost, failure.Ran, "send", r.a.Target.ID), r.a)
	if a.Status < 500 {
		return endFinal
	}
	return endLost
}

// next takes an event, or the end of the stream.
func (r *run) next(p part) (ending, bool) {
	s, now := r.s, time.Now()
	if ended(p.err) {
		return endWhole, true
	}
	if p.err != nil {
		if s.last < 0 {
			s.f.CrashTracker.ReportCrash(s.r, r.a.Target)
		}
		s.f.Prober.Check(r.a.Target)
		return r.leave(p.err.Error()), true
	}
	if !r.watch.started {
		r.started = now
		r.work.MarkFirstEvent(now)
		s.f.CrashTracker.ReportSuccess(s.r)
	}
	r.watch.event(now)
	if p.event.ID >= 0 && p.event.ID <= s.last {
		return 0, false // the caller holds it
	}
	if p.event.ID >= 0 && s.last >= 0 && p.event.ID != s.last+1 {
		return r.leave("event " + strconv.FormatInt(p.event.ID, 10) + " follows " + strconv.FormatInt(s.last, 10)), true
	}
	if err := s.w.Event(p.event.Raw); err != nil {
		s.err = failure.Wrap(err, failure.Canceled, failure.Unknown, "answer the caller", "")
		return endGone, true
	}
	s.passed(now, p.event.ID)
	if !s.lost.IsZero() {
		s.f.measure(metricResume, now.Sub(s.lost))
		s.f.Events.Record(event.AnswerResumed, s.r.ID, event.F("target", r.a.Target.ID), event.F("after", now.Sub(s.lost).String()),
			event.F("from_copy", strconv.FormatBool(r.a.Resume != (Copy{}))))
		s.lost = time.Time{}
	}
	return 0, false
}
