package confirmation

import (
	"context"
	"sync"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Local keeps outcomes on one daemon only. It is the baseline that the pair is
// measured against: it loses its records with its daemon, so it must not be
// used where a key can reach two daemons.
type Local struct {
	dispatcher Dispatcher
	mu         sync.Mutex
	records    map[string]*entry
}

type entry struct {
	body   string
	done   chan struct{}
	record Record
}

// NewLocal returns an empty service.
func NewLocal(d Dispatcher) *Local { return &Local{dispatcher: d, records: make(map[string]*entry)} }

// Confirm implements Service.
func (l *Local) Confirm(ctx context.Context, r Request) (Record, *failure.Error) {
	l.mu.Lock()
	e := l.records[r.Key]
	first := e == nil
	if first {
		e = &entry{body: r.Body, done: make(chan struct{})}
		l.records[r.Key] = e
	}
	l.mu.Unlock()
	if e.body != r.Body {
		return Record{}, failure.New(failure.Conflict, failure.NotRun, "confirm", "", "key %s was used with another body", r.Key)
	}
	if first {
		e.record = l.dispatcher.Dispatch(ctx, r)
		close(e.done)
	}
	select {
	case <-e.done:
		return e.record, nil
	case <-ctx.Done():
		return Record{Key: r.Key, Outcome: failure.Unknown}, nil
	}
}

// Lookup implements Service.
func (l *Local) Lookup(_ context.Context, key string) (Record, *failure.Error) {
	l.mu.Lock()
	e := l.records[key]
	l.mu.Unlock()
	if e == nil {
		return Record{}, failure.New(failure.NotFound, failure.Unknown, "lookup", "", "no record of key %s", key)
	}
	select {
	case <-e.done:
		return e.record, nil
	default:
		return Record{Key: key, Outcome: failure.Unknown}, nil
	}
}
