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
	configurationPeriod = 400 * time.Millisecond
	targetPeriod        = 400 * time.Millisecond
	memberPeriod        = 1500 * time.Millisecond
)

// Pauses between failed calls to the store; they double from the first to the
// second, with jitter, so that a returning store is not stormed.
const (
	storeRetry    = 150 * time.Millisecond
	storeRetryMax = time.Second
)

// lapsedFor is how long after an outage of the store entries may be missing whose
// writers live.
const lapsedFor = 2 * time.Second

// shelf keeps the datasets that this daemon works by.
type shelf struct {
	g *Gateway

	sets map[string]*exchange.Dataset // by kind; only what they hold changes

	applying sync.Mutex // held while a dataset changes and the change is applied

	mu sync.Mutex // of the datasets and of what follows
	// down tells that the newest call to the store failed; back is when the store
	// answered again.
	down bool
	back time.Time
}

func newShelf(g *Gateway) *shelf {
	s := &shelf{g: g, sets: make(map[string]*exchange.Dataset)}
	for kind, period := range map[string]time.Duration{
		platform.ConfigurationKind: configurationPeriod, platform.TargetKind: targetPeriod, memberKind: memberPeriod,
	} {
		s.sets[kind] = exchange.NewDataset(kind, period, rand.Uint64())
	}
	return s
}

func (s *shelf) run(ctx context.Context) {
	for kind := range s.sets {
		s.g.wg.Go(func() { s.keep(ctx, kind) })
	}
}

// keep reads a kind whenever it is this daemon's turn: from the store, else from a
// peer.
func (s *shelf) keep(ctx context.Context, kind string) {
	retry := storeRetry
	for ctx.Err() == nil {
		wait, askStore := s.turn(kind)
		if wait > 0 {
			pause.For(ctx, wait)
			continue
		}
		if askStore && s.readStore(ctx, kind) {
			retry = storeRetry
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.g.peers.fetchAny(ctx, s.query(kind))
		pause.For(ctx, jittered(retry))
		retry = min(2*retry, storeRetryMax)
	}
}

// readStore reads a kind from the store and returns whether it answered.
func (s *shelf) readStore(ctx context.Context, kind string) bool {
	asked := time.Now()
	objects, at, err := s.g.store.List(ctx, kind)
	if ctx.Err() != nil {
		return false
	}
	s.noteStore(err)
	if err == nil {
		s.read(asked, kind, objects, at)
	}
	return err == nil
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// turn returns how long it is until this daemon's turn to read a kind, and whether to
// ask the store then: while it does not answer, only one kind is tried there.
func (s *shelf) turn(kind string) (wait time.Duration, askStore bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.sets[kind]
	return time.Until(set.Due()), !s.down || kind == platform.ConfigurationKind || !set.Known()
}

// noteStore records when the store is lost and when it is back.
func (s *shelf) noteStore(err error) {
	s.mu.Lock()
	changed := (err != nil) != s.down
	s.down = err != nil
	if changed && err == nil {
		s.back = time.Now()
	}
	s.mu.Unlock()
	switch {
	case !changed:
	case err != nil:
		s.g.events.Record(event.PlatformLost, "", event.F("error", err.Error()))
	default:
		s.g.events.Record(event.PlatformBack, "")
	}
}

// lapsed tells whether entries may be missing only because their writers could
// not renew them.
func (s *shelf) lapsed(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || !s.back.IsZero() && now.Sub(s.back) < lapsedFor
}

func (s *shelf) read(asked time.Time, kind string, objects []objectstore.Object, at int64) {
	var news exchange.News
	s.change(kind, func(set *exchange.Dataset) (c exchange.Change) {
		c, news = set.Read(asked, objects, at)
		return c
	})
	news.Age = time.Since(asked)
	s.g.peers.tellNews(news)
}

func (s *shelf) hear(n exchange.News) {
	s.change(n.Kind, func(set *exchange.Dataset) exchange.Change { return set.Hear(time.Now(), n) })
}

func (s *shelf) take(w exchange.Whole) {
	s.change(w.Kind, func(set *exchange.Dataset) exchange.Change { return set.Take(time.Now(), w) })
}

// change changes a dataset and applies what became different. Changes are applied in
// the order in which they were made: else an entry could be left at an older state.
func (s *shelf) change(kind string, how func(*exchange.Dataset) exchange.Change) {
	set := s.sets[kind]
	if set == nil {
		return // a newer daemon tells of a kind that this one does not know
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	c := how(set)
	s.mu.Unlock()
	s.apply(kind, c)
}

// setReaders tells how many daemons share the reading of the store.
func (s *shelf) setReaders(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, set := range s.sets {
		set.SetReaders(n)
	}
}

func (s *shelf) query(kind string) exchange.Query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sets[kind].Query()
}

// whole returns a dataset for a peer, if this daemon has it.
func (s *shelf) whole(q exchange.Query) (exchange.Whole, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.sets[q.Kind]
	if set == nil || !set.Known() {
		return exchange.Whole{}, false
	}
	return set.Whole(time.Now(), q.Sum), true
}

func (s *shelf) apply(kind string, c exchange.Change) {
	if c.Empty() {
		return
	}
	switch kind {
	case platform.ConfigurationKind:
		s.g.configurationChanged(c)
	case platform.TargetKind:
		s.g.targetsChanged(c, s.lapsed(time.Now()))
	case memberKind:
		s.g.members.changed(c)
	}
}
