package node

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/target"
)

// Message kinds of admission.
const (
	kindBorrow = peer.AdmissionBase + iota // borrowMessage, answered by borrowReply
	kindReturn                             // returnMessage
)

// borrowMessage requests a permit for a target of a lane, which is the queue for one
// system (old or new) of a service. The receiver, the lender, is a home of such a
// target: a daemon that has a share of the target's permits. The sender, the borrower,
// repeats the message with the same Nonce until the reply is final. The lender
// recognizes repetitions by the sender and Nonce.
type borrowMessage struct {
	Nonce     uint64            `msgpack:"n"`
	Request   string            `msgpack:"r"`
	Workspace string            `msgpack:"w"`
	Service   string            `msgpack:"s"`
	System    string            `msgpack:"d"`
	Labels    map[string]string `msgpack:"l,omitempty"`
	Priority  target.Priority   `msgpack:"p"`
	Bytes     int64             `msgpack:"b"`
	Retry     bool              `msgpack:"t,omitempty"`
	MaxWait   time.Duration     `msgpack:"a"`
	Exclude   map[string]bool   `msgpack:"x,omitempty"` // names of targets that must not get the request
	Version   string            `msgpack:"v,omitempty"`
	Blocks    []uint64          `msgpack:"k,omitempty"`
	FromPlace string            `msgpack:"f"`
}

// borrowState is the state of a requested permit.
type borrowState int

// States of a requested permit.
const (
	borrowPending borrowState = iota
	borrowGranted
	borrowRefused
)

// borrowReply answers a borrowMessage. Target is set if the permit is granted. Code,
// Outcome, Message and RetryAfter are those of the failure.Error if it is refused.
type borrowReply struct {
	State      borrowState     `msgpack:"s"`
	Target     string          `msgpack:"t,omitempty"`
	Code       failure.Code    `msgpack:"c,omitempty"`
	Outcome    failure.Outcome `msgpack:"o,omitempty"`
	Message    string          `msgpack:"m,omitempty"`
	RetryAfter time.Duration   `msgpack:"a,omitempty"`
}

// returnMessage returns a borrowed permit, or cancels the request for one that was
// not granted yet. If Ended is false, Streams may still run.
type returnMessage struct {
	Nonce   uint64            `msgpack:"n"`
	Ended   bool              `msgpack:"e"`
	Streams []target.StreamID `msgpack:"s,omitempty"`
}

// Limits of lending permits to other daemons.
const (
	// borrowerTimeout is how long a request stays queued after the last message of
	// its borrower.
	borrowerTimeout = 3 * time.Second
	// orphanRetention is the longest time for which the permit of a terminated
	// borrower stays in use: the caller may have joined the running attempt through
	// another daemon.
	orphanRetention = 15 * time.Minute
	// decidedRetention is how long the reply to a finished request is kept for
	// repeated messages.
	decidedRetention = 30 * time.Second
)

// peerRequestKey identifies a request by the ID and incarnation of the borrower and
// its nonce.
type peerRequestKey struct {
	id          string
	incarnation uint64
	nonce       uint64
}

// peerRequest is a request for a permit that another daemon sent.
type peerRequest struct {
	pending    *pendingRequest
	reply      borrowReply // in state borrowPending until the request is decided
	lastSeen   time.Time   // time of the borrower's last message
	returned   bool        // the permit was returned or the request canceled
	orphanedAt time.Time   // when this daemon saw that the borrower has terminated; zero before
}

func (n *Node) serveBorrow(ctx context.Context, from peer.Identity, m borrowMessage) (any, error) {
	svc, ok := n.snapshot.Load().Service(m.Service)
	if !ok {
		return borrowReply{State: borrowRefused, Code: failure.NotFound, Outcome: failure.NotRun, Message: "service is not configured here"}, nil
	}
	q := permitRequest{
		request: routing.Request{
			ID: m.Request, Service: svc, Labels: m.Labels, Blocks: m.Blocks, Version: m.Version, Exclude: m.Exclude,
			System: configuration.System(m.System), FromPlace: m.FromPlace,
		},
		workspace: m.Workspace, priority: m.Priority, bytes: m.Bytes, retry: m.Retry, maxWait: m.MaxWait,
	}
	key := peerRequestKey{from.ID, from.Incarnation, m.Nonce}
	return control.Call(ctx, n.loop, func(now time.Time) borrowReply { return n.admission.handleBorrow(now, key, q) })
}

func (n *Node) serveReturn(ctx context.Context, from peer.Identity, m returnMessage) (any, error) {
	key := peerRequestKey{from.ID, from.Incarnation, m.Nonce}
	return control.Call(ctx, n.loop, func(now time.Time) bool { return n.admission.handleReturn(now, key, m) })
}

// handleBorrow handles one borrowMessage. It submits the request when its first
// message arrives, and returns the request's current state.
func (a *admitter) handleBorrow(now time.Time, key peerRequestKey, q permitRequest) borrowReply {
	entry := a.peerRequests[key]
	if entry == nil {
		entry = &peerRequest{pending: &pendingRequest{permitRequest: q, allowedTargets: allowedTargets(q.request), fromPeer: true, reply: make(chan admissionResult, 1)}}
		a.peerRequests[key] = entry
		a.submit(now, entry.pending)
	}
	entry.lastSeen = now
	select {
	case result := <-entry.pending.reply:
		entry.reply = newBorrowReply(result)
	default:
	}
	return entry.reply
}

func newBorrowReply(result admissionResult) borrowReply {
	if result.refusal != nil {
		e := result.refusal
		return borrowReply{State: borrowRefused, Code: e.Code, Outcome: e.Outcome, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	return borrowReply{State: borrowGranted, Target: result.permit.target.Name}
}

// handleReturn releases a permit that is returned, or cancels its request. A return
// that arrives before its request is kept, so that the request is refused on arrival.
func (a *admitter) handleReturn(now time.Time, key peerRequestKey, m returnMessage) bool {
	entry := a.peerRequests[key]
	if entry == nil {
		a.peerRequests[key] = &peerRequest{pending: &pendingRequest{}, lastSeen: now, returned: true, reply: borrowReply{State: borrowRefused, Code: failure.Canceled, Outcome: failure.NotRun}}
		return true
	}
	entry.returned, entry.lastSeen = true, now
	switch p := entry.pending.permit; {
	case p != nil:
		for _, id := range m.Streams {
			p.addStream(id)
		}
		a.release(now, p, m.Ended)
	case entry.pending.id != 0:
		a.cancel(now, entry.pending)
		entry.reply = borrowReply{State: borrowRefused, Code: failure.Canceled, Outcome: failure.NotRun}
	}
	return true
}

// sweepPeerRequests handles the permits of terminated borrowers, cancels queued
// requests whose borrowers have become silent, and removes finished requests.
func (a *admitter) sweepPeerRequests(now time.Time) {
	for key, entry := range a.peerRequests {
		p := entry.pending.permit
		inUse := p != nil && a.controller.HoldsPermit(p.id)
		switch {
		case inUse && !entry.returned:
			a.checkOrphan(now, key, entry)
		case p == nil && !entry.returned && now.Sub(entry.lastSeen) > borrowerTimeout:
			a.handleReturn(now, key, returnMessage{Ended: true})
		case !inUse && now.Sub(entry.lastSeen) > decidedRetention:
			delete(a.peerRequests, key)
		}
	}
}

// checkOrphan abandons the permit of a borrower that has terminated, and releases it
// after orphanRetention.
func (a *admitter) checkOrphan(now time.Time, key peerRequestKey, entry *peerRequest) {
	switch {
	case entry.orphanedAt.IsZero() && a.n.view.Load().Terminated(key.id, key.incarnation):
		entry.orphanedAt = now
		a.release(now, entry.pending.permit, false)
	case !entry.orphanedAt.IsZero() && now.Sub(entry.orphanedAt) > orphanRetention:
		entry.returned, entry.lastSeen = true, now
		a.release(now, entry.pending.permit, true)
	}
}
