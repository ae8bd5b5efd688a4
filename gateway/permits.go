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
	// outdatedRetryDelay is the time to ask again if daemons disagree on the grantor.
	outdatedRetryDelay = 50 * time.Millisecond
)

// permitRequest asks the grantor of a target for a permit to send one request to it.
type permitRequest struct {
	Statement targetStatement `msgpack:"s"`
	Priority  int             `msgpack:"p,omitempty"`
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

	mu     sync.Mutex
	issued *quota.Ledger
	own    *quota.Ledger        // used while grantors don't answer
	silent map[string]time.Time // when to call a grantor again that did not answer, by id
}

var _ forward.Permits = (*permits)(nil)

func newPermits(f *fleet.Fleet, view func() quota.View, call func(context.Context, string, permitRequest) (permitReply, error)) *permits {
	return &permits{fleet: f, view: view, call: call, issued: quota.NewLedger(), own: quota.NewLedger(), silent: make(map[string]time.Time)}
}

// Take implements forward.Permits.
func (p *permits) Take(ctx context.Context, t fleet.Target, priority int) (retryAfter time.Duration, ok bool) {
	statement := p.fleet.Statement(t.ID)
	if !statement.RateLimited {
		return 0, true
	}
	request := permitRequest{Statement: newTargetStatement(time.Now(), t, statement), Priority: priority}
	view := p.view()
	grantor := view.Grantor(t.ID)
	if grantor == view.Self {
		reply := p.issue(view, request)
		return reply.RetryAfter, reply.Granted
	}
	if p.mayCall(grantor) {
		callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		reply, err := p.call(callCtx, grantor, request)
		if err == nil {
			p.apply(reply.Statement)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.own.Forget(keyOf(t))
			return reply.RetryAfter, reply.Granted
		}
		p.markSilent(grantor)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own.Take(time.Now(), keyOf(t), statement.RequestsPerSecond*view.OwnFraction(), request.Priority)
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
func (p *permits) handle(r permitRequest) permitReply {
	p.apply(r.Statement)
	view := p.view()
	if view.Grantor(r.Statement.ID) != view.Self {
		return permitReply{RetryAfter: outdatedRetryDelay, Statement: p.latest(r.Statement)}
	}
	return p.issue(view, r)
}

// issue decides on a request as the grantor.
func (p *permits) issue(view quota.View, r permitRequest) permitReply {
	latest := p.latest(r.Statement)
	if !latest.Conditions.RateLimited {
		return permitReply{Granted: true, Statement: latest}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	retryAfter, ok := p.issued.Take(time.Now(), keyOf(latest.target()), latest.Conditions.RequestsPerSecond*view.GrantorFraction(), r.Priority)
	return permitReply{Granted: ok, RetryAfter: retryAfter, Statement: latest}
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
	p.fleet.RecordPeerStatement(s.target(), fleet.Statement{Conditions: s.Conditions, At: time.Now().Add(-s.Age)})
}

// expire drops state that is no longer in use.
func (p *permits) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.issued.Expire(now)
	p.own.Expire(now)
	for id, until := range p.silent {
		if now.After(until) {
			delete(p.silent, id)
		}
	}
}

func keyOf(t fleet.Target) quota.Key { return quota.Key{Target: t.ID, StartMillis: t.StartMillis} }
