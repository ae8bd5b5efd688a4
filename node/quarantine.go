package node

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// kindStrikes carries strikesMessage.
const kindStrikes = peer.QuarantineBase

// strikeFlushPeriod is how often strikes are sent to the other daemons;
// maxStrikesQueued bounds those that wait and so one message.
const (
	strikeFlushPeriod = 50 * time.Millisecond
	maxStrikesQueued  = 256
	maxStrikeSends    = 16 // at one time
)

// strikesMessage reports strikes, or subjects that are cleared.
type strikesMessage struct {
	Strikes []quarantine.CrashReport `msgpack:"s,omitempty"`
	Cleared []quarantine.RequestKey  `msgpack:"c,omitempty"`
}

// guard keeps the ledger on the control loop and shares it with the other
// daemons.
type guard struct {
	n      *Node
	ledger *quarantine.Ledger
	out    strikesMessage // waits for the next flush
	// released are the operators' releases that were carried out.
	released map[string]bool
}

var _ generation.Guard = (*guard)(nil)

func (n *Node) newGuard() *guard {
	g := &guard{n: n, ledger: quarantine.NewLedger(n.settings.Quarantine), released: make(map[string]bool)}
	peer.HandleTyped(n.transport, kindStrikes, g.receive)
	n.loop.Every(strikeFlushPeriod, g.flush)
	return g
}

func subject(r generation.Request) quarantine.RequestKey {
	return quarantine.RequestKey{ID: r.ID, Fingerprint: r.Fingerprint()}
}

// Check implements generation.Guard.
func (g *guard) Check(ctx context.Context, r generation.Request) *failure.Error {
	s := subject(r)
	for {
		v, err := control.Call(ctx, g.n.loop, func(now time.Time) quarantine.Verdict {
			g.release(s)
			return g.ledger.Check(now, s)
		})
		if err != nil {
			return failure.Wrap(err, failure.Canceled, failure.NotRun, "quarantine", "")
		}
		if v.Refused != nil {
			g.n.events.Record(event.RequestQuarantined, r.ID, event.F("fingerprint", fmt.Sprintf("%016x", s.Fingerprint)), event.F("reason", v.Refused.Message))
		}
		if v.Wait == 0 {
			return v.Refused
		}
		pause.For(ctx, v.Wait)
	}
}

// release forgets once what is held against a request that operators released.
// Strikes that come later count anew, so that a release can't take every
// target down.
func (g *guard) release(s quarantine.RequestKey) {
	snapshot := g.n.snapshot.Load()
	for _, name := range []string{s.ID, fmt.Sprintf("%016x", s.Fingerprint)} {
		switch asked := snapshot.Released(name); {
		case !asked:
			delete(g.released, name)
		case !g.released[name]:
			g.released[name] = true
			g.ledger.Clear(s)
			g.out.Cleared = appendBounded(g.out.Cleared, s)
		}
	}
}

// ReportProgress implements generation.Guard.
func (g *guard) ReportProgress(r generation.Request) {
	s := subject(r)
	_ = g.n.loop.Post(func(time.Time) { g.ledger.ReportProgress(s) })
}

// ReportCrash implements generation.Guard.
func (g *guard) ReportCrash(r generation.Request, target string, _ int64, fresh bool) {
	s := quarantine.CrashReport{Request: subject(r), Target: target, AtStart: fresh}
	g.n.events.Record(event.RequestCrashReported, r.ID, event.F("target", target), event.F("fresh", fmt.Sprint(fresh)))
	_ = g.n.loop.Post(func(now time.Time) {
		g.out.Strikes = appendBounded(g.out.Strikes, g.ledger.ReportCrash(now, s)...)
		g.flush(now) // before the caller can send the request again elsewhere
	})
}

// ReportCompletion implements generation.Guard.
func (g *guard) ReportCompletion(r generation.Request) {
	s := subject(r)
	_ = g.n.loop.Post(func(time.Time) {
		if g.ledger.Clear(s) {
			g.out.Cleared = appendBounded(g.out.Cleared, s)
		}
	})
}

// appendBounded keeps the newest.
func appendBounded[T any](list []T, more ...T) []T {
	list = append(list, more...)
	if over := len(list) - maxStrikesQueued; over > 0 {
		list = list[over:]
	}
	return list
}

// flush runs on the control loop.
func (g *guard) flush(time.Time) {
	m := g.out
	if len(m.Strikes)+len(m.Cleared) == 0 {
		return
	}
	g.out = strikesMessage{}
	members := g.n.view.Load().Members
	g.n.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerSendTimeout)
		defer cancel()
		var sends errgroup.Group // side by side: one daemon that hangs must not delay the rest
		sends.SetLimit(maxStrikeSends)
		for _, d := range members {
			if d.ID != g.n.self.ID {
				sends.Go(func() error { return g.n.transport.Send(ctx, d.PeerAddress, kindStrikes, m) })
			}
		}
		_ = sends.Wait() // a daemon that missed strikes learns from its own losses
	})
}

// peerSendTimeout bounds the dials of one flush.
const peerSendTimeout = 2 * time.Second

func (g *guard) receive(_ context.Context, _ peer.Identity, m strikesMessage) (any, error) {
	return nil, g.n.loop.Post(func(now time.Time) {
		for _, s := range m.Strikes {
			g.ledger.ReportCrash(now, s)
		}
		for _, s := range m.Cleared {
			g.ledger.Clear(s)
		}
	})
}
