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

// maxAnswerBytes bounds an answer that is held until it is whole.
const maxAnswerBytes = 16 << 20

// patience times a route's objective is how long a repeatable call waits for one
// target before it is sent to another.
const patience = 2

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// call forwards a request whose answer is held until it is whole.
func (f *Forwarder) call(ctx context.Context, r *Request, w Responder) {
	c := &call{f: f, r: r, tried: make(map[string]bool)}
	answer, err := c.run(ctx)
	if answer == nil {
		if left(ctx) {
			w.Abort()
			return
		}
		f.refuse(r, w, err)
		return
	}
	f.Events.Record(event.RequestAnswered, r.ID, event.F("route", r.Route.Name), event.F("target", c.target.ID),
		event.F("status", http.StatusText(answer.status)), event.F("after", time.Since(r.Received).String()))
	f.measure(metricCall, time.Since(r.Received))
	w.Answer(answer.status, answer.header, answer.body)
}

// call is the state of one such request.
type call struct {
	f      *Forwarder
	r      *Request
	tried  map[string]bool // targets that got the request
	target fleet.Target    // of the last attempt
	sent   bool            // some target may have run it
	failed *whole          // a target's own failure, told if nothing better comes
}

// run sends the request until it has an answer, or nothing more may be tried.
func (c *call) run(ctx context.Context) (*whole, *failure.Error) {
	var last *failure.Error
	for dials := 0; ; {
		if len(c.tried) > 0 && !c.f.mayRepeat(c.r, len(c.tried)) {
			break
		}
		target, err := c.f.Fleet.Pick(time.Now(), fleet.Criteria{Service: c.r.Service, Exclude: c.tried})
		if err != nil {
			if last == nil {
				last = noTarget(c.r, err)
			}
			break
		}
		c.target = target
		answer, ferr := c.attempt(ctx, target)
		if answer != nil {
			return answer, nil
		}
		last = ferr
		if ctx.Err() != nil {
			break
		}
		if ferr.Code == failure.NoTarget { // not reached: nothing was sent
			if dials++; dials >= c.maxDials() {
				break
			}
			continue
		}
		c.tried[target.ID] = true
		if c.sent && !c.r.Route.Repeatable() {
			break
		}
	}
	if c.failed != nil {
		return c.failed, nil
	}
	if c.sent {
		last.Outcome = failure.Unknown
	}
	return nil, last
}

// maxDials bounds the targets that a request finds unreachable.
func (c *call) maxDials() int { return 2 + c.r.Route.MaxAttempts }

// attempt sends the request to one target. It returns the answer if that is the
// last word, else why there is none.
func (c *call) attempt(ctx context.Context, t fleet.Target) (*whole, *failure.Error) {
	attemptCtx, cancel := c.patient(ctx)
	defer cancel()
	work := c.f.Fleet.Begin(time.Now(), t.ID, fleet.Demand{})
	answer, err := c.f.TargetClient.Send(attemptCtx, Attempt{Request: c.r, Target: t, TimeLeft: c.r.left()})
	var body []byte
	if err == nil {
		body, err = readWhole(answer.Body)
	}
	now := time.Now()
	switch {
	case errors.Is(err, ErrNotSent):
		work.Done(now, true)
		return nil, c.f.notReached(t, err)
	case err != nil:
		work.Done(now, true)
		c.sent = true
		return nil, c.noAnswer(ctx, now, t, err, attemptCtx.Err() != nil)
	case answer.NotRun:
		work.Done(now, false)
		return nil, c.f.turnedAway(t, answer, false)
	}
	c.sent = true
	broken := answer.Status >= http.StatusInternalServerError
	work.Done(now, broken)
	c.f.Fleet.MarkAnswered(t.ID)
	c.f.CrashTracker.ReportSuccess(c.r)
	out := &whole{answer.Status, answer.Header, body}
	if broken && c.r.Route.Repeatable() {
		c.failed = out
		c.f.Events.Record(event.AttemptLost, c.r.ID, event.F("target", t.ID), event.F("error", "status "+strconv.Itoa(answer.Status)))
		return nil, failure.New(failure.TargetLost, failure.Ran, "send", t.ID, "the target failed with status %d", answer.Status)
	}
	if answer.Status < http.StatusMultipleChoices && !answer.Signed {
		return nil, failure.New(failure.UnknownResult, failure.Unknown, "send", t.ID, "an answer without the target's signature")
	}
	return out, nil
}

// patient bounds one attempt of a call that another target may still answer in
// time.
func (c *call) patient(ctx context.Context) (context.Context, context.CancelFunc) {
	if !c.r.Route.Repeatable() || c.r.Route.LatencyObjective <= 0 || len(c.tried)+1 >= c.r.Route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, patience*c.r.Route.LatencyObjective)
}

// noAnswer tells why an attempt that was sent brought no whole answer. slow tells that
// it was left for its time: a request that is slow does not crash targets.
func (c *call) noAnswer(ctx context.Context, now time.Time, t fleet.Target, err error, slow bool) *failure.Error {
	if ctx.Err() != nil {
		return stopped(ctx, failure.Unknown, "await answer", t.ID)
	}
	c.f.Events.Record(event.AttemptLost, c.r.ID, event.F("target", t.ID), event.F("error", err.Error()))
	c.f.Fleet.MarkRefused(now, t.ID)
	if !slow {
		c.f.CrashTracker.ReportCrash(c.r, t)
	}
	return failure.Wrap(err, failure.TargetLost, failure.Unknown, "await answer", t.ID)
}

// readWhole reads and closes a body.
func readWhole(body io.ReadCloser) ([]byte, error) {
	defer func() { _ = body.Close() }()
	b, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	if len(b) > maxAnswerBytes {
		return nil, errors.Wrapf(ErrNoAnswer, "more than %d bytes", maxAnswerBytes)
	}
	return b, nil
}
