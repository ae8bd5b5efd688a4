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

// kindCrashReports is the message kind of crashReportMessage.
const kindCrashReports = peer.QuarantineBase

// crashReportFlushPeriod is how often crash reports are sent to the other daemons.
// maxQueuedCrashReports bounds the reports that wait for the next flush, and so the
// size of one message. maxConcurrentSends bounds the concurrent sends of one flush.
const (
	crashReportFlushPeriod = 50 * time.Millisecond
	maxQueuedCrashReports  = 256
	maxConcurrentSends     = 16
)

// crashReportMessage carries new crash reports, and the requests whose reports are
// cleared.
type crashReportMessage struct {
	Reports []quarantine.CrashReport `msgpack:"s,omitempty"`
	Cleared []quarantine.RequestKey  `msgpack:"c,omitempty"`
}

// guard implements generation.Guard: it refuses requests that crashed targets. It sends
// this daemon's crash reports to the other daemons. Its fields are owned by the control
// loop.
type guard struct {
	n        *Node
	ledger   *quarantine.Ledger
	outgoing crashReportMessage // to be sent by the next flush
	// released contains the operators' releases that were already applied.
	released map[string]bool
}

var _ generation.Guard = (*guard)(nil)

func (n *Node) newGuard() *guard {
	g := &guard{n: n, ledger: quarantine.NewLedger(n.settings.Quarantine), released: make(map[string]bool)}
	peer.HandleTyped(n.transport, kindCrashReports, g.serveCrashReports)
	n.loop.Every(crashReportFlushPeriod, g.flush)
	return g
}

func requestKey(r generation.Request) quarantine.RequestKey {
	return quarantine.RequestKey{ID: r.ID, Fingerprint: r.Fingerprint()}
}

// Check implements generation.Guard.
func (g *guard) Check(ctx context.Context, r generation.Request) *failure.Error {
	key := requestKey(r)
	for {
		v, err := control.Call(ctx, g.n.loop, func(now time.Time) quarantine.Verdict {
			g.release(key)
			return g.ledger.Check(now, key)
		})
		if err != nil {
			return failure.Wrap(err, failure.Canceled, failure.NotRun, "quarantine", "")
		}
		if v.Refusal != nil {
			g.n.events.Record(event.RequestQuarantined, r.ID, event.F("fingerprint", fmt.Sprintf("%016x", key.Fingerprint)), event.F("reason", v.Refusal.Message))
		}
		if v.Wait == 0 {
			return v.Refusal
		}
		pause.For(ctx, v.Wait)
	}
}

// release clears the crash reports of a request that operators released. A release is
// applied only once: later crash reports count again, so that a released request
// can't crash every target.
func (g *guard) release(key quarantine.RequestKey) {
	snapshot := g.n.snapshot.Load()
	for _, name := range []string{key.ID, fmt.Sprintf("%016x", key.Fingerprint)} {
		switch isReleased := snapshot.Released(name); {
		case !isReleased:
			delete(g.released, name)
		case !g.released[name]:
			g.released[name] = true
			g.ledger.Clear(key)
			g.outgoing.Cleared = appendNewest(g.outgoing.Cleared, key)
		}
	}
}

// ReportProgress implements generation.Guard.
func (g *guard) ReportProgress(r generation.Request) {
	key := requestKey(r)
	_ = g.n.loop.Post(func(time.Time) { g.ledger.ReportProgress(key) })
}

// ReportCrash implements generation.Guard.
func (g *guard) ReportCrash(r generation.Request, target string, _ int64, atStart bool) {
	report := quarantine.CrashReport{Request: requestKey(r), Target: target, AtStart: atStart}
	g.n.events.Record(event.RequestCrashReported, r.ID, event.F("target", target), event.F("fresh", fmt.Sprint(atStart)))
	_ = g.n.loop.Post(func(now time.Time) {
		g.outgoing.Reports = appendNewest(g.outgoing.Reports, g.ledger.ReportCrash(now, report)...)
		g.flush(now) // at once, before the caller can retry the request at another daemon
	})
}

// ReportCompletion implements generation.Guard.
func (g *guard) ReportCompletion(r generation.Request) {
	key := requestKey(r)
	_ = g.n.loop.Post(func(time.Time) {
		if g.ledger.Clear(key) {
			g.outgoing.Cleared = appendNewest(g.outgoing.Cleared, key)
		}
	})
}

// appendNewest appends items to list and keeps the newest maxQueuedCrashReports.
func appendNewest[T any](list []T, items ...T) []T {
	list = append(list, items...)
	if excess := len(list) - maxQueuedCrashReports; excess > 0 {
		list = list[excess:]
	}
	return list
}

// flush sends the outgoing reports to the other daemons. It must run on the control
// loop.
func (g *guard) flush(time.Time) {
	m := g.outgoing
	if len(m.Reports)+len(m.Cleared) == 0 {
		return
	}
	g.outgoing = crashReportMessage{}
	members := g.n.view.Load().Members
	g.n.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), peerSendTimeout)
		defer cancel()
		var sends errgroup.Group // concurrent, so that one daemon that hangs doesn't delay the others
		sends.SetLimit(maxConcurrentSends)
		for _, member := range members {
			if member.ID != g.n.self.ID {
				sends.Go(func() error { return g.n.transport.Send(ctx, member.PeerAddress, kindCrashReports, m) })
			}
		}
		_ = sends.Wait() // best effort: a daemon that missed reports still counts the crashes it sees itself
	})
}

// peerSendTimeout bounds the time to connect to the other daemons in one flush.
const peerSendTimeout = 2 * time.Second

func (g *guard) serveCrashReports(_ context.Context, _ peer.Identity, m crashReportMessage) (any, error) {
	return nil, g.n.loop.Post(func(now time.Time) {
		for _, report := range m.Reports {
			g.ledger.ReportCrash(now, report)
		}
		for _, key := range m.Cleared {
			g.ledger.Clear(key)
		}
	})
}
