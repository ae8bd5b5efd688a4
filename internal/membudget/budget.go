// Package membudget bounds the memory that a process uses for answers that it buffers,
// so that peers that send bytes without end can't exhaust it.
package membudget

import (
	"io"
	"sync"

	"github.com/pkg/errors"
)

// Errors of a Share.
var (
	// ErrExhausted means that the budget is used up, and no share that is still growing
	// has more of it than this one.
	ErrExhausted = errors.New("the memory for buffered answers is exhausted")
	// ErrTooLong means that a body is longer than allowed.
	ErrTooLong = errors.New("the body is too long")
)

// FreeBytes is the size up to which a share doesn't count, so that short answers are read
// while the budget is exhausted.
const FreeBytes = 8 << 10

// Budget is a number of bytes that several shares use together. It is safe for concurrent
// use.
type Budget struct {
	limit int64

	mu      sync.Mutex
	used    int64
	growing map[*Share]struct{} // shares with counted bytes whose answers are not complete
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, growing: make(map[*Share]struct{})}
}

// Used returns the number of bytes that count now.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Share is the part of a budget that one request uses. Its methods must not be called
// concurrently.
type Share struct {
	budget *Budget
	size   int64

	// Guarded by budget.mu.
	counted int64  // part of size that counts
	stop    func() // ends the read that grows the share
	evicted bool
}

// NewShare returns an empty share. It must be released.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Grow adds n bytes to the share, for a read that stop ends. If the budget is exhausted,
// the largest growing share loses its bytes and its read is stopped: a body without an end
// becomes the largest sooner or later. If that is this share, Grow returns ErrExhausted
// and adds nothing.
func (s *Share) Grow(n int, stop func()) error {
	if s.size+int64(n) <= FreeBytes {
		s.size += int64(n)
		return nil
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.evicted {
		return errors.WithStack(ErrExhausted)
	}
	counted := s.size + int64(n) - FreeBytes
	for b.used+counted-s.counted > b.limit {
		victim := b.largest(s, counted)
		if victim == nil {
			return errors.WithStack(ErrExhausted)
		}
		b.used -= victim.counted
		victim.counted, victim.evicted = 0, true
		delete(b.growing, victim)
		go victim.stop()
	}
	b.used += counted - s.counted
	s.size, s.counted, s.stop = s.size+int64(n), counted, stop
	b.growing[s] = struct{}{}
	return nil
}

// largest returns the largest growing share other than s with more than counted bytes, or
// nil.
func (b *Budget) largest(s *Share, counted int64) *Share {
	var found *Share
	for other := range b.growing {
		if other != s && other.counted > counted {
			found, counted = other, other.counted
		}
	}
	return found
}

// Settle ends the growth of the share for now: its bytes belong to a complete answer and
// stay until they are shrunk or released. It returns ErrExhausted if the share lost its
// bytes.
func (s *Share) Settle() error {
	if s.size <= FreeBytes {
		return nil
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.evicted {
		return errors.WithStack(ErrExhausted)
	}
	delete(s.budget.growing, s)
	return nil
}

// Shrink gives n bytes back.
func (s *Share) Shrink(n int) {
	wasCounted := s.size > FreeBytes
	s.size -= int64(n)
	if !wasCounted {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.evicted {
		return
	}
	counted := max(0, s.size-FreeBytes)
	s.budget.used += counted - s.counted
	s.counted = counted
	if counted == 0 {
		delete(s.budget.growing, s)
	}
}

// Release gives all bytes back. The share can be used again.
func (s *Share) Release() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.used -= s.counted
	delete(s.budget.growing, s)
	s.size, s.counted, s.evicted = 0, 0, false
}

// firstBufferBytes is the size of the first buffer for a body; a full buffer is replaced
// by one of twice its size.
const firstBufferBytes = 1 << 10

// ReadAll reads a body of at most maxBytes to its end and closes it. The share, which must
// be empty, grows by the capacity of the returned slice, or is empty after an error.
func (s *Share) ReadAll(body io.ReadCloser, maxBytes int) ([]byte, error) {
	defer func() { _ = body.Close() }()
	b, err := s.read(body, maxBytes)
	if err != nil {
		s.Release()
		return nil, err
	}
	return b, nil
}

func (s *Share) read(body io.ReadCloser, maxBytes int) ([]byte, error) {
	stop := func() { _ = body.Close() }
	var buf []byte
	for {
		if full := cap(buf); len(buf) == full {
			larger := min(max(firstBufferBytes, 2*full), maxBytes+1)
			if err := s.Grow(larger, stop); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, larger), buf...)
			s.Shrink(full)
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if len(buf) > maxBytes {
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", maxBytes)
		}
		if err == nil {
			continue
		}
		if evicted := s.Settle(); evicted != nil {
			return nil, evicted
		}
		if err != io.EOF {
			return nil, errors.WithStack(err)
		}
		return buf, nil
	}
}
