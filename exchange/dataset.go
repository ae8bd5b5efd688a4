// Package exchange lets daemons share their reads of the platform's store. A Dataset
// holds the objects of one kind. The daemon whose next read is due first reads the
// store and sends the changes and the age of the read to its peers, which then postpone
// their own reads. The number of reads therefore does not grow with the number of
// daemons, and a daemon that can't reach the store gets the data from its peers.
//
// What takes long is agreed on before it begins, so that one daemon does it for all: a
// Claim precedes a slow read, and an announcement precedes large values.
//
// The package does no I/O and reads no clock: callers pass in times, results of reads
// and messages, and get back changes and the messages to send.
package exchange

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Dataset is a daemon's replica of the store's objects of one kind. It is not safe for
// concurrent use.
type Dataset struct {
	kind          string
	period        time.Duration
	random        *rand.Rand
	skew          float64 // of the jitter's distribution: 1 is uniform, larger values make long delays more likely
	entries       map[string]Entry
	announced     map[string]int64 // newer revisions, by name, whose values a peer is about to send
	own           ownAnnouncement  // this daemon's last announcement
	checksum      uint64           // XOR of the entries' hashes
	latest        announcedState   // as reported by the update with the highest revision
	era           int64            // of the entries, see objectstore.Position
	storeRevision int64            // revision of the store at the last read or match; -1 before the first
	expected      expectedEra      // a newer era
	freshAt       time.Time        // when the entries were last known to match the store
	nextRead      time.Time        // when this daemon should read the store next
}

// NewDataset returns an empty dataset of a kind. period is the time between two reads
// of the kind, each by any one of the daemons. seed seeds the random delays of reads,
// which should differ between daemons.
func NewDataset(kind string, period time.Duration, seed uint64) *Dataset {
	return &Dataset{kind: kind, period: period, random: rand.New(rand.NewPCG(seed, seed)), skew: 1, entries: make(map[string]Entry), announced: make(map[string]int64), storeRevision: -1}
}

// Loaded reports whether the dataset has been read from the store or from a peer.
func (d *Dataset) Loaded() bool { return d.storeRevision >= 0 }

// Position returns the position of the store that the entries matched last; its revision
// is negative before the first read.
func (d *Dataset) Position() objectstore.Position {
	return objectstore.Position{Era: d.era, Revision: d.storeRevision}
}

// LastMatch returns when the entries were last known to match the store, or the zero
// time if they never were.
func (d *Dataset) LastMatch() time.Time { return d.freshAt }

// NextRead returns when this daemon should read the store. The delay begins when the
// entries were last known to match the store. It is random on each daemon, so that one
// daemon reads first and its update postpones the reads of the others.
func (d *Dataset) NextRead() time.Time { return d.nextRead }

const (
	// maxJitterPeriods is the maximum of the random part of the delay before a read, in
	// periods.
	maxJitterPeriods = 2
	// uniformReaders is the number of daemons up to which the random part is uniformly
	// distributed. With so few daemons, it is rare that a daemon reads the store before
	// it receives the update of another read.
	uniformReaders = 8
)

// SetReaders sets the number of daemons that read the kind. With more than
// uniformReaders daemons, short delays become less likely for each of them, so that the
// update of the first reader reaches the others before they read.
func (d *Dataset) SetReaders(n int) {
	d.skew = max(1, math.Log(float64(max(1, n)))/math.Log(uniformReaders))
}

// drawJitter draws the random part of the delay before a read.
func (d *Dataset) drawJitter() time.Duration {
	return time.Duration(math.Pow(d.random.Float64(), 1/d.skew) * float64(maxJitterPeriods*d.period))
}

// markFresh records that the entries matched the store at the given time and schedules
// the next read.
func (d *Dataset) markFresh(at time.Time) {
	if at.Before(d.freshAt) {
		return
	}
	d.freshAt = at
	next := at.Add(d.period + d.drawJitter())
	if d.ExpectsEra() && d.nextRead.Before(next) {
		return // the entries matched an older era
	}
	d.nextRead = next
}

// ApplyRead applies the objects and the position that a read of the store returned. The
// read was sent at sentAt. ApplyRead returns the change and the update to send to peers;
// the caller sets its Age. If the update announces values, the caller calls
// AnnouncedValues after AnnounceDelay. A read older than the dataset changes nothing.
//
// The update contains only what can be news to the peers: no entries that a peer has
// announced, and nothing after the first read, before which the dataset was empty, or
// after the first one of an era, whose differences are those to this daemon's entries
// only. Otherwise each of the daemons that read the store at the same time, or start,
// would send all values to all others.
func (d *Dataset) ApplyRead(sentAt time.Time, objects []objectstore.Object, at objectstore.Position) (Change, Update) {
	d.checkExpected(sentAt, at.Era)
	if at.Before(d.Position()) {
		return Change{}, Update{Kind: d.kind, Era: d.era, StoreRevision: d.storeRevision, Checksum: d.checksum}
	}
	storeEntries := make([]Entry, len(objects))
	checksum := uint64(0) // of the store's entries; the dataset may hold newer ones
	for i, o := range objects {
		storeEntries[i] = Entry{Name: o.Name, Revision: o.Revision, Value: o.Value, Status: o.Status, Created: o.Created}
		checksum ^= storeEntries[i].hash()
	}
	firstRead, announced := !d.Loaded() || at.Era > d.era, maps.Clone(d.announced)
	c := d.replace(storeEntries, at)
	d.markFresh(sentAt)
	u := Update{Kind: d.kind, Era: at.Era, StoreRevision: at.Revision, Checksum: checksum}
	if firstRead {
		return c, u
	}
	u.Removed = c.Removed
	for _, e := range c.Changed {
		if announced[e.Name] < e.Revision {
			u.Changed = append(u.Changed, e)
		}
	}
	return c, d.announce(u)
}

// ApplyUpdate applies the update of a peer, received at now, and returns the change.
// Updates may arrive in any order or not at all, so each entry is applied only if it is
// newer than the existing one. Once the dataset's checksum equals that of the update
// with the highest revision, the dataset matches the store and the next read is
// postponed. Until then, the next read is not postponed, and a delayed update may
// restore an entry that was removed in the meantime. An update of a newer era brings the
// next read forward; its entries are differences to others than this dataset's.
func (d *Dataset) ApplyUpdate(now time.Time, u Update) Change {
	switch {
	case u.Era > d.era && d.empty():
		d.era = u.Era
	case u.Era > d.era:
		d.ExpectEra(now, u.Era)
		return Change{}
	}
	if u.Era == d.era {
		d.noteAnnounced(u)
	}
	if u.position().Before(d.Position()) {
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

// announcedState is the state of the complete dataset according to an update.
type announcedState struct {
	storeRevision int64
	checksum      uint64
	freshAt       time.Time
}

// put stores an entry unless the existing one is as new or newer. It reports whether it
// stored the entry.
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
	if d.announced[e.Name] <= e.Revision {
		delete(d.announced, e.Name)
	}
	return true
}

func (d *Dataset) remove(name string) {
	d.checksum ^= d.entries[name].hash()
	delete(d.entries, name)
}

// Query returns the query for a peer's snapshot.
func (d *Dataset) Query() Query { return Query{Kind: d.kind, Era: d.era, Checksum: d.checksum} }

// ApplySnapshot applies a peer's snapshot, received at now, and returns the change. A
// snapshot older than the dataset changes nothing.
func (d *Dataset) ApplySnapshot(now time.Time, s Snapshot) Change {
	if s.position().Before(d.Position()) || s.Unchanged && (s.Era != d.era || s.Checksum != d.checksum) {
		return Change{}
	}
	var c Change
	if s.Unchanged {
		d.storeRevision = s.StoreRevision
	} else {
		c = d.replace(s.Entries, s.position())
	}
	d.markFresh(now.Add(-s.Age))
	return c
}

// Snapshot returns the snapshot for a peer's query. It contains no entries if the peer
// has the same.
func (d *Dataset) Snapshot(now time.Time, q Query) Snapshot {
	s := Snapshot{
		Kind: d.kind, Era: d.era, StoreRevision: d.storeRevision, Age: now.Sub(d.freshAt), Checksum: d.checksum,
		Unchanged: q.Era == d.era && q.Checksum == d.checksum,
	}
	if s.Unchanged {
		return s
	}
	for _, name := range d.names() {
		s.Entries = append(s.Entries, d.entries[name])
	}
	return s
}

// replace replaces the dataset by the complete entries at a position of the store, but
// keeps newer entries. It returns the change.
func (d *Dataset) replace(storeEntries []Entry, at objectstore.Position) Change {
	if at.Era > d.era {
		return d.beginEra(storeEntries, at)
	}
	d.storeRevision = at.Revision
	var c Change
	present := make(map[string]bool, len(storeEntries))
	for _, e := range storeEntries {
		present[e.Name] = true
		if d.put(e) {
			c.Changed = append(c.Changed, e)
		}
	}
	for _, name := range d.names() {
		if !present[name] && d.entries[name].Revision <= at.Revision {
			d.remove(name)
			c.Removed = append(c.Removed, name)
		}
	}
	maps.DeleteFunc(d.announced, func(name string, revision int64) bool { return !present[name] && revision <= at.Revision })
	sort.Slice(c.Changed, func(i, j int) bool { return c.Changed[i].Name < c.Changed[j].Name })
	return c
}

func (d *Dataset) names() []string {
	return slices.Sorted(maps.Keys(d.entries))
}
