package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// drainRetryAfter is when a caller may come back to another daemon while this one
// stops.
const drainRetryAfter = 50 * time.Millisecond

// serve forwards one request.
func (g *Gateway) serve(r *http.Request, req *forward.Request, w forward.Responder) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.refusing.Load() {
		err := failure.New(failure.Draining, failure.NotRun, "admit", "", "this daemon stops").After(drainRetryAfter)
		g.recordRefusal(req.ID, err)
		w.Fail(err)
		return
	}
	g.forwarder.Serve(r.Context(), req, w)
}

// recordRefusal notes a request that was refused before it was forwarded.
func (g *Gateway) recordRefusal(requestID string, err *failure.Error) {
	g.events.Record(event.RequestFailed, requestID, event.F("code", string(err.Code)), event.F("outcome", string(err.Outcome)), event.F("error", err.Error()))
}

// Timing of a planned stop.
const (
	// staleDirectoryTTLs times the directory's TTL is how long some callers keep an answer.
	staleDirectoryTTLs = 3
	// shutdownReserve is left of the grace time for the end of the process, which takes
	// some tens of milliseconds.
	shutdownReserve = 300 * time.Millisecond
	// cancelAnswerTime is the time for telling callers that their requests are cut.
	cancelAnswerTime = 100 * time.Millisecond
	// drainPollInterval is how often a stopping daemon looks whether its work is done.
	drainPollInterval = 10 * time.Millisecond
)

// drain leaves the directory, takes new work while callers still hold the address,
// and waits for what runs.
func (g *Gateway) drain() {
	deadline := time.Now().Add(g.settings.Load().Grace.Std() - shutdownReserve)
	g.draining.Store(true)
	g.events.Record(event.NodeDraining, "")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	g.peers.broadcast(kindLoad, loadReport{g.fleet.OwnLoads(), true})
	pause.For(ctx, min(staleDirectoryTTLs*g.settings.Load().DirectoryTTL.Std(), g.settings.Load().Grace.Std()/2))
	g.refusing.Store(true)
	g.awaitRequests(deadline)
}

// awaitRequests waits until no request is under way, or until end.
func (g *Gateway) awaitRequests(deadline time.Time) {
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}
