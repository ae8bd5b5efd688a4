package gateway

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// memberKind is the kind of the objects with which daemons tell of themselves.
const memberKind = "members"

// member is one daemon as it wrote itself.
type member struct {
	ID          string `json:"id"`
	Place       string `json:"place"`
	Region      string `json:"region"`
	Callers     string `json:"callers"`
	Peers       string `json:"peers"`
	Incarnation int64  `json:"incarnation"` // rises with each start
	Leaving     bool   `json:"leaving,omitempty"`
}

// members keeps this daemon's own entry in the store and knows the others'.
type members struct {
	g    *Gateway
	self member

	mu    sync.Mutex
	known map[string]member
}

func newMembers(g *Gateway) *members {
	s := g.settings
	return &members{g: g, known: make(map[string]member), self: member{
		ID: s.ID, Place: s.Place, Region: s.Region, Callers: s.Callers, Peers: s.Peers, Incarnation: time.Now().UnixNano(),
	}}
}

func (m *members) run(ctx context.Context) {
	m.g.wg.Go(func() { m.register(ctx, m.self) })
	m.g.wg.Go(func() {
		m.g.follow(ctx, &source{kind: memberKind, changed: m.changed, all: func(objects []objectstore.Object, after bool) {
			listed := make(map[string]bool, len(objects))
			for _, o := range objects {
				listed[o.Name] = true
				m.changed(o, after)
			}
			for _, id := range m.ids() {
				if !listed[id] {
					m.changed(objectstore.Object{Name: id, Deleted: true}, after)
				}
			}
		}})
	})
}

func (m *members) ids() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]string, 0, len(m.known))
	for id := range m.known {
		out = append(out, id)
	}
	return out
}

// register writes this daemon's entry until the store has it.
func (m *members) register(ctx context.Context, self member) {
	value, err := json.Marshal(self)
	if err != nil {
		m.g.events.Record(event.EntryRefused, "", event.F("member", self.ID), event.F("error", err.Error()))
		return
	}
	for wait := storeRetry; ctx.Err() == nil; wait = min(2*wait, storeRetryMax) {
		if err := m.write(ctx, value); err == nil {
			return
		}
		pause.For(ctx, jittered(wait))
	}
}

// write puts the entry on top of whatever is there: only this daemon writes it.
func (m *members) write(ctx context.Context, value []byte) error {
	old, err := m.g.store.Get(ctx, memberKind, m.self.ID)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	_, err = m.g.store.Put(ctx, memberKind, m.self.ID, value, old.Version)
	return err
}

func (m *members) changed(o objectstore.Object, _ bool) {
	var told member
	if !o.Deleted {
		if err := json.Unmarshal(o.Value, &told); err != nil || told.ID != o.Name {
			m.g.events.Record(event.EntryRefused, "", event.F("member", o.Name))
			return
		}
	}
	m.mu.Lock()
	old, known := m.known[o.Name]
	if o.Deleted {
		delete(m.known, o.Name)
	} else {
		m.known[o.Name] = told
	}
	n := len(m.known)
	m.mu.Unlock()
	m.g.forward.Budget.SetDaemons(n)
	switch {
	case o.Deleted:
		m.g.events.Record(event.MemberEnded, "", event.F("member", o.Name))
	case !known || old.Incarnation != told.Incarnation:
		m.g.events.Record(event.MemberJoined, "", event.F("member", o.Name))
	case told.Leaving:
		m.g.events.Record(event.MemberLeaving, "", event.F("member", o.Name))
	}
}

// leave tells the others of a planned stop.
func (m *members) leave(ctx context.Context) {
	leaving := m.self
	leaving.Leaving = true
	m.register(ctx, leaving)
}

// directory returns the addresses that callers of a place should use.
func (m *members) directory(string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, o := range m.known {
		if !o.Leaving {
			out = append(out, o.Callers)
		}
	}
	sort.Strings(out)
	return out
}
