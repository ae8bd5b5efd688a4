// Package membudget bounds the memory that a process uses for what others send: requests
// of callers with their connections, and answers that it buffers. So neither callers nor
// targets that send bytes without end can exhaust it.
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
	ErrExhausted = errors.New("the memory for requests and answers is exhausted")
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
	callers int64               // part of used that callers' requests and connections use
	bodies  int64               // part of callers that bodies use
	queued  int64               // part of used that queues of answers use
	growing map[*Share]struct{} // shares with counted bytes whose answers are not complete
	waiting map[*Share]struct{} // shares that wait for a caller, see Holder
	evicted int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, growing: make(map[*Share]struct{}), waiting: make(map[*Share]struct{})}
}

// Used returns the number of bytes that count now.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Left returns what is left of the budget, or of the part that callers may use if that is less, as a
// part of each, 0 to 1.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	used := max(float64(b.used), float64(b.callers)/callersPart) / float64(b.limit)
	return max(0, 1-used)
}

// Usage is what counts toward a budget now, in bytes.
type Usage struct {
	Bodies      int64 // of requests
	Answers     int64 // buffered ones, and queues of streams
	Connections int64 // of callers, with their headers
}

// Usage returns what the shares of each kind use.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{Bodies: b.bodies, Answers: b.used - b.callers, Connections: b.callers - b.bodies}
}

// Share is the part of a budget that one request uses. Its methods must not be called
// concurrently.
type Share struct {
	budget *Budget
	kind   kind
	size   int64

	// Guarded by budget.mu.
	counted int64  // part of size that counts
	stop    func() // ends the read that grows the share
	holder  Holder // the caller that the share waits for; nil for none
	evicted bool
}

// kind says what a share holds.
type kind int

const (
	answerKind kind = iota
	bodyKind
	connKind
	queueKind
)

// NewShare returns an empty share. It must be released.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Grow adds n bytes to the share, for a read that stop ends. If the budget is exhausted, the
// share whose caller stalls longest and holds most loses its bytes. If there is none, the largest growing
// answer loses its bytes and its read is stopped: a body without an end becomes the largest
// sooner or later. If that is this share, Grow returns ErrExhausted
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
	for !b.fits(s, counted) {
		victim := b.stalled(s, counted)
		if victim == nil {
			victim = b.largest(s, counted)
		}
		if victim == nil {
			return errors.WithStack(ErrExhausted)
		}
		b.evict(victim)
	}
	b.count(s, counted)
	s.size, s.stop = s.size+int64(n), stop
	switch {
	case s.kind == answerKind:
		b.growing[s] = struct{}{}
	case s.kind == queueKind && s.holder != nil:
		b.waiting[s] = struct{}{}
	}
	return nil
}

// count changes the number of bytes of a share that count. The caller holds mu.
func (b *Budget) count(s *Share, counted int64) {
	added := counted - s.counted
	s.counted = counted
	b.used += added
	switch s.kind {
	case bodyKind:
		b.bodies += added
		b.callers += added
	case connKind:
		b.callers += added
	case queueKind:
		b.queued += added
	}
}

// evict takes the bytes of a share and ends the read or the write that it is for. The caller
// holds mu.
func (b *Budget) evict(s *Share) {
	stop := s.stop
	if s.holder != nil {
		stop = s.holder.Evict
	}
	b.count(s, 0)
	s.evicted = true
	b.evicted++
	delete(b.growing, s)
	delete(b.waiting, s)
	go stop()
}

// largest returns the largest growing share other than s with more than counted bytes, or
// nil. Only answers yield to a larger one: a caller's body has a limit.
func (b *Budget) largest(s *Share, counted int64) *Share {
	if s.kind != answerKind {
		return nil
	}
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
	s.budget.count(s, counted)
	if counted == 0 {
		delete(s.budget.growing, s)
		if s.kind == queueKind {
			delete(s.budget.waiting, s)
		}
	}
}

// Release gives all bytes back. The share can be used again.
func (s *Share) Release() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.budget.count(s, 0)
	delete(s.budget.growing, s)
	delete(s.budget.waiting, s)
	s.size, s.evicted, s.holder = 0, false, nil
}

// firstBufferBytes is the size of the first buffer for a body; a full buffer is replaced
// by one of twice its size.
const firstBufferBytes = 1 << 10

// ReadAll reads a body of at most maxBytes to its end and closes it. The share, which must
// be empty, grows by the capacity of the returned slice, or is empty after an error.
func (s *Share) ReadAll(body io.ReadCloser, maxBytes int) ([]byte, error) {
	defer func() { _ = body.Close() }()
	return s.ReadWith(body, maxBytes, func() { _ = body.Close() })
}

// ReadWith is ReadAll for a body that is not closed and whose read stop ends.
func (s *Share) ReadWith(body io.Reader, maxBytes int, stop func()) ([]byte, error) {
	b, err := s.read(body, maxBytes, stop)
	if err != nil {
		s.Release()
		return nil, err
	}
	return b, nil
}

func (s *Share) read(body io.Reader, maxBytes int, stop func()) ([]byte, error) {
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
