// Package peer sends messages between daemons over TCP, as length-prefixed msgpack
// frames. It limits the size of frames and queues, sets deadlines on reads and writes,
// and replaces a silent connection by a new one.
//
// Delivery is not guaranteed: a message may be lost, and the peer may have handled a
// call that fails. The order of messages is not guaranteed either.
package peer

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// ProtocolVersion is exchanged in the handshake. Daemons with different versions don't
// connect.
const ProtocolVersion = 1

// Kind identifies a message type. Each slice (a package with messages of its own, such
// as membership) has its own range of kinds.
type Kind uint16

// Message kinds of the transport, and the first kind of each slice's range.
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

// Errors of a Transport.
var (
	ErrFrameTooLarge = errors.New("frame exceeds the size limit")
	ErrVersion       = errors.New("peer speaks another protocol version")
	ErrQueueFull     = errors.New("send queue full")
	ErrSilent        = errors.New("connection fell silent")
	ErrClosed        = errors.New("transport closed")
	ErrNoHandler     = errors.New("peer has no handler for the message")
)

// Identity identifies one incarnation of a daemon, from the start to the end of its
// process. A restarted daemon has a greater Incarnation and no state of the previous one.
type Identity struct {
	ID          string `msgpack:"id"`
	Incarnation uint64 `msgpack:"inc"`
	Place       string `msgpack:"place"`
	Region      string `msgpack:"region"`
	APIAddress  string `msgpack:"api"`
	PeerAddress string `msgpack:"peer"`
}

// hello is the handshake message that both sides send first on a connection.
type hello struct {
	Version int      `msgpack:"v"`
	Self    Identity `msgpack:"self"`
}

// envelope is the content of one frame.
type envelope struct {
	Kind  Kind               `msgpack:"k"`
	ID    uint64             `msgpack:"i,omitempty"` // of the call on its connection; 0 for a one-way message
	Reply bool               `msgpack:"r,omitempty"`
	Error string             `msgpack:"e,omitempty"`
	Time  int64              `msgpack:"t,omitempty"` // event.Time at which the sender wrote the frame; 0 if unknown
	Body  msgpack.RawMessage `msgpack:"b,omitempty"`

	size    int     // bytes of the received frame; not encoded
	arrival Arrival // of the received frame; not encoded
	// memory is what the received frame counts; nil for nothing. It is not encoded.
	memory *membudget.Share
}

// release gives the memory of a received frame back once it was handled.
func (e *envelope) release() {
	if e.memory != nil {
		e.memory.Release()
	}
}
