package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/quota"
)

// Timing of calls for permits.
const (
	// permitTimeout bounds a call to a grantor. A round trip takes a few milliseconds.
	permitTimeout = 100 * time.Millisecond
	// grantorRetryDelay is how long a grantor that did not answer is not called.
	grantorRetryDelay = 300 * time.Millisecond
	// outdatedRetryDelay is the time to ask again if daemons disagree on the grantor, or if the
	// grantor of a brittle target doesn't answer.
	outdatedRetryDelay = 50 * time.Millisecond
)

// permitRequest asks the grantor of a target for a permit to send one request to it.
type permitRequest struct {
	Statement targetStatement `msgpack:"s"`
	Priority  int             `msgpack:"p,omitempty"`
	// RequestID identifies the lease of the permit at a brittle target.
	RequestID      string `msgpack:"i,omitempty"`
	MemoryTokens   int    `msgpack:"m,omitempty"`
	CapacityTokens int    `msgpack:"c,omitempty"` // of the target; 0 if not known
}

// permitRelease reports to the grantor of a brittle target that a request has ended.
type permitRelease struct {
	Target      string `msgpack:"t"`
	StartMillis int64  `msgpack:"b,omitempty"`
	RequestID   string `msgpack:"i"`
	Refused     bool   `msgpack:"r,omitempty"` // by the target, for want of room
}

// permitReply answers a permitRequest.
type permitReply struct {
	Granted    bool          `msgpack:"g,omitempty"`
	RetryAfter time.Duration `msgpack:"r,omitempty"` // when to ask again, if it was not granted
	// Statement is the latest that the grantor knows of the target.
	Statement targetStatement `msgpack:"s"`
}

// targetStatement is a statement of an incarnation of a target, as daemons exchange it.
type targetStatement struct {
	ID          string           `msgpack:"i"`
	StartMillis int64            `msgpack:"b,omitempty"`
	Conditions  fleet.Conditions `msgpack:"c"`
	Age         time.Duration    `msgpack:"a,omitempty"`
}

func newTargetStatement(now time.Time, t fleet.Target, s fleet.Statement) targetStatement {
	return targetStatement{ID: t.ID, StartMillis: t.StartMillis, Conditions: s.Conditions, Age: now.Sub(s.At)}
}

func (s targetStatement) target() fleet.Target {
	return fleet.Target{ID: s.ID, StartMillis: s.StartMillis}
}

// permits obtains and issues permits to send requests to targets that limit them. It
// implements forward.Permits.
type permits struct {
	fleet *fleet.Fleet
	view  func() quota.View
	// call sends a request to another daemon.
	call func(ctx context.Context, daemon string, r permitRequest) (permitReply, error)
	// release sends a release to another daemon.
	release func(daemon string, r permitRelease)

	mu     sync.Mutex
	issued *quota.Ledger
	own    *quota.Ledger // used while grantors don't answer
	room   *quota.Room
	held   map[heldPermit]string // grantors of the permits at brittle targets
	silent map[string]time.Time  // when to call a grantor again that did not answer, by id
}

// heldPermit identifies a permit that this daemon holds.
type heldPermit struct {
	requestID string
	target    quota.Key
}

var _ forward.Permits = (*permits)(nil)

func newPermits(f *fleet.Fleet, view func() quota.View, call func(context.Context, string, permitRequest) (permitReply, error), release func(string, permitRelease)) *permits {
	return &permits{
		fleet: f, view: view, call: call, release: release, issued: quota.NewLedger(), own: quota.NewLedger(), room: quota.NewRoom(),
		held: make(map[heldPermit]string), silent: make(map[string]time.Time),
	}
}

// Take implements forward.Permits.
func (p *permits) Take(ctx context.Context, wanted forward.PermitRequest) (retryAfter time.Duration, ok bool) {
	t := wanted.Target
	statement := p.fleet.Statement(t.ID)
	if !statement.RateLimited && !statement.Brittle {
		return 0, true
	}
	request := permitRequest{
		Statement: newTargetStatement(time.Now(), t, statement), Priority: wanted.Priority,
		RequestID: wanted.RequestID, MemoryTokens: wanted.MemoryTokens, CapacityTokens: wanted.CapacityTokens,
	}
	view := p.view()
	grantor := view.Grantor(t.ID)
	if grantor == view.Self {
		reply := p.issue(view, view.Self, request)
		p.hold(wanted, grantor, reply)
		return reply.RetryAfter, reply.Granted
	}
	if p.mayCall(grantor) {
		callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		reply, err := p.call(callCtx, grantor, request)
		if err == nil {
			p.apply(reply.Statement)
			p.hold(wanted, grantor, reply)
			return reply.RetryAfter, reply.Granted
		}
		p.markSilent(grantor)
		p.release(grantor, newPermitRelease(t, wanted.RequestID, false)) // it may have issued the permit
	}
	return p.takeOwn(view, t, statement, wanted.Priority)
}

// hold records a permit that was granted.
func (p *permits) hold(wanted forward.PermitRequest, grantor string, reply permitReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := keyOf(wanted.Target)
	if grantor != p.view().Self {
		p.own.Forget(key)
	}
	if reply.Granted && reply.Statement.Conditions.Brittle {
		p.held[heldPermit{wanted.RequestID, key}] = grantor
	}
}

// takeOwn takes a permit from this daemon's own fraction, without the grantor. Brittle targets
// get none until the grantor answers or another daemon takes its place.
func (p *permits) takeOwn(view quota.View, t fleet.Target, statement fleet.Statement, priority int) (retryAfter time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if statement.Brittle {
		return outdatedRetryDelay, false // the grantor may have filled the target
	}
	return p.own.Take(time.Now(), keyOf(t), statement.RequestsPerSecond*view.OwnFraction(), priority)
}

func newPermitRelease(t fleet.Target, requestID string, refused bool) permitRelease {
	return permitRelease{Target: t.ID, StartMillis: t.StartMillis, RequestID: requestID, Refused: refused}
}

// Release implements forward.Permits.
func (p *permits) Release(requestID string, t fleet.Target, refused bool) {
	key := heldPermit{requestID, keyOf(t)}
	p.mu.Lock()
	grantor, ok := p.held[key]
	delete(p.held, key)
	p.mu.Unlock()
	view := p.view()
	if !ok {
		if !refused || !p.fleet.Statement(t.ID).Brittle {
			return
		}
		grantor = view.Grantor(t.ID)
	}
	r := newPermitRelease(t, requestID, refused)
	if grantor == view.Self {
		p.handleRelease(r)
		return
	}
	p.release(grantor, r)
}

// handleRelease handles the release of a permit that this daemon issued.
func (p *permits) handleRelease(r permitRelease) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room.Release(time.Now(), quota.Key{Target: r.Target, StartMillis: r.StartMillis}, r.RequestID, r.Refused)
}

// mayCall reports whether a grantor may be called now.
func (p *permits) mayCall(grantor string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !time.Now().Before(p.silent[grantor])
}

func (p *permits) markSilent(grantor string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent[grantor] = time.Now().Add(grantorRetryDelay)
}

// handle answers the request of another daemon. A daemon that isn't the grantor in its own
// view issues nothing: the views will agree soon.
func (p *permits) handle(holder string, r permitRequest) permitReply {
	p.apply(r.Statement)
	view := p.view()
	if view.Grantor(r.Statement.ID) != view.Self {
		return permitReply{RetryAfter: outdatedRetryDelay, Statement: p.latest(r.Statement)}
	}
	return p.issue(view, holder, r)
}

// issue decides on the request of a daemon as the grantor.
func (p *permits) issue(view quota.View, holder string, r permitRequest) permitReply {
	latest, now := p.latest(r.Statement), time.Now()
	t := p.fleet.Incarnation(r.Statement.ID).Target
	running, memory := p.fleet.TotalLoad(r.Statement.ID)
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := permitReply{Granted: true, Statement: latest}
	key := keyOf(latest.target())
	if latest.Conditions.Brittle {
		reported := quota.Size{Requests: running, MemoryTokens: memory}
		capacity := quota.Size{Requests: t.Slots, MemoryTokens: r.CapacityTokens}.Times(view.GrantorFraction())
		reply.RetryAfter, reply.Granted = p.room.Take(now, key, r.RequestID, holder, r.Priority, quota.Size{Requests: 1, MemoryTokens: r.MemoryTokens}, reported, capacity)
	}
	if reply.Granted && latest.Conditions.RateLimited {
		reply.RetryAfter, reply.Granted = p.issued.Take(now, key, latest.Conditions.RequestsPerSecond*view.GrantorFraction(), r.Priority)
		if !reply.Granted {
			p.room.Release(now, key, r.RequestID, false)
		}
	}
	return reply
}

// latest returns the latest statement that this daemon knows of the incarnation which made
// s, or s if it knows none.
func (p *permits) latest(s targetStatement) targetStatement {
	known := p.fleet.Statement(s.ID)
	if current := p.fleet.Incarnation(s.ID).Target; known.At.IsZero() || current.StartMillis != s.StartMillis {
		return s
	}
	return newTargetStatement(time.Now(), s.target(), known)
}

// apply records a statement that another daemon received.
func (p *permits) apply(s targetStatement) {
	now := time.Now()
	p.fleet.RecordPeerStatement(now, s.target(), fleet.Statement{Conditions: s.Conditions, At: now.Add(-s.Age)})
}

// expire drops state that is no longer in use.
func (p *permits) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	self := p.view().Self
	for _, key := range p.room.Keys() {
		p.room.Reconcile(now, key, func(holder string) int {
			if holder == self {
				holder = ""
			}
			return p.fleet.RunningOf(holder, key.Target)
		})
	}
	p.room.Expire(now)
	p.issued.Expire(now)
	p.own.Expire(now)
	for id, until := range p.silent {
		if now.After(until) {
			delete(p.silent, id)
		}
	}
}

func keyOf(t fleet.Target) quota.Key { return quota.Key{Target: t.ID, StartMillis: t.StartMillis} }
