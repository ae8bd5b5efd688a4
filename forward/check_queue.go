package forward

import (
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// checkQueue decides which checks, probes that no stream waits for, are in flight. It reads no clock and is not safe for concurrent use.
type checkQueue struct {
	limit    int
	inFlight int
	due      []dueCheck // the longest wait first
	queued   map[string]bool
}

// dueCheck is a check that waits for others to end.
type dueCheck struct {
	target fleet.Target
	at     time.Time // when it became due
}

// newCheckQueue returns a queue that lets limit checks be in flight at a time.
func newCheckQueue(limit int) checkQueue {
	return checkQueue{limit: limit, queued: make(map[string]bool)}
}

// add adds a check. It returns true if the check is in flight now, and false if next returns
// it later. A target waits at most once.
func (q *checkQueue) add(now time.Time, t fleet.Target) bool {
	switch {
	case q.inFlight < q.limit:
		q.inFlight++
		return true
	case !q.queued[t.ID]:
		q.queued[t.ID] = true
		q.due = append(q.due, dueCheck{t, now})
	}
	return false
}

// next returns the check to make in the place of one that has ended, or false if none is due.
func (q *checkQueue) next() (dueCheck, bool) {
	if len(q.due) == 0 {
		q.inFlight--
		return dueCheck{}, false
	}
	c := q.due[0]
	q.due = q.due[1:]
	delete(q.queued, c.target.ID)
	return c, true
}
