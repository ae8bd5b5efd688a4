package gateway

import (
	"fmt"
	"net/http"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
)

// drainRetryAfter is the delay after which a caller that is refused by a draining
// daemon may retry at another daemon, if there is one.
const drainRetryAfter = 50 * time.Millisecond

// serve forwards one request, or refuses it while the daemon shuts down.
func (g *Gateway) serve(r *http.Request, req *forward.Request, w forward.Responder) {
	defer g.requests.add(req)()
	defer g.recordPanic(req)
	if p := g.stopping.Load(); p != nil && !p.admits(time.Now(), req.AnswerDeadline(), req.Route.Name, &g.durations) {
		err := failure.New(failure.Draining, failure.NotRun, "admit", "", "this daemon stops").WithRetryAfter(p.retryAfter(time.Now()))
		g.recordRefusal(req.ID, err)
		w.Fail(err)
		return
	}
	answer := &observedResponder{Responder: w}
	g.forwarder.Serve(r.Context(), req, answer)
	if answer.succeeded && req.LastEventID == "" {
		g.durations.Record(req.Route.Name, time.Since(req.Received))
	}
}

// recordPanic records the end of a request whose handler panics. net/http closes the connection, and
// writes the stack to standard error.
func (g *Gateway) recordPanic(req *forward.Request) {
	if p := recover(); p != nil {
		g.recordUnfinished(req, event.F("error", fmt.Sprint("panic: ", p)))
		panic(p)
	}
}

// recordUnfinished records that the answer of a request has no end.
func (g *Gateway) recordUnfinished(req *forward.Request, fields ...event.Field) {
	g.events.Record(event.RequestUnfinished, req.ID, append(fields, event.F("route", req.Route.Name), event.F("after", time.Since(req.Received).String()))...)
}

// observedResponder notes whether the caller got a complete and successful answer.
type observedResponder struct {
	forward.Responder
	succeeded bool
}

// Answer implements forward.Responder.
func (o *observedResponder) Answer(status int, header http.Header, body []byte) {
	o.succeeded = status < http.StatusMultipleChoices
	o.Responder.Answer(status, header, body)
}

// End implements forward.Responder.
func (o *observedResponder) End() {
	o.succeeded = true
	o.Responder.End()
}

// recordRefusal records the event of a request that was refused before it was
// forwarded.
func (g *Gateway) recordRefusal(requestID string, err *failure.Error) {
	g.events.Record(event.RequestFailed, requestID, event.F("code", string(err.Code)), event.F("outcome", string(err.Outcome)), event.F("error", err.Error()))
}

// Timing of a planned stop.
const (
	// staleDirectoryTTLs is how long some callers keep a directory answer, in multiples
	// of the TTL of the answer.
	staleDirectoryTTLs = 3
	// shutdownReserve is the part of the grace period reserved for the exit of the
	// process, which takes some tens of milliseconds.
	shutdownReserve = 400 * time.Millisecond
	// cancelAnswerTime is the time allowed for sending callers the errors of their
	// canceled requests.
	cancelAnswerTime = 200 * time.Millisecond
	// handlerEndTime is the time allowed for the handlers of requests to end once their
	// connections are closed.
	handlerEndTime = 100 * time.Millisecond
	// drainPollInterval is the time between two checks for running requests.
	drainPollInterval = 10 * time.Millisecond
)

// drain removes this daemon from the directory, serves new requests that can end in time
// while callers may still use older directory answers, then refuses all and waits for the
// running ones until the grace period is nearly over.
func (g *Gateway) drain() {
	s := g.settings.Load()
	plan := newStopPlan(time.Now(), s.Grace.Std(), s.DirectoryTTL.Std())
	plan.alone = func() bool { return len(g.members.directory()) == 0 }
	g.stopping.Store(plan)
	g.draining.Store(true)
	g.links.server.Stop()
	g.events.LogEverything()
	g.events.Record(event.NodeDraining, "")
	g.peers.sendToAll(kindLoad, g.loadReport())
	time.Sleep(time.Until(plan.refuseAll))
	g.awaitRequests(plan.deadline)
}

// awaitRequests waits until no request is read or answered and no connection is relayed, or
// until deadline.
func (g *Gateway) awaitRequests(deadline time.Time) {
	for (g.idleConns.Busy() > 0 || g.links.server.Open() > 0) && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

// endRequests cancels the requests that are still running at the end of the grace period, closes
// all connections, and returns once the requests have ended and recorded how.
func (g *Gateway) endRequests() {
	g.cancelRequests(forward.ErrStopping)
	g.closeConns(time.Now().Add(g.cancelAnswerTime))
	for end := time.Now().Add(handlerEndTime); g.requests.len() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
	for _, req := range g.requests.list() {
		g.recordUnfinished(req)
	}
}

// closeConns accepts no more connections and closes the open ones, each after the answer
// to the request that is being read or answered on it, or at the deadline.
func (g *Gateway) closeConns(deadline time.Time) {
	g.closeListeners()
	for {
		g.idleConns.Retire()
		if g.idleConns.Open() == 0 || !time.Now().Before(deadline) {
			break
		}
		time.Sleep(drainPollInterval)
	}
	for _, s := range g.servers {
		_ = s.Close()
	}
}
