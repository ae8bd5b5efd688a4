package generation

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Answer buffers one answer between the run that produces it and the callers
// that read it, so that a slow caller never blocks the run. All callers share
// one copy of the tokens.
type Answer struct {
	mu           sync.Mutex
	tokens       []string
	prefixHashes []uint64 // by token: hash of the tokens up to and including it
	bytes        int64    // of all tokens
	sources      []source // sorted by start; never empty
	done         bool
	err          *failure.Error
	changed      chan struct{} // closed at the next change
	readers      int
	unreadSince  time.Time // time at which the last reader was removed; zero while there is a reader and before the first
}

// source is the origin of the tokens from position start on.
type source struct {
	start  int64
	cursor Cursor
}

// NewAnswer returns an answer that begins with the tokens held. Their source is
// cursor.
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

// add appends a token whose source is c.
func (a *Answer) add(text string, c Cursor) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if last := a.sources[len(a.sources)-1].cursor; last.Attempt != c.Attempt || last.Daemon != c.Daemon {
		a.sources = append(a.sources, source{int64(len(a.tokens)), c})
	}
	a.appendLocked(text)
	a.notifyLocked()
}

// extend replaces the tokens by a longer list that begins with them. The source
// of the added tokens is c.
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

// State is the result of Answer.Next.
type State struct {
	Tokens []string // from the requested position on
	Done   bool
	Err    *failure.Error
	Idle   bool // the wait timed out without a change
}

// Next waits until there is a token at position from, the answer ends, or the
// time idle has passed. It returns an error only if ctx is canceled.
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

// CursorAt returns the cursor of a caller that holds the first count tokens.
func (a *Answer) CursorAt(count int64) Cursor {
	a.mu.Lock()
	defer a.mu.Unlock()
	i := sort.Search(len(a.sources), func(i int) bool { return a.sources[i].start >= count })
	c := a.sources[max(i-1, 0)].cursor
	c.Held, c.PrefixHash = count, 0
	if count > 0 && count <= int64(len(a.prefixHashes)) {
		c.PrefixHash = a.prefixHashes[count-1]
	}
	return c
}

// hasPrefix reports whether the answer begins with the tokens held and with the
// tokens that the cursor c describes by their number and hash.
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

// snapshot returns the tokens so far, whether the answer has ended, and its error.
func (a *Answer) snapshot() (tokens []string, done bool, err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tokens, a.done, a.err
}

// tokenBytes is what an answer holds of each token, apart from its text: the string and the hash.
const tokenBytes = 16 + 8

// size returns the memory of all tokens in bytes.
func (a *Answer) size() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes + tokenBytes*int64(len(a.tokens))
}

// AddReader counts a reader. The returned function removes it.
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

// unreadFor returns the time since the last reader was removed; 0 while there is
// a reader and before the first one.
func (a *Answer) unreadFor(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.readers > 0 || a.unreadSince.IsZero() {
		return 0
	}
	return now.Sub(a.unreadSince)
}

// HasReader reports whether a caller reads the answer now.
func (a *Answer) HasReader() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0
}
