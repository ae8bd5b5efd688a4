package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// crashTracker keeps account of requests that crash targets. It implements
// forward.Crashes over the quarantine's ledger and tells peers of strikes.
type crashTracker struct {
	g *Gateway

	mu     sync.Mutex
	ledger *quarantine.Ledger
}

func newCrashTracker(g *Gateway) *crashTracker {
	return &crashTracker{g: g, ledger: quarantine.NewLedger(quarantine.DefaultSettings())}
}

// requestKey names a request by what it asks: a caller that sends it again gives it
// another id.
func requestKey(r *forward.Request) quarantine.RequestKey {
	h := xxhash.New()
	for _, part := range []string{r.Workspace, r.Method, r.Host, r.URI} {
		_, _ = h.WriteString(part) // a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return quarantine.RequestKey{ID: r.ID, Fingerprint: h.Sum64()}
}

// empty tells whether nothing is held against any request, as nearly always. It spares
// the hash of the request's body.
func (c *crashTracker) empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids, fingerprints := c.ledger.Len()
	return ids == 0 && fingerprints == 0
}

// Check implements forward.Crashes.
func (c *crashTracker) Check(ctx context.Context, r *forward.Request) *failure.Error {
	if c.empty() {
		return nil
	}
	for s := requestKey(r); ; {
		c.mu.Lock()
		v := c.ledger.Check(time.Now(), s)
		c.mu.Unlock()
		if v.Refused != nil {
			c.g.events.Record(event.RequestQuarantined, r.ID, event.F("error", v.Refused.Error()))
			return v.Refused
		}
		if v.Wait == 0 || !pause.For(ctx, v.Wait) {
			return nil
		}
	}
}

// ReportCrash implements forward.Crashes.
func (c *crashTracker) ReportCrash(r *forward.Request, t fleet.Target) {
	c.mu.Lock()
	reports := c.ledger.ReportCrash(time.Now(), quarantine.CrashReport{Request: requestKey(r), Target: t.ID, AtStart: true})
	c.mu.Unlock()
	c.g.events.Record(event.RequestStruck, r.ID, event.F("target", t.ID))
	if len(reports) > 0 {
		c.g.peers.sendCrashReports(reports)
	}
}

// ReportSuccess implements forward.Crashes.
func (c *crashTracker) ReportSuccess(r *forward.Request) {
	if c.empty() {
		return
	}
	s := requestKey(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Clear(s)
}

// reports returns the strikes that all daemons should know.
func (c *crashTracker) reports() []quarantine.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.CrashReports(time.Now())
}

// applyReports takes the strikes of a peer.
func (c *crashTracker) applyReports(reports []quarantine.CrashReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range reports {
		c.ledger.ReportCrash(time.Now(), s)
	}
}
