// Package relay lets a daemon reach targets through another daemon. A relayed connection
// carries the bytes of one connection to a target unchanged and preserves how it ends: an
// orderly end at the target is one for the daemon, and any other end, such as that of the
// relaying daemon, is a broken connection. A server relays to registered targets only and
// never through a third daemon.
package relay

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Target identifies the target of a relayed connection.
type Target struct {
	ID          string `msgpack:"i"`
	Address     string `msgpack:"a"` // IP:port
	StartMillis int64  `msgpack:"b,omitempty"`
}

// status is the first byte that a server sends: how it could connect to the target.
type status byte

const (
	statusConnected status = 'c'
	// statusNotListening means that no process listens at the target's address, and that
	// the server reaches another target.
	statusNotListening status = 'n'
	statusUnreachable  status = 'u'
	statusRejected     status = 'r' // the server does not know the target, is busy, or stops
)

// Errors of Dial.
var (
	// ErrNotListening means that no process listens at the target's address.
	ErrNotListening = errors.New("the relaying daemon finds no process at the target's address")
	ErrUnreachable  = errors.New("the relaying daemon can't reach the target")
	ErrRejected     = errors.New("the daemon does not relay to the target")
)

func (s status) err() error {
	switch s {
	case statusConnected:
		return nil
	case statusNotListening:
		return ErrNotListening
	case statusUnreachable:
		return ErrUnreachable
	}
	return ErrRejected
}

const (
	maxRequestBytes = 1 << 10
	// handshakeTimeout bounds the exchange of a request and its status, in which the server
	// connects to the target.
	handshakeTimeout = 300 * time.Millisecond
	// maxFrameBytes is the largest number of bytes from a target in one frame.
	maxFrameBytes = 16 << 10
	// lengthBytes is the size of the length before a request and before each frame of
	// bytes from the target. A frame of length 0 is the orderly end of the connection.
	lengthBytes = 2
)

func writeRequest(w io.Writer, t Target) error {
	body, err := msgpack.Marshal(t)
	if err != nil {
		return errors.Wrap(err, "encode relay request")
	}
	if len(body) > maxRequestBytes {
		return errors.Errorf("relay request of %d bytes, more than %d", len(body), maxRequestBytes)
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...))
	return errors.Wrap(err, "send relay request")
}

func readRequest(r io.Reader) (t Target, err error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return t, errors.Wrap(err, "read relay request")
	}
	n := binary.BigEndian.Uint16(length[:])
	if n > maxRequestBytes {
		return t, errors.Errorf("relay request of %d bytes, more than %d", n, maxRequestBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return t, errors.Wrap(err, "read relay request")
	}
	return t, errors.Wrap(msgpack.Unmarshal(body, &t), "decode relay request")
}

// conn is a relayed connection at the daemon that uses it.
type conn struct {
	net.Conn
	left    int // bytes of the current frame that were not read
	ended   bool
	onClose func()
}

// Read implements net.Conn. Its error is io.EOF only if the target has ended the connection
// in order.
func (c *conn) Read(b []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	if len(b) == 0 {
		return 0, nil
	}
	if c.left == 0 {
		var length [lengthBytes]byte
		if _, err := io.ReadFull(c.Conn, length[:]); err != nil {
			return 0, brokenError(err)
		}
		c.left = int(binary.BigEndian.Uint16(length[:]))
		if c.ended = c.left == 0; c.ended {
			return 0, io.EOF
		}
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, brokenError(err)
}

// brokenError returns the error for a connection that ended without a final frame.
func brokenError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close implements net.Conn. If bytes were not delivered, the connection is reset: the relaying
// daemon does not read while its target doesn't, and would not learn of an orderly end behind them.
func (c *conn) Close() error {
	c.onClose()
	if undelivered(c.Conn) {
		reset(c.Conn)
	}
	return c.Conn.Close()
}
