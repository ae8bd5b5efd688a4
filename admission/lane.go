package admission

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// deprioritizedSearches is the number of searches for which a flow ranks after the
// other flows of its lane. The count starts at a search that could grant none of the
// flow's first maxHeadTries tickets.
const deprioritizedSearches = 64

// class is the priority class of a queued ticket. Lower values go first.
type class int

// Priority classes.
const (
	urgentClass class = iota
	retryClass
	normalClass
	batchClass
	numClasses
)

func (t *Ticket) urgent() bool { return t.Priority >= target.Urgent }

func (t *Ticket) class() class {
	switch {
	case t.urgent():
		return urgentClass
	case t.Priority == target.Batch && !t.Retry:
		return batchClass
	}
	return normalClass
}

// waiter is a queued ticket.
type waiter struct {
	Ticket
	class      class
	arrivedAt  time.Time // when the ticket arrived at this daemon
	classSince time.Time // when the ticket entered its class
}

// flow holds the queued tickets of one workspace in one lane. It also counts the
// permits that the workspace holds there.
type flow struct {
	workspace string
	weight    int
	inFlight  int
	lastGrant uint64 // value of lane.grants after the last grant of this flow
	// failedSearch is the number (see lane.searches) of the last search in which none of
	// this flow's first maxHeadTries tickets could be granted; 0 if there was none.
	failedSearch uint64
	queues       [numClasses][]*waiter
	queued       int
}

// weightedLoad returns the flow's permits in use divided by its weight.
func (f *flow) weightedLoad() float64 { return float64(f.inFlight) / float64(max(1, f.weight)) }

// lane holds the queued tickets that compete for one set of targets.
type lane struct {
	targets        []string
	flows          map[string]*flow
	queued         [numClasses]int // queued tickets by class
	total          int             // queued tickets of all classes
	lastUsable     int             // usable permits at the last tick
	grants         uint64          // number of grants so far
	searches       uint64          // number of searches for a ticket to grant so far
	delayedRetries int             // queued retries over the retry budget
	urgentStreak   int             // consecutive urgent grants while tickets of other classes waited
	hold           holdTime
}

func newLane() *lane { return &lane{flows: make(map[string]*flow)} }

func (l *lane) flow(t *Ticket) *flow {
	f := l.flows[t.Workspace]
	if f == nil {
		f = &flow{workspace: t.Workspace}
		l.flows[t.Workspace] = f
	}
	f.weight = t.Weight
	return f
}

func (l *lane) push(w *waiter) {
	f := l.flow(&w.Ticket)
	f.queues[w.class] = append(f.queues[w.class], w)
	f.queued++
	l.queued[w.class]++
	l.total++
	if w.Retry && w.class == normalClass {
		l.delayedRetries++
	}
}

func (l *lane) remove(w *waiter) {
	f := l.flows[w.Workspace]
	q := f.queues[w.class]
	for i, o := range q {
		if o == w {
			copy(q[i:], q[i+1:])
			q[len(q)-1] = nil
			f.queues[w.class] = q[:len(q)-1]
			f.queued--
			l.queued[w.class]--
			l.total--
			if w.Retry && w.class == normalClass {
				l.delayedRetries--
			}
			break
		}
	}
	l.removeIfUnused(f)
}

func (l *lane) removeIfUnused(f *flow) {
	if f.queued == 0 && f.inFlight == 0 {
		delete(l.flows, f.workspace)
	}
}

// waitingFlows returns the flows with queued tickets of a class, sorted by
// workspace.
func (l *lane) waitingFlows(c class) []*flow {
	out := make([]*flow, 0, len(l.flows))
	for _, f := range l.flows {
		if len(f.queues[c]) > 0 {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].workspace < out[j].workspace })
	return out
}

// nextFlow returns the flow to serve next in a class: the one with the lowest
// weighted load, then the least recently served one. It skips flows that failed
// in the current search and prefers flows that did not fail recently. It returns
// nil if no flow is left.
func (l *lane) nextFlow(c class) *flow {
	var best *flow
	for _, f := range l.flows {
		if len(f.queues[c]) == 0 || f.failedSearch == l.searches {
			continue
		}
		if best == nil || l.precedes(f, best) {
			best = f
		}
	}
	return best
}

// precedes reports whether flow f is served before o.
func (l *lane) precedes(f, o *flow) bool {
	if a, b := l.deprioritized(f), l.deprioritized(o); a != b {
		return b
	}
	return f.servedBefore(o)
}

// deprioritized reports whether a flow failed in a recent search.
func (l *lane) deprioritized(f *flow) bool {
	return f.failedSearch > 0 && l.searches-f.failedSearch < deprioritizedSearches
}

// servedBefore reports whether f is served before o by weighted load and last grant.
// It ignores failed searches, which precedes compares first.
func (f *flow) servedBefore(o *flow) bool {
	if a, b := f.weightedLoad(), o.weightedLoad(); a != b {
		return a < b
	}
	if f.lastGrant != o.lastGrant {
		return f.lastGrant < o.lastGrant
	}
	return f.workspace < o.workspace
}

// ticketsAhead returns the expected number of tickets of the lane that are granted
// before ticket t of class c. own is the number of tickets of the same workspace
// and class that are queued before t.
func (l *lane) ticketsAhead(t *Ticket, c class, own int) int {
	var count int
	for i := urgentClass; i < c; i++ {
		count += l.queued[i]
	}
	turns := float64(own+1) / float64(max(1, t.Weight))
	for _, f := range l.flows {
		if f.workspace != t.Workspace {
			count += min(len(f.queues[c]), int(turns*float64(max(1, f.weight))+0.5))
		}
	}
	return count + own
}

// promoteAged promotes tickets that have waited in their class for the time step.
// Batch tickets become normal ones. Retries over the retry budget join the retries
// within it. No ticket is promoted to the urgent class, which is only for tickets of
// urgent priority.
func (l *lane) promoteAged(now time.Time, step time.Duration) {
	for _, c := range []class{normalClass, batchClass} {
		if l.queued[c] == 0 || (c == normalClass && l.delayedRetries == 0) {
			continue
		}
		for _, f := range l.waitingFlows(c) {
			for _, w := range f.agedTickets(now, c, step) {
				l.remove(w)
				w.class, w.classSince = c-1, now
				l.push(w)
			}
		}
	}
}

// agedTickets returns the tickets of a flow in class c to promote. In the normal
// class these are retries only. The queue of a class is sorted by the time at which
// the tickets entered the class.
func (f *flow) agedTickets(now time.Time, c class, step time.Duration) []*waiter {
	var out []*waiter
	for _, w := range f.queues[c] {
		if now.Sub(w.classSince) < step {
			break
		}
		if c != normalClass || w.Retry {
			out = append(out, w)
		}
	}
	return out
}
