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
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Limits of buffered answers.
const (
	// maxAnswerBytes bounds an answer that is buffered until it is complete.
	maxAnswerBytes = 16 << 20
	// MaxBufferedBytes bounds what the buffered answers of a daemon hold together, apart
	// from membudget.FreeBytes of each, where the memory of the VM is not known.
	MaxBufferedBytes = 64 << 20
)

// attemptTimeoutFactor is how long a repeatable call waits for one target before it is
// sent to another, in multiples of the route's latency objective.
const attemptTimeoutFactor = 2

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// check returns the error for the caller if the answer's status promises that the request has
// not run. The target has not said so; it may have run the request and failed then.
func (b *bufferedAnswer) check(t fleet.Target) *failure.Error {
	switch b.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return failure.New(failure.UnknownOutcome, failure.Unknown, "send", t.ID, "the target answered with status %d and not that it has not run the request", b.status)
	}
	return nil
}

// call forwards a request and buffers the answer until it is complete.
func (f *Forwarder) call(ctx context.Context, r *Request, w Responder) {
	c := &call{forwarder: f, request: r, tried: make(map[string]bool)}
	defer c.releaseMemory()
	answer, err := c.run(ctx)
	if answer == nil {
		if canceledByCaller(ctx) {
			f.abortLeft(r, w)
			return
		}
		f.failRequest(r, w, err)
		return
	}
	if err := answer.check(c.target); err != nil {
		f.failRequest(r, w, err)
		return
	}
	f.Events.Record(event.RequestAnswered, r.ID, event.F("route", r.Route.Name), event.F("target", c.target.ID),
		event.F("status", http.StatusText(answer.status)), event.F("framed", c.framed), event.F("after", time.Since(r.Received).String()))
	f.recordDuration(metricCall, time.Since(r.Received))
	for _, memory := range c.memory {
		memory.WaitFor(r.Caller)
	}
	w.Answer(answer.status, answer.header, answer.body)
}

// call is the state of a request whose answer is buffered.
type call struct {
	forwarder     *Forwarder
	request       *Request
	tried         map[string]bool // targets that the request was sent to
	target        fleet.Target    // of the last attempt
	framed        string          // whether the answer of the last attempt is framed, for the log
	mayHaveRun    bool            // a target may have run the request
	targetFailure *bufferedAnswer // server error of a target, used if no attempt succeeds
	succession    succession

	memory []*membudget.Share // of the bodies that were read
}

// run sends the request until there is an answer or no attempt is left.
func (c *call) run(ctx context.Context) (*bufferedAnswer, *failure.Error) {
	var lastErr *failure.Error
	defer c.forwarder.releaseRetries(c.request, &c.succession)
	for failedDials := 0; ; {
		target, refusal := c.planAttempt(ctx, failedDials)
		if refusal != nil && (lastErr == nil || refusal.Code != failure.NoTarget) {
			lastErr = refusal
		}
		if target == nil {
			if c.succession.awaitReturn(ctx) {
				continue
			}
			break
		}
		c.target = *target
		plannedAt := time.Now()
		answer, attemptErr := c.attempt(ctx, *target)
		if answer != nil {
			return answer, nil
		}
		lastErr = attemptErr
		if ctx.Err() != nil {
			break
		}
		if attemptErr.Code == failure.NoTarget { // the target was not reached, so nothing was sent
			failedDials++
			c.succession.keepRetry(plannedAt, len(c.tried))
			continue
		}
		c.tried[target.ID] = true
		if c.mayHaveRun && !c.request.Route.Repeatable() {
			break
		}
	}
	if c.targetFailure != nil {
		return c.targetFailure, nil
	}
	if c.mayHaveRun {
		lastErr.Outcome = failure.Unknown
	}
	return nil, lastErr
}

// planAttempt returns the target of the next attempt, nil if there is none. refusal is the
// reason, unless the route's attempts or the retry budget are used up.
func (c *call) planAttempt(ctx context.Context, failedDials int) (t *fleet.Target, refusal *failure.Error) {
	allowed := false
	if failedDials < c.maxFailedDials() {
		allowed, refusal = c.forwarder.allowAttempt(ctx, retry{request: c.request}, len(c.tried), take(&c.succession.retryReserved))
		if refusal != nil {
			c.succession.silent = nil
		}
	}
	if allowed {
		picked, err := c.forwarder.pick(ctx, c.request.ID, fleet.Criteria{Service: c.request.Service, Exclude: c.tried, Priority: c.request.Route.Priority}, &c.succession)
		if err == nil {
			return &picked, nil
		}
		refusal = c.forwarder.noTargetError(c.request, err)
		c.succession.keepRetry(time.Now(), len(c.tried))
	}
	back, ok, returnRefusal := c.forwarder.planReturn(ctx, c.request, &c.succession, func(fleet.Target) bool { return true })
	if ok {
		return &back, nil
	}
	if returnRefusal != nil {
		refusal = returnRefusal
	}
	return nil, refusal
}

// maxFailedDials is the number of failed connection attempts after which a request
// fails.
func (c *call) maxFailedDials() int { return 2 + c.request.Route.MaxAttempts }

// attempt sends the request to one target. It returns the answer if it is final,
// otherwise the reason why the attempt failed.
func (c *call) attempt(ctx context.Context, t fleet.Target) (*bufferedAnswer, *failure.Error) {
	incarnation := c.forwarder.Fleet.Incarnation(t.ID)
	c.request.SentAt = time.Now()
	active := c.forwarder.Fleet.Begin(c.request.SentAt, t.ID, fleet.Demand{})
	observed := c.forwarder.observe(c.request.SentAt, c.request, t, &c.succession)
	answer, body, gaveUp, err := c.send(ctx, Attempt{Request: c.request, Target: t, TimeLeft: c.request.timeLeft()}, incarnation)
	c.forwarder.releasePermit(c.request.ID, t, err == nil && answer.lacksRoom())
	now := time.Now()
	c.framed = describeFrame(answer)
	switch {
	case errors.Is(err, ErrNotSent):
		active.Done(now, true)
		observed.notSent(now)
		return nil, c.forwarder.handleUnreachable(t, err)
	case err != nil:
		active.Done(now, true)
		c.mayHaveRun = true
		c.succession.arrived(t.ID)
		if gaveUp {
			c.succession.silent = append(c.succession.silent, incarnation)
		}
		timedOut := gaveUp || ctx.Err() != nil
		attemptErr, targetLost := c.handleNoAnswer(ctx, now, incarnation, err, timedOut)
		if timedOut {
			observed.abandon(now, true)
		} else {
			observed.fail(now, targetLost)
		}
		return nil, attemptErr
	case answer.NotRun:
		active.MarkRefused()
		active.Done(now, false)
		observed.abandon(now, false)
		return nil, c.forwarder.handleRefusal(t, answer, false)
	}
	c.mayHaveRun = true
	c.succession.arrived(t.ID)
	c.forwarder.releaseReturn(c.request, &c.succession)
	serverError := answer.Status >= http.StatusInternalServerError
	active.Done(now, serverError)
	if serverError || answer.Status < http.StatusMultipleChoices && !answer.Signed {
		observed.fail(now, false)
	} else {
		observed.respond(now)
	}
	c.forwarder.Fleet.MarkAnswered(t.ID)
	buffered := &bufferedAnswer{answer.Status, answer.Header, body}
	if serverError && c.request.Route.Repeatable() {
		c.targetFailure = buffered
		c.forwarder.Events.Record(event.AttemptLost, c.request.ID, event.F("target", t.ID), event.F("error", "status "+strconv.Itoa(answer.Status)), event.F("framed", c.framed))
		return nil, failure.New(failure.TargetLost, failure.Ran, "send", t.ID, "the target failed with status %d", answer.Status)
	}
	if answer.Status >= http.StatusMultipleChoices {
		return buffered, nil
	}
	if !answer.Signed {
		return nil, failure.New(failure.UnknownOutcome, failure.Unknown, "send", t.ID, "an answer without the target's signature")
	}
	c.forwarder.CrashTracker.ReportCompletion(c.request)
	return buffered, nil
}

// send sends the call to one target and reads the answer. While another target can get
// the call, it is given up after attemptTimeoutFactor times the route's latency
// objective.
func (c *call) send(ctx context.Context, a Attempt, target fleet.Incarnation) (answer *Answer, body []byte, gaveUp bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.request.Route.Repeatable() || c.request.Route.LatencyObjective <= 0 || !c.request.attemptsLeft(len(c.tried)+1) {
		answer, body, err = c.exchange(ctx, a, target)
		return answer, body, false, err
	}
	done, sentAt := make(chan struct{}), time.Now()
	go func() {
		defer close(done)
		answer, body, err = c.exchange(ctx, a, target)
	}()
	timer := time.NewTimer(attemptTimeoutFactor * c.request.Route.LatencyObjective)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return answer, body, gaveUp, err
		case <-timer.C:
			gaveUp = c.forwarder.reserveSuccessor(c.request, &c.succession, c.tried, target, time.Since(sentAt), fleet.Criteria{Service: c.request.Service}, nil, nil) == nil
			if gaveUp {
				cancel() // done follows
				continue
			}
			timer.Reset(c.request.Route.LatencyObjective)
		}
	}
}

// exchange sends the call to one target and reads the answer.
func (c *call) exchange(ctx context.Context, a Attempt, target fleet.Incarnation) (*Answer, []byte, error) {
	answer, err := c.forwarder.send(ctx, a)
	if err != nil {
		return nil, nil, err
	}
	if answer.NotRun {
		_ = answer.Body.Close() // the head says all; the body may have no end
		return answer, nil, nil
	}
	body, err := c.readBody(answer.Body)
	if err == nil && !answer.Framed {
		err = c.forwarder.confirmEnd(ctx, c.request, a.Target, target)
	}
	return answer, body, err
}

// handleNoAnswer returns the error of an attempt that was sent and received no complete
// answer. timedOut reports whether the attempt was abandoned because it took too
// long. A slow request counts as a crash of the target only once the target is known
// to have ended. targetLost is as in reportBrokenRun.
func (c *call) handleNoAnswer(ctx context.Context, now time.Time, target fleet.Incarnation, err error, timedOut bool) (attemptErr *failure.Error, targetLost bool) {
	if timedOut && !canceledByCaller(ctx) {
		c.forwarder.CrashTracker.ReportLoss(c.request, target, true)
	}
	if ctx.Err() != nil {
		return contextError(ctx, failure.Unknown, "await answer", c.target.ID), false
	}
	c.forwarder.Events.Record(event.AttemptLost, c.request.ID, event.F("target", c.target.ID), event.F("error", err.Error()), event.F("framed", c.framed))
	c.forwarder.Fleet.MarkRefused(now, c.target.ID)
	if !timedOut {
		targetLost = c.forwarder.reportBrokenRun(ctx, c.request, c.target, target, true)
	}
	return failure.Wrap(err, failure.TargetLost, failure.Unknown, "await answer", c.target.ID), targetLost
}

// readBody reads and closes the body of an answer.
func (c *call) readBody(body io.ReadCloser) ([]byte, error) {
	memory := c.forwarder.Buffers.NewShare()
	c.memory = append(c.memory, memory)
	return readBody(memory, body)
}

// releaseMemory releases the memory of the bodies once the call is answered.
func (c *call) releaseMemory() {
	for _, memory := range c.memory {
		memory.Release()
	}
}

// readBody reads and closes a body.
func readBody(memory *membudget.Share, body io.ReadCloser) ([]byte, error) {
	b, err := memory.ReadAll(body, maxAnswerBytes)
	if err != nil {
		return nil, errors.Wrap(ErrNoAnswer, err.Error())
	}
	return b, nil
}
