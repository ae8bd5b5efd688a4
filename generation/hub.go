package generation

import (
	"context"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// Hub keeps the answers of this daemon by request id, so that a caller that
// comes back joins its own answer instead of starting a second run.
type Hub struct {
	settings Settings
	router   Router
	events   *event.Recorder
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu   sync.Mutex
	runs map[string]*held
}

type held struct {
	answer *Answer
	cancel context.CancelFunc
	ended  time.Time // zero while the run goes on
}

// NewHub returns an empty hub.
func NewHub(s Settings, router Router, events *event.Recorder) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{settings: s, router: router, events: events, ctx: ctx, cancel: cancel, runs: make(map[string]*held)}
}

// Answer returns the answer of a request, joining a run that this daemon holds
// already or starting one.
func (h *Hub) Answer(r Request) *Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.runs[r.ID]; old != nil {
		h.events.Record(event.GenerationJoined, r.ID)
		return old.answer
	}
	ctx, cancel := context.WithCancel(h.ctx)
	n := &held{answer: NewAnswer(r.Held), cancel: cancel}
	h.runs[r.ID] = n
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		defer cancel()
		Run(ctx, h.settings, r, h.router, h.events, n.answer)
		h.mu.Lock()
		n.ended = time.Now()
		h.mu.Unlock()
	}()
	return n.answer
}

// Cancel ends a request's run, if this daemon holds one.
func (h *Hub) Cancel(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.runs[id]
	if n == nil {
		return false
	}
	n.cancel()
	return true
}

// Active returns the number of answers that are not final or still read.
func (h *Hub) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var n int
	for _, r := range h.runs {
		if r.ended.IsZero() || r.answer.Watched() {
			n++
		}
	}
	return n
}

// Sweep forgets answers whose retention is over.
func (h *Hub) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, r := range h.runs {
		if !r.ended.IsZero() && !r.answer.Watched() && now.Sub(r.ended) > h.settings.Retention.Std() {
			delete(h.runs, id)
		}
	}
}

// Close cancels all runs and waits for them.
func (h *Hub) Close() {
	h.cancel()
	h.wg.Wait()
}
