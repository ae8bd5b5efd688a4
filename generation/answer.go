package generation

import (
	"context"
	"sync"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Answer buffers one answer between the run that produces it and the callers
// that read it, so that a slow caller never holds the run back.
type Answer struct {
	mu       sync.Mutex
	tokens   []string
	cursor   Cursor
	done     bool
	err      *failure.Error
	changed  chan struct{}
	watchers int
}

// NewAnswer returns an answer that begins with the tokens held.
func NewAnswer(held []string) *Answer {
	return &Answer{tokens: append([]string(nil), held...), changed: make(chan struct{})}
}

func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *Answer) add(text string, c Cursor) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = append(a.tokens, text)
	a.cursor = c
	a.wake()
}

func (a *Answer) finish(err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.err = true, err
	a.wake()
}

// State is what a caller reads at one moment.
type State struct {
	Tokens []string // from the position asked for
	Cursor Cursor   // of the newest token
	Done   bool
	Err    *failure.Error
}

// Next waits until there is a token at position from, or the answer ends.
func (a *Answer) Next(ctx context.Context, from int64) (State, error) {
	for {
		a.mu.Lock()
		if int64(len(a.tokens)) > from || a.done {
			from = min(from, int64(len(a.tokens)))
			s := State{Tokens: a.tokens[from:], Cursor: a.cursor, Done: a.done, Err: a.err}
			a.mu.Unlock()
			return s, nil
		}
		wait := a.changed
		a.mu.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return State{}, ctx.Err()
		}
	}
}

// Watch counts a reader; the returned function ends it.
func (a *Answer) Watch() func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers++
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.watchers--
	}
}

// Watched tells whether a caller reads the answer now.
func (a *Answer) Watched() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watchers > 0
}
