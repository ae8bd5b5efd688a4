package origin

import "time"

// storedRetention is how long a record is kept in the store. It covers the time that a
// caller has for a request, and a difference of clocks.
const storedRetention = time.Minute

// obsoleteAfter is the age of its latest record at which stored records are of no more use.
const obsoleteAfter = 10 * time.Minute

// StoredRecord is a record with the time when the stream began.
type StoredRecord struct {
	RequestID       string    `json:"id"`
	Service         string    `json:"service"`
	SoftwareVersion string    `json:"version"`
	BeganAt         time.Time `json:"at"`
}

// Record returns the record without its time.
func (r StoredRecord) Record() Record {
	return Record{r.RequestID, Origin{r.Service, r.SoftwareVersion}}
}

// StoredRecords are the records of the streams that one daemon served, oldest first, as it
// stores them.
type StoredRecords struct {
	Records []StoredRecord `json:"records"`
}

// Add adds a record of a stream that begins now and drops those that are too old.
func (s *StoredRecords) Add(now time.Time, r Record) {
	expired := 0
	for expired < len(s.Records) && now.Sub(s.Records[expired].BeganAt) > storedRetention {
		expired++
	}
	s.Records = append(s.Records[expired:], StoredRecord{r.RequestID, r.Service, r.SoftwareVersion, now})
}

// Prepend adds the records that a previous incarnation of the daemon stored.
func (s *StoredRecords) Prepend(now time.Time, earlier StoredRecords) {
	var kept []StoredRecord
	for _, r := range earlier.Records {
		if now.Sub(r.BeganAt) <= storedRetention {
			kept = append(kept, r)
		}
	}
	s.Records = append(kept, s.Records...)
}

// Obsolete reports whether no record is of use any more.
func (s *StoredRecords) Obsolete(now time.Time) bool {
	return len(s.Records) == 0 || now.Sub(s.Records[len(s.Records)-1].BeganAt) > obsoleteAfter
}
