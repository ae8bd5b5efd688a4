package gateway

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// memberKind is the kind of the objects with which daemons tell where they are.
const memberKind = "members"

// members keeps this daemon's own entry in the store and knows the others'.
type members struct {
	g    *Gateway
	self exchange.Member

	mu     sync.Mutex
	roster *exchange.Roster
}

func newMembers(g *Gateway) *members {
	s := g.settings.Load()
	return &members{g: g, roster: exchange.NewRoster(s.ID), self: exchange.Member{
		ID: s.ID, Place: s.Place, Region: s.Region, Callers: s.Callers, Peers: s.Peers,
	}}
}

// register writes this daemon's entry until the store has it. The entry holds
// nothing that changes while the daemon runs, so that a restart writes nothing.
func (m *members) register(ctx context.Context) {
	for wait := storeRetry; ctx.Err() == nil; wait = min(2*wait, storeRetryMax) {
		if err := m.write(ctx); err == nil {
			return
		}
		pause.For(ctx, jittered(wait))
	}
}

// write puts the entry on top of whatever is there: only this daemon writes it.
func (m *members) write(ctx context.Context) error {
	old, err := m.g.store.Get(ctx, memberKind, m.self.ID)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	var there exchange.Member
	if err == nil && json.Unmarshal(old.Value, &there) == nil && there == m.self {
		return nil
	}
	value, err := json.Marshal(m.self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	_, err = m.g.store.Put(ctx, memberKind, m.self.ID, value, old.Version)
	return err
}

// changed takes new entries of daemons.
func (m *members) changed(c exchange.Change) {
	for _, e := range c.Changed {
		var told exchange.Member
		if err := json.Unmarshal(e.Value, &told); err != nil || told.ID != e.Name {
			m.g.events.Record(event.EntryRefused, "", event.F("member", e.Name))
			continue
		}
		m.mu.Lock()
		joined := m.roster.Put(told)
		m.mu.Unlock()
		if joined {
			m.g.events.Record(event.MemberJoined, "", event.F("member", told.ID), event.F("place", told.Place))
		}
	}
	for _, id := range c.Removed {
		m.mu.Lock()
		m.roster.Remove(id)
		m.mu.Unlock()
		m.g.events.Record(event.MemberEnded, "", event.F("member", id))
	}
	m.mu.Lock()
	n := m.roster.Len()
	m.mu.Unlock()
	m.g.forward.RetryBudget.SetDaemons(n)
	m.g.fleet.SetStaleness(pauseAfterWork(n - 1))
	m.g.shelf.setReaders(n)
}

// heard takes note of a sign of life. It tells whether the daemon was silent for a while
// or has just begun.
func (m *members) heard(id string, leaving bool) (back bool) {
	m.mu.Lock()
	back = m.roster.Heard(time.Now(), id, leaving)
	m.mu.Unlock()
	if back {
		m.g.events.Record(event.MemberReturned, "", event.F("member", id))
	}
	return back
}

func (m *members) others() []exchange.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.roster.Others()
}

// othersByLife returns the other daemons: those that gave a sign of life lately, and the
// rest.
func (m *members) othersByLife() (live, silent []exchange.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, o := range m.roster.Others() {
		if m.roster.Live(now, o.ID) {
			live = append(live, o)
		} else {
			silent = append(silent, o)
		}
	}
	return live, silent
}

// directory returns the addresses that callers should use.
func (m *members) directory() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, o := range m.roster.Directory(time.Now()) {
		if o.ID != m.self.ID || !m.g.draining.Load() {
			out = append(out, o.Callers)
		}
	}
	return out
}
