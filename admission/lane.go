package admission

import (
	"sort"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// deprioritizedRounds is for how many searches a flow whose tickets found no target comes
// after the others.
const deprioritizedRounds = 64

// class orders waiting tickets; a smaller one goes first.
type class int

// Classes.
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

// queuedTicket is a ticket in a queue.
type queuedTicket struct {
	Ticket
	class      class
	arrivedAt  time.Time // at the daemon
	classSince time.Time // in its class
}

// flow is what one workspace has in one lane.
type flow struct {
	workspace   string
	weight      int
	inFlight    int
	lastGrant   uint64 // lane's count of grants at the last grant of this flow
	failedRound uint64 // lane's round in which nothing could be granted
	queues      [numClasses][]*queuedTicket
	queued      int
}

// weightedLoad is the flow's use in relation to its weight.
func (f *flow) weightedLoad() float64 { return float64(f.inFlight) / float64(max(1, f.weight)) }

// lane is the queue of one set of targets.
type lane struct {
	targets        []string
	flows          map[string]*flow
	queued         [numClasses]int
	total          int
	lastUsable     int // permits at the last tick
	grants         uint64
	searches       uint64 // searches for a ticket to grant
	delayedRetries int    // attempts after a loss that wait with new work
	urgentStreak   int    // urgent grants in a row while others waited
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

func (l *lane) push(w *queuedTicket) {
	f := l.flow(&w.Ticket)
	f.queues[w.class] = append(f.queues[w.class], w)
	f.queued++
	l.queued[w.class]++
	l.total++
	if w.Retry && w.class == normalClass {
		l.delayedRetries++
	}
}

func (l *lane) remove(w *queuedTicket) {
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

// waitingFlows returns the flows that wait in a class, sorted by workspace.
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

// nextFlow returns the flow that is to be served in a class: the least used in
// relation to its weight, then the one served longest ago. Those that were
// tried in vain in this round are passed over, those of the last rounds come
// after the others.
func (l *lane) nextFlow(c class) *flow {
	var best *flow
	for _, f := range l.flows {
		if len(f.queues[c]) == 0 || f.failedRound == l.searches {
			continue
		}
		if best == nil || l.precedes(f, best) {
			best = f
		}
	}
	return best
}

func (l *lane) precedes(f, o *flow) bool {
	if a, b := l.deprioritized(f), l.deprioritized(o); a != b {
		return b
	}
	return f.servedBefore(o)
}

func (l *lane) deprioritized(f *flow) bool {
	return f.failedRound > 0 && l.searches-f.failedRound < deprioritizedRounds
}

func (f *flow) servedBefore(o *flow) bool {
	if a, b := f.weightedLoad(), o.weightedLoad(); a != b {
		return a < b
	}
	if f.lastGrant != o.lastGrant {
		return f.lastGrant < o.lastGrant
	}
	return f.workspace < o.workspace
}

// ticketsAhead returns how many tickets of the lane are expected to be granted before
// one of a class that has a number of the same workspace and class before it.
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

// promoteAged moves tickets up that waited a step in their class: batch work joins
// normal work, and attempts over the retry budget join those within it. Only
// confirmations are ever urgent.
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

// agedTickets returns the tickets of a flow that move up. Tickets of a class are in
// the order of their times in it.
func (f *flow) agedTickets(now time.Time, c class, step time.Duration) []*queuedTicket {
	var out []*queuedTicket
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
