package peer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// fanout is the maximum number of daemons to which one daemon sends a broadcast message
// directly. With eight VMs every daemon gets the message directly. With hundreds, a VM
// with a link of 1 MB/s sends its copies of a 10 kB message within a tenth of a second,
// and four hops reach all daemons.
const fanout = 8

// broadcast is a message that its receiver handles and relays to further daemons.
type broadcast struct {
	Kind Kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	To   []string           `msgpack:"t,omitempty"` // peer addresses to relay it to
}

// Broadcast sends a one-way message to the daemons at the peer addresses in to, along a
// tree, so that no daemon has to send a copy to all others. The first addresses are
// nearest to the root. Daemons that may be silent should come last, since the daemons
// below a silent one don't get the message. A handler gets as sender the daemon that
// relayed the message. onError is called for each daemon to which this daemon failed to
// send, possibly concurrently.
func (t *Transport) Broadcast(to []string, kind Kind, msg any, onError func(address string, err error)) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		for _, address := range to {
			onError(address, errors.Wrap(err, "encode message"))
		}
		return
	}
	t.relay(broadcast{Kind: kind, Body: body, To: to}, onError)
}

// relay sends a message to the first daemon of each branch, which relays it to the rest
// of the branch.
func (t *Transport) relay(m broadcast, onError func(address string, err error)) {
	for _, branch := range branches(m.To, fanout) {
		if !t.addGoroutine() {
			return
		}
		go func() {
			defer t.wg.Done()
			t.relayBranch(branch, m, onError)
		}()
	}
}

// relayBranch sends a message to the first daemon of a branch that accepts a connection.
func (t *Transport) relayBranch(branch []string, m broadcast, onError func(address string, err error)) {
	for i, address := range branch {
		ctx, cancel := context.WithTimeout(t.ctx, dialTimeout)
		err := t.Send(ctx, address, kindBroadcast, broadcast{Kind: m.Kind, Body: m.Body, To: branch[i+1:]})
		cancel()
		if err == nil {
			return
		}
		onError(address, err)
	}
}

// branches distributes addresses round-robin over at most n branches, whose lengths
// differ by at most one.
func branches(addresses []string, n int) [][]string {
	out := make([][]string, min(n, len(addresses)))
	for i, address := range addresses {
		out[i%n] = append(out[i%n], address)
	}
	return out
}

// handleBroadcast relays a message and runs its handler. Failures to relay it are
// ignored, since senders don't rely on the delivery of each broadcast.
func (t *Transport) handleBroadcast(ctx context.Context, from Identity, m broadcast) (any, error) {
	t.relay(m, func(string, error) {})
	return t.dispatch(ctx, from, m.Kind, m.Body)
}
