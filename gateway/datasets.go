package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Periods at which some daemon reads each kind. Configuration and targets must be
// known everywhere within two seconds of a change; three periods and a round trip
// are the longest time without any peer.
const (
	configurationReadPeriod = 400 * time.Millisecond
	targetReadPeriod        = 400 * time.Millisecond
	memberReadPeriod        = 1500 * time.Millisecond
)

// Pauses between failed calls to the store; they double from the first to the
// second, with jitter, so that a returning store is not stormed.
const (
	storeRetryMin = 150 * time.Millisecond
	storeRetryMax = time.Second
)

// missingEntryGrace is how long after an outage of the store entries may be missing whose
// writers live.
const missingEntryGrace = 2 * time.Second

// datasets keeps the datasets that this daemon works by.
type datasets struct {
	g *Gateway

	byKind map[string]*exchange.Dataset // by kind; only what they hold changes

	applyMu sync.Mutex // held while a dataset changes and the change is applied

	mu sync.Mutex // of the datasets and of what follows
	// storeDown tells that the newest call to the store failed; back is when the store
	// answered again.
	storeDown        bool
	storeRecoveredAt time.Time
}

func newDatasets(g *Gateway) *datasets {
	d := &datasets{g: g, byKind: make(map[string]*exchange.Dataset)}
	for kind, period := range map[string]time.Duration{
		platform.ConfigurationKind: configurationReadPeriod, platform.TargetKind: targetReadPeriod, memberKind: memberReadPeriod,
	} {
		d.byKind[kind] = exchange.NewDataset(kind, period, rand.Uint64())
	}
	return d
}

func (d *datasets) run(ctx context.Context) {
	for kind := range d.byKind {
		d.g.wg.Go(func() { d.refresh(ctx, kind) })
	}
}

// refresh reads a kind whenever it is this daemon's turn: from the store, else from a
// peer.
func (d *datasets) refresh(ctx context.Context, kind string) {
	backoff := storeRetryMin
	for ctx.Err() == nil {
		wait, useStore := d.nextRead(kind)
		if wait > 0 {
			pause.For(ctx, wait)
			continue
		}
		if useStore && d.readStore(ctx, kind) {
			backoff = storeRetryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		d.g.peers.fetchFromAnyPeer(ctx, d.query(kind))
		pause.For(ctx, jittered(backoff))
		backoff = min(2*backoff, storeRetryMax)
	}
}

// readStore reads a kind from the store and returns whether it answered.
func (d *datasets) readStore(ctx context.Context, kind string) bool {
	sentAt := time.Now()
	objects, storeRevision, err := d.g.store.List(ctx, kind)
	if ctx.Err() != nil {
		return false
	}
	d.recordStoreState(err)
	if err == nil {
		d.applyRead(sentAt, kind, objects, storeRevision)
	}
	return err == nil
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// nextRead returns how long it is until this daemon's turn to read a kind, and whether to
// ask the store then: while it does not answer, only one kind is tried there.
func (d *datasets) nextRead(kind string) (wait time.Duration, useStore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := d.byKind[kind]
	return time.Until(set.NextRead()), !d.storeDown || kind == platform.ConfigurationKind || !set.Loaded()
}

// recordStoreState records when the store is lost and when it is back.
func (d *datasets) recordStoreState(err error) {
	d.mu.Lock()
	changed := (err != nil) != d.storeDown
	d.storeDown = err != nil
	if changed && err == nil {
		d.storeRecoveredAt = time.Now()
	}
	d.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		d.g.events.Record(event.PlatformLost, "", event.F("error", err.Error()))
	default:
		d.g.events.Record(event.PlatformBack, "")
	}
}

// entriesMayReturn tells whether entries may be missing only because their writers could
// not renew them.
func (d *datasets) entriesMayReturn(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDown || !d.storeRecoveredAt.IsZero() && now.Sub(d.storeRecoveredAt) < missingEntryGrace
}

func (d *datasets) applyRead(sentAt time.Time, kind string, objects []objectstore.Object, storeRevision int64) {
	var update exchange.Update
	d.modify(kind, func(set *exchange.Dataset) (c exchange.Change) {
		c, update = set.ApplyRead(sentAt, objects, storeRevision)
		return c
	})
	update.Age = time.Since(sentAt)
	d.g.peers.sendUpdate(update)
}

func (d *datasets) applyUpdate(u exchange.Update) {
	d.modify(u.Kind, func(set *exchange.Dataset) exchange.Change { return set.ApplyUpdate(time.Now(), u) })
}

func (d *datasets) applySnapshot(snapshot exchange.Snapshot) {
	d.modify(snapshot.Kind, func(set *exchange.Dataset) exchange.Change { return set.ApplySnapshot(time.Now(), snapshot) })
}

// modify changes a dataset and applies what became different. Changes are applied in
// the order in which they were made: else an entry could be left at an older state.
func (d *datasets) modify(kind string, mutate func(*exchange.Dataset) exchange.Change) {
	set := d.byKind[kind]
	if set == nil {
		return // a newer daemon tells of a kind that this one does not know
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	c := mutate(set)
	d.mu.Unlock()
	d.apply(kind, c)
}

// setReaders tells how many daemons share the reading of the store.
func (d *datasets) setReaders(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, set := range d.byKind {
		set.SetReaders(n)
	}
}

func (d *datasets) query(kind string) exchange.Query {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind].Query()
}

// snapshot returns a dataset for a peer, if this daemon has it.
func (d *datasets) snapshot(q exchange.Query) (exchange.Snapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := d.byKind[q.Kind]
	if set == nil || !set.Loaded() {
		return exchange.Snapshot{}, false
	}
	return set.Snapshot(time.Now(), q.Checksum), true
}

func (d *datasets) apply(kind string, c exchange.Change) {
	if c.Empty() {
		return
	}
	switch kind {
	case platform.ConfigurationKind:
		d.g.applyConfigurationChange(c)
	case platform.TargetKind:
		d.g.applyTargetChange(c, d.entriesMayReturn(time.Now()))
	case memberKind:
		d.g.members.applyChange(c)
	}
}
