package gateway

import (
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// repeatLogInterval is the minimum time between two log lines about repeated entries of
// one kind.
const repeatLogInterval = time.Second

// repeatCounter counts entries of one kind that arrive although the daemon has them, and
// logs the counts. It is not safe for concurrent use.
type repeatCounter struct {
	kind     string
	events   *event.Recorder
	entries  int
	bytes    int
	loggedAt time.Time
}

// add counts repeated entries and their bytes, and logs the counts since the last line
// if that line is older than repeatLogInterval.
func (r *repeatCounter) add(now time.Time, entries, bytes int) {
	r.entries, r.bytes = r.entries+entries, r.bytes+bytes
	if r.entries == 0 || now.Sub(r.loggedAt) < repeatLogInterval {
		return
	}
	r.events.Record(event.ChangesRepeated, "", event.F("kind", r.kind), event.F("entries", strconv.Itoa(r.entries)), event.F("bytes", strconv.Itoa(r.bytes)))
	r.entries, r.bytes, r.loggedAt = 0, 0, now
}
