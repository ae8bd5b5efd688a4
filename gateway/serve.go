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

// leavingRetry is when a caller may come back to another daemon while this one
// stops.
const leavingRetry = 50 * time.Millisecond

// serve forwards one request.
func (g *Gateway) serve(r *http.Request, req *forward.Request, w forward.Responder) {
	g.requests.Add(1)
	defer g.requests.Add(-1)
	if g.refusing.Load() {
		err := failure.New(failure.Draining, failure.NotRun, "admit", "", "this daemon stops").After(leavingRetry)
		g.refused(req.ID, err)
		w.Fail(err)
		return
	}
	g.forward.Serve(r.Context(), req, w)
}

// refused notes a request that was refused before it was forwarded.
func (g *Gateway) refused(requestID string, err *failure.Error) {
	g.events.Record(event.RequestFailed, requestID, event.F("code", string(err.Code)), event.F("outcome", string(err.Outcome)), event.F("error", err.Error()))
}

// Timing of a planned stop.
const (
	// staleAnswers times the directory's TTL is how long some callers keep an answer.
	staleAnswers = 3
	// stopReserve is left of the grace time for the end of the process, which takes
	// some tens of milliseconds.
	stopReserve = 300 * time.Millisecond
	// lastAnswers is the time for telling callers that their requests are cut.
	lastAnswers = 100 * time.Millisecond
	// drainCheck is how often a stopping daemon looks whether its work is done.
	drainCheck = 10 * time.Millisecond
)

// drain leaves the directory, takes new work while callers still hold the address,
// and waits for what runs.
func (g *Gateway) drain() {
	end := time.Now().Add(g.settings.Load().Grace.Std() - stopReserve)
	g.draining.Store(true)
	g.events.Record(event.NodeDraining, "")
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	g.peers.tell(kindWork, work{g.fleet.OwnLoads(), true})
	pause.For(ctx, min(staleAnswers*g.settings.Load().DirectoryTTL.Std(), g.settings.Load().Grace.Std()/2))
	g.refusing.Store(true)
	g.awaitRequests(end)
}

// awaitRequests waits until no request is under way, or until end.
func (g *Gateway) awaitRequests(end time.Time) {
	for g.requests.Load() > 0 && time.Now().Before(end) {
		time.Sleep(drainCheck)
	}
}
