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
	"math"
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
	Sum     uint64        `msgpack:"s"` // of the entries after the changes
	Changed []Entry       `msgpack:"c,omitempty"`
	Removed []string      `msgpack:"d,omitempty"`
}

// Query asks a peer for a whole dataset.
type Query struct {
	Kind string `msgpack:"k"`
	Sum  uint64 `msgpack:"s"` // of the entries that the asker holds
}

// Whole is a dataset as a peer holds it.
type Whole struct {
	Kind    string        `msgpack:"k"`
	At      int64         `msgpack:"a"`
	Age     time.Duration `msgpack:"g"`
	Sum     uint64        `msgpack:"s"`
	Same    bool          `msgpack:"m,omitempty"` // the asker held the same; entries are left out
	Entries []Entry       `msgpack:"e,omitempty"`
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
	skew    float64 // of the wait for a read: 1 for an even one, more for longer ones
	entries map[string]Entry
	sum     uint64    // of the entries' hashes
	newest  state     // of the newest news
	at      int64     // the store's revision; -1 before the first read
	fresh   time.Time // when the entries were last known to be true
	due     time.Time // of the next own read
}

// NewDataset returns an empty dataset of a kind that is to be read about once a
// period by some daemon.
func NewDataset(kind string, period time.Duration, seed uint64) *Dataset {
	return &Dataset{kind: kind, period: period, random: rand.New(rand.NewPCG(seed, seed)), skew: 1, entries: make(map[string]Entry), at: -1}
}

// Known tells whether the dataset was read or heard at all.
func (d *Dataset) Known() bool { return d.at >= 0 }

// Due returns when this daemon should read the store: a while after the entries
// were last true, each daemon by another while, so that one of them reads first
// and spares the others.
func (d *Dataset) Due() time.Time { return d.due }

const (
	// spread times the period is the longest random part of the wait for a read.
	spread = 2
	// fewReaders is how many daemons may draw that part evenly: of so many, hardly two
	// read before one has heard the other's news.
	fewReaders = 8
)

// SetReaders tells how many daemons read the kind. Of many, fewer draw a short wait, so
// that the news of the first one reaches the others before they read.
func (d *Dataset) SetReaders(n int) {
	d.skew = max(1, math.Log(float64(max(1, n)))/math.Log(fewReaders))
}

// wait draws the random part of the wait for a read.
func (d *Dataset) wait() time.Duration {
	return time.Duration(math.Pow(d.random.Float64(), 1/d.skew) * float64(spread*d.period))
}

func (d *Dataset) refreshed(at time.Time) {
	if at.Before(d.fresh) {
		return
	}
	d.fresh = at
	d.due = at.Add(d.period + d.wait())
}

// Read takes an own read that was sent at asked, and returns what changed and what
// to tell the peers. A read that is older than what is held changes nothing.
func (d *Dataset) Read(asked time.Time, objects []objectstore.Object, at int64) (Change, News) {
	if at < d.at {
		return Change{}, News{Kind: d.kind, At: d.at, Sum: d.sum}
	}
	found := make([]Entry, len(objects))
	sum := uint64(0) // of what the store holds; newer entries may be held here
	for i, o := range objects {
		found[i] = Entry{Name: o.Name, Revision: o.Revision, Value: o.Value}
		sum ^= found[i].hash()
	}
	c := d.replace(found, at)
	d.at = at
	d.refreshed(asked)
	return c, News{Kind: d.kind, At: at, Sum: sum, Changed: c.Changed, Removed: c.Removed}
}

// Hear takes the news of a peer and returns what changed. News may come in any order
// and may be missed: what it tells of each entry is taken where it is newer than what
// is held, and the dataset counts as true, which spares an own read, once its sum is
// the one of the newest news. Until then an own read is due as before; late news may
// bring back an entry until it that was removed meanwhile.
func (d *Dataset) Hear(now time.Time, n News) Change {
	if n.At < d.at {
		return Change{}
	}
	var c Change
	for _, e := range n.Changed {
		if d.put(e) {
			c.Changed = append(c.Changed, e)
		}
	}
	for _, name := range n.Removed {
		if held, ok := d.entries[name]; ok && held.Revision <= n.At {
			d.remove(name)
			c.Removed = append(c.Removed, name)
		}
	}
	if n.At >= d.newest.at {
		d.newest = state{at: n.At, sum: n.Sum, fresh: now.Add(-n.Age)}
	}
	if d.sum == d.newest.sum {
		d.at = d.newest.at
		d.refreshed(d.newest.fresh)
	}
	return c
}

// state is what news says of the whole dataset.
type state struct {
	at    int64
	sum   uint64
	fresh time.Time
}

// put takes an entry unless one that is as new is held.
func (d *Dataset) put(e Entry) bool {
	held, ok := d.entries[e.Name]
	if ok && held.Revision >= e.Revision {
		return false
	}
	if ok {
		d.sum ^= held.hash()
	}
	d.sum ^= e.hash()
	d.entries[e.Name] = e
	return true
}

func (d *Dataset) remove(name string) {
	d.sum ^= d.entries[name].hash()
	delete(d.entries, name)
}

// Query returns the question for a peer's dataset.
func (d *Dataset) Query() Query { return Query{Kind: d.kind, Sum: d.sum} }

// Take takes the whole dataset of a peer.
func (d *Dataset) Take(now time.Time, w Whole) Change {
	if w.At < d.at || w.Same && w.Sum != d.sum {
		return Change{}
	}
	var c Change
	if !w.Same {
		c = d.replace(w.Entries, w.At)
	}
	d.at = w.At
	d.refreshed(now.Add(-w.Age))
	return c
}

// Whole returns the dataset for a peer that holds entries of a sum.
func (d *Dataset) Whole(now time.Time, held uint64) Whole {
	w := Whole{Kind: d.kind, At: d.at, Age: now.Sub(d.fresh), Sum: d.sum, Same: held == d.sum}
	if w.Same {
		return w
	}
	for _, name := range d.names() {
		w.Entries = append(w.Entries, d.entries[name])
	}
	return w
}

// replace takes found for the whole dataset as it was at a revision of the store.
// Entries that are newer stay.
func (d *Dataset) replace(found []Entry, at int64) Change {
	var c Change
	present := make(map[string]bool, len(found))
	for _, e := range found {
		present[e.Name] = true
		if d.put(e) {
			c.Changed = append(c.Changed, e)
		}
	}
	for _, name := range d.names() {
		if !present[name] && d.entries[name].Revision <= at {
			d.remove(name)
			c.Removed = append(c.Removed, name)
		}
	}
	sort.Slice(c.Changed, func(i, j int) bool { return c.Changed[i].Name < c.Changed[j].Name })
	return c
}

func (d *Dataset) names() []string {
	return slices.Sorted(maps.Keys(d.entries))
}

// hash stands for an entry in the sum of a dataset.
func (e Entry) hash() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(e.Name), uint64(e.Revision)))
}
