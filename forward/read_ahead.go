package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

const (
	// queuedPartBytes is what a part of an answer uses in a queue beside the bytes of its event.
	queuedPartBytes = 128
	// aheadRetryInterval is the time after which a queue that could not grow tries again.
	aheadRetryInterval = 50 * time.Millisecond
)

// readAhead queues the parts of a stream that its caller has not taken, so that the target's
// answer is read while the caller reads slowly: a target cuts off an answer that stays unread
// for some seconds. It adds an unbounded queue to a channel of capacity 1; the memory budget
// bounds the queue, which stops the read once it can't grow.
type readAhead struct {
	parts chan answerPart
	taken chan struct{} // receives a value after a part was taken

	// delivering is set while an event is written to the caller. Only then the queue grows: a
	// target that sends faster than its events are handled is not read ahead of.
	delivering atomic.Bool

	mu     sync.Mutex
	queue  []answerPart // the parts after the one in the channel, which is full if there are any
	memory *membudget.Share
	closed bool
}

func newReadAhead(parts chan answerPart, memory *membudget.Share) *readAhead {
	return &readAhead{parts: parts, taken: make(chan struct{}, 1), memory: memory}
}

// push adds a part. It waits while the queue may not grow, and returns false if ctx ends
// or the queue is closed before.
func (r *readAhead) push(ctx context.Context, p answerPart) bool {
	for {
		if done, ok := r.tryPush(p); done {
			return ok
		}
		retry := time.NewTimer(aheadRetryInterval)
		select {
		case <-r.taken:
		case <-retry.C:
		case <-ctx.Done():
			retry.Stop()
			return false
		}
		retry.Stop()
	}
}

// tryPush adds a part if the caller is slow and there is memory for it. done is false otherwise.
func (r *readAhead) tryPush(p answerPart) (done, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return true, false
	}
	if len(r.queue) == 0 {
		select {
		case r.parts <- p:
			return true, true
		default:
		}
	}
	if !r.delivering.Load() {
		return false, false
	}
	if err := r.memory.Grow(p.queuedBytes(), func() {}); err != nil {
		return false, false
	}
	r.queue = append(r.queue, p)
	return true, true
}

// queuedBytes returns the memory that a part uses in a queue.
func (p answerPart) queuedBytes() int { return cap(p.event.Raw) + queuedPartBytes }

// deliver writes an event to the caller.
func (a *streamAttempt) deliver(raw []byte) error {
	if a.ahead != nil {
		a.ahead.delivering.Store(true)
		defer a.ahead.delivering.Store(false)
	}
	return a.stream.responder.Event(raw)
}

// refill must be called after each receive from the channel. It moves the next part there.
func (r *readAhead) refill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.queue) > 0 && !r.closed {
		next := r.queue[0]
		select {
		case r.parts <- next:
			r.queue[0] = answerPart{}
			r.queue = r.queue[1:]
			r.memory.Shrink(next.queuedBytes())
		default: // the channel is full
		}
	}
	select {
	case r.taken <- struct{}{}:
	default:
	}
}

// close drops the queue. Parts that are pushed afterwards are refused.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.queue = true, nil
	r.memory.Release()
}
