package exchange

import (
	"bytes"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Entry is one object of a dataset.
type Entry struct {
	Name     string `msgpack:"n"`
	Revision int64  `msgpack:"r"` // revision of the store at the object's last change
	Value    []byte `msgpack:"v"`
	// Status and Created are those of objects with a status, see objectstore.Object.
	Status  []byte `msgpack:"s,omitempty"`
	Created int64  `msgpack:"c,omitempty"`
}

// sameContent reports whether two entries hold the same, under whatever revision.
func (e Entry) sameContent(other Entry) bool {
	return bytes.Equal(e.Value, other.Value) && bytes.Equal(e.Status, other.Status) && e.Created == other.Created
}

// Update is the message in which a daemon that has read the store reports the changes
// to its peers. If the values are large, it only announces the changed entries, and their
// values follow in a second update.
type Update struct {
	Kind          string        `msgpack:"k"`
	Era           int64         `msgpack:"e,omitempty"` // of the store at the read; older builds don't send it
	StoreRevision int64         `msgpack:"a"`           // revision of the store at the read
	Age           time.Duration `msgpack:"g"`           // time since the read was sent
	Checksum      uint64        `msgpack:"s"`           // of all entries after the changes
	Changed       Entries       `msgpack:"c,omitempty"`
	Removed       []string      `msgpack:"d,omitempty"`

	Announced map[string]int64 `msgpack:"v,omitempty"` // revisions, by name, of changed entries whose values follow
	Rank      uint64           `msgpack:"w,omitempty"` // of the announcement; of several daemons, the one with the lowest sends the values
}

// Query requests a peer's snapshot of a dataset.
type Query struct {
	Kind     string `msgpack:"k"`
	Era      int64  `msgpack:"e,omitempty"` // of the requester's entries
	Checksum uint64 `msgpack:"s"`           // of the requester's entries
}

// Snapshot is the complete state of a peer's dataset.
type Snapshot struct {
	Kind          string        `msgpack:"k"`
	Era           int64         `msgpack:"o,omitempty"` // of the entries; older builds don't send it
	StoreRevision int64         `msgpack:"a"`           // revision of the store that the entries match
	Age           time.Duration `msgpack:"g"`           // time since the entries were last known to match the store
	Checksum      uint64        `msgpack:"s"`           // of all entries
	Unchanged     bool          `msgpack:"m,omitempty"` // the requester has the same entries; Entries is empty
	Entries       Entries       `msgpack:"e,omitempty"`
}

// position returns the position of the store at the read.
func (u Update) position() objectstore.Position {
	return objectstore.Position{Era: u.Era, Revision: u.StoreRevision}
}

// position returns the position of the store that the entries match.
func (s Snapshot) position() objectstore.Position {
	return objectstore.Position{Era: s.Era, Revision: s.StoreRevision}
}

// ValueBytes returns the total size of the values that the update contains.
func (u Update) ValueBytes() int { return u.Changed.valueBytes() }

// Change is the difference that an operation made to a dataset.
type Change struct {
	Changed Entries
	Removed []string
	// NewEra reports whether the store was restored from an older copy. Entries that are
	// changed or removed may then be older than before, until their writers repeat what
	// was lost.
	NewEra bool
}

// ValueBytes returns the total size of the changed values.
func (c Change) ValueBytes() int { return c.Changed.valueBytes() }

// Empty reports whether nothing changed.
func (c Change) Empty() bool { return len(c.Changed) == 0 && len(c.Removed) == 0 && !c.NewEra }

// hash returns the hash of the entry's name and revision, which is part of a dataset's
// checksum. Checksums of different eras are not comparable.
func (e Entry) hash() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(e.Name), uint64(e.Revision)))
}
