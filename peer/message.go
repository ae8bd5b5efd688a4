// Package peer carries messages between daemons: TCP with length-prefixed
// msgpack frames. It bounds frames and queues, sets deadlines on every read and
// write, and replaces a connection that fell silent by a new one.
//
// It gives no delivery guarantee: a message may be lost, and a call that fails
// may have been handled. A caller must not assume order between two messages.
package peer

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is exchanged in the hello; daemons that differ don't talk.
const ProtocolVersion = 1

// Kind identifies a message type. Each slice has a range of its own.
type Kind uint16

// Ranges of message kinds.
const (
	kindHello         Kind = 1
	kindPing          Kind = 2
	kindPong          Kind = 3
	kindBroadcast     Kind = 4
	MembershipBase    Kind = 100
	ConfigurationBase Kind = 200
	ConfirmationBase  Kind = 300
	AdmissionBase     Kind = 400
	GenerationBase    Kind = 500
	QuarantineBase    Kind = 600
)

// Errors of the transport.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	ErrVersion       = errors.New("peer speaks another protocol version")
	ErrQueueFull     = errors.New("send queue full")
	ErrSilent        = errors.New("connection fell silent")
	ErrClosed        = errors.New("transport closed")
	ErrNoHandler     = errors.New("peer has no handler for the message")
)

// Identity names one run of a daemon. A restarted daemon has a greater
// incarnation and remembers nothing of the run before.
type Identity struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"inc"`
	Place       string `msgpack:"place"`
	Region      string `msgpack:"region"`
	APIAddress  string `msgpack:"api"`
	PeerAddress string `msgpack:"peer"`
}

// hello opens a connection in both directions.
type hello struct {
	Version int      `msgpack:"v"`
	Self    Identity `msgpack:"self"`
}

// envelope is the content of one frame.
type envelope struct {
	Kind  Kind               `msgpack:"k"`
	ID    uint64             `msgpack:"i,omitempty"`
	Reply bool               `msgpack:"r,omitempty"`
	Error string             `msgpack:"e,omitempty"`
	Time  int64              `msgpack:"t,omitempty"`
	Body  msgpack.RawMessage `msgpack:"b,omitempty"`

	size int // bytes of the frame it arrived in
}
