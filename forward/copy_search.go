package forward

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// copySearchInterval is the time after a search for a copy's target without a result in which
// other streams of the service that need as much memory don't search. A search takes 0.7 us for
// each target of the service: with 10,000 targets, five searches a second take 0.035 of a core. A few
// more are made where streams need less memory than the latest one that found none.
const copySearchInterval = 200 * time.Millisecond

// minSharedTargets is the size of a service from which the targets that a stream excludes are too few to
// matter to the searches of others. In a smaller one a search takes at most 0.2 ms.
const minSharedTargets = 300

// copySearch is what a search for the target of a copy depends on, besides the memory.
type copySearch struct {
	service, version string
	place            string // of the run
	replaces         bool   // there is a copy already, so that only another place is better
	excluded         string // targets, in a service of less than minSharedTargets
}

// joinIDs returns a value that is equal for equal sets of target ids.
func joinIDs(sets ...map[string]bool) string {
	var ids []string
	for _, set := range sets {
		ids = slices.AppendSeq(ids, maps.Keys(set))
	}
	slices.Sort(ids)
	return strings.Join(slices.Compact(ids), " ")
}

// copySearches holds the latest searches without a result. The zero value is ready for use. It is
// safe for concurrent use.
type copySearches struct {
	mu     sync.Mutex
	failed map[copySearch]failedSearch
}

// failedSearch is a search that found no target with memory for so many tokens.
type failedSearch struct {
	at     time.Time
	tokens int
}

// isFutile reports whether the same search for as much memory has just failed.
func (c *copySearches) isFutile(now time.Time, search copySearch, tokens int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	f, ok := c.failed[search]
	return ok && now.Sub(f.at) < copySearchInterval && tokens >= f.tokens
}

// record records a search that failed.
func (c *copySearches) record(now time.Time, search copySearch, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.failed, func(_ copySearch, f failedSearch) bool { return now.Sub(f.at) >= copySearchInterval })
	if c.failed == nil {
		c.failed = make(map[copySearch]failedSearch)
	}
	if f, ok := c.failed[search]; !ok || tokens < f.tokens {
		c.failed[search] = failedSearch{now, tokens}
	}
}
