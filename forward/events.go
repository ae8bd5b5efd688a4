package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

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

// eventReader splits a stream into complete events.
type eventReader struct {
	body   io.ReadCloser
	r      *bufio.Reader
	memory *membudget.Share
	// recent holds the sizes of the latest events, oldest first. When an event is read,
	// the last two may not have been passed on yet: one waits and one is being sent.
	recent [3]int
}

func newEventReader(body io.ReadCloser, memory *membudget.Share) *eventReader {
	return &eventReader{body: body, r: bufio.NewReader(body), memory: memory}
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
