package forward

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/overload"
)

// Admission decides when new streams of contended services are sent, see package overload. It
// is safe for concurrent use.
type Admission struct {
	// Contended reports whether the requests of a service differ in urgency. On other services
	// all streams are sent at once.
	Contended func(service string) bool

	mu          sync.Mutex
	controllers map[string]*overload.Controller // by service
	peersHeld   map[string]map[string][]int     // by peer, then service: held requests by level
	daemons     int                             // that serve
}

// NewAdmission returns an admission for one daemon.
func NewAdmission(contended func(service string) bool) *Admission {
	return &Admission{
		Contended: contended, controllers: make(map[string]*overload.Controller),
		peersHeld: make(map[string]map[string][]int), daemons: 1,
	}
}

// SetDaemons sets the number of daemons that serve.
func (a *Admission) SetDaemons(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.daemons = max(1, n)
}

// Held returns how many requests of each level this daemon holds, by service, for the other
// daemons. It is nil if there are none.
func (a *Admission) Held() map[string][]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out map[string][]int
	for service, c := range a.controllers {
		held := c.Held()
		for level := overload.Levels; level > 0; level-- {
			if held[level-1] > 0 {
				if out == nil {
					out = make(map[string][]int)
				}
				out[service] = held[:level]
				break
			}
		}
	}
	return out
}

// holds reports whether a daemon holds streams of a service, because no target has room for them.
func (a *Admission) holds(service string) bool {
	if a == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.controllers[service]; c != nil && c.Waiting() {
		return true
	}
	for _, held := range a.peersHeld {
		for _, n := range held[service] {
			if n > 0 {
				return true
			}
		}
	}
	return false
}

// SetPeerHeld replaces what another daemon holds. An empty map removes the daemon.
func (a *Admission) SetPeerHeld(peer string, held map[string][]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(held) == 0 {
		delete(a.peersHeld, peer)
		return
	}
	a.peersHeld[peer] = held
}

// ForgetPeers drops what the daemons hold that have ended. They report nothing more, and what they
// held would count for good.
func (a *Admission) ForgetPeers(hasEnded func(peer string) bool) {
	a.mu.Lock()
	peers := slices.Collect(maps.Keys(a.peersHeld))
	a.mu.Unlock()
	for _, peer := range peers {
		if hasEnded(peer) {
			a.SetPeerHeld(peer, nil)
		}
	}
}

// controller returns the controller of a service. a.mu is held.
func (a *Admission) controller(service string) *overload.Controller {
	c := a.controllers[service]
	if c == nil {
		c = overload.NewController()
		a.controllers[service] = c
	}
	return c
}

// load returns what is known of a service with its ready targets. a.mu is held.
func (a *Admission) load(s *stream, r overload.Request, ready []fleet.TargetLoad) overload.Load {
	f, service := s.forwarder, s.request.Service
	targets := make([]overload.Target, len(ready))
	for i, t := range ready {
		targets[i] = overload.Target(t)
	}
	l := a.controller(service).Summarize(targets, r, s.capacityTokens())
	l.Daemons, l.Age = a.daemons, f.Fleet.Staleness()
	for _, held := range a.peersHeld {
		for level, n := range held[service] {
			if level < overload.Levels {
				l.PeersHeld[level] += max(0, n)
			}
		}
	}
	return l
}

// Names of the metrics of the admission.
const (
	metricHeld           = "forward.held_ms"         // streams that were held, from the arrival to the send
	metricHeldTooLong    = "forward.held_sent_full"  // streams that were held and sent although no target had room
	metricRefusedForRoom = "forward.refused_by_wait" // streams that were refused for their estimated wait
)

// isContended reports whether the streams of a service differ in urgency.
func (f *Forwarder) isContended(service string) bool {
	return f.Admission != nil && f.Admission.Contended(service) && f.Model(service) != nil
}

// priority returns the priority of a request: that of its route, or of its workspace if it has
// one and the service is contended.
func (f *Forwarder) priority(r *Request) int {
	if r.WorkspacePriority != nil && r.Route.Kind == ingress.Streaming && f.isContended(r.Service) {
		return *r.WorkspacePriority
	}
	return r.Route.Priority
}

// admit waits until a new stream may be sent. The error is why it is refused, or why the wait
// ended. s.admitted must be called once the stream counts as load of a target.
func (s *stream) admit(ctx context.Context) *failure.Error {
	f, r := s.forwarder, s.request
	if !f.isContended(r.Service) {
		return nil
	}
	a := f.Admission
	request := overload.Request{
		Priority: f.priority(r), Objective: r.Route.LatencyObjective, Timeout: r.Route.Timeout, Received: r.Received, Deadline: r.AnswerDeadline(),
		Prompt: r.Prompt.Tokens, Memory: s.memoryTokens(), Output: r.Prompt.MaxOutputTokens, Workspace: r.Workspace,
	}
	now := time.Now()
	ready := f.Fleet.ReadyLoads(now, r.Service, request.Priority)
	a.mu.Lock()
	c := a.controller(r.Service)
	ticket, d := c.Arrive(now, request, a.load(s, request, ready), rand.Float64)
	a.mu.Unlock()
	s.admitted = sync.OnceFunc(func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		c.Leave(ticket)
	})
	if d.Action == overload.Refuse {
		metrics.GetOrRegisterCounter(metricRefusedForRoom, f.Metrics).Inc(1)
		return failure.New(failure.Overloaded, failure.NotRun, "admit", r.Service, "room is expected in %v, and %v are useful", d.Wait.Round(time.Millisecond), d.Useful.Round(time.Millisecond)).WithRetryAfter(d.RetryAfter)
	}
	held := d.Action == overload.Hold
	if held {
		f.Fleet.SignalLoadChanged()
	}
	for d.Action == overload.Hold && f.stopsAt().IsZero() { // at a stop, the time for a wait is short
		if !pause.For(ctx, d.Again) {
			return contextError(ctx, failure.NotRun, "admit", r.Service)
		}
		now := time.Now()
		ready := f.Fleet.ReadyLoads(now, r.Service, request.Priority)
		a.mu.Lock()
		d = c.Reconsider(now, ticket, a.load(s, request, ready), rand.Float64)
		a.mu.Unlock()
	}
	s.needsRoomFirst = d.Action == overload.Send
	if held {
		f.recordDuration(metricHeld, time.Since(r.Received))
		if !s.needsRoomFirst {
			metrics.GetOrRegisterCounter(metricHeldTooLong, f.Metrics).Inc(1)
		}
	}
	return nil
}

// recordRun records that a stream is complete.
func (s *stream) recordRun(now time.Time) {
	f, r := s.forwarder, s.request
	if !f.isContended(r.Service) || r.resumes() || len(s.tried) > 0 {
		return // only a part of a stream
	}
	f.Admission.mu.Lock()
	defer f.Admission.mu.Unlock()
	f.Admission.controller(r.Service).RecordRun(now.Sub(r.SentAt))
}

// Priorities of attempts at targets, in the header; 0 is the highest and 9 the lowest.
const (
	highestTargetPriority, lowestTargetPriority = 0, 9
	// lateOffset is added for a stream that can no longer have its first event in time. Those
	// that can come first, also if their routes are less urgent.
	lateOffset = 5
)

// targetPriority returns the priority of the next attempt at its target, nil if the service is
// not contended. A target preempts runs for more urgent ones, so a stream that has begun is as
// urgent as any new one.
func (s *stream) targetPriority(now time.Time) *int {
	f := s.forwarder
	if !f.isContended(s.request.Service) {
		return nil
	}
	p := highestTargetPriority
	if s.version == nil {
		p = f.priority(s.request)
		if s.objectiveMissed(now) {
			p += lateOffset
		}
	}
	p = min(lowestTargetPriority, max(highestTargetPriority, p))
	return &p
}

// retrySpread is the range of Retry-After around its usual value, as a fraction of it, for
// callers that are refused together because the targets of a service are unusable.
const retrySpread = 0.5

// spreadRetry spreads the return of callers of contended services whose streams have not run.
// Others get the usual Retry-After.
func (s *stream) spreadRetry(err *failure.Error) {
	if err.Outcome == failure.NotRun && (err.Code == failure.NoTarget || err.Code == failure.Overloaded) && err.Step != "admit" && s.forwarder.isContended(s.request.Service) {
		err.RetryAfter = time.Duration(float64(err.RetryAfter) * (1 - retrySpread + 2*retrySpread*rand.Float64()))
	}
}
