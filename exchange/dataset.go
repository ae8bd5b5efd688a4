// Package exchange lets a few daemons read the platform's store for all. A
// Dataset is one kind of objects: whichever daemon's copy is oldest reads it and
// tells the others what changed and how fresh it is, so that the number of reads
// does not grow with the number of daemons, and a daemon that the store turns away
// learns from its peers. It is pure: times, reads and messages go in; what changed
// and what to tell come out.
package exchange

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Entry is one object of a dataset.
type Entry struct {
	Name     string `msgpack:"n"`
	Revision int64  `msgpack:"r"` // of its last change
	Value    []byte `msgpack:"v"`
}

// News tells peers what a read found.
type News struct {
	Kind    string        `msgpack:"k"`
	At      int64         `msgpack:"a"` // the store's revision of the read
	Age     time.Duration `msgpack:"g"` // since the read was sent
	Base    uint64        `msgpack:"b"` // sum of the entries that the changes apply to
	Sum     uint64        `msgpack:"s"` // of the entries after the changes
	Changed []Entry       `msgpack:"c,omitempty"`
	Removed []string      `msgpack:"d,omitempty"`
}

// Whole is a dataset as a peer holds it.
type Whole struct {
	Kind    string        `msgpack:"k"`
	At      int64         `msgpack:"a"`
	Age     time.Duration `msgpack:"g"`
	Entries []Entry       `msgpack:"e"`
}

// Change is what became different in a dataset.
type Change struct {
	Changed []Entry
	Removed []string
}

// Empty tells whether nothing changed.
func (c Change) Empty() bool { return len(c.Changed) == 0 && len(c.Removed) == 0 }

// Dataset is what a daemon holds of one kind. It is not safe for concurrent use.
type Dataset struct {
	kind    string
	period  time.Duration
	random  *rand.Rand
	entries map[string]Entry
	at      int64     // the store's revision; -1 before the first read
	fresh   time.Time // when the entries were last known to be true
	due     time.Time // of the next own read
}

// NewDataset returns an empty dataset of a kind that is to be read about once a
// period by some daemon.
func NewDataset(kind string, period time.Duration, seed uint64) *Dataset {
	return &Dataset{kind: kind, period: period, random: rand.New(rand.NewPCG(seed, seed)), entries: make(map[string]Entry), at: -1}
}

// Known tells whether the dataset was read or heard at all.
func (d *Dataset) Known() bool { return d.at >= 0 }

// Due returns when this daemon should read the store: a while after the entries
// were last true, each daemon by another while, so that one of them reads first
// and spares the others.
func (d *Dataset) Due() time.Time { return d.due }

// spread times the period is the longest random part of the wait for a read.
const spread = 2

func (d *Dataset) refreshed(at time.Time) {
	if at.Before(d.fresh) {
		return
	}
	d.fresh = at
	d.due = at.Add(d.period + time.Duration(d.random.Int64N(int64(spread*d.period))))
}

// Read takes an own read that was sent at asked, and returns what changed and what
// to tell the peers. A read that is older than what is held changes nothing.
func (d *Dataset) Read(asked time.Time, objects []objectstore.Object, at int64) (Change, News) {
	base := d.sum()
	if at < d.at {
		return Change{}, News{Kind: d.kind, At: d.at, Base: base, Sum: base}
	}
	found := make(map[string]Entry, len(objects))
	for _, o := range objects {
		found[o.Name] = Entry{Name: o.Name, Revision: o.Revision, Value: o.Value}
	}
	c := d.replace(found)
	d.at = at
	d.refreshed(asked)
	return c, News{Kind: d.kind, At: at, Base: base, Sum: d.sum(), Changed: c.Changed, Removed: c.Removed}
}

// Hear takes the news of a peer. It returns what changed, and whether the whole
// must be fetched from the peer because the news does not apply.
func (d *Dataset) Hear(now time.Time, n News) (c Change, fetch bool) {
	if n.At < d.at {
		return Change{}, false
	}
	switch d.sum() {
	case n.Sum:
	case n.Base:
		for _, e := range n.Changed {
			d.entries[e.Name] = e
		}
		for _, name := range n.Removed {
			delete(d.entries, name)
		}
		c = Change{Changed: n.Changed, Removed: n.Removed}
	default:
		return Change{}, true
	}
	d.at = n.At
	d.refreshed(now.Add(-n.Age))
	return c, false
}

// Take takes the whole dataset of a peer.
func (d *Dataset) Take(now time.Time, w Whole) Change {
	if w.At < d.at {
		return Change{}
	}
	found := make(map[string]Entry, len(w.Entries))
	for _, e := range w.Entries {
		found[e.Name] = e
	}
	c := d.replace(found)
	d.at = w.At
	d.refreshed(now.Add(-w.Age))
	return c
}

// Whole returns the dataset for a peer.
func (d *Dataset) Whole(now time.Time) Whole {
	w := Whole{Kind: d.kind, At: d.at, Age: now.Sub(d.fresh)}
	for _, name := range d.names() {
		w.Entries = append(w.Entries, d.entries[name])
	}
	return w
}

func (d *Dataset) replace(found map[string]Entry) Change {
	var c Change
	for _, name := range d.names() {
		if _, ok := found[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	for name, e := range found {
		if old, ok := d.entries[name]; !ok || old.Revision != e.Revision {
			c.Changed = append(c.Changed, e)
		}
	}
	sort.Slice(c.Changed, func(i, j int) bool { return c.Changed[i].Name < c.Changed[j].Name })
	d.entries = found
	return c
}

func (d *Dataset) names() []string {
	return slices.Sorted(maps.Keys(d.entries))
}

// sum identifies the entries: their names and revisions.
func (d *Dataset) sum() uint64 {
	var out uint64
	for name, e := range d.entries {
		b := binary.BigEndian.AppendUint64([]byte(name), uint64(e.Revision))
		out ^= xxhash.Sum64(b)
	}
	return out
}
