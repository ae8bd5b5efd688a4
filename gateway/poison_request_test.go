package gateway

import (
	"net/http"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// simRoute is the route of all requests of the simulation.
var simRoute = ingress.Route{
	Name: "stream", Kind: ingress.Streaming, Resumable: true, Timeout: 25 * time.Second,
	LatencyObjective: 4500 * time.Millisecond, MaxEventGap: 700 * time.Millisecond, MaxAttempts: 5,
	Services: []ingress.WeightedService{{Service: "svc", Weight: 1}},
}

// simRequest is a request of the simulation.
type simRequest struct {
	id, workspace, body string
	parts               []string // see forward.Prompt.Parts
	// lastEventID is the id of the event after which the answer resumes, if it is not
	// empty.
	lastEventID string
}

// request sends a request to a random daemon, see requestAt.
func (s *poisonFleet) request(id, body, lastEventID string) *simCaller {
	return s.sendToAny(simRequest{id: id, workspace: "w", body: body, lastEventID: lastEventID})
}

// requestAt sends a request to a daemon, see send. The answer resumes after the event with
// the id lastEventID, if it is not empty.
func (s *poisonFleet) requestAt(d *simDaemon, id, body, lastEventID string) *simCaller {
	return s.send(d, simRequest{id: id, workspace: "w", body: body, lastEventID: lastEventID})
}

// sendToAny sends a request to a random daemon, see send.
func (s *poisonFleet) sendToAny(r simRequest) *simCaller {
	s.mu.Lock()
	if len(s.daemons) == 0 {
		s.mu.Unlock()
		return &simCaller{}
	}
	d := s.daemons[s.random.IntN(len(s.daemons))]
	s.mu.Unlock()
	return s.send(d, r)
}

// send sends a request to a daemon and returns what its caller received.
func (s *poisonFleet) send(d *simDaemon, r simRequest) *simCaller {
	c := &simCaller{daemon: d.id}
	now := time.Now()
	s.mu.Lock()
	s.servedBy[r.id] = d.id
	s.mu.Unlock()
	d.Serve(d.ctx, &forward.Request{
		ID: r.id, Method: http.MethodPost, Host: "h", URI: "/a/1", Body: []byte(r.body), Header: http.Header{}, Workspace: r.workspace,
		Received: now, Deadline: now.Add(25 * time.Second), Route: &simRoute, Service: "svc", LastEventID: r.lastEventID,
		Prompt: forward.Prompt{Tokens: 5000, MaxOutputTokens: 1000, CacheKey: r.body, Parts: r.parts},
	}, c)
	c.ended = time.Now()
	return c
}

// simCaller implements forward.Responder.
type simCaller struct {
	daemon   string // that the request was sent to; empty if none ran
	err      *failure.Error
	events   int
	complete bool
	began    time.Time // when the first event came; zero if none did
	ended    time.Time
}

func (c *simCaller) Answer(int, http.Header, []byte) {}
func (c *simCaller) Fail(err *failure.Error)         { c.err = err }
func (c *simCaller) Begin(int, http.Header) error    { return nil }
func (c *simCaller) End()                            { c.complete = true }
func (c *simCaller) Abort()                          {}
func (c *simCaller) Event([]byte) error {
	if c.events++; c.events == 1 {
		c.began = time.Now()
	}
	return nil
}
