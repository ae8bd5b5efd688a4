// Package event keeps the numbered events of a daemon: the catalogue, the
// structured log and a bounded ring from which the time line over all
// processes is merged.
package event

import (
	"maps"
	"sort"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"
)

// Number identifies a kind of event. Numbers are stable; see docs/EVENTS.md.
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
	Action   string
}

// Event is one occurrence.
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

// F returns a field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Recorder logs events and keeps the newest of them. It is safe for concurrent
// use. Old events are overwritten; a reader must not assume completeness.
type Recorder struct {
	node       string
	clock      *Clock
	log        log.Logger
	mu         sync.Mutex
	ring       []Event
	writeIndex int
	wrapped    bool
	counts     map[Number]int64

	routineLimiter *rate.Limiter // of logged lines about requests that went well; nil for all
	suppressed     int64         // such lines since the last one that was logged
}

// LimitRoutineLogs bounds the logged lines a second about requests that went well. What
// is left out is counted in the member left_out of the next one; refusals, failures
// and what is not about a request are always logged. It must be called before use.
func (r *Recorder) LimitRoutineLogs(perSecond int) {
	r.routineLimiter = rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// allowLog tells whether an event is logged, and how many were left out before it.
func (r *Recorder) allowLog(s Severity, request string) (logged bool, suppressed int64) {
	if r.routineLimiter == nil || s > Info || request == "" {
		return true, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.routineLimiter.Allow() {
		r.suppressed++
		return false, 0
	}
	suppressed, r.suppressed = r.suppressed, 0
	return true, suppressed
}

// NewRecorder returns a recorder that keeps size events of the named node and
// writes each to logger.
func NewRecorder(node string, clock *Clock, logger log.Logger, size int) *Recorder {
	return &Recorder{node: node, clock: clock, log: logger, ring: make([]Event, size), counts: make(map[Number]int64)}
}

// Clock returns the recorder's hybrid clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record logs and keeps one event. request may be empty.
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

// Counts returns how often each event was recorded.
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

// Events returns the kept events after since in time order; request filters
// when not empty.
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
