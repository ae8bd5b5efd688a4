package exchange

import "time"

// Announcement of large values. When several daemons find the same change, each announces
// it, and only the one whose announcement has the lowest rank sends the values. So the
// number of copies that a daemon receives doesn't depend on how long a copy takes.
const (
	// announceAbove is the size of the changed values, in bytes, above which they are
	// announced.
	announceAbove = 2 << 10
	// AnnounceDelay is the time from an announcement to its values, in which the
	// announcements of other readers arrive.
	AnnounceDelay = 100 * time.Millisecond
)

// ownAnnouncement is an announcement of this daemon whose values are not sent yet.
type ownAnnouncement struct {
	update Update           // with values
	rank   uint64           // of the announcement
	leftTo map[string]int64 // revisions, by name, whose values a peer with a lower rank sends
}

// announce returns the message to send now for an update with values: the update itself,
// or its announcement if the values are large.
func (d *Dataset) announce(u Update) Update {
	if u.ValueBytes() <= announceAbove {
		return u
	}
	d.own = ownAnnouncement{update: u, rank: d.random.Uint64(), leftTo: make(map[string]int64)}
	announcement := u
	announcement.Changed, announcement.Announced, announcement.Rank = nil, make(map[string]int64), d.own.rank
	for _, e := range u.Changed {
		announcement.Announced[e.Name] = e.Revision
	}
	return announcement
}

// noteAnnounced records the announcement that an update of a peer contains.
func (d *Dataset) noteAnnounced(u Update) {
	for name, revision := range u.Announced {
		if revision > max(d.entries[name].Revision, d.announced[name]) {
			d.announced[name] = revision
		}
		if u.Rank < d.own.rank {
			d.own.leftTo[name] = max(d.own.leftTo[name], revision)
		}
	}
}

// AnnouncedValues returns the update with the values that this daemon announced last,
// and false if peers send all of them or there are none. The caller sets its Age.
func (d *Dataset) AnnouncedValues() (Update, bool) {
	u := d.own.update
	u.Changed = nil
	for _, e := range d.own.update.Changed {
		if d.own.leftTo[e.Name] < e.Revision {
			u.Changed = append(u.Changed, e)
		}
	}
	d.own = ownAnnouncement{}
	return u, len(u.Changed) > 0
}
