package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Read periods: each kind of object is read about once per period, by any one of the
// daemons. A daemon without peers learns of a change after at most three periods and one
// round trip to the store.
const (
	// readsWithin is how many read periods there are in the time within which a change must
	// have reached every daemon, see Settings.ConfigurationWithin and Settings.LeavingWithin.
	readsWithin      = 5
	memberReadPeriod = 1500 * time.Millisecond
)

// readPeriods returns the read period of each kind.
func readPeriods(s *Settings) map[string]time.Duration {
	periods := map[string]time.Duration{
		platform.ConfigurationKind: s.ConfigurationWithin.Std() / readsWithin,
		platform.TargetKind:        s.LeavingWithin.Std() / readsWithin,
		memberKind:                 memberReadPeriod,
	}
	if s.Rollout != nil {
		periods[platform.RolloutKind] = rolloutReadPeriod
	}
	return periods
}

// Bounds of the exponential backoff between failed calls to the store. Jitter keeps the
// daemons from overloading a store that has just recovered.
const (
	storeRetryMin = 150 * time.Millisecond
	storeRetryMax = time.Second
)

// retryStore makes calls to the store until one succeeds or ctx is done.
func retryStore(ctx context.Context, call func(context.Context) error) {
	for backoff := storeRetryMin; ctx.Err() == nil; backoff = min(2*backoff, storeRetryMax) {
		if err := call(ctx); err == nil {
			return
		}
		pause.For(ctx, withJitter(backoff))
	}
}

// missingEntryGrace is the time after an outage of the store in which the entries of
// live targets may still be missing.
const missingEntryGrace = 2 * time.Second

// datasets holds the datasets that this daemon reads from the store or from peers.
type datasets struct {
	g *Gateway

	byKind map[string]*exchange.Dataset // the map itself does not change after newDatasets
	wake   map[string]chan struct{}     // by kind, receives a value when its next read is brought forward; does not change either

	applyMu sync.Mutex // held while a dataset is modified and the change is applied

	repeats map[string]*repeatCounter // by kind; the map itself does not change after newDatasets

	mu sync.Mutex // protects the datasets and the fields below
	// storeDown is true if the last call to the store failed. storeRecoveredAt is when
	// the store last answered again after a failure, or was found to be restored.
	storeDown        bool
	storeRecoveredAt time.Time
}

func newDatasets(g *Gateway) *datasets {
	d := &datasets{g: g, byKind: make(map[string]*exchange.Dataset), wake: make(map[string]chan struct{}), repeats: make(map[string]*repeatCounter)}
	for kind, period := range readPeriods(g.settings.Load()) {
		d.byKind[kind], d.wake[kind] = exchange.NewDataset(kind, period, rand.Uint64()), make(chan struct{}, 1)
		d.repeats[kind] = &repeatCounter{kind: kind, events: g.events}
	}
	return d
}

func (d *datasets) run(ctx context.Context) {
	d.g.wg.Go(func() {
		d.g.startup.run(ctx)
		for kind := range d.byKind {
			d.g.wg.Go(func() { d.refresh(ctx, kind) })
		}
	})
}

// refresh reads a dataset whenever its next read is due, until ctx is done: from the
// store, or from a peer if the store does not respond.
func (d *datasets) refresh(ctx context.Context, kind string) {
	backoff := storeRetryMin
	var readTook time.Duration // by the last read of the store
	for ctx.Err() == nil {
		wait, useStore := d.nextRead(kind)
		if wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			case <-d.wake[kind]:
			}
			continue
		}
		if useStore {
			var ok bool
			if readTook, ok = d.readStore(ctx, kind, readTook); ok {
				backoff = storeRetryMin
				continue
			}
		}
		if ctx.Err() != nil {
			return
		}
		d.g.peers.fetchFromAnyPeer(ctx, d.query(kind))
		pause.For(ctx, withJitter(backoff))
		backoff = min(2*backoff, storeRetryMax)
	}
}

// readStore reads a dataset from the store. It returns how long the read took, and
// whether the store answered. The duration of a failed read is 0. expected is how long the
// last read took.
func (d *datasets) readStore(ctx context.Context, kind string, expected time.Duration) (took time.Duration, ok bool) {
	sentAt := time.Now()
	endClaim := d.claim(kind, expected)
	objects, position, err := d.g.store.List(ctx, kind)
	endClaim()
	if ctx.Err() != nil {
		return 0, false
	}
	d.recordStoreState(err)
	if err != nil {
		return 0, false
	}
	took = time.Since(sentAt)
	d.applyRead(ctx, sentAt, kind, objects, position)
	return took, true
}

// withJitter returns a random duration from d/2 to 3d/2.
func withJitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// nextRead returns the time until this daemon should read a dataset and whether to read
// it from the store. While the store does not respond, only the configuration and
// datasets that were never loaded are read from it.
func (d *datasets) nextRead(kind string) (wait time.Duration, useStore bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dataset := d.byKind[kind]
	return time.Until(dataset.NextRead()), !d.storeDown || kind == platform.ConfigurationKind || !dataset.Loaded()
}

// storeFailed reports whether the last call to the store failed.
func (d *datasets) storeFailed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDown
}

// recordStoreState records the result of a call to the store, and an event when the
// store fails or recovers.
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
		d.g.events.Record(event.PlatformRecovered, "")
	}
}

// entriesMayReturn reports whether entries may be missing only because their writers
// could not renew them during an outage of the store.
func (d *datasets) entriesMayReturn(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.storeDown || !d.storeRecoveredAt.IsZero() && now.Sub(d.storeRecoveredAt) < missingEntryGrace
}

// applyRead applies a read of the store and sends the changes to the peers.
func (d *datasets) applyRead(ctx context.Context, sentAt time.Time, kind string, objects []objectstore.Object, position objectstore.Position) {
	var update exchange.Update
	d.modify(kind, changeOrigin{source: sourceStore, took: time.Since(sentAt)}, func(dataset *exchange.Dataset) (c exchange.Change) {
		c, update = dataset.ApplyRead(sentAt, objects, position)
		return c
	})
	update.Age = time.Since(sentAt)
	d.sendUpdate(update)
	if len(update.Announced) == 0 || !pause.For(ctx, exchange.AnnounceDelay) {
		return
	}
	d.mu.Lock()
	values, ok := d.byKind[kind].AnnouncedValues()
	d.mu.Unlock()
	if !ok {
		d.g.events.Record(event.ChangesLeft, "", event.F("kind", kind), event.F("revision", strconv.FormatInt(position.Revision, 10)))
		return
	}
	values.Age = time.Since(sentAt)
	d.sendUpdate(values)
}

// sendUpdate broadcasts an update and logs the changes that it contains.
func (d *datasets) sendUpdate(u exchange.Update) {
	if changes := len(u.Changed) + len(u.Removed); changes > 0 {
		d.g.events.Record(event.ChangesSent, "", event.F("kind", u.Kind), event.F("revision", strconv.FormatInt(u.StoreRevision, 10)),
			event.F("entries", strconv.Itoa(changes)), event.F("bytes", strconv.Itoa(u.ValueBytes())))
	}
	d.g.peers.sendUpdate(u)
}

func (d *datasets) applyUpdate(ctx context.Context, u exchange.Update) {
	origin := changeOrigin{source: sourceUpdate}
	if a, ok := peer.ArrivalOf(ctx); ok {
		origin.took, origin.waited = a.Last.Sub(a.First), time.Since(a.Last)
	}
	d.modify(u.Kind, origin, func(dataset *exchange.Dataset) exchange.Change {
		c := dataset.ApplyUpdate(time.Now(), u)
		d.repeats[u.Kind].add(time.Now(), len(u.Changed)-len(c.Changed), u.ValueBytes()-c.ValueBytes())
		return c
	})
}

func (d *datasets) applyClaim(c exchange.Claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if dataset := d.byKind[c.Kind]; dataset != nil {
		dataset.ApplyClaim(time.Now(), c)
	}
}

func (d *datasets) applySnapshot(snapshot exchange.Snapshot) {
	d.modify(snapshot.Kind, changeOrigin{source: sourceSnapshot}, func(dataset *exchange.Dataset) exchange.Change { return dataset.ApplySnapshot(time.Now(), snapshot) })
}

// modify modifies a dataset and applies the resulting change. Changes are applied in
// the order in which they were made; otherwise an older state of an entry could
// overwrite a newer one.
func (d *datasets) modify(kind string, origin changeOrigin, mutate func(*exchange.Dataset) exchange.Change) {
	dataset := d.byKind[kind]
	if dataset == nil {
		return // a newer version of the daemon may send a kind that this one does not know
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.mu.Lock()
	origin.lastMatch = dataset.LastMatch()
	before := dataset.Position()
	expected := dataset.ExpectsEra()
	c := mutate(dataset)
	if !expected && dataset.ExpectsEra() {
		d.wakeReader(kind)
	}
	after := dataset.Position()
	loaded := true
	for _, other := range d.byKind {
		loaded = loaded && other.Loaded()
	}
	d.mu.Unlock()
	if loaded {
		defer d.g.startup.setLoaded()
	}
	if c.NewEra {
		d.g.events.Record(event.StoreRestored, "", event.F("kind", kind), event.F("source", origin.source), event.F("era", formatPosition(after)),
			event.F("previous", formatPosition(before)), event.F("changed", strconv.Itoa(len(c.Changed))), event.F("removed", strconv.Itoa(len(c.Removed))))
		d.handleRestoration(kind, after.Era)
	}
	d.apply(kind, c, origin)
}

// handleRestoration handles the first change of a kind in a new era.
func (d *datasets) handleRestoration(kind string, era int64) {
	now := time.Now()
	d.mu.Lock()
	d.storeRecoveredAt = now // entries that the copy lacks may return
	for other, dataset := range d.byKind {
		if dataset.ExpectEra(now, era); dataset.ExpectsEra() {
			d.wakeReader(other)
		}
	}
	d.mu.Unlock()
	d.g.store.HandleRestoration(era)
}

// wakeReader lets refresh look at the time of the next read again. It is not called for
// other reasons than a new era: a read that is due a little earlier than before is left to
// the daemon that reads next.
func (d *datasets) wakeReader(kind string) {
	select {
	case d.wake[kind] <- struct{}{}:
	default:
	}
}

// formatPosition formats a position of the store as ERA/REVISION.
func formatPosition(p objectstore.Position) string {
	return strconv.FormatInt(p.Era, 10) + "/" + strconv.FormatInt(p.Revision, 10)
}

// setReaders sets the number of daemons that share the reads of the store.
func (d *datasets) setReaders(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, dataset := range d.byKind {
		dataset.SetReaders(n)
	}
}

// isLoaded reports whether a dataset has been read from the store or from a peer.
func (d *datasets) isLoaded(kind string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind].Loaded()
}

// lastMatch returns when a dataset was last known to match the store.
func (d *datasets) lastMatch(kind string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind].LastMatch()
}

func (d *datasets) query(kind string) exchange.Query {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byKind[kind].Query()
}

// snapshot returns the snapshot of a dataset for a peer's query, and false if this
// daemon has not loaded the dataset.
func (d *datasets) snapshot(q exchange.Query) (exchange.Snapshot, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	dataset := d.byKind[q.Kind]
	if dataset == nil || !dataset.Loaded() {
		return exchange.Snapshot{}, false
	}
	return dataset.Snapshot(time.Now(), q), true
}

// apply passes a change to the component that uses the dataset.
func (d *datasets) apply(kind string, c exchange.Change, origin changeOrigin) {
	if c.Empty() {
		return
	}
	switch kind {
	case platform.ConfigurationKind:
		d.g.applyConfigurationChange(c, origin)
	case platform.TargetKind:
		d.g.applyTargetChange(c, d.entriesMayReturn(time.Now()))
		d.g.rollouts.noteTargets(c)
		d.g.noteVersions(c, origin.source == sourceStore)
	case memberKind:
		d.g.members.applyChange(c, d.entriesMayReturn(time.Now()))
	case platform.RolloutKind:
		d.g.rollouts.applyChange(c, origin)
	}
}
