package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Event is one event of a stream of server-sent events.
type Event struct {
	ID  int64 // -1 if the event has none
	Raw []byte
}

// maxEventBytes bounds one event, so that a faulty target can't exhaust memory.
const maxEventBytes = 1 << 20

// ErrTruncated means that a stream ended within an event.
var ErrTruncated = errors.New("stream ends within an event")

// Limits of an event that arrives slowly. Silence within an event doesn't exceed them.
const (
	// slowEventTime is how long an event may take whose bytes arrive in small parts.
	slowEventTime = 2 * time.Second
	// slowEventParts is how many parts may be small; the network splits an event into few.
	slowEventParts = 16
	// smallPartBytes is the average below which parts are small.
	smallPartBytes = 512
)

// partReader reads a body, and fails if an event in it arrives too slowly.
type partReader struct {
	body  io.Reader
	began time.Time // when the first part of the event arrived; zero before
	parts int       // of the event
	bytes int       // of the parts
}

// reset begins an event.
func (r *partReader) reset() { r.began, r.parts, r.bytes = time.Time{}, 0, 0 }

// Read implements io.Reader. It is called only while the event is not complete.
func (r *partReader) Read(p []byte) (int, error) {
	if r.parts > slowEventParts && r.bytes < smallPartBytes*r.parts && time.Since(r.began) > slowEventTime {
		return 0, errors.Errorf("an event is not complete %v after its first byte, and %d parts", time.Since(r.began), r.parts)
	}
	n, err := r.body.Read(p)
	if r.began.IsZero() {
		r.began = time.Now()
	}
	r.parts++
	r.bytes += n
	return n, err
}

// eventReader splits a stream into complete events.
type eventReader struct {
	body   io.ReadCloser
	parts  *partReader
	r      *bufio.Reader // of parts
	memory *membudget.Share
	// recent holds the sizes of the latest events, oldest first. When an event is read,
	// the last two may not have been passed on yet: one waits and one is being sent.
	recent [3]int
}

func newEventReader(body io.ReadCloser, memory *membudget.Share) *eventReader {
	parts := &partReader{body: body}
	return &eventReader{body: body, parts: parts, r: bufio.NewReader(parts), memory: memory}
}

// close closes the stream and releases the memory of its events.
func (e *eventReader) close() {
	_ = e.body.Close()
	e.memory.Release()
}

// next returns the next complete event. It returns io.EOF after the last one, and
// another error if the stream was truncated or an event is malformed or too long.
func (e *eventReader) next() (Event, error) {
	e.memory.Shrink(e.recent[0])
	e.parts.reset()
	ev := Event{ID: -1}
	for {
		line, err := e.appendLine(&ev)
		if err != nil {
			if err == io.EOF && len(ev.Raw) > 0 {
				return Event{}, errors.WithStack(ErrTruncated)
			}
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.recent = [3]int{e.recent[1], e.recent[2], len(ev.Raw)}
			return ev, e.memory.Settle()
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return Event{}, errors.Wrap(err, "event id")
			}
			ev.ID = id
		}
	}
}

// appendLine appends the next line to an event and returns it.
func (e *eventReader) appendLine(ev *Event) ([]byte, error) {
	start := len(ev.Raw)
	for {
		part, err := e.r.ReadSlice('\n')
		if len(ev.Raw)+len(part) > maxEventBytes {
			return nil, errors.Errorf("event of more than %d bytes", maxEventBytes)
		}
		if err := e.memory.Grow(len(part), func() { _ = e.body.Close() }); err != nil {
			return nil, err
		}
		ev.Raw = append(ev.Raw, part...)
		if err != bufio.ErrBufferFull { // otherwise the line goes on
			return ev.Raw[start:], err
		}
	}
}
