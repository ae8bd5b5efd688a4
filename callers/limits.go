package callers

import (
	"bytes"
	"fmt"
	"runtime/debug"
	"strconv"
	"sync/atomic"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/exposition"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Limits bounds what the callers of a daemon hold at all of its ports.
type Limits struct {
	Resources Resources
	// Budget is for bodies, buffered answers, queues and connections.
	Budget *membudget.Budget
	// Header bounds the time of headers; nil if net/http does.
	Header *HeaderLimits

	pools   []*Pool
	refused atomic.Int64
	tally   tally

	// Values at the previous report.
	lastClosed  [closedReasons]int64
	lastRefused int64
	lastLate    int64
}

// NewLimits returns the limits for resources. Where the memory is unknown, answers and bodies may
// use defaultBytes. It sets the soft memory limit of the process.
func NewLimits(r Resources, defaultBytes int64) *Limits {
	l := &Limits{Resources: r, Budget: membudget.New(defaultBytes)}
	if r.MemoryBytes > 0 {
		l.Budget = membudget.New(int64(BuffersShare * float64(r.MemoryBytes)))
		debug.SetMemoryLimit(r.heapLimit())
	}
	return l
}

// NewPool returns the pool of a port with at most size connections, or nil if nothing is bounded.
// headerLimit returns the size of a header that is not read any further. All pools must be made
// before the daemon serves.
func (l *Limits) NewPool(size int, headerLimit func() int) *Pool {
	if !l.Resources.Known() {
		return nil
	}
	budget := l.Budget
	if l.Resources.MemoryBytes == 0 {
		budget = membudget.New(1 << 62) // the connections don't count
	}
	p := newPool(size, budget, headerLimit, &l.tally)
	l.pools = append(l.pools, p)
	return p
}

// CountRefusal counts a request that was refused with 503 for want of memory.
func (l *Limits) CountRefusal() { l.refused.Add(1) }

// Check closes connections with too many unread bytes, and reports what was done since the
// previous call. It is called each second.
func (l *Limits) Check(events *event.Recorder) {
	if memory := l.Resources.MemoryBytes; memory > 0 {
		for _, p := range l.pools {
			p.closeUnread(int(unreadShare * float64(memory)))
		}
	}
	l.report(events)
}

// lateHeaders returns the number of headers that were answered with 408.
func (l *Limits) lateHeaders() int64 {
	if l.Header == nil {
		return 0
	}
	return l.Header.Refused()
}

// report records how many callers were refused or closed since the previous report, and which of
// them most.
func (l *Limits) report(events *event.Recorder) {
	_, total := l.counts()
	refused, late := l.refused.Load(), l.lateHeaders()
	if total == l.lastClosed && refused == l.lastRefused && late == l.lastLate {
		return
	}
	number := func(n int64) string { return strconv.FormatInt(n, 10) }
	since := func(reason closedBy) string { return number(total[reason] - l.lastClosed[reason]) }
	host, most := l.tally.takeMost()
	events.Record(event.CallersLimited, "", event.F("refused", number(refused-l.lastRefused)), event.F("closed_for_memory", since(closedMemory)),
		event.F("closed_for_header", since(closedHeader)), event.F("late_headers", number(late-l.lastLate)), event.F("closed_for_number", since(closedMany)), event.F("bytes", number(l.Budget.Used())),
		event.F("caller", host), event.F("caller_connections", number(most.conns)), event.F("caller_bytes", number(most.bytes)))
	l.lastClosed, l.lastRefused, l.lastLate = total, refused, late
}

// counts returns the number of open connections and, by reason, those closed since the start.
func (l *Limits) counts() (open int, total [closedReasons]int64) {
	for _, p := range l.pools {
		n, closed := p.counts()
		open += n
		for i, n := range closed {
			total[i] += n
		}
	}
	return open, total
}

// Usage returns what callers and answers use.
func (l *Limits) Usage() membudget.Usage {
	usage := l.Budget.Usage()
	for _, p := range l.pools {
		if p.budget != l.Budget {
			usage.Connections += p.budget.Usage().Connections
		}
	}
	return usage
}

// WriteMetrics writes the state of the bounds.
func (l *Limits) WriteMetrics(w *bytes.Buffer) {
	open, total := l.counts()
	usage := l.Usage()
	exposition.WriteValue(w, "memory_limit_bytes", "gauge", l.Resources.MemoryBytes)
	exposition.WriteValue(w, "descriptors_limit", "gauge", l.Resources.FDs)
	exposition.WriteValue(w, "callers_bytes", "gauge", l.Budget.Used())
	exposition.WriteValue(w, "memory_bodies", "gauge", usage.Bodies)
	exposition.WriteValue(w, "memory_answers", "gauge", usage.Answers)
	exposition.WriteValue(w, "memory_connections", "gauge", usage.Connections)
	exposition.WriteValue(w, "callers_connections", "gauge", open)
	exposition.WriteValue(w, "callers_refused", "counter", l.refused.Load())
	exposition.WriteValue(w, "callers_late_headers", "counter", l.lateHeaders())
	for reason, name := range []string{closedHeader: "header", closedMemory: "memory", closedMany: "number"} {
		exposition.WriteValue(w, fmt.Sprint("callers_closed_for_", name), "counter", total[reason])
	}
}
