package gateway

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// Message kinds between gateways.
const (
	kindNews    = peer.ConfigurationBase + 50 + iota // exchange.News
	kindWhole                                        // string, answered by exchange.Whole
	kindWork                                         // work
	kindSuspect                                      // string, the id of a target
	kindStrikes                                      // []quarantine.Strike
)

// Timing of what daemons tell each other.
const (
	// workPeriod is how often a daemon tells what it runs if that changed, and
	// workPerMember what is added for each daemon, so that what one receives stays
	// bounded as they grow more.
	workPeriod    = 200 * time.Millisecond
	workPerMember = 10 * time.Millisecond
	// heartbeat is how often it tells so anyway.
	heartbeat = 500 * time.Millisecond
	// tellTimeout bounds the sending of one message.
	tellTimeout = time.Second
	// forgetPeriod is how often what belongs to targets that are gone is dropped.
	forgetPeriod = 500 * time.Millisecond
)

// work is what a daemon runs, and a sign of life.
type work struct {
	Shares  map[string]fleet.Share `msgpack:"s,omitempty"`
	Leaving bool                   `msgpack:"l,omitempty"`
}

// peers talks to the other daemons.
type peers struct {
	g         *Gateway
	transport *peer.Transport
	ctx       context.Context
}

func newPeers(g *Gateway) (*peers, error) {
	s := g.settings.Load()
	t, err := peer.Listen(peer.Identity{
		ID: s.ID, Incarnation: uint64(time.Now().UnixNano()), Place: s.Place, Region: s.Region,
		APIAddress: s.Callers, PeerAddress: s.Peers,
	}, g.events)
	if err != nil {
		return nil, err
	}
	p := &peers{g: g, transport: t, ctx: context.Background()}
	t.Handle(kindNews, p.serveNews)
	t.Handle(kindWhole, p.serveWhole)
	t.Handle(kindWork, p.serveWork)
	t.Handle(kindSuspect, p.serveSuspect)
	t.Handle(kindStrikes, p.serveStrikes)
	return p, nil
}

func (p *peers) run(ctx context.Context) {
	p.ctx = ctx
	p.g.wg.Go(p.transport.Serve)
	p.g.wg.Go(func() { p.tellWork(ctx) })
}

// tell sends a message to all other daemons, without waiting.
func (p *peers) tell(kind peer.Kind, message any) {
	for _, m := range p.g.members.others() {
		go p.send(m.Peers, kind, message)
	}
}

// send sends a message; one that is lost is made up for by the next.
func (p *peers) send(address string, kind peer.Kind, message any) {
	ctx, cancel := context.WithTimeout(p.ctx, tellTimeout)
	defer cancel()
	_ = p.transport.Send(ctx, address, kind, message)
}

func (p *peers) tellNews(n exchange.News) { p.tell(kindNews, n) }

// tellWork tells what this daemon runs until ctx ends.
func (p *peers) tellWork(ctx context.Context) {
	var last map[string]fleet.Share
	var told, forgot time.Time
	for ctx.Err() == nil {
		now := time.Now()
		shares := p.g.fleet.Shares()
		if now.Sub(told) >= heartbeat || !maps.Equal(shares, last) {
			p.tell(kindWork, work{shares, p.g.draining.Load()})
			last, told = shares, now
		}
		if now.Sub(forgot) >= forgetPeriod {
			p.g.forgetTargets()
			p.forgetSilent()
			forgot = now
		}
		pause.For(ctx, workPeriod+time.Duration(len(p.g.members.others()))*workPerMember)
	}
}

// forgetSilent stops counting the work of daemons that fell silent.
func (p *peers) forgetSilent() {
	for _, m := range p.g.members.others() {
		if !p.g.members.live(m.ID) {
			p.g.fleet.Told(m.ID, nil)
		}
	}
}

func (p *peers) serveNews(ctx context.Context, from peer.Identity, body []byte) (any, error) {
	var n exchange.News
	if err := msgpack.Unmarshal(body, &n); err != nil {
		return nil, errors.Wrap(err, "decode news")
	}
	if p.g.shelf.hear(n) {
		p.fetch(ctx, from.PeerAddress, n.Kind)
	}
	return nil, nil
}

func (p *peers) serveWhole(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var kind string
	if err := msgpack.Unmarshal(body, &kind); err != nil {
		return nil, errors.Wrap(err, "decode kind")
	}
	w, ok := p.g.shelf.whole(kind)
	if !ok {
		return nil, errors.Errorf("kind %s is not known here", kind)
	}
	return w, nil
}

// fetch takes the whole of a kind from a peer, and returns whether it got it.
func (p *peers) fetch(ctx context.Context, address, kind string) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var w exchange.Whole
	if err := p.transport.Call(ctx, address, kindWhole, kind, &w); err != nil {
		return false // the next news, or read, makes up for it
	}
	p.g.shelf.take(w)
	return true
}

// fetchAny takes a kind from any daemon: one that is known, else a seed.
func (p *peers) fetchAny(ctx context.Context, kind string) {
	var addresses []string
	for _, m := range p.g.members.others() {
		addresses = append(addresses, m.Peers)
	}
	if len(addresses) == 0 {
		for _, seed := range p.g.settings.Load().Seeds {
			if seed != p.g.settings.Load().Peers {
				addresses = append(addresses, seed)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	const most = 2
	for _, address := range addresses[:min(most, len(addresses))] {
		if p.fetch(ctx, address, kind) {
			return
		}
	}
}

func (p *peers) serveWork(_ context.Context, from peer.Identity, body []byte) (any, error) {
	var w work
	if err := msgpack.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(err, "decode work")
	}
	p.g.members.heard(from.ID, w.Leaving)
	p.g.fleet.Told(from.ID, w.Shares)
	return nil, nil
}

// tellSuspect tells the others that a target seems dead.
func (p *peers) tellSuspect(t fleet.Target) { p.tell(kindSuspect, t.ID) }

// serveSuspect asks a target that a peer suspects, if this daemon runs something
// there: what a peer does not reach may still be reached from here.
func (p *peers) serveSuspect(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var id string
	if err := msgpack.Unmarshal(body, &id); err != nil {
		return nil, errors.Wrap(err, "decode suspect")
	}
	if t, ok := p.g.fleet.InUse(time.Now(), id); ok {
		p.g.forward.Prober.Check(t)
	}
	return nil, nil
}

func (p *peers) tellStrikes(s []quarantine.Strike) { p.tell(kindStrikes, s) }

func (p *peers) serveStrikes(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var strikes []quarantine.Strike
	if err := msgpack.Unmarshal(body, &strikes); err != nil {
		return nil, errors.Wrap(err, "decode strikes")
	}
	p.g.crashes.told(strikes)
	return nil, nil
}
