package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// stream is one request with a streamed answer, over all its attempts.
type stream struct {
	f     *Forwarder
	r     *Request
	w     Responder
	begun bool  // the answer's head was passed on
	last  int64 // id of the last event that the caller holds; -1 before the first
	moved bool  // it goes on after a loss
	lost  time.Time

	tried  map[string]bool // targets that got the request
	places []string        // that lost it
	copyAt *fleet.Target   // holds a copy of the newest run's memory
	// copyNext gets one as soon as the attempt under way runs.
	copyNext *fleet.Target
	failed   *whole         // a target's own failure, told if nothing better comes
	err      *failure.Error // of the newest attempt
	ran      bool           // some target may have run it
}

func newStream(f *Forwarder, r *Request, w Responder) *stream {
	s := &stream{f: f, r: r, w: w, last: -1, tried: make(map[string]bool)}
	if id, err := strconv.ParseInt(r.LastEvent, 10, 64); err == nil {
		s.last = id
	}
	return s
}

// ending is how an attempt ended.
type ending int

const (
	endWhole  ending = iota // the answer is complete
	endGone                 // the caller left, or its time is over
	endLost                 // go on elsewhere
	endUnsent               // not reached: nothing was sent
	endFinal                // nothing more may be tried
)

// run sends the request until its answer is whole.
func (s *stream) run(ctx context.Context) {
	unsent := 0
	for {
		a, ok := s.plan()
		if !ok {
			break
		}
		end := s.attempt(ctx, a)
		switch end {
		case endWhole:
			s.w.End()
			s.f.Events.Record(event.RequestAnswered, s.r.ID, event.F("route", s.r.Route.Name), event.F("target", a.Target.ID),
				event.F("attempts", strconv.Itoa(len(s.tried))), event.F("after", time.Since(s.r.Received).String()))
			return
		case endUnsent:
			if unsent++; unsent <= s.maxAttempts() {
				continue
			}
		case endLost:
			if s.ran && !s.r.Route.Repeatable() {
				break
			}
			continue
		}
		break
	}
	s.finish(ctx)
}

// finish gives the caller the last word on an answer that is not whole.
func (s *stream) finish(ctx context.Context) {
	canceled := errors.Is(ctx.Err(), context.Canceled)
	switch {
	case s.begun:
		s.f.Events.Record(event.AnswerCutShort, s.r.ID, event.F("route", s.r.Route.Name), event.F("error", s.err.Error()),
			event.F("last_event", strconv.FormatInt(s.last, 10)), event.F("after", time.Since(s.r.Received).String()))
		s.w.Abort()
	case canceled:
		s.w.Abort()
	case s.failed != nil:
		s.w.Answer(s.failed.status, s.failed.header, s.failed.body)
	default:
		if s.ran {
			s.err.Outcome = failure.Unknown
		}
		s.f.refuse(s.r, s.w, s.err)
	}
}

func (s *stream) maxAttempts() int { return max(1, s.r.Route.MaxAttempts) }

// plan chooses the next attempt: the target that holds a copy of the run's memory,
// else the one that would start soonest.
func (s *stream) plan() (Attempt, bool) {
	now := time.Now()
	if len(s.tried) >= s.maxAttempts() {
		return Attempt{}, false
	}
	if len(s.tried) > 0 && !s.f.Budget.Take(now, s.r.Service) {
		s.f.Events.Record(event.RetryDenied, s.r.ID, event.F("service", s.r.Service))
		return Attempt{}, false
	}
	a := Attempt{Request: s.r, LastEvent: s.lastEvent()}
	if c := s.copyAt; c != nil && s.f.Fleet.Usable(now, c.ID) && !s.tried[c.ID] {
		a.Target, a.ResumeFrom = *c, c.Address
	} else {
		t, err := s.f.Fleet.Pick(now, fleet.Wish{
			Service: s.r.Service, Exclude: s.tried, Affinity: s.r.Prompt.Key, OtherPlaces: s.places, Tokens: max(1, s.r.Prompt.Tokens),
		})
		if err != nil {
			if s.err == nil {
				s.err = failure.Wrap(err, failure.NoTarget, failure.NotRun, "route", s.r.Service).After(retryBusy)
			}
			return Attempt{}, false
		}
		a.Target = t
	}
	s.copyAt, s.copyNext = nil, nil
	if c, ok := s.copyTarget(now, a.Target); ok {
		s.copyNext, a.CopyTo = &c, c.Address
	}
	return a, true
}

func (s *stream) lastEvent() string {
	if s.last < 0 {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// copyTarget chooses where a copy of the run's memory grows: in another place, so
// that the loss of a whole place leaves one of the two.
func (s *stream) copyTarget(now time.Time, t fleet.Target) (fleet.Target, bool) {
	if !s.r.Route.Repeatable() || s.f.Copies == nil || !s.f.Copies(s.r.Service) {
		return fleet.Target{}, false
	}
	exclude := map[string]bool{t.ID: true}
	for id := range s.tried {
		exclude[id] = true
	}
	c, err := s.f.Fleet.Pick(now, fleet.Wish{
		Service: s.r.Service, Exclude: exclude, OtherPlaces: append([]string{t.Place}, s.places...), Tokens: s.r.Prompt.Tokens,
	})
	return c, err == nil
}

// attempt sends the request to one target and passes on what comes.
func (s *stream) attempt(ctx context.Context, a Attempt) ending {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the run at this target ends before another one begins
	now := time.Now()
	a.Left = time.Until(s.r.limit())
	unread := s.r.Prompt.Tokens
	if a.ResumeFrom != "" {
		unread = 0
	}
	run := &run{s: s, a: a, work: s.f.Fleet.Begin(now, a.Target.ID, unread), lost: s.f.Fleet.Lost(a.Target.ID),
		watch: newWatch(now, s.r.Route.MaxPause, a.CopyTo != ""), probed: make(chan Probe, 1), parts: make(chan part, 1)}
	defer func() { run.work.Done(time.Now(), run.failed) }()
	go run.read(ctx)
	return run.follow(ctx)
}

// note keeps why an attempt ended, for the log and for the caller.
func (s *stream) note(err *failure.Error, a Attempt) {
	s.err = err
	if s.lost.IsZero() {
		s.lost = time.Now()
	}
	s.f.Events.Record(event.AttemptLost, s.r.ID, event.F("target", a.Target.ID), event.F("place", a.Target.Place),
		event.F("error", err.Error()), event.F("last_event", strconv.FormatInt(s.last, 10)), event.F("resumed_from_copy", strconv.FormatBool(a.ResumeFrom != "")))
}

// keep remembers a target's own failure.
func (s *stream) keep(a *Answer) error {
	body, err := readWhole(a.Body)
	if err == nil {
		s.failed = &whole{a.Status, a.Header, body}
	}
	return err
}

// isStream tells whether an answer's body is a stream of events.
func isStream(a *Answer) bool { return a.Status == http.StatusOK && a.Signed }

// ended tells whether a stream that ends with err is complete.
func ended(err error) bool { return err == io.EOF }
