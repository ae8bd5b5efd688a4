package exchange

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// MemberReport is what a daemon reports about itself, as reporters pass it on.
type MemberReport struct {
	ID          string             `msgpack:"i"`
	Incarnation uint64             `msgpack:"n"`
	Sequence    uint64             `msgpack:"s"` // of the reports of the incarnation
	Body        msgpack.RawMessage `msgpack:"b"` // not decoded by reporters
}

// Digest is what a reporter passes on of the daemons that it heard since its last digest.
type Digest struct {
	Reports []MemberReport `msgpack:"r,omitempty"` // those that changed, or were not passed on for a while
	// Alive has aliveKeySize bytes for each other daemon that was heard: a hash of its id and
	// incarnation.
	Alive []byte `msgpack:"a,omitempty"`
}

// Empty reports whether the digest says nothing.
func (d Digest) Empty() bool { return len(d.Reports) == 0 && len(d.Alive) == 0 }

// Size returns the size of the digest's contents in bytes.
func (d Digest) Size() int {
	size := len(d.Alive)
	for _, r := range d.Reports {
		size += len(r.ID) + len(r.Body)
	}
	return size
}

const aliveKeySize = 4

// aliveKey stands for an incarnation of a daemon in Digest.Alive. Two of a thousand daemons
// have the same key with a probability of 1 to 8,000; one of them may then count as live
// after its end.
type aliveKey [aliveKeySize]byte

func newAliveKey(id string, incarnation uint64) (key aliveKey) {
	sum := xxhash.Sum64String(strconv.FormatUint(incarnation, 36) + "/" + id)
	binary.BigEndian.PutUint32(key[:], uint32(sum))
	return key
}

// fullDigestPeriod is the number of digests in which each report is passed on once though
// it has not changed, for those that missed it.
const fullDigestPeriod = 32

// DigestBuilder collects the reports that a reporter passes on. It is not safe for
// concurrent use.
type DigestBuilder struct {
	reports map[string]*relayedReport // by daemon
	alive   map[aliveKey]bool         // heard since the last digest; whether in this place
	digests int                       // that were built
}

// relayedReport is the latest report of a daemon.
type relayedReport struct {
	MemberReport
	key     aliveKey
	own     bool      // the daemon is of the reporter's place
	primary bool      // the daemon takes this reporter for the primary one
	at      time.Time // when the daemon was heard
	changed bool      // since it was last passed on
	passed  int       // number of the digest that last passed it on
}

// NewDigestBuilder returns an empty builder.
func NewDigestBuilder() *DigestBuilder {
	return &DigestBuilder{reports: make(map[string]*relayedReport), alive: make(map[aliveKey]bool)}
}

// AddOwn adds the report of a daemon of the reporter's place. primary means that the daemon
// takes this reporter for the primary one. started reports whether the incarnation is new.
func (b *DigestBuilder) AddOwn(now time.Time, r MemberReport, primary bool) (started bool) {
	return b.add(now, r, true, primary)
}

// AddRemote adds the digest of a reporter of another place. primary means that this daemon
// is the primary reporter of its own place.
func (b *DigestBuilder) AddRemote(now time.Time, d Digest, primary bool) {
	for _, r := range d.Reports {
		b.add(now, r, false, primary)
	}
	for keys := d.Alive; len(keys) >= aliveKeySize; keys = keys[aliveKeySize:] {
		if key := aliveKey(keys[:aliveKeySize]); !b.alive[key] {
			b.alive[key] = false
		}
	}
}

func (b *DigestBuilder) add(now time.Time, r MemberReport, own, primary bool) (started bool) {
	known := b.reports[r.ID]
	switch {
	case known != nil && (known.Incarnation > r.Incarnation || known.Incarnation == r.Incarnation && known.Sequence > r.Sequence):
		return false
	case known == nil || known.Incarnation != r.Incarnation:
		started = true
		known = &relayedReport{key: newAliveKey(r.ID, r.Incarnation)}
		known.passed = b.digests - int(known.key[0])%fullDigestPeriod // spreads the reports over the digests
		b.reports[r.ID] = known
	}
	known.changed = known.changed || !bytes.Equal(known.Body, r.Body)
	known.MemberReport, known.own, known.primary, known.at = r, own, primary, now
	b.alive[known.key] = own
	return started
}

// Full returns a digest with all reports, for a daemon that has just started or missed some.
func (b *DigestBuilder) Full(now time.Time) (full Digest) {
	for _, r := range b.reports {
		if now.Sub(r.at) < relayedSilenceTimeout {
			full.Reports = append(full.Reports, r.MemberReport)
		}
	}
	return full
}

// maxReportAge is how long the report of a daemon that is no longer heard is kept, as one that
// was cut off may be heard again.
const maxReportAge = time.Minute

// Next returns the digests of what was heard since the last call: for the reporter's place,
// and for the reporters of the other places. Only the primary reporter passes on changed
// reports at once; the other one shows who is live.
func (b *DigestBuilder) Next(now time.Time) (place, remote Digest) {
	b.digests++
	for id, r := range b.reports {
		if now.Sub(r.at) >= maxReportAge {
			delete(b.reports, id)
			continue
		}
		_, heard := b.alive[r.key]
		if heard {
			r.at = now
		}
		if !heard || b.digests-r.passed < fullDigestPeriod && !(r.primary && r.changed) {
			continue
		}
		r.changed, r.passed = false, b.digests
		delete(b.alive, r.key)
		place.Reports = append(place.Reports, r.MemberReport)
		if r.own {
			remote.Reports = append(remote.Reports, r.MemberReport)
		}
	}
	for key, own := range b.alive {
		place.Alive = append(place.Alive, key[:]...)
		if own {
			remote.Alive = append(remote.Alive, key[:]...)
		}
	}
	clear(b.alive)
	return place, remote
}

// DigestReader reads digests. It is not safe for concurrent use.
type DigestReader struct {
	known    map[aliveKey]MemberReport // without bodies
	byDaemon map[string]aliveKey
}

// NewDigestReader returns a reader that knows no daemon.
func NewDigestReader() *DigestReader {
	return &DigestReader{known: make(map[aliveKey]MemberReport), byDaemon: make(map[string]aliveKey)}
}

// Read returns the reports in a digest that are news, and the daemons, without the bodies of
// their reports, that were heard besides. complete is false if it doesn't know the reports of
// all daemons that were heard; Full at the sender has them.
func (d *DigestReader) Read(digest Digest) (news, alive []MemberReport, complete bool) {
	complete = true
	for _, r := range digest.Reports {
		key := newAliveKey(r.ID, r.Incarnation)
		if last, ok := d.known[d.byDaemon[r.ID]]; ok && last.ID == r.ID {
			switch {
			case last.Incarnation > r.Incarnation:
				continue
			case last.Incarnation == r.Incarnation && last.Sequence >= r.Sequence:
				if last.Sequence == r.Sequence {
					alive = append(alive, last)
				}
				continue
			}
			if last.Incarnation != r.Incarnation {
				delete(d.known, d.byDaemon[r.ID])
			}
		}
		d.byDaemon[r.ID] = key
		d.known[key] = MemberReport{ID: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence}
		news = append(news, r)
	}
	for keys := digest.Alive; len(keys) >= aliveKeySize; keys = keys[aliveKeySize:] {
		r, ok := d.known[aliveKey(keys[:aliveKeySize])]
		if ok {
			alive = append(alive, r)
		}
		complete = complete && ok
	}
	return news, alive, complete
}

// Drop makes the next report of a daemon count as news.
func (d *DigestReader) Drop(id string) {
	delete(d.known, d.byDaemon[id])
	delete(d.byDaemon, id)
}

// Forget drops the daemons for whose ids keep returns false.
func (d *DigestReader) Forget(keep func(id string) bool) {
	for id := range d.byDaemon {
		if !keep(id) {
			d.Drop(id)
		}
	}
}
