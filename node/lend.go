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
	kindBorrow = peer.AdmissionBase + iota // borrowMessage, answered by lentReply
	kindReturn                             // returnMessage
)

// borrowMessage asks a home of a lane for a permit. It is idempotent by sender
// and Nonce: the borrower repeats it until the reply is final.
type borrowMessage struct {
	Nonce     uint64            `msgpack:"n"`
	Request   string            `msgpack:"r"`
	Workspace string            `msgpack:"w"`
	Service   string            `msgpack:"s"`
	Side      string            `msgpack:"d"`
	Labels    map[string]string `msgpack:"l,omitempty"`
	Priority  target.Priority   `msgpack:"p"`
	Bytes     int64             `msgpack:"b"`
	Retry     bool              `msgpack:"t,omitempty"`
	Wait      time.Duration     `msgpack:"a"`
	Exclude   map[string]bool   `msgpack:"x,omitempty"`
	Version   string            `msgpack:"v,omitempty"`
	Blocks    []uint64          `msgpack:"k,omitempty"`
	FromPlace string            `msgpack:"f"`
}

// lentState is how far a borrowed permit is.
type lentState int

// States of a borrowed permit.
const (
	lentPending lentState = iota
	lentGranted
	lentRefused
)

type lentReply struct {
	State      lentState       `msgpack:"s"`
	Target     string          `msgpack:"t,omitempty"`
	Code       failure.Code    `msgpack:"c,omitempty"`
	Outcome    failure.Outcome `msgpack:"o,omitempty"`
	Message    string          `msgpack:"m,omitempty"`
	RetryAfter time.Duration   `msgpack:"a,omitempty"`
}

// returnMessage gives a borrowed permit back, or up before it was granted. With
// Ended false, Streams may still run.
type returnMessage struct {
	Nonce   uint64            `msgpack:"n"`
	Ended   bool              `msgpack:"e"`
	Streams []target.StreamID `msgpack:"s,omitempty"`
}

// Bounds of lending.
const (
	// unaskedLimit is how long an ask waits here whose borrower is not heard of.
	unaskedLimit = 3 * time.Second
	// orphanHold is how long the permit of a borrower that is gone stays taken:
	// its attempt may run on, joined by its caller through another daemon.
	orphanHold = 15 * time.Minute
	// doneHold is how long a decided ask is kept for repeated messages.
	doneHold = 30 * time.Second
)

type lentKey struct {
	id          string
	incarnation uint64
	nonce       uint64
}

// lent is one ask of another daemon.
type lent struct {
	pending  *pending
	reply    lentReply
	asked    time.Time // last heard of
	returned bool
	orphaned time.Time
}

func (n *Node) serveBorrow(ctx context.Context, from peer.Identity, m borrowMessage) (any, error) {
	svc, ok := n.snapshot.Load().Service(m.Service)
	if !ok {
		return lentReply{State: lentRefused, Code: failure.NotFound, Outcome: failure.NotRun, Message: "service is not configured here"}, nil
	}
	q := ask{
		want: routing.Request{
			ID: m.Request, Service: svc, Labels: m.Labels, Blocks: m.Blocks, Version: m.Version, Exclude: m.Exclude,
			System: configuration.System(m.Side), FromPlace: m.FromPlace,
		},
		workspace: m.Workspace, priority: m.Priority, bytes: m.Bytes, retry: m.Retry, wait: m.Wait,
	}
	key := lentKey{from.ID, from.Incarnation, m.Nonce}
	return control.Call(ctx, n.loop, func(now time.Time) lentReply { return n.admission.lend(now, key, q) })
}

func (n *Node) serveReturn(ctx context.Context, from peer.Identity, m returnMessage) (any, error) {
	key := lentKey{from.ID, from.Incarnation, m.Nonce}
	return control.Call(ctx, n.loop, func(now time.Time) bool { return n.admission.takeBack(now, key, m) })
}

// lend answers one borrow message.
func (a *admitter) lend(now time.Time, key lentKey, q ask) lentReply {
	l := a.lent[key]
	if l == nil {
		l = &lent{pending: &pending{ask: q, allowed: allowed(q.want), lent: true, reply: make(chan admitted, 1)}}
		a.lent[key] = l
		a.submit(now, l.pending)
	}
	l.asked = now
	select {
	case r := <-l.pending.reply:
		l.reply = lentAnswer(r)
	default:
	}
	return l.reply
}

func lentAnswer(r admitted) lentReply {
	if r.refused != nil {
		e := r.refused
		return lentReply{State: lentRefused, Code: e.Code, Outcome: e.Outcome, Message: e.Message, RetryAfter: e.RetryAfter}
	}
	return lentReply{State: lentGranted, Target: r.permit.target.Name}
}

// takeBack takes a permit back. A return that comes before its ask is kept, so
// that the ask gets nothing.
func (a *admitter) takeBack(now time.Time, key lentKey, m returnMessage) bool {
	l := a.lent[key]
	if l == nil {
		a.lent[key] = &lent{pending: &pending{}, asked: now, returned: true, reply: lentReply{State: lentRefused, Code: failure.Canceled, Outcome: failure.NotRun}}
		return true
	}
	l.returned, l.asked = true, now
	switch p := l.pending.permit; {
	case p != nil:
		for _, id := range m.Streams {
			p.note(id)
		}
		a.release(now, p, m.Ended)
	case l.pending.id != 0:
		a.cancel(now, l.pending)
		l.reply = lentReply{State: lentRefused, Code: failure.Canceled, Outcome: failure.NotRun}
	}
	return true
}

// sweepLent ends what borrowers that are not heard of any more have here.
func (a *admitter) sweepLent(now time.Time) {
	for key, l := range a.lent {
		p := l.pending.permit
		held := p != nil && a.controller.HoldsPermit(p.id)
		switch {
		case held && !l.returned:
			a.orphan(now, key, l)
		case p == nil && !l.returned && now.Sub(l.asked) > unaskedLimit:
			a.takeBack(now, key, returnMessage{Ended: true})
		case !held && now.Sub(l.asked) > doneHold:
			delete(a.lent, key)
		}
	}
}

func (a *admitter) orphan(now time.Time, key lentKey, l *lent) {
	switch {
	case l.orphaned.IsZero() && a.n.view.Load().Terminated(key.id, key.incarnation):
		l.orphaned = now
		a.release(now, l.pending.permit, false)
	case !l.orphaned.IsZero() && now.Sub(l.orphaned) > orphanHold:
		l.returned, l.asked = true, now
		a.release(now, l.pending.permit, true)
	}
}
