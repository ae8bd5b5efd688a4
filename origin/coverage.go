package origin

import "time"

// Coverage states up to which era of the store its notes of software versions are complete.
// A store that was restored from an older copy has lost the versions that were noted after
// the copy was made, so a version that is missing in a new era may still have begun streams.
// It is stored, and outlives a restart of all daemons.
type Coverage struct {
	Era int64 `json:"era"`
	// Complete means that a daemon which knows all versions has noted them in the era.
	Complete bool `json:"complete"`
	// Since is when the first daemon noted its versions in the era.
	Since time.Time `json:"since"`
}

// Covers reports whether no version that may have begun streams is missing in the notes that
// were read in an era. A store that states no era was never restored.
func (c Coverage) Covers(now time.Time, era int64) bool {
	return era == 0 || c.Era == era && (c.Complete || now.Sub(c.Since) > VersionRetention)
}
