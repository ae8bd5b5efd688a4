package forward

import (
	"maps"
	"sync"
	"time"
)

// lateTargetTTL is how long a target counts as late after a run there was overdue. It is as long as a
// stream stays at a target that lets it wait.
const lateTargetTTL = longestSilence

// lateTargets knows the targets at which the latest run, of those that this daemon has sent while it
// stops, did not begin in time. The zero value is ready for use. It is safe for concurrent use.
type lateTargets struct {
	mu sync.Mutex
	at map[string]time.Time // when a run was overdue, by target id
}

// record records that a run at a target is overdue.
func (l *lateTargets) record(now time.Time, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = make(map[string]time.Time)
	}
	l.at[id] = now
}

// forget records that a run at a target has begun.
func (l *lateTargets) forget(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.at, id)
}

// addTo returns a set of target ids with those that are late.
func (l *lateTargets) addTo(now time.Time, ids map[string]bool) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.at, func(_ string, at time.Time) bool { return now.Sub(at) >= lateTargetTTL })
	if len(l.at) == 0 {
		return ids
	}
	out := make(map[string]bool, len(ids)+len(l.at))
	maps.Copy(out, ids)
	for id := range l.at {
		out[id] = true
	}
	return out
}
