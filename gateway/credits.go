package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/allowance"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/peer"
)

// creditRequest asks a daemon to lend credits of the retry budget, in thousandths. A loan is valid
// for a time from the request on; no time of day is exchanged.
type creditRequest struct {
	Seq     uint64            `msgpack:"q"` // unique in the borrower's process
	Service string            `msgpack:"s"`
	Amount  allowance.Credits `msgpack:"a"`
	Urgent  bool              `msgpack:"u,omitempty"` // a stream waits for it
}

// creditReply answers a creditRequest.
type creditReply struct {
	Granted allowance.Credits `msgpack:"g,omitempty"`
}

// creditReturn gives back credits that were not used.
type creditReturn struct {
	Seq    uint64            `msgpack:"q"`
	Amount allowance.Credits `msgpack:"a"` // of the loan, including earlier returns
}

// creditTimeout bounds a call for credits. A reply that is later than that of the other lenders can
// still be used, as the loan is valid for longer.
const creditTimeout = 500 * time.Millisecond

// Names of the counters of loans of retry credits.
const (
	metricCreditsAsked    = "forward.retry_credits_asked"
	metricCreditsBorrowed = "forward.retry_credits_borrowed"
	metricCreditsReturned = "forward.retry_credits_returned"
	metricCreditsGranted  = "forward.retry_credits_granted"
	metricCreditsRefused  = "forward.retry_credits_refused"
)

// credits exchanges the loans that the retry budget decides on with the other daemons.
type credits struct {
	budget   *forward.RetryBudget
	metrics  metrics.Registry
	incoming chan struct{} // wakes up run
	// live returns the ids of the other daemons that are live.
	live func() []string
	// call sends a request to another daemon, and giveBack a return, without waiting.
	call     func(ctx context.Context, daemon string, r creditRequest) (creditReply, error)
	giveBack func(daemon string, r creditReturn)
}

func newCredits(b *forward.RetryBudget, registry metrics.Registry, live func() []string, call func(context.Context, string, creditRequest) (creditReply, error), giveBack func(string, creditReturn)) *credits {
	c := &credits{budget: b, metrics: registry, incoming: make(chan struct{}, 1), live: live, call: call, giveBack: giveBack}
	b.EnableLending(c.wake)
	return c
}

// wake lets run look again for what to do.
func (c *credits) wake() {
	select {
	case c.incoming <- struct{}{}:
	default:
	}
}

// run carries out what the retry budget plans until ctx is done.
func (c *credits) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.incoming:
		case <-timer.C:
		}
		now := time.Now()
		var asks []allowance.Ask
		var returns []allowance.Return
		var next time.Time
		c.budget.Update(func(b *allowance.Budget) bool {
			asks, returns = b.PlanAsks(now, c.live, rand.IntN), b.PlanReturns(now)
			next = b.NextAt(now)
			c.report(b.Counts)
			return false
		})
		for _, ask := range asks {
			go c.ask(ctx, ask)
		}
		for _, r := range returns {
			c.giveBack(r.To, creditReturn{Seq: r.Seq, Amount: r.Amount})
		}
		if next.IsZero() {
			timer.Stop()
			continue
		}
		timer.Reset(max(time.Millisecond, next.Sub(now)))
	}
}

// ask sends a request and applies the reply.
func (c *credits) ask(ctx context.Context, a allowance.Ask) {
	callCtx, cancel := context.WithTimeout(ctx, creditTimeout)
	defer cancel()
	reply, err := c.call(callCtx, a.To, creditRequest{Seq: a.Seq, Service: a.Service, Amount: a.Amount, Urgent: a.Urgent})
	c.budget.Update(func(b *allowance.Budget) bool {
		if err != nil {
			b.Fail(time.Now(), a.Seq, refusesCredits(err))
			return false
		}
		b.Receive(time.Now(), a.Seq, reply.Granted)
		return reply.Granted > 0
	})
	c.wake()
}

// refusesCredits reports whether a daemon answered with an error, as builds do that don't lend.
func refusesCredits(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote)
}

// handleMessages registers the handlers of other daemons' messages.
func (c *credits) handleMessages(t *peer.Transport) {
	peer.HandleTyped(t, kindCredits, func(_ context.Context, from peer.Identity, r creditRequest) (any, error) {
		return c.handleRequest(from, r), nil
	})
	peer.HandleTyped(t, kindCreditReturn, func(_ context.Context, from peer.Identity, r creditReturn) (any, error) {
		c.handleReturn(from, r)
		return nil, nil
	})
}

// handleRequest answers the request of another daemon.
func (c *credits) handleRequest(from peer.Identity, r creditRequest) (reply creditReply) {
	c.budget.Update(func(b *allowance.Budget) bool {
		reply.Granted = b.Grant(time.Now(), borrower(from), r.Seq, r.Service, r.Amount, r.Urgent)
		return false
	})
	c.wake()
	return reply
}

// handleReturn takes back what a borrower has not used.
func (c *credits) handleReturn(from peer.Identity, r creditReturn) {
	c.budget.Update(func(b *allowance.Budget) bool {
		b.AcceptReturn(time.Now(), borrower(from), r.Seq, r.Amount)
		return true
	})
}

// report sets the metrics.
func (c *credits) report(n allowance.Counts) {
	for name, value := range map[string]int64{
		metricCreditsAsked: n.Asked, metricCreditsBorrowed: n.Borrowed, metricCreditsReturned: n.Returned, metricCreditsGranted: n.Granted, metricCreditsRefused: n.Refused,
	} {
		counter := metrics.GetOrRegisterCounter(name, c.metrics)
		counter.Inc(value - counter.Count())
	}
}

func borrower(from peer.Identity) allowance.Borrower {
	return allowance.Borrower{ID: from.ID, Incarnation: from.Incarnation}
}

// callCredits asks another daemon for credits.
func (p *peers) callCredits(ctx context.Context, daemon string, r creditRequest) (reply creditReply, err error) {
	address, ok := p.g.members.address(daemon)
	if !ok {
		return creditReply{}, errors.Errorf("request credits: daemon %s has no entry", daemon)
	}
	err = p.transport.Call(ctx, address, kindCredits, r, &reply)
	return reply, errors.Wrapf(err, "request credits of %s", daemon)
}

// liveIDs returns the ids of the other daemons that are live.
func (m *members) liveIDs() (ids []string) {
	live, _ := m.othersByLiveness()
	for _, o := range live {
		ids = append(ids, o.ID)
	}
	return ids
}
