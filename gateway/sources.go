package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Pauses between failed calls to the store; they double from the first to the
// second, with jitter, so that a returning store is not stormed.
const (
	storeRetry    = 100 * time.Millisecond
	storeRetryMax = time.Second
)

// source is a kind of objects that this daemon follows.
type source struct {
	kind string
	// all takes the whole list; after tells that the store was not reached before.
	all func(objects []objectstore.Object, after bool)
	// changed takes one change.
	changed func(o objectstore.Object, after bool)
	state   storeState
}

// storeState remembers whether the store answered last.
type storeState struct {
	down  bool
	since time.Time // when it was back
}

// lapsedFor is how long after an outage of the store entries may be missing whose
// writers live.
const lapsedFor = 2 * time.Second

// recovering tells whether the store was back only lately.
func (s *storeState) recovering(now time.Time) bool {
	return !s.since.IsZero() && now.Sub(s.since) < lapsedFor
}

// follow lists the kind and watches it until ctx ends.
func (g *Gateway) follow(ctx context.Context, s *source) {
	revision, wait := int64(-1), storeRetry
	for ctx.Err() == nil {
		var objects []objectstore.Object
		var err error
		listed := revision < 0
		if listed {
			objects, revision, err = g.store.List(ctx, s.kind)
			if err != nil {
				revision = -1
			}
		} else {
			objects, revision, err = g.store.Watch(ctx, s.kind, revision)
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, objectstore.ErrHistoryGone) {
			revision = -1
			continue
		}
		g.noteStore(s, err)
		if err != nil {
			pause.For(ctx, jittered(wait))
			wait = min(2*wait, storeRetryMax)
			continue
		}
		wait = storeRetry
		after := s.state.recovering(time.Now())
		if listed {
			s.all(objects, after)
			continue
		}
		for _, o := range objects {
			s.changed(o, after)
		}
	}
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// noteStore records when the store is lost and when it is back.
func (g *Gateway) noteStore(s *source, err error) {
	if (err != nil) == s.state.down {
		return
	}
	s.state.down = err != nil
	if err != nil {
		g.events.Record(event.PlatformLost, "", event.F("kind", s.kind), event.F("error", err.Error()))
		return
	}
	s.state.since = time.Now()
	g.events.Record(event.PlatformBack, "", event.F("kind", s.kind))
}

// followConfiguration keeps the newest configuration in force.
func (g *Gateway) followConfiguration(ctx context.Context) {
	take := func(o objectstore.Object, _ bool) {
		if o.Name != platform.ConfigurationName || o.Deleted {
			return
		}
		d, err := platform.DecodeDocument(o)
		if err != nil {
			g.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
			return
		}
		g.adopt(d)
	}
	g.follow(ctx, &source{kind: platform.ConfigurationKind, changed: take, all: func(objects []objectstore.Object, after bool) {
		for _, o := range objects {
			take(o, after)
		}
	}})
}

// adopt puts a document in force unless a newer one is.
func (g *Gateway) adopt(d ingress.Document) {
	g.version.Lock()
	defer g.version.Unlock()
	if old := g.table.Load(); old != nil && old.Version >= d.Version {
		return
	}
	g.table.Store(ingress.NewTable(d))
	g.events.Record(event.ConfigurationInForce, "", event.F("version", strconv.FormatInt(d.Version, 10)))
}

// followTargets keeps the fleet's targets known.
func (g *Gateway) followTargets(ctx context.Context) {
	g.follow(ctx, &source{kind: platform.TargetKind, changed: g.targetChanged, all: func(objects []objectstore.Object, after bool) {
		listed := make(map[string]bool, len(objects))
		for _, o := range objects {
			listed[o.Name] = true
			g.targetChanged(o, after)
		}
		for _, id := range g.fleet.IDs() {
			if !listed[id] {
				g.targetChanged(objectstore.Object{Name: id, Deleted: true}, after)
			}
		}
	}})
}

// targetChanged takes the new state of one target's entry.
func (g *Gateway) targetChanged(o objectstore.Object, after bool) {
	if o.Deleted {
		g.events.Record(event.TargetGone, "", event.F("target", o.Name), event.F("may_return", strconv.FormatBool(after)))
		g.fleet.Remove(time.Now(), o.Name, after)
		return
	}
	t, err := platform.DecodeTarget(o)
	if err != nil {
		g.events.Record(event.EntryRefused, "", event.F("target", o.Name), event.F("error", err.Error()))
		return
	}
	what := event.TargetJoined
	if t.Leaving {
		what = event.TargetLeaving
	}
	g.events.Record(what, "", event.F("target", t.ID), event.F("address", t.Address), event.F("place", t.Place))
	g.fleet.Put(t)
}
