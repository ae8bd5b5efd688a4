package generation

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Answer buffers one answer between the run that produces it and the callers
// that read it, so that a slow caller never holds the run back. However many
// callers read it, its tokens are kept once.
type Answer struct {
	mu       sync.Mutex
	tokens   []string
	chains   []uint64 // hash of the tokens up to and with each
	bytes    int64
	sources  []source
	done     bool
	err      *failure.Error
	changed  chan struct{}
	watchers int
	idle     time.Time // since when nobody reads it; zero while somebody does
}

// source tells where the tokens from a position on came from.
type source struct {
	from   int64
	cursor Cursor
}

// NewAnswer returns an answer that begins with the tokens held, which came
// from where cursor says.
func NewAnswer(held []string, cursor Cursor) *Answer {
	a := &Answer{changed: make(chan struct{}), sources: []source{{0, cursor}}}
	for _, t := range held {
		a.keep(t)
	}
	return a
}

func (a *Answer) keep(text string) {
	var last uint64
	if n := len(a.chains); n > 0 {
		last = a.chains[n-1]
	}
	a.tokens = append(a.tokens, text)
	a.chains = append(a.chains, chain(last, text))
	a.bytes += int64(len(text))
}

func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// add appends a token that came from where c says.
func (a *Answer) add(text string, c Cursor) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.sources[len(a.sources)-1].cursor; last.Attempt != c.Attempt || last.Daemon != c.Daemon {
		a.sources = append(a.sources, source{int64(len(a.tokens)), c})
	}
	a.keep(text)
	a.wake()
}

// extend appends the tokens of a longer list that begins with the answer.
func (a *Answer) extend(tokens []string, c Cursor) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(tokens) <= len(a.tokens) {
		return
	}
	a.sources = append(a.sources, source{int64(len(a.tokens)), c})
	for _, t := range tokens[len(a.tokens):] {
		a.keep(t)
	}
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
	Done   bool
	Err    *failure.Error
	Idle   bool // nothing happened for the time given
}

// Next waits until there is a token at position from, the answer ends, or
// nothing happened for idle.
func (a *Answer) Next(ctx context.Context, from int64, idle time.Duration) (State, error) {
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		a.mu.Lock()
		if int64(len(a.tokens)) > from || a.done {
			from = min(from, int64(len(a.tokens)))
			s := State{Tokens: a.tokens[from:], Done: a.done, Err: a.err}
			a.mu.Unlock()
			return s, nil
		}
		wait := a.changed
		a.mu.Unlock()
		select {
		case <-wait:
		case <-timer.C:
			return State{Idle: true}, nil
		case <-ctx.Done():
			return State{}, ctx.Err()
		}
	}
}

// CursorAt returns the cursor of a caller that holds the first held tokens.
func (a *Answer) CursorAt(held int64) Cursor {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := sort.Search(len(a.sources), func(i int) bool { return a.sources[i].from >= held })
	c := a.sources[max(i-1, 0)].cursor
	c.Held, c.Chain = held, 0
	if held > 0 && held <= int64(len(a.chains)) {
		c.Chain = a.chains[held-1]
	}
	return c
}

// continues tells whether the answer begins with what a caller holds: the
// tokens, or else as many as its cursor tells.
func (a *Answer) continues(held []string, c Cursor) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(held) > len(a.tokens) || c.Held > int64(len(a.tokens)) {
		return false
	}
	for i, t := range held {
		if a.tokens[i] != t {
			return false
		}
	}
	return c.Held == 0 || c.Chain == a.chains[c.Held-1]
}

// snapshot returns the tokens so far and whether the answer ended, and how.
func (a *Answer) snapshot() (tokens []string, done bool, err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens, a.done, a.err
}

// size returns the bytes of the answer's tokens.
func (a *Answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes
}

// Watch counts a reader; the returned function ends it.
func (a *Answer) Watch() func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers++
	a.idle = time.Time{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.watchers--
		if a.watchers == 0 {
			a.idle = time.Now()
		}
	}
}

// unwatched returns how long nobody has read the answer; 0 while somebody does.
func (a *Answer) unwatched(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.watchers > 0 || a.idle.IsZero() {
		return 0
	}
	return now.Sub(a.idle)
}

// Watched tells whether a caller reads the answer now.
func (a *Answer) Watched() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watchers > 0
}
