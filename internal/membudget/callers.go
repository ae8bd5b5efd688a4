package membudget

import (
	"io"
	"time"

	"github.com/pkg/errors"
)

// Parts of a budget, as fractions of its limit. What callers don't use is left to answers:
// one that can't be buffered is lost after its request has run.
const (
	callersPart = 0.75
	// reservedPart is the part of callersPart that bodies of more than smallBytes don't
	// use, so that ordinary requests are served while large bodies fill the rest.
	reservedPart = 0.125
	// queuesPart is the part of the limit that queues of answers use together, so that callers
	// who read slowly leave room for others. A queue that can't grow only stops reading.
	queuesPart = 0.5
	smallBytes = 64 << 10
)

// ConnBytes is what a connection without a request counts: its stack, the buffers of
// net/http and the kernel's bookkeeping.
const ConnBytes = 16 << 10

// Holder is the connection of a caller.
type Holder interface {
	// StalledFor returns for how long the daemon has waited for the caller, which makes no
	// progress; 0 if that does not count as a stall.
	StalledFor(now time.Time) time.Duration
	// Evict ends what the daemon waits for. It may block.
	Evict()
}

// NewBodyShare returns an empty share for a caller's body. It must be released.
func (b *Budget) NewBodyShare() *Share { return &Share{budget: b, kind: bodyKind} }

// NewQueueShare returns an empty share for what was read of an answer and not yet sent to h,
// which may be nil. It must be released. Its growth never ends the read of another answer.
func (b *Budget) NewQueueShare(h Holder) *Share {
	return &Share{budget: b, kind: queueKind, holder: h}
}

// NewConnShare returns the share of an accepted connection, which counts ConnBytes. It must
// be released.
func (b *Budget) NewConnShare(h Holder) *Share {
	s := &Share{budget: b, kind: connKind, size: ConnBytes + FreeBytes}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(s, ConnBytes)
	s.holder = h
	b.waiting[s] = struct{}{}
	return s
}

// Renew lets the share of a connection that lost its bytes, and goes on, count again.
func (s *Share) Renew() {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.evicted {
		s.evicted, s.size = false, ConnBytes+FreeBytes
		s.budget.count(s, ConnBytes)
		s.budget.waiting[s] = struct{}{}
	}
}

// WaitFor makes a share of a complete answer one that waits for h: if h stalls, others get
// its bytes.
func (s *Share) WaitFor(h Holder) {
	if s.size <= FreeBytes || h == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.holder = h
	s.budget.waiting[s] = struct{}{}
}

// Evicted returns the number of shares that lost their bytes since the start.
func (b *Budget) Evicted() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// BodyLimit returns the most that one body may count.
func (b *Budget) BodyLimit() int64 { return int64(callersPart * float64(b.limit)) }

// AnswersLimit returns the most that queues of answers may count together.
func (b *Budget) AnswersLimit() int64 { return int64(queuesPart * float64(b.limit)) }

// fits reports whether s may count so many bytes. A body that is alone may use all of the
// callers' part. The caller holds mu.
func (b *Budget) fits(s *Share, counted int64) bool {
	added := counted - s.counted
	if b.used+added > b.limit {
		return false
	}
	switch s.kind {
	case answerKind:
		return true
	case queueKind:
		return b.queued+added <= b.AnswersLimit()
	}
	part := callersPart
	if counted > smallBytes && b.bodies > s.counted {
		part -= reservedPart
	}
	return b.callers+added <= int64(part*float64(b.limit))
}

// stalled returns the share, other than s, whose caller stalls longest and holds most: the
// one with the largest product of stall time and counted bytes. It returns nil if no
// caller stalls, or if s itself, with counted bytes, comes first. The caller holds mu.
func (b *Budget) stalled(s *Share, counted int64) *Share {
	now := time.Now()
	var found *Share
	var most float64
	if s.holder != nil {
		most = s.holder.StalledFor(now).Seconds() * float64(counted)
	}
	for other := range b.waiting {
		if other == s || s.kind == queueKind && other.kind != queueKind && b.used+counted-s.counted <= b.limit {
			continue // only other queues keep this one from growing
		}
		if held := other.holder.StalledFor(now).Seconds() * float64(other.counted); held > most {
			found, most = other, held
		}
	}
	return found
}

// ReadBody reads the body of a caller's request of at most maxBytes to its end. announced is
// its length, or -1 if unknown. The share, which must be empty, grows by what has arrived,
// and is empty after an error. h may be nil if the budget has no limit that matters.
func (s *Share) ReadBody(body io.Reader, maxBytes, announced int64, h Holder) ([]byte, error) {
	if announced == 0 {
		return nil, nil
	}
	if announced > maxBytes {
		return nil, errors.Wrapf(ErrTooLong, "%d bytes are announced, more than %d", announced, maxBytes)
	}
	most := maxBytes + 1 // one more shows that the body is too long
	if announced > 0 {
		most = announced
	}
	b, err := s.readBody(body, maxBytes, most, h)
	if err != nil {
		s.Release()
		return nil, err
	}
	return b, nil
}

// firstBodyBytes is the size of the first buffer for a body.
const firstBodyBytes = 4 << 10

func (s *Share) readBody(body io.Reader, maxBytes, most int64, h Holder) ([]byte, error) {
	buf := make([]byte, 0, min(firstBodyBytes, most))
	s.size = int64(cap(buf)) // does not count: it is less than FreeBytes
	for {
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > maxBytes:
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", maxBytes)
		case err != nil:
			return s.endBody(buf, err)
		case int64(len(buf)) == most: // net/http returns io.EOF with or after the last byte
			var none [1]byte
			if n, err = body.Read(none[:]); n == 0 {
				return s.endBody(buf, err)
			}
			return nil, errors.Wrapf(ErrTooLong, "more than %d bytes", most)
		}
		if full := cap(buf); len(buf) == full {
			// Both buffers count while the body is copied.
			larger := int(min(2*int64(full), most, s.budget.BodyLimit()+FreeBytes-int64(full)))
			if larger <= full {
				return nil, errors.Wrapf(ErrTooLong, "more than %d bytes, which the memory for requests doesn't hold", full)
			}
			if err := s.growBody(larger, h); err != nil {
				return nil, err
			}
			buf = append(make([]byte, 0, larger), buf...)
			s.Shrink(full)
		}
	}
}

// growBody is Grow for a body, which waits for h from then on.
func (s *Share) growBody(n int, h Holder) error {
	if err := s.Grow(n, func() {}); err != nil {
		return err
	}
	if h != nil && s.size > FreeBytes {
		s.WaitFor(h)
	}
	return nil
}

// endBody ends the growth of a share by the error that ended its body.
func (s *Share) endBody(buf []byte, err error) ([]byte, error) {
	if s.size > FreeBytes {
		s.budget.mu.Lock()
		evicted := s.evicted
		delete(s.budget.waiting, s)
		delete(s.budget.growing, s)
		s.budget.mu.Unlock()
		if evicted {
			return nil, errors.WithStack(ErrExhausted)
		}
	}
	if err != io.EOF {
		return nil, errors.WithStack(err)
	}
	return buf, nil
}
