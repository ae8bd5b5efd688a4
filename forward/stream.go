package forward

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// stream is one request with a streamed answer, over all its attempts.
type stream struct {
	f     *Forwarder
	r     *Request
	w     Responder
	begun bool          // the answer's head was passed on
	last  int64         // id of the last event that the caller holds; -1 before the first
	lost  time.Time     // of the run that has not gone on yet; zero without
	first time.Time     // when the caller got its first event; zero before
	event time.Time     // when it got the newest
	pause time.Duration // longest between two events

	tried  map[string]bool // targets that got the request
	places []string        // that lost it
	held   *heldCopy       // of the newest run's memory, after its loss
	failed *whole          // a target's own failure, told if nothing better comes
	err    *failure.Error  // of the newest attempt
	ran    bool            // some target may have run it
}

func newStream(f *Forwarder, r *Request, w Responder) *stream {
	s := &stream{f: f, r: r, w: w, last: -1, tried: make(map[string]bool)}
	if id, err := strconv.ParseInt(r.LastEventID, 10, 64); err == nil {
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
		a, ok := s.plan(ctx)
		if !ok {
			break
		}
		end := s.attempt(ctx, a)
		switch end {
		case endWhole:
			s.w.End()
			s.f.Events.Record(event.RequestAnswered, s.r.ID, event.F("route", s.r.Route.Name), event.F("target", a.Target.ID),
				event.F("attempts", strconv.Itoa(len(s.tried))), event.F("first_event", s.first.Sub(s.r.Received).String()),
				event.F("longest_pause", s.pause.String()), event.F("after", time.Since(s.r.Received).String()))
			return
		case endUnsent:
			if unsent++; unsent <= s.r.maxAttempts() {
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
	switch {
	case s.begun:
		s.f.Events.Record(event.AnswerCutShort, s.r.ID, event.F("route", s.r.Route.Name), event.F("error", s.err.Error()),
			event.F("last_event", strconv.FormatInt(s.last, 10)), event.F("after", time.Since(s.r.Received).String()))
		s.w.Abort()
	case left(ctx):
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

// memory is what the run takes of a target, in tokens.
func (s *stream) memory() int { return s.r.Prompt.Tokens + s.r.Prompt.MaxOutputTokens }

// capacity is the memory of a target of the service, in tokens; 0 if not known.
func (s *stream) capacity() int {
	if m := s.f.Model(s.r.Service); m != nil {
		return m.KVCacheTokens
	}
	return 0
}

// passed notes that the caller got an event.
func (s *stream) passed(now time.Time, id int64) {
	if s.first.IsZero() {
		s.first = now
		s.f.measure(metricFirstEvent, now.Sub(s.r.Received))
	} else {
		s.pause = max(s.pause, now.Sub(s.event))
	}
	s.event = now
	if id >= 0 {
		s.last = id
	}
}

// plan chooses the next attempt: the target that holds a copy of the run's memory,
// else the one that would start soonest.
func (s *stream) plan(ctx context.Context) (Attempt, bool) {
	now := time.Now()
	if len(s.tried) > 0 && !s.f.mayRepeat(s.r, len(s.tried)) {
		return Attempt{}, false
	}
	a := Attempt{Request: s.r, LastEventID: s.lastEvent(), ObjectiveMissed: s.late(now)}
	if c := s.held; c != nil && s.f.Fleet.State(now, c.at.ID) == fleet.Ready && !s.tried[c.at.ID] {
		a.Target, a.Resume = c.at, c.copy
	} else {
		if err := s.f.PlacementLimiter.Wait(ctx); err != nil {
			s.err = stopped(ctx, failure.NotRun, "route", s.r.Service)
			return Attempt{}, false
		}
		t, err := s.f.Fleet.Pick(time.Now(), fleet.Criteria{
			PromptHolders: s.holders(ctx),
			Service:       s.r.Service, Exclude: s.tried, Affinity: s.r.Prompt.CacheKey, AvoidPlaces: s.places,
			MemoryTokens: max(1, s.memory()), CapacityTokens: s.capacity(),
		})
		if err != nil {
			if s.err == nil {
				s.err = noTarget(s.r, err)
			}
			return Attempt{}, false
		}
		a.Target = t
	}
	s.held = nil
	if c, ok := s.copyTarget(now, a.Target, nil); ok {
		a.CopyTo = &c
	}
	return a, true
}

// late tells whether the answer can't be in time any more: the caller came back for
// the rest of it, waits longer between two events than the route allows, or would
// have its first event after the objective.
func (s *stream) late(now time.Time) bool {
	route := s.r.Route
	switch {
	case s.r.LastEventID != "":
		return true
	case !s.event.IsZero():
		return route.MaxEventGap > 0 && now.Sub(s.event) > route.MaxEventGap
	}
	return route.LatencyObjective > 0 && now.Sub(s.r.Received) > route.LatencyObjective
}

func (s *stream) lastEvent() string {
	if s.last < 0 {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// holders returns the targets that hold the prompt of a caller who comes back for the
// rest of an answer, nil for others.
func (s *stream) holders(ctx context.Context) map[string]bool {
	if s.r.LastEventID == "" || s.r.Prompt.CacheKey == "" || len(s.tried) > 0 {
		return nil
	}
	return s.f.CacheLocator.Find(ctx, s.f.Fleet.RankByHash(time.Now(), s.r.Service, s.r.Prompt.CacheKey, holdersAsked), s.r.Prompt.CacheKey)
}

// copyTarget chooses where a copy of the run's memory grows: in another place, so
// that the loss of a whole place leaves one of the two.
func (s *stream) copyTarget(now time.Time, t fleet.Target, refused map[string]bool) (fleet.Target, bool) {
	model := s.f.Model(s.r.Service)
	if !s.r.Route.Repeatable() || model == nil || !model.StandbyCopies {
		return fleet.Target{}, false
	}
	exclude := map[string]bool{t.ID: true}
	maps.Copy(exclude, s.tried)
	maps.Copy(exclude, refused)
	c, err := s.f.Fleet.Pick(now, fleet.Criteria{
		Service: s.r.Service, Exclude: exclude, AvoidPlaces: append([]string{t.Place}, s.places...),
		MemoryTokens: s.memory(), CapacityTokens: model.KVCacheTokens, ForCopy: true,
	})
	return c, err == nil
}

// attempt sends the request to one target and passes on what comes.
func (s *stream) attempt(ctx context.Context, a Attempt) ending {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the run at this target ends before another one begins
	now := time.Now()
	a.TimeLeft = s.r.left()
	demand := fleet.Demand{PrefillTokens: s.r.Prompt.Tokens, MemoryTokens: s.memory()}
	if a.Resume != (Copy{}) {
		demand.PrefillTokens = 0
	}
	work := s.f.Fleet.Begin(now, a.Target.ID, demand)
	run := &run{
		s: s, a: a, work: work, lost: s.f.Fleet.Lost(a.Target.ID), watch: newWatch(now, s.r.Route.MaxEventGap, a.Resume != (Copy{}), a.CopyTo != nil),
		probed: make(chan Probe, 1), parts: make(chan part, 1), moved: make(chan copyResult, 1), copier: newCopier(s, a),
	}
	defer func() {
		run.work.Done(time.Now(), run.failed)
		run.copier.end(!run.failed)
	}()
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
		event.F("error", err.Error()), event.F("last_event", strconv.FormatInt(s.last, 10)), event.F("resumed_from_copy", strconv.FormatBool(a.Resume != (Copy{}))),
		event.F("copy", s.copyState()))
}

// copyState names the target that holds a copy, and its state, for the log.
func (s *stream) copyState() string {
	if s.held == nil {
		return "none"
	}
	return s.held.at.ID + " in " + s.held.at.Place + " " + string(s.f.Fleet.State(time.Now(), s.held.at.ID))
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
