package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Messages of the generation slice.
const (
	kindTakeOver = peer.GenerationBase     // generation.TakeOver, answered by Taken
	kindWhere    = peer.GenerationBase + 1 // generation.Where, answered by Location
	kindClaim    = peer.GenerationBase + 2 // claimMessage, answered by the daemon before
)

type claimMessage struct {
	Request string `msgpack:"r"`
	Daemon  string `msgpack:"d"` // peer address
}

// generationPeers speaks to the hubs of other daemons.
type generationPeers struct {
	n      *Node
	claims *generation.Claims // owned by the control loop
}

var _ generation.Peers = (*generationPeers)(nil)

func (n *Node) newGenerationPeers() *generationPeers {
	p := &generationPeers{n: n, claims: generation.NewClaims()}
	n.transport.Handle(kindTakeOver, answerWith(func(_ context.Context, t generation.TakeOver) (any, error) { return n.hub.TakenOver(t), nil }))
	n.transport.Handle(kindWhere, answerWith(func(_ context.Context, w generation.Where) (any, error) { return n.hub.Located(w), nil }))
	n.transport.Handle(kindClaim, answerWith(func(ctx context.Context, m claimMessage) (any, error) { return p.take(ctx, m) }))
	return p
}

// answerWith decodes the body of a message for fn.
func answerWith[T any](fn func(context.Context, T) (any, error)) peer.Handler {
	return func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var m T
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, errors.Wrapf(err, "decode %T", m)
		}
		return fn(ctx, m)
	}
}

func (p *generationPeers) take(ctx context.Context, m claimMessage) (string, error) {
	return control.Ask(ctx, p.n.loop, func(now time.Time) string { return p.claims.Take(now, m.Request, m.Daemon) })
}

// keeper returns the peer address of the daemon that keeps the claims of a
// request: the one with the highest hash, so that a daemon that comes or goes
// moves only its own.
func (p *generationPeers) keeper(request string) string {
	self := p.n.self
	best, address := xxhash.Sum64String(request+"\x00"+self.ID), self.PeerAddress
	for _, m := range p.n.view.Load().Live() {
		if h := xxhash.Sum64String(request + "\x00" + m.ID); h > best {
			best, address = h, m.PeerAddress
		}
	}
	return address
}

// Claim implements generation.Peers.
func (p *generationPeers) Claim(ctx context.Context, request string) (string, error) {
	m := claimMessage{request, p.n.self.PeerAddress}
	keeper := p.keeper(request)
	if keeper == m.Daemon {
		return p.take(ctx, m)
	}
	var before string
	err := p.n.transport.Call(ctx, keeper, kindClaim, m, &before)
	return before, err
}

// Where implements generation.Peers.
func (p *generationPeers) Where(ctx context.Context, daemon string, w generation.Where) (l generation.Location, err error) {
	err = p.n.transport.Call(ctx, daemon, kindWhere, w, &l)
	return l, err
}

// TakeOver implements generation.Peers.
func (p *generationPeers) TakeOver(ctx context.Context, daemon string, t generation.TakeOver) (taken generation.Taken, err error) {
	err = p.n.transport.Call(ctx, daemon, kindTakeOver, t, &taken)
	return taken, err
}
