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

// Update tells peers what a read found.
type Update struct {
	Kind          string        `msgpack:"k"`
	StoreRevision int64         `msgpack:"a"` // the store's revision of the read
	Age           time.Duration `msgpack:"g"` // since the read was sent
	Checksum      uint64        `msgpack:"s"` // of the entries after the changes
	Changed       []Entry       `msgpack:"c,omitempty"`
	Removed       []string      `msgpack:"d,omitempty"`
}

// Query asks a peer for a whole dataset.
type Query struct {
	Kind     string `msgpack:"k"`
	Checksum uint64 `msgpack:"s"` // of the entries that the asker holds
}

// Snapshot is a dataset as a peer holds it.
type Snapshot struct {
	Kind          string        `msgpack:"k"`
	StoreRevision int64         `msgpack:"a"`
	Age           time.Duration `msgpack:"g"`
	Checksum      uint64        `msgpack:"s"`
	Unchanged     bool          `msgpack:"m,omitempty"` // the asker held the same; entries are left out
	Entries       []Entry       `msgpack:"e,omitempty"`
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
	kind          string
	period        time.Duration
	random        *rand.Rand
	skew          float64 // of the wait for a read: 1 for an even one, more for longer ones
	entries       map[string]Entry
	checksum      uint64         // of the entries' hashes
	latest        announcedState // of the newest news
	storeRevision int64          // the store's revision; -1 before the first read
	freshAt       time.Time      // when the entries were last known to be true
	nextRead      time.Time      // of the next own read
}

// NewDataset returns an empty dataset of a kind that is to be read about once a
// period by some daemon.
func NewDataset(kind string, period time.Duration, seed uint64) *Dataset {
	return &Dataset{kind: kind, period: period, random: rand.New(rand.NewPCG(seed, seed)), skew: 1, entries: make(map[string]Entry), storeRevision: -1}
}

// Loaded tells whether the dataset was read or heard at all.
func (d *Dataset) Loaded() bool { return d.storeRevision >= 0 }

// NextRead returns when this daemon should read the store: a while after the entries
// were last true, each daemon by another while, so that one of them reads first
// and spares the others.
func (d *Dataset) NextRead() time.Time { return d.nextRead }

const (
	// maxJitterPeriods times the period is the longest random part of the wait for a read.
	maxJitterPeriods = 2
	// uniformReaders is how many daemons may draw that part evenly: of so many, hardly two
	// read before one has heard the other's news.
	uniformReaders = 8
)

// SetReaders tells how many daemons read the kind. Of many, fewer draw a short wait, so
// that the news of the first one reaches the others before they read.
func (d *Dataset) SetReaders(n int) {
	d.skew = max(1, math.Log(float64(max(1, n)))/math.Log(uniformReaders))
}

// drawJitter draws the random part of the wait for a read.
func (d *Dataset) drawJitter() time.Duration {
	return time.Duration(math.Pow(d.random.Float64(), 1/d.skew) * float64(maxJitterPeriods*d.period))
}

func (d *Dataset) markFresh(at time.Time) {
	if at.Before(d.freshAt) {
		return
	}
	d.freshAt = at
	d.nextRead = at.Add(d.period + d.drawJitter())
}

// ApplyRead takes an own read that was sent at asked, and returns what changed and what
// to tell the peers. A read that is older than what is held changes nothing.
func (d *Dataset) ApplyRead(sentAt time.Time, objects []objectstore.Object, storeRevision int64) (Change, Update) {
	if storeRevision < d.storeRevision {
		return Change{}, Update{Kind: d.kind, StoreRevision: d.storeRevision, Checksum: d.checksum}
	}
	storeEntries := make([]Entry, len(objects))
	checksum := uint64(0) // of what the store holds; newer entries may be held here
	for i, o := range objects {
		storeEntries[i] = Entry{Name: o.Name, Revision: o.Revision, Value: o.Value}
		checksum ^= storeEntries[i].hash()
	}
	c := d.replace(storeEntries, storeRevision)
	d.storeRevision = storeRevision
	d.markFresh(sentAt)
	return c, Update{Kind: d.kind, StoreRevision: storeRevision, Checksum: checksum, Changed: c.Changed, Removed: c.Removed}
}

// ApplyUpdate takes the news of a peer and returns what changed. News may come in any order
// and may be missed: what it tells of each entry is taken where it is newer than what
// is held, and the dataset counts as true, which spares an own read, once its sum is
// the one of the newest news. Until then an own read is due as before; late news may
// bring back an entry until it that was removed meanwhile.
func (d *Dataset) ApplyUpdate(now time.Time, u Update) Change {
	if u.StoreRevision < d.storeRevision {
		return Change{}
	}
	var c Change
	for _, e := range u.Changed {
		if d.put(e) {
			c.Changed = append(c.Changed, e)
		}
	}
	for _, name := range u.Removed {
		if existing, ok := d.entries[name]; ok && existing.Revision <= u.StoreRevision {
			d.remove(name)
			c.Removed = append(c.Removed, name)
		}
	}
	if u.StoreRevision >= d.latest.storeRevision {
		d.latest = announcedState{storeRevision: u.StoreRevision, checksum: u.Checksum, freshAt: now.Add(-u.Age)}
	}
	if d.checksum == d.latest.checksum {
		d.storeRevision = d.latest.storeRevision
		d.markFresh(d.latest.freshAt)
	}
	return c
}

// announcedState is what news says of the whole dataset.
type announcedState struct {
	storeRevision int64
	checksum      uint64
	freshAt       time.Time
}

// put takes an entry unless one that is as new is held.
func (d *Dataset) put(e Entry) bool {
	existing, ok := d.entries[e.Name]
	if ok && existing.Revision >= e.Revision {
		return false
	}
	if ok {
		d.checksum ^= existing.hash()
	}
	d.checksum ^= e.hash()
	d.entries[e.Name] = e
	return true
}

func (d *Dataset) remove(name string) {
	d.checksum ^= d.entries[name].hash()
	delete(d.entries, name)
}

// Query returns the question for a peer's dataset.
func (d *Dataset) Query() Query { return Query{Kind: d.kind, Checksum: d.checksum} }

// ApplySnapshot takes the whole dataset of a peer.
func (d *Dataset) ApplySnapshot(now time.Time, s Snapshot) Change {
	if s.StoreRevision < d.storeRevision || s.Unchanged && s.Checksum != d.checksum {
		return Change{}
	}
	var c Change
	if !s.Unchanged {
		c = d.replace(s.Entries, s.StoreRevision)
	}
	d.storeRevision = s.StoreRevision
	d.markFresh(now.Add(-s.Age))
	return c
}

// Snapshot returns the dataset for a peer that holds entries of a sum.
func (d *Dataset) Snapshot(now time.Time, peerChecksum uint64) Snapshot {
	s := Snapshot{Kind: d.kind, StoreRevision: d.storeRevision, Age: now.Sub(d.freshAt), Checksum: d.checksum, Unchanged: peerChecksum == d.checksum}
	if s.Unchanged {
		return s
	}
	for _, name := range d.names() {
		s.Entries = append(s.Entries, d.entries[name])
	}
	return s
}

// replace takes found for the whole dataset as it was at a revision of the store.
// Entries that are newer stay.
func (d *Dataset) replace(storeEntries []Entry, storeRevision int64) Change {
	var c Change
	present := make(map[string]bool, len(storeEntries))
	for _, e := range storeEntries {
		present[e.Name] = true
		if d.put(e) {
			c.Changed = append(c.Changed, e)
		}
	}
	for _, name := range d.names() {
		if !present[name] && d.entries[name].Revision <= storeRevision {
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
