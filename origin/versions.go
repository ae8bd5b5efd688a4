package origin

import (
	"slices"
	"time"
)

// Timing of Versions. Both are long against the seconds by which the clocks of daemons
// may differ.
const (
	// VersionRetention is how long after the last note a version may have begun streams
	// that callers still take up.
	VersionRetention = 10 * time.Minute
	// renewInterval is the age at which the note of a version in use is renewed.
	renewInterval = 4 * time.Minute
)

// Versions holds the software versions at which streams of a service began lately, by
// version, with the time of their latest note. It is stored, and outlives a restart of
// all daemons.
type Versions map[string]time.Time

// Fresh reports whether a version is noted and its note needs no renewal.
func (v Versions) Fresh(now time.Time, version string) bool {
	noted, ok := v[version]
	return ok && now.Sub(noted) < renewInterval
}

// Note adds or renews a version and drops those that are out of use.
func (v Versions) Note(now time.Time, version string) {
	v[version] = now
	v.expire(now)
}

// expire drops the versions that are out of use.
func (v Versions) expire(now time.Time) {
	for version, noted := range v {
		if now.Sub(noted) > VersionRetention {
			delete(v, version)
		}
	}
}

// Merge adds the versions of other that are not out of use and that v lacks, or whose note
// in v needs a renewal by that in other. It reports whether v has changed.
func (v Versions) Merge(now time.Time, other Versions) (changed bool) {
	for version, noted := range other {
		if now.Sub(noted) > VersionRetention {
			continue
		}
		if old, ok := v[version]; !ok || noted.Sub(old) >= renewInterval {
			v[version], changed = noted, true
		}
	}
	v.expire(now)
	return changed
}

// Recent returns the versions that are not out of use, sorted.
func (v Versions) Recent(now time.Time) []string {
	var out []string
	for version, noted := range v {
		if now.Sub(noted) <= VersionRetention {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}
