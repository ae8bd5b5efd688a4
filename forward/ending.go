package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// An answer that is not framed ends with its connection. Its end looks the same whether
// the target has sent all of it, the target's process has ended, or the run was stopped.
// It is believed once a probe which started after it shows that the process still runs.
// While the target is silent, the request is handled like that of any silent target.

// errNoEvents means that a connection ended before the first event of an answer without a
// frame.
var errNoEvents = errors.New("the answer ends without an event")

// describeFrame says whether an answer is framed, for the log.
func describeFrame(a *Answer) string {
	if a == nil {
		return "no answer"
	}
	return strconv.FormatBool(a.Framed)
}

// timeLimitUnit is the unit in which targets get their time limit. They stop work up to one
// unit before it.
const timeLimitUnit = time.Millisecond

// atTimeLimit reports whether a target may have stopped work at the time limit of the
// request. Unlike a broken connection that needs no other attempt: the request ends too.
func (r *Request) atTimeLimit() bool {
	deadline := r.AnswerDeadline()
	return !deadline.IsZero() && time.Until(deadline) <= timeLimitUnit
}

// errMayBeIncomplete means that a target's process ended at the end of an answer without a
// frame.
var errMayBeIncomplete = errors.Wrap(ErrNoAnswer, "the target terminated, and its answer may be incomplete")

// errUnconfirmed means that nothing shows what became of a target since the end of its
// answer.
var errUnconfirmed = errors.Wrap(ErrNoAnswer, "no sign of the target since the end of its answer")

// maxUnconfirmed bounds the wait for such a sign, well above the silence of a target that
// is not at fault.
const maxUnconfirmed = 5 * time.Second

// mayBeComplete reports whether a stream that ends between two events may be complete. The
// answer to a request for the events after one may have none.
func (a *streamAttempt) mayBeComplete() bool {
	return a.stream.lastEventID >= 0 || len(a.unnumbered) > 0
}

// mayBeMoved reports whether the end of the answer may be the effect of an earlier move
// that the target has carried out late. That can end one run only.
func (a *streamAttempt) mayBeMoved() bool {
	id := a.attempt.Target.ID
	open := a.stream.openMoves[id] > 0
	if open {
		a.stream.openMoves[id]--
	}
	return open
}

// awaitConfirmation begins the wait for a sign that the target still runs.
func (a *streamAttempt) awaitConfirmation() {
	a.endedAt = time.Now()
	a.probeEnd()
}

// awaitsConfirmation reports whether the answer has ended and that is not confirmed yet.
// During a move, the outcome of that is awaited first.
func (a *streamAttempt) awaitsConfirmation() bool { return !a.moving && !a.endedAt.IsZero() }

func (a *streamAttempt) probeEnd() {
	a.stream.forwarder.Prober.ProbeSince(a.attempt.Target, a.probeResults, a.endedAt)
}

// endTime returns when the run ended: now if its end was not received.
func (a *streamAttempt) endTime() time.Time {
	if a.endedAt.IsZero() {
		return time.Now()
	}
	return a.endedAt
}

// handleConfirmation handles the result of a probe of a target whose answer has ended. If
// the attempt has ended, it returns how and true.
func (a *streamAttempt) handleConfirmation(p ProbeResult) (attemptEnd, bool) {
	switch {
	case p.terminated:
		a.endReported, a.targetLost = true, true
		a.stream.forwarder.CrashTracker.ReportCrash(a.stream.request, a.attempt.Target, a.atStart(a.endedAt))
		return a.abandonFaulty(errMayBeIncomplete.Error()), true
	case p.running && !p.startedAt.Before(a.endedAt):
		return a.endStream(), true
	case p.running:
		a.probeEnd()
	}
	return 0, false
}

// probePatiently probes the target once more, without the timeout of probes that all
// streams share. A busy target may be slow to report.
func (a *streamAttempt) probePatiently(ctx context.Context) {
	a.patient = true
	t, startedAt := a.attempt.Target, time.Now()
	go func() {
		report, err := a.stream.forwarder.requestReport(ctx, t, maxUnconfirmed)
		terminated := hasTerminated(t, report, err)
		sendUnlessDone(ctx, a.probeResults, ProbeResult{running: isRunning(err) && !terminated, terminated: terminated, startedAt: startedAt, completedAt: time.Now()})
	}()
}

// handleUnconfirmed is handleTimer for a target whose answer has ended.
func (a *streamAttempt) handleUnconfirmed(ctx context.Context) (wait time.Duration, end attemptEnd, done bool) {
	switch silence := time.Since(a.endedAt); {
	case silence >= maxUnconfirmed:
		return 0, a.abandon(errUnconfirmed.Error()), true
	case silence >= probeTimeout:
		if end, done := a.giveUp("the target is silent since the end of its answer", isLost); done {
			return 0, end, true
		}
		if !a.patient {
			a.probePatiently(ctx)
		}
	}
	a.probeEnd()
	return gapProbeInterval, 0, false
}

// confirmEnd waits until a target shows that its process still runs after the end of a body
// that is not framed. The error is why the body may be incomplete.
func (f *Forwarder) confirmEnd(ctx context.Context, r *Request, t fleet.Target, incarnation fleet.Incarnation) error {
	ctx, cancel := context.WithTimeout(ctx, maxUnconfirmed)
	defer cancel()
	if r.atTimeLimit() {
		<-ctx.Done()
	}
	for timeout := probeTimeout; !incarnation.Terminated(time.Now()); timeout *= 2 { // a busy target may be slow to report
		report, err := f.requestReport(ctx, t, timeout)
		switch {
		case ctx.Err() != nil:
			return errors.WithStack(errUnconfirmed)
		case hasTerminated(t, report, err):
			return errors.WithStack(errMayBeIncomplete)
		case isRunning(err):
			return nil
		}
		pause.For(ctx, gapProbeInterval)
	}
	return errors.WithStack(errMayBeIncomplete)
}

func (f *Forwarder) requestReport(ctx context.Context, t fleet.Target, timeout time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	report, err := f.TargetClient.Report(ctx, t)
	if isRunning(err) && !restarted(t, report) {
		recordLoad(f.Fleet, f.Events, "", t, report.Load)
	}
	return report, err
}
