package gateway

import (
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

func toObject(e exchange.Entry) objectstore.Object {
	return objectstore.Object{Name: e.Name, Revision: e.Revision, Version: e.Revision, Value: e.Value, Status: e.Status, Created: e.Created}
}

// applyTargetChange applies changed and removed entries of targets. mayReturn is true if
// entries may be missing only because of an outage of the store. An entry that can't be
// decoded removes its own target and does not affect others.
func (g *Gateway) applyTargetChange(c exchange.Change, mayReturn bool) {
	now := time.Now()
	for _, e := range c.Changed {
		t, err := platform.DecodeTarget(toObject(e))
		if err != nil {
			g.events.Record(event.EntryRefused, "", event.F("target", e.Name), event.F("error", err.Error()))
			g.fleet.Remove(now, e.Name, true) // a live target writes its entry again
			continue
		}
		targetEvent := event.TargetJoined
		if t.Leaving {
			targetEvent = event.TargetLeaving
		}
		g.events.Record(targetEvent, "", event.F("target", t.ID), event.F("address", t.Address), event.F("place", t.Place), event.F("version", t.SoftwareVersion), event.F("born", strconv.FormatInt(t.StartMillis, 10)))
		if c.NewEra {
			g.fleet.PutRestored(t)
			continue
		}
		g.fleet.Put(t)
	}
	for _, id := range c.Removed {
		g.events.Record(event.TargetRemoved, "", event.F("target", id), event.F("may_return", strconv.FormatBool(mayReturn)))
		g.fleet.Remove(now, id, mayReturn)
	}
}

// noteVersions records the software versions of changed targets. A daemon that read the change
// from the store also stores them, before streams begin there: the store may be away when they do.
func (g *Gateway) noteVersions(c exchange.Change, read bool) {
	services := make(map[string]bool)
	for _, e := range c.Changed {
		if t, err := platform.DecodeTarget(toObject(e)); err == nil {
			services[t.Service] = true
		}
	}
	for service := range services {
		versions := g.fleet.SoftwareVersions(service)
		if read {
			g.origins.versions.note(g.peers.ctx, time.Now(), service, versions...)
			continue
		}
		g.origins.versions.learn(time.Now(), service, versions...)
	}
}

// expireTargets removes the targets whose missing entries did not return in time, and
// drops the state that other components hold of removed targets.
func (g *Gateway) expireTargets() {
	expired := g.fleet.Expire(time.Now())
	for _, id := range expired {
		g.events.Record(event.TargetRemoved, "", event.F("target", id), event.F("may_return", "false"))
	}
	if len(expired) > 0 {
		g.rollouts.noteTargets(exchange.Change{Removed: expired})
	}
	g.targetClient.Forget(g.fleet.Has)
	g.forwarder.Prober.Forget(g.fleet.Has)
	g.forwarder.CacheLocator.Forget(g.fleet.Has)
}
