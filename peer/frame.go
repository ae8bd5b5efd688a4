package peer

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// maxFrameBytes is the maximum size of a frame's body. It exceeds the platform's largest
// value, one megabyte, so that any platform object can be relayed.
const maxFrameBytes = 4 << 20

// maxHelloBytes is the maximum size of the body of a hello frame. It is small, because
// anything may listen at, or connect to, the address of a daemon that has ended.
const maxHelloBytes = 4 << 10

// headerBytes is the size of the length prefix of a frame.
const headerBytes = 4

// writeFrame writes one envelope with its length prefix in a single write. It returns
// the number of bytes written.
func writeFrame(w io.Writer, e *envelope) (int, error) {
	body, err := msgpack.Marshal(e)
	if err != nil {
		return 0, errors.Wrap(err, "encode frame")
	}
	if len(body) > maxFrameBytes {
		return 0, errors.WithStack(ErrFrameTooLarge)
	}
	buf := make([]byte, headerBytes+len(body))
	binary.BigEndian.PutUint32(buf, uint32(len(body)))
	copy(buf[headerBytes:], body)
	n, err := w.Write(buf)
	return n, errors.Wrap(err, "write frame")
}

// readFrame reads one envelope whose body has at most maxBytes. Its buffer grows with the
// received data, so that a false length prefix can't make it allocate much memory.
func readFrame(r io.Reader, maxBytes uint32) (*envelope, error) {
	return readCountedFrame(r, maxBytes, nil, nil)
}

// readCountedFrame is readFrame with a body that counts in memory, unless that is nil. stop
// ends the read if others need its bytes.
func readCountedFrame(r io.Reader, maxBytes uint32, memory *membudget.Share, stop func()) (*envelope, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errors.Wrap(err, "read frame header")
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > maxBytes {
		return nil, errors.WithStack(ErrFrameTooLarge)
	}
	e := &envelope{size: headerBytes + int(n), memory: memory}
	body, err := readFrameBody(r, int(n), memory, stop)
	if err == nil {
		err = errors.Wrap(msgpack.Unmarshal(body, e), "decode frame")
	}
	if err != nil {
		e.release()
		return nil, err
	}
	return e, nil
}

func readFrameBody(r io.Reader, n int, memory *membudget.Share, stop func()) ([]byte, error) {
	r = io.LimitReader(r, int64(n))
	var body []byte
	var err error
	if memory == nil {
		body, err = io.ReadAll(r)
	} else {
		body, err = memory.ReadWith(r, n, stop)
	}
	if err == nil && len(body) < n {
		err = io.ErrUnexpectedEOF
	}
	return body, errors.Wrap(err, "read frame body")
}
