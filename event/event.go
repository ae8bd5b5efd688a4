// Package event records the numbered events of a daemon. It holds the event
// catalogue, writes the structured log and keeps the newest events in a ring
// buffer, from which clients merge the timeline of all processes.
package event

import (
	"maps"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// Number identifies a kind of event. Numbers never change; see docs/EVENTS.md.
type Number int

// Severity is the log level of an event.
type Severity int

// Severities, least severe first.
const (
	Debug Severity = iota
	Info
	Warn
	Error
)

// Entry describes one kind of event.
type Entry struct {
	Number   Number
	Name     string
	Severity Severity
	Meaning  string
	Action   string // what an operator should do; empty if nothing
}

// Event is one recorded event.
type Event struct {
	Time    Time              `json:"time"`
	Node    string            `json:"node"`
	Number  Number            `json:"number"`
	Name    string            `json:"name"`
	Request string            `json:"request,omitempty"`
	Fields  map[string]string `json:"fields,omitempty"`
}

// Field is one key and value of an event.
type Field struct{ Key, Value string }

// F returns the field with key and value.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Recorder logs events and keeps the newest of them in a ring buffer. It is safe
// for concurrent use. Old events are overwritten, so Events can be incomplete.
type Recorder struct {
	node       string
	clock      *Clock
	log        log.Logger
	mu         sync.Mutex
	ring       []Event
	writeIndex int  // index in ring of the next event
	wrapped    bool // ring is full: each further event overwrites the oldest one
	counts     map[Number]int64

	routineLimiter atomic.Pointer[rate.Limiter] // limits log lines about successful requests; nil means no limit
	suppressed     int64                        // lines dropped by routineLimiter since the last one that it let through
}

// LimitRoutineLogs limits the log lines per second for request events of severity
// Debug and Info. The next such line that is logged gives the number of dropped
// lines as left_out. Warnings, errors and events without a request are always logged.
// It must be called before the first Record.
func (r *Recorder) LimitRoutineLogs(perSecond int) {
	r.routineLimiter.Store(rate.NewLimiter(rate.Limit(perSecond), perSecond))
}

// LogEverything ends the limit of LimitRoutineLogs, for instance while the daemon stops: each of
// its last requests can be found in the log then.
func (r *Recorder) LogEverything() { r.routineLimiter.Store(nil) }

// allowLog reports whether an event is logged. If it is, suppressed is the number of
// lines that were dropped since the previous line that routineLimiter let through.
func (r *Recorder) allowLog(s Severity, request string) (logged bool, suppressed int64) {
	limiter := r.routineLimiter.Load()
	if limiter == nil || s > Info || request == "" {
		return true, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !limiter.Allow() {
		r.suppressed++
		return false, 0
	}
	suppressed, r.suppressed = r.suppressed, 0
	return true, suppressed
}

// NewRecorder returns a recorder that keeps the newest size events of a daemon and
// writes each event to logger. node is the ID of the VM that the daemon runs on; each
// event contains it.
func NewRecorder(node string, clock *Clock, logger log.Logger, size int) *Recorder {
	return &Recorder{node: node, clock: clock, log: logger, ring: make([]Event, size), counts: make(map[Number]int64)}
}

// Clock returns the recorder's hybrid clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record logs one event and stores it in the ring buffer. request may be empty.
func (r *Recorder) Record(n Number, request string, fields ...Field) {
	entry := Lookup(n)
	e := Event{Time: r.clock.Now(), Node: r.node, Number: n, Name: entry.Name, Request: request}
	if len(fields) > 0 {
		e.Fields = make(map[string]string, len(fields))
	}
	kv := []any{"event", int(n), "name", entry.Name}
	if request != "" {
		kv = append(kv, "request", request)
	}
	for _, f := range fields {
		e.Fields[f.Key] = f.Value
		kv = append(kv, f.Key, f.Value)
	}
	r.store(e)
	logged, suppressed := r.allowLog(entry.Severity, request)
	if !logged {
		return
	}
	if suppressed > 0 {
		kv = append(kv, "left_out", suppressed)
	}
	_ = withSeverity(r.log, entry.Severity).Log(kv...)
}

func (r *Recorder) store(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[e.Number]++
	r.ring[r.writeIndex] = e
	r.writeIndex++
	if r.writeIndex == len(r.ring) {
		r.writeIndex, r.wrapped = 0, true
	}
}

// Counts returns how often each event was recorded, including overwritten ones.
func (r *Recorder) Counts() map[Number]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}

func withSeverity(l log.Logger, s Severity) log.Logger {
	switch s {
	case Debug:
		return level.Debug(l)
	case Warn:
		return level.Warn(l)
	case Error:
		return level.Error(l)
	default:
		return level.Info(l)
	}
}

// Events returns the stored events that are newer than since, in time order. If
// request is not empty, it returns only the events of that request.
func (r *Recorder) Events(request string, since Time) []Event {
	r.mu.Lock()
	n := r.writeIndex
	if r.wrapped {
		n = len(r.ring)
	}
	out := make([]Event, 0, n)
	for _, e := range r.ring[:n] {
		if e.Time > since && (request == "" || e.Request == request) {
			out = append(out, e)
		}
	}
	r.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Time < out[j].Time })
	return out
}
