// Package forward sends a caller's plain HTTP request to a target and passes the answer
// back. It guarantees that a request that must not be repeated is sent at most once,
// that an answer counts as complete only if it is the target's complete answer to this
// request, and that a request is reported as not run only if no target has run it.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/internal/recent"
)

// Request is one caller's request, received completely.
type Request struct {
	ID        string
	Method    string
	Host      string
	URI       string      // path and query, as received
	Header    http.Header // forwarded to the target
	Body      []byte
	Received  time.Time
	Deadline  time.Time // when the caller stops waiting; zero if not stated
	Route     *ingress.Route
	Service   string
	Workspace string
	// WorkspacePriority replaces the priority of the route on contended services; nil for none.
	WorkspacePriority *int
	LastEventID       string // last event that the caller received of a stream to resume; empty for none
	// Resumes is the ID of the caller's attempt that brought the first event of the stream
	// to resume; empty if not stated.
	Resumes string
	Prompt  Prompt
	SentAt  time.Time // of the latest attempt; zero before
	// Caller is the connection that the answer goes to; nil if unknown.
	Caller membudget.Holder

	counted bool // by Rollouts
}

// Prompt describes the work that a request causes on a model engine.
type Prompt struct {
	Tokens          int    // length of the prompt; 0 if the request has none
	MaxOutputTokens int    // largest number of output tokens
	CacheKey        string // cache key of the prompt part that is specific to the request or its session; empty for none
	// Parts are the ids of the parts of the prompt that requests share, in order; the
	// last part of a prompt belongs to its request or session and is not among them.
	Parts []string
}

// AnswerDeadline returns the time by which the request must be answered: the earlier of
// the caller's deadline and the timeout of the route. It is zero if there is neither.
func (r *Request) AnswerDeadline() time.Time {
	deadline := r.Received.Add(r.Route.Timeout)
	if r.Route.Timeout <= 0 || !r.Deadline.IsZero() && r.Deadline.Before(deadline) {
		return r.Deadline
	}
	return deadline
}

// timeLeft returns the time until the request must be answered, at least a millisecond;
// 0 if it has no deadline.
func (r *Request) timeLeft() time.Duration {
	deadline := r.AnswerDeadline()
	if deadline.IsZero() {
		return 0
	}
	return max(time.Millisecond, time.Until(deadline))
}

// Attempt is one send of a request to a target.
type Attempt struct {
	Request     *Request
	Target      fleet.Target
	TimeLeft    time.Duration // until the request must be answered; 0 if it has no deadline
	LastEventID string        // the answer resumes after this event; empty for the complete answer
	// CopyTo is the target that receives a standby copy of the run's KV cache as it
	// grows; nil for none.
	CopyTo *fleet.Target
	// ObjectiveMissed means that the answer can no longer meet the objectives of its
	// route. The target prefers requests whose answers still can.
	ObjectiveMissed bool
	// Priority is the priority of the attempt at the target, 0 for the highest to 9 for the
	// lowest; nil if it follows from ObjectiveMissed.
	Priority *int
	// Resume is the copy of the run's KV cache that the target holds; zero for none.
	Resume Copy
	// Reservation is the id of the room that the target has reserved for the run; empty for none.
	Reservation string
	// Cause is why the request is sent to this target, for the log.
	Cause string
}

// Copy identifies a copy of a run's KV cache. Name is its name at the target with the
// address Address.
type Copy struct{ Address, Name string }

// Answer is a target's answer to an attempt. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header // passed on to the caller
	Body   io.ReadCloser
	// NotRun means that the target did not run the request and will not run it.
	NotRun bool
	// OtherTarget means that the address belongs to another target now.
	OtherTarget bool
	// Framed means that the end of the body can be distinguished from a broken
	// connection: the answer has a content length, a transfer encoding or no body.
	Framed bool
	// Signed means that the answer has the signature of the target.
	Signed bool
	// Conditions are those that the target states in the answer.
	Conditions fleet.Conditions
	// Load is the load that the target states in the answer; zero if not stated.
	Load fleet.LoadStatement
	// Pause is how long the target, which refused, wants no other request from this daemon;
	// 0 if not stated.
	Pause time.Duration
}

// lacksRoom reports whether the target refused the request for want of room.
func (a *Answer) lacksRoom() bool { return a.NotRun && a.Status == http.StatusServiceUnavailable }

// Report is the state of a target as the target itself reports it.
type Report struct {
	StartMillis int64 // start of its process, Unix milliseconds; 0 if not stated
	Queued      int   // requests that wait to run
	// Load is the load that the target states with the report, or in an answer without a
	// report; zero if not stated.
	Load fleet.LoadStatement
	// Running holds the requests that the target runs, by request id.
	Running map[string]RunStatus
}

// RunStatus is the state of one request on a target.
type RunStatus struct {
	Tokens int // in the KV cache
	Events int // produced
}

// Errors of a TargetClient.
var (
	// ErrNotSent means that no byte of the request was sent, so it has not run.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer means that the request was sent and no complete answer was received.
	// The request may have run.
	ErrNoAnswer = errors.New("no answer")
	// ErrRunNotFound means that the target does not run the request or has not begun to
	// run it.
	ErrRunNotFound = errors.New("no such run")
	// ErrCopyInProgress means that the target is making another copy of the run.
	ErrCopyInProgress = errors.New("another copy of the run is in progress")
	// ErrNotListening means that the connection was refused because no process listens
	// at the address. The target's process has ended and the request was not sent.
	ErrNotListening = errors.New("no process listens at the address")
	// ErrNoReport means that the target answered a query, and not with what was asked for.
	ErrNoReport = errors.New("no report")
	// ErrOtherTarget means that the address belongs to another target.
	ErrOtherTarget = errors.New("another target holds the address")
)

// TargetClient sends requests to targets.
type TargetClient interface {
	// Send makes one attempt and returns the answer once its head, the status and
	// header, has arrived. The end of ctx cancels the attempt and closes the answer's
	// body.
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Connect opens a connection to a target and closes it. The error is ErrNotListening
	// if the connection was refused.
	Connect(ctx context.Context, t fleet.Target) error
	// Report requests the state of a target.
	Report(ctx context.Context, t fleet.Target) (Report, error)
	// Copy copies the KV cache of a run to another target. It may copy only what was
	// added since the previous copy.
	Copy(ctx context.Context, source fleet.Target, requestID string, destination fleet.Target) (Copy, error)
	// Move stops a run and moves its KV cache to another target. It returns the target
	// that holds the cache afterwards, which is source if destination has no room. A run
	// may go on if destination can't be reached.
	Move(ctx context.Context, source fleet.Target, requestID string, destination fleet.Target) (Copy, fleet.Target, error)
	// CachedKeys returns the keys of the prompt parts that a target holds in its cache,
	// see Prompt.CacheKey.
	CachedKeys(ctx context.Context, t fleet.Target) (map[string]bool, error)
	// Release frees a copy made by Copy.
	Release(ctx context.Context, source fleet.Target, c Copy) error
}

// Responder sends the answer to the caller. An answer is one call of Answer, one call
// of Fail, or a stream: Begin, then Event for each event, then End or Abort. If the
// caller disconnects before the answer begins, Abort is the only call.
type Responder interface {
	Answer(status int, header http.Header, body []byte)
	Fail(err *failure.Error)
	// Begin starts a stream. Its head may be sent as late as the first event.
	Begin(status int, header http.Header) error
	// Event passes on one complete event.
	Event(raw []byte) error
	End()
	// Abort terminates the answer in a way that does not look complete.
	Abort()
}

// CrashTracker tracks requests that crash the targets on which they run.
type CrashTracker interface {
	// Check returns the reason why a request must not be sent to a target now, or nil.
	// It may block until ctx is done.
	Check(ctx context.Context, r *Request) *failure.Error
	// ReportCrash records that a target failed while it ran a request. atStart reports
	// whether the run had just started, see startPeriod.
	ReportCrash(r *Request, t fleet.Target, atStart bool)
	// ReportLoss records that a run of a request was abandoned. It counts as a crash once
	// the target is known to have ended, see fleet.Incarnation.
	ReportLoss(r *Request, target fleet.Incarnation, atStart bool)
	// ReportProgress records that a run of a request sent events for startPeriod.
	ReportProgress(r *Request)
	// ReportCompletion records that a request was answered completely, with success. An
	// error status does not show that a target ran it to its end.
	ReportCompletion(r *Request)
}

// Forwarder forwards requests. Its fields must be set before use.
type Forwarder struct {
	TargetClient     TargetClient
	Fleet            *fleet.Fleet
	Prober           *Prober
	CacheLocator     *CacheLocator
	RetryBudget      *RetryBudget
	PlacementLimiter *rate.Limiter // see NewPlacementLimiter
	CrashTracker     CrashTracker
	Origins          OriginTracker
	Admission        *Admission // nil if no service is contended
	Permits          Permits    // nil if no target limits requests
	Reserver         Reserver   // nil if no target reserves room
	Rollouts         Rollouts   // nil if the deployment has no roll-outs
	// OnStatement, if set, is called when a target states other conditions than before.
	OnStatement func(t fleet.Target, s fleet.Statement)
	Buffers     *membudget.Budget // for answers, see MaxBufferedBytes
	// ReadAhead lets streams be read from targets while their callers read slowly, within
	// Buffers. Otherwise a target waits for the caller.
	ReadAhead bool
	Events    *event.Recorder
	Metrics   metrics.Registry
	// Model returns the properties of a service's model engines, nil if it has none.
	Model func(service string) *ingress.Model
	// StopsAt returns when running requests are canceled because the daemon stops, and the
	// zero time if no stop is planned. A nil StopsAt means that none ever is.
	StopsAt func() time.Time

	stopper runStopper
	// copySearches bounds the searches for targets of copies.
	copySearches copySearches
	starts       recent.Durations // from the send of a stream to its first event, see startKind
	late         lateTargets
}

// placementInterval is the minimum time between two placements of long prompts by one
// daemon. It lets other daemons learn of a placement before their own next one, so that
// callers who all reconnect at once, for instance after a restart of all daemons, don't
// overload a few targets.
const placementInterval = fleet.MaxFreshViewAge

// NewPlacementLimiter returns the limiter for a daemon's placements of long prompts.
func NewPlacementLimiter() *rate.Limiter { return rate.NewLimiter(rate.Every(placementInterval), 1) }

// Serve answers one request whose route is known. It returns once the caller has the
// final answer or ctx is done. ctx must end when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, r *Request, w Responder) {
	f.RetryBudget.CountRequest(time.Now(), r.Service)
	deadline := r.AnswerDeadline()
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	if err := f.CrashTracker.Check(ctx, r); err != nil { // at once, not after a wait for the placement
		f.failRequest(r, w, err)
		return
	}
	if r.Route.Kind == ingress.Streaming {
		f.serveStream(ctx, r, w)
		return
	}
	f.call(ctx, r, w)
}

// failRequest sends an error to the caller and logs it.
func (f *Forwarder) failRequest(r *Request, w Responder, err *failure.Error) {
	f.Events.Record(event.RequestFailed, r.ID,
		event.F("route", r.Route.Name), event.F("code", string(err.Code)), event.F("outcome", string(err.Outcome)),
		event.F("error", err.Error()), event.F("after", time.Since(r.Received).String()))
	w.Fail(err)
}

// abortLeft ends a request whose caller disconnected before its answer began.
func (f *Forwarder) abortLeft(r *Request, w Responder) {
	f.Events.Record(event.CallerLeft, r.ID, event.F("route", r.Route.Name), event.F("after", time.Since(r.Received).String()))
	w.Abort()
}

// Names of the histograms, all in milliseconds.
const (
	metricCall       = "forward.call_ms"        // from the arrival of a call to its answer
	metricFirstEvent = "forward.first_event_ms" // from the arrival of a stream request to its first event
	metricCutSilence = "forward.cut_silence_ms" // from the last event of a stream to the end of a stop that cuts it
	metricResume     = "forward.resume_ms"      // from the loss of a run to the next event of the stream
)

// Parameters of the histograms: the number of samples and the decay factor of the
// exponentially decaying reservoir, which gives the last five minutes the most weight.
const (
	histogramSamples = 1028
	histogramAlpha   = 0.015
)

// maxAttempts returns the largest number of targets that a request is sent to.
func (r *Request) maxAttempts() int { return max(1, r.Route.MaxAttempts) }

// attemptsLeft reports whether the route allows one more target after so many attempts.
func (r *Request) attemptsLeft(attempts int) bool { return attempts < r.maxAttempts() }

// allowAttempt reports whether a request may be sent to one more target after so many
// attempts. It is called before each send, because targets may have crashed since the
// previous one, while they ran this request or others with the same content. See
// allowSend for reserved and the error.
func (f *Forwarder) allowAttempt(ctx context.Context, r retry, attempts int, reserved time.Time) (bool, *failure.Error) {
	if !r.request.attemptsLeft(attempts) {
		return false, nil
	}
	return f.allowSend(ctx, r, attempts > 0, reserved)
}

// allowSend reports whether a request may be sent to a target now. If isRetry is set, it
// consumes retry budget, instead of that which was reserved at a time, if there is any: a
// retry counts when it is made. If the request is quarantined or ctx is done, allowSend
// returns the reason. It may block, see CrashTracker and RetryBudget.await.
func (f *Forwarder) allowSend(ctx context.Context, r retry, isRetry bool, reserved time.Time) (bool, *failure.Error) {
	err := f.CrashTracker.Check(ctx, r.request)
	if err == nil && ctx.Err() != nil {
		err = contextError(ctx, failure.NotRun, "quarantine", "")
	}
	if !reserved.IsZero() {
		f.RetryBudget.Release(reserved, r.request.Service)
	}
	if err != nil {
		return false, err
	}
	if isRetry && !f.RetryBudget.await(ctx, r) {
		f.recordDenial(r, 1)
		return false, nil
	}
	return true, nil
}

// handleRefusal handles an answer with NotRun set and returns the error of the attempt.
// resumed reports whether the attempt was to resume from a copy. A target that refused
// to resume is not avoided, because a target that does not hold the copy may still
// accept other work.
func (f *Forwarder) handleRefusal(t fleet.Target, a *Answer, resumed bool) *failure.Error {
	switch now := time.Now(); {
	case a.OtherTarget:
		f.Fleet.MarkTerminated(now, t)
	case !resumed:
		f.Fleet.MarkRefused(now, t.ID)
	}
	return failure.New(failure.Overloaded, failure.NotRun, "send", t.ID, "the target refused with status %d", a.Status).WithRetryAfter(retryAfterBusy)
}

// handleUnreachable handles an attempt of which no byte was sent, and returns its
// error.
func (f *Forwarder) handleUnreachable(t fleet.Target, err error) *failure.Error {
	f.Fleet.MarkRefused(time.Now(), t.ID)
	return failure.Wrap(err, failure.NoTarget, failure.NotRun, "connect", t.ID).WithRetryAfter(retryAfterUnreachable)
}

// noTargetError returns the error of a request for which no target can be picked.
func (f *Forwarder) noTargetError(r *Request, err error) *failure.Error {
	retryAfter := retryAfterBusy
	now := time.Now()
	if next, only, ok := f.Fleet.NextPermit(now, r.Service, f.priority(r)); ok && (only || next.Sub(now) < retryAfter) {
		retryAfter = next.Sub(now)
	}
	return failure.Wrap(err, failure.NoTarget, failure.NotRun, "route", r.Service).WithRetryAfter(retryAfter)
}

// recordDuration adds a duration to a histogram.
func (f *Forwarder) recordDuration(name string, d time.Duration) {
	metrics.GetOrRegisterHistogram(name, f.Metrics, metrics.NewExpDecaySample(histogramSamples, histogramAlpha)).Update(d.Milliseconds())
}

// Retry delays sent to callers whose request was not run.
const (
	// retryAfterUnreachable is for a target that could not be reached; another target or
	// daemon may accept the request at once.
	retryAfterUnreachable = 100 * time.Millisecond
	// retryAfterBusy is for a service whose targets are all busy, avoided or removed. A
	// target restarts in about this time.
	retryAfterBusy = 600 * time.Millisecond
)
