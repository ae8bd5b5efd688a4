package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
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
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{bufio.NewReader(r)} }

// next returns the next complete event. It returns io.EOF after the last one, and
// another error if the stream was truncated or an event is malformed.
func (e *eventReader) next() (Event, error) {
	ev := Event{ID: -1}
	for {
		line, err := e.r.ReadBytes('\n')
		ev.Raw = append(ev.Raw, line...)
		if err != nil {
			if err == io.EOF && len(ev.Raw) > 0 {
				return Event{}, errors.WithStack(ErrTruncated)
			}
			return Event{}, err
		}
		if len(ev.Raw) > maxEventBytes {
			return Event{}, errors.Errorf("event of more than %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
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
