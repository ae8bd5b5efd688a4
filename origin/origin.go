// Package origin records which software version of a service began each stream, so that
// a caller who takes a stream up at another daemon gets its continuation from a target of
// the same version.
//
// The package does no I/O and reads no clock: callers pass in times and records.
package origin

import "time"

// Origin is where a stream began.
type Origin struct {
	Service         string `msgpack:"s"`
	SoftwareVersion string `msgpack:"v"`
}

// Record is the origin of the stream that a request began or continued.
type Record struct {
	RequestID string `msgpack:"i"`
	Origin
}

// Bounds of a Ledger.
const (
	// retention is how long a record is kept. A caller takes a stream up within the time
	// that it has for the request, some tens of seconds.
	retention = 2 * time.Minute
	// maxRecords bounds the memory, at about 200 bytes a record.
	maxRecords = 20_000
)

// Ledger holds the origins of the latest streams by request id. It is not safe for
// concurrent use.
type Ledger struct {
	origins map[string]Origin
	order   []arrival // of the records, oldest first
}

type arrival struct {
	requestID string
	at        time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{origins: make(map[string]Origin)} }

// Add adds a record. It returns false if the request has one: a stream never changes its
// origin.
func (l *Ledger) Add(now time.Time, r Record) bool {
	l.expire(now)
	if _, known := l.origins[r.RequestID]; known {
		return false
	}
	l.origins[r.RequestID] = r.Origin
	l.order = append(l.order, arrival{r.RequestID, now})
	return true
}

// Find returns the origin of the stream of a request, and false if it is not known.
func (l *Ledger) Find(requestID string) (Origin, bool) {
	o, known := l.origins[requestID]
	return o, known
}

// expire drops the records that are too old or too many.
func (l *Ledger) expire(now time.Time) {
	for len(l.order) > 0 && (len(l.order) >= maxRecords || now.Sub(l.order[0].at) > retention) {
		delete(l.origins, l.order[0].requestID)
		l.order = l.order[1:]
	}
}
