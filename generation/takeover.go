package generation

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// TakeOver is the message by which a daemon tells another that a caller of the
// other came to it.
type TakeOver struct {
	Request string `msgpack:"r"`
	Attempt int64  `msgpack:"a"`
	By      string `msgpack:"b"` // peer address of the daemon that goes on
}

// takeOverPause is the time between two notices, takeOverTimeout how long one
// may take. A daemon that was paused is told when it wakes.
const (
	takeOverPause   = time.Second
	takeOverTimeout = time.Second
)

// takeOver tells the daemon that the caller left, until it knows or the answer
// here is final. Otherwise it would cancel the stream that is now read here.
func (h *Hub) takeOver(ctx context.Context, request string, c Cursor, answer *Answer) {
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, takeOverTimeout)
		err := h.deps.Notifier.TakeOver(attempt, request, c)
		cancel()
		if _, done, _ := answer.snapshot(); err == nil || done {
			return
		}
		pause := time.NewTimer(takeOverPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
		}
	}
}

// TakenOver notes that another daemon goes on with a request. The run here ends
// without canceling its stream as soon as no caller reads it.
func (h *Hub) TakenOver(t TakeOver) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.runs[t.Request]
	if n == nil || !n.ended.IsZero() {
		return
	}
	n.taken = true
	h.deps.Events.Record(event.GenerationTaken, t.Request, event.F("by", t.By))
	if !n.answer.Watched() {
		n.order(TakenOver{By: t.By})
	}
}
