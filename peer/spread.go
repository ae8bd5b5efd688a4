package peer

import (
	"context"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// fanout is the largest number of daemons to which one daemon sends a spread message
// itself. Among eight VMs every daemon is sent to directly; with hundreds, a VM whose
// link carries 1 MB/s sends a message of 10 kB within a tenth of a second, and four
// hops reach all.
const fanout = 8

// broadcast is a message on its way to many daemons.
type broadcast struct {
	Kind Kind               `msgpack:"k"`
	Body msgpack.RawMessage `msgpack:"b,omitempty"`
	To   []string           `msgpack:"t,omitempty"` // addresses to pass it on to
}

// Broadcast sends a one-way message to the daemons at some addresses along a tree, so
// that no daemon's link carries a copy for each. Those that come first in to are
// nearest to the root: daemons that may be silent should come last, since what lies
// behind a daemon that is silent is not reached. A handler sees as sender the daemon
// that it got the message from. lost is called for each daemon that was not sent to.
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

// relay sends a message to the heads of its branches, each of which passes it on.
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

// relayBranch sends a message to the first daemon of a branch that can be connected to.
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

// branches deals addresses out to at most n branches of like length, in order.
func branches(addresses []string, n int) [][]string {
	out := make([][]string, min(n, len(addresses)))
	for i, address := range addresses {
		out[i%n] = append(out[i%n], address)
	}
	return out
}

// handleBroadcast handles a message and passes it on. What could not be sent on is not
// reported: senders of spread messages don't rely on each of them.
func (t *Transport) handleBroadcast(ctx context.Context, from Identity, m broadcast) (any, error) {
	t.relay(m, func(string, error) {})
	return t.dispatch(ctx, from, m.Kind, m.Body)
}
