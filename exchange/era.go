package exchange

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// A store that was restored from an older copy begins a new era. Revisions of different
// eras are not comparable: the same revision may belong to another value. So a dataset
// holds entries of one era, and the first read or snapshot of the next era replaces them.

// expectedEra is an era that was read elsewhere.
type expectedEra struct {
	era int64
	at  time.Time // when this daemon heard of it
}

// empty reports whether nothing was read or received yet.
func (d *Dataset) empty() bool { return !d.Loaded() && len(d.entries) == 0 }

// ExpectsEra reports whether a newer era was read elsewhere, and the next read was brought
// forward for it.
func (d *Dataset) ExpectsEra() bool { return d.expected.era > d.era }

// ExpectEra brings the next read forward because a peer, or this daemon in another kind, has
// read a newer era. The delay is random, so that the daemons that hear of it don't all read
// at once.
func (d *Dataset) ExpectEra(now time.Time, era int64) {
	if era <= max(d.era, d.expected.era) {
		return
	}
	d.expected = expectedEra{era, now}
	if soon := now.Add(time.Duration(d.random.Float64() * float64(d.period))); soon.Before(d.nextRead) {
		d.nextRead = soon
	}
}

// checkExpected forgets the newer era that was read elsewhere if a later read of this daemon,
// sent at sentAt, returned an older one.
func (d *Dataset) checkExpected(sentAt time.Time, era int64) {
	if era < d.expected.era && sentAt.After(d.expected.at) {
		d.expected = expectedEra{}
	}
}

// beginEra replaces the dataset by the complete entries at a position of a newer era and
// returns the change.
func (d *Dataset) beginEra(storeEntries []Entry, at objectstore.Position) Change {
	c := Change{NewEra: !d.empty()}
	previous := d.entries
	d.era, d.storeRevision = at.Era, at.Revision
	d.entries, d.checksum = make(map[string]Entry, len(storeEntries)), 0
	d.announced, d.own, d.latest = make(map[string]int64), ownAnnouncement{}, announcedState{}
	for _, e := range storeEntries {
		d.put(e)
		if old, ok := previous[e.Name]; !ok || !old.sameContent(e) {
			c.Changed = append(c.Changed, e)
		}
	}
	for name := range previous {
		if _, ok := d.entries[name]; !ok {
			c.Removed = append(c.Removed, name)
		}
	}
	sort.Slice(c.Changed, func(i, j int) bool { return c.Changed[i].Name < c.Changed[j].Name })
	sort.Strings(c.Removed)
	return c
}
