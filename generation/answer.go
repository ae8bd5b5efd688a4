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
	mu           sync.Mutex
	tokens       []string
	prefixHashes []uint64 // hash of the tokens up to and with each
	bytes        int64
	sources      []source
	done         bool
	err          *failure.Error
	changed      chan struct{}
	readers      int
	unreadSince  time.Time // since when nobody reads it; zero while somebody does
}

// source tells where the tokens from a position on came from.
type source struct {
	start  int64
	cursor Cursor
}

// NewAnswer returns an answer that begins with the tokens held, which came
// from where cursor says.
func NewAnswer(held []string, cursor Cursor) *Answer {
	a := &Answer{changed: make(chan struct{}), sources: []source{{0, cursor}}}
	for _, t := range held {
		a.appendLocked(t)
	}
	return a
}

func (a *Answer) appendLocked(text string) {
	var last uint64
	if n := len(a.prefixHashes); n > 0 {
		last = a.prefixHashes[n-1]
	}
	a.tokens = append(a.tokens, text)
	a.prefixHashes = append(a.prefixHashes, prefixHash(last, text))
	a.bytes += int64(len(text))
}

func (a *Answer) notifyLocked() {
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
	a.appendLocked(text)
	a.notifyLocked()
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
		a.appendLocked(t)
	}
	a.notifyLocked()
}

func (a *Answer) finish(err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done, a.err = true, err
	a.notifyLocked()
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
		change := a.changed
		a.mu.Unlock()
		select {
		case <-change:
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
	i := sort.Search(len(a.sources), func(i int) bool { return a.sources[i].start >= held })
	c := a.sources[max(i-1, 0)].cursor
	c.Held, c.PrefixHash = held, 0
	if held > 0 && held <= int64(len(a.prefixHashes)) {
		c.PrefixHash = a.prefixHashes[held-1]
	}
	return c
}

// hasPrefix tells whether the answer begins with what a caller holds: the
// tokens, or else as many as its cursor tells.
func (a *Answer) hasPrefix(held []string, c Cursor) bool {
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
	return c.Held == 0 || c.PrefixHash == a.prefixHashes[c.Held-1]
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

// AddReader counts a reader; the returned function ends it.
func (a *Answer) AddReader() func() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	a.unreadSince = time.Time{}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readers--
		if a.readers == 0 {
			a.unreadSince = time.Now()
		}
	}
}

// unreadFor returns how long nobody has read the answer; 0 while somebody does.
func (a *Answer) unreadFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers > 0 || a.unreadSince.IsZero() {
		return 0
	}
	return now.Sub(a.unreadSince)
}

// HasReader tells whether a caller reads the answer now.
func (a *Answer) HasReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0
}
