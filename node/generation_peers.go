package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Message kinds of generation.
const (
	kindTakeOver = peer.GenerationBase     // generation.TakeOverNotice, answered by TakeOverReply
	kindLocate   = peer.GenerationBase + 1 // generation.LocateRequest, answered by LocateReply
	kindClaim    = peer.GenerationBase + 2 // claimMessage, answered by the peer address of the daemon with the previous claim
	kindHolder   = peer.GenerationBase + 3 // request ID, answered by the peer address of the daemon that runs it
	kindCancel   = peer.GenerationBase + 4 // request ID, answered by whether the receiver ran the request
)

// claimMessage reports that a daemon runs a request. It is sent to the request's
// registrar, see Registrar. Renew means that it repeats an earlier claim of the daemon.
type claimMessage struct {
	Request string `msgpack:"r"`
	Daemon  string `msgpack:"d"` // peer address
	Renew   bool   `msgpack:"n,omitempty"`
}

// generationPeers implements generation.Peers by messages to the hubs of other
// daemons. It also stores the claims of the requests of which this daemon is the
// registrar.
type generationPeers struct {
	n      *Node
	claims *generation.Claims // owned by the control loop
}

var _ generation.Peers = (*generationPeers)(nil)

func (n *Node) newGenerationPeers() *generationPeers {
	p := &generationPeers{n: n, claims: generation.NewClaims()}
	peer.HandleTyped(n.transport, kindTakeOver, func(_ context.Context, _ peer.Identity, notice generation.TakeOverNotice) (any, error) {
		return n.hub.HandleTakeOver(notice), nil
	})
	peer.HandleTyped(n.transport, kindLocate, func(_ context.Context, _ peer.Identity, request generation.LocateRequest) (any, error) {
		return n.hub.HandleLocate(request), nil
	})
	peer.HandleTyped(n.transport, kindClaim, func(ctx context.Context, _ peer.Identity, m claimMessage) (any, error) { return p.swapClaim(ctx, m) })
	peer.HandleTyped(n.transport, kindHolder, func(ctx context.Context, _ peer.Identity, id string) (any, error) { return p.claimHolder(ctx, id) })
	peer.HandleTyped(n.transport, kindCancel, func(_ context.Context, _ peer.Identity, id string) (any, error) { return n.hub.Cancel(id), nil })
	return p
}

func (p *generationPeers) swapClaim(ctx context.Context, m claimMessage) (string, error) {
	return control.Call(ctx, p.n.loop, func(now time.Time) string {
		if m.Renew {
			p.claims.Renew(now, m.Request, m.Daemon)
			return ""
		}
		return p.claims.Swap(now, m.Request, m.Daemon)
	})
}

func (p *generationPeers) claimHolder(ctx context.Context, request string) (string, error) {
	return control.Call(ctx, p.n.loop, func(now time.Time) string { return p.claims.Holder(now, request) })
}

// cancelTimeout bounds finding the daemon that runs a request and canceling there.
const cancelTimeout = 2 * time.Second

// cancel cancels a request on the daemon that runs it. It reports whether it found a
// daemon that ran the request.
func (p *generationPeers) cancel(ctx context.Context, request string) bool {
	if p.n.hub.Cancel(request) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	self := p.n.self.PeerAddress
	var holder string
	var err error
	if registrar := p.Registrar(request); registrar == self {
		holder, err = p.claimHolder(ctx, request)
	} else {
		err = p.n.transport.Call(ctx, registrar, kindHolder, request, &holder)
	}
	if err != nil || holder == "" || holder == self {
		return false
	}
	var ended bool
	err = p.n.transport.Call(ctx, holder, kindCancel, request, &ended)
	return err == nil && ended
}

// Registrar returns the peer address of the daemon that stores the claims of a
// request: the one with the highest rendezvous hash, so that a daemon that joins or
// leaves changes the registrar only of its own requests.
func (p *generationPeers) Registrar(request string) string {
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
	return p.claim(ctx, claimMessage{Request: request, Daemon: p.n.self.PeerAddress})
}

// Renew implements generation.Peers.
func (p *generationPeers) Renew(ctx context.Context, request string) error {
	_, err := p.claim(ctx, claimMessage{Request: request, Daemon: p.n.self.PeerAddress, Renew: true})
	return err
}

func (p *generationPeers) claim(ctx context.Context, m claimMessage) (string, error) {
	registrar := p.Registrar(m.Request)
	if registrar == m.Daemon {
		return p.swapClaim(ctx, m)
	}
	var previous string
	err := p.n.transport.Call(ctx, registrar, kindClaim, m, &previous)
	return previous, err
}

// errUnknownDaemon is returned for an address in a caller's cursor that is not the
// address of a daemon: callers must not choose where this daemon connects to.
var errUnknownDaemon = errors.New("not a daemon of this site")

func (p *generationPeers) isMember(address string) bool {
	for _, m := range p.n.view.Load().Members {
		if m.PeerAddress == address {
			return true
		}
	}
	return false
}

// Locate implements generation.Peers.
func (p *generationPeers) Locate(ctx context.Context, daemon string, request generation.LocateRequest) (reply generation.LocateReply, err error) {
	err = p.n.transport.Call(ctx, daemon, kindLocate, request, &reply)
	return reply, err
}

// NotifyTakeOver implements generation.Peers.
func (p *generationPeers) NotifyTakeOver(ctx context.Context, daemon string, notice generation.TakeOverNotice) (reply generation.TakeOverReply, err error) {
	if !p.isMember(daemon) {
		return reply, errors.Wrap(errUnknownDaemon, daemon)
	}
	err = p.n.transport.Call(ctx, daemon, kindTakeOver, notice, &reply)
	return reply, err
}
