package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
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
	kindWhole                                        // exchange.Query, answered by exchange.Whole
	kindWork                                         // work
	kindSuspect                                      // suspicion
	kindStrikes                                      // []quarantine.Strike
)

// Timing of what daemons tell each other.
const (
	// workPause is the least time between two messages of what a daemon runs, which
	// it sends when that changed: when many requests come at once, daemons would
	// else send them to the same targets. It grows by workSquare times the square of
	// the other daemons' number, so that what one receives from all of them falls as
	// they grow more, from 800 messages a second at eight to 150 at 75, up
	// to the heartbeat, by which daemons know that others live.
	workPause  = 4 * time.Millisecond
	workSquare = 100 * time.Microsecond
	// heartbeat is how often it tells so anyway, and drops what belongs to targets
	// and daemons that are gone.
	heartbeat = 500 * time.Millisecond
	// tellTimeout bounds the sending of one message.
	tellTimeout = time.Second
)

// work is what a daemon runs, and a sign of life.
type work struct {
	Shares  map[string]fleet.DaemonLoad `msgpack:"s,omitempty"`
	Leaving bool                        `msgpack:"l,omitempty"`
}

// peers talks to the other daemons.
type peers struct {
	g         *Gateway
	transport *peer.Transport
	ctx       context.Context

	mu        sync.Mutex
	suspected map[string]time.Time // when a peer said that a target seems dead
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
	p := &peers{g: g, transport: t, ctx: context.Background(), suspected: make(map[string]time.Time)}
	peer.On(t, kindNews, p.serveNews)
	peer.On(t, kindWhole, p.serveWhole)
	peer.On(t, kindWork, p.serveWork)
	peer.On(t, kindSuspect, p.serveSuspect)
	peer.On(t, kindStrikes, p.serveStrikes)
	return p, nil
}

func (p *peers) run(ctx context.Context) {
	p.ctx = ctx
	p.g.wg.Go(p.transport.Serve)
	p.g.wg.Go(func() { p.tellWork(ctx) })
}

// tell sends a message, encoded once, to all other daemons without waiting. It returns
// how many they are.
func (p *peers) tell(kind peer.Kind, message any) int {
	others := p.g.members.others()
	body, err := msgpack.Marshal(message)
	if err != nil {
		p.lost(len(others))
		return len(others)
	}
	for _, m := range others {
		go p.send(m.Peers, kind, msgpack.RawMessage(body))
	}
	return len(others)
}

// send sends a message. One that is lost is counted, not logged: while a daemon is cut
// off there are many, and the next one, or a read of the store, makes up for it.
func (p *peers) send(address string, kind peer.Kind, message any) {
	ctx, cancel := context.WithTimeout(p.ctx, tellTimeout)
	defer cancel()
	if err := p.transport.Send(ctx, address, kind, message); err != nil {
		p.lost(1)
	}
}

// spread has a message passed on to all other daemons, by those that live first. One
// that is lost on the way is made up for as in send.
func (p *peers) spread(kind peer.Kind, message any) {
	live, silent := p.g.members.othersByLife()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var addresses []string
	for _, m := range append(live, silent...) {
		addresses = append(addresses, m.Peers)
	}
	p.transport.Spread(addresses, kind, message, func(string, error) { p.lost(1) })
}

func (p *peers) lost(messages int) {
	metrics.GetOrRegisterCounter("peer.messages_lost", p.g.metrics).Inc(int64(messages))
}

func (p *peers) tellNews(n exchange.News) { p.spread(kindNews, n) }

// tellWork tells what this daemon runs until ctx ends.
func (p *peers) tellWork(ctx context.Context) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.g.fleet.LoadChanged():
		case <-beat.C:
			p.g.forgetTargets()
			p.forgetSilent()
		}
		others := p.tell(kindWork, work{p.g.fleet.OwnLoads(), p.g.draining.Load()})
		pause.For(ctx, pauseAfterWork(others))
	}
}

// pauseAfterWork is the least time until the next message to so many others.
func pauseAfterWork(others int) time.Duration {
	return min(workPause+time.Duration(others*others)*workSquare, heartbeat)
}

// forgetSilent stops counting the work of daemons that fell silent, and drops old
// suspicions.
func (p *peers) forgetSilent() {
	p.mu.Lock()
	for id, at := range p.suspected {
		if time.Since(at) > fleet.SuspectDuration {
			delete(p.suspected, id)
		}
	}
	p.mu.Unlock()
	_, silent := p.g.members.othersByLife()
	for _, m := range silent {
		p.g.fleet.SetPeerLoads(m.ID, nil)
	}
}

func (p *peers) serveNews(_ context.Context, _ peer.Identity, n exchange.News) (any, error) {
	p.g.shelf.hear(n)
	return nil, nil
}

func (p *peers) serveWhole(_ context.Context, _ peer.Identity, q exchange.Query) (any, error) {
	w, ok := p.g.shelf.whole(q)
	if !ok {
		return nil, errors.Errorf("kind %s is not known here", q.Kind)
	}
	return w, nil
}

// fetch takes the whole of a kind from a peer, and returns whether it got it.
func (p *peers) fetch(ctx context.Context, address string, q exchange.Query) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var w exchange.Whole
	if err := p.transport.Call(ctx, address, kindWhole, q, &w); err != nil {
		return false // the next news, or read, makes up for it
	}
	p.g.shelf.take(w)
	return true
}

// fetchAny takes a kind from any daemon: one that is known, else a seed.
func (p *peers) fetchAny(ctx context.Context, q exchange.Query) {
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
		if p.fetch(ctx, address, q) {
			return
		}
	}
}

func (p *peers) serveWork(_ context.Context, from peer.Identity, w work) (any, error) {
	if p.g.members.heard(from.ID, w.Leaving) {
		p.tellMissed(from.PeerAddress)
	}
	p.g.fleet.SetPeerLoads(from.ID, w.Shares)
	return nil, nil
}

// suspicion tells that a target seems dead.
type suspicion struct {
	ID    string `msgpack:"i"`
	Born  int64  `msgpack:"b,omitempty"`
	Ended bool   `msgpack:"e,omitempty"` // nobody listens at its address, or another one does
}

// tellSuspect tells the others that a target seems dead, unless one of them said so.
func (p *peers) tellSuspect(t fleet.Target, ended bool) {
	p.mu.Lock()
	known := time.Since(p.suspected[t.ID]) < fleet.SuspectDuration
	p.mu.Unlock()
	if !known {
		p.spread(kindSuspect, suspicion{t.ID, t.StartMillis, ended})
	}
}

// serveSuspect takes a peer's word on a target. What a peer does not reach may still
// be reached from here, so a target in use is asked; a process that has ended has
// ended for all.
func (p *peers) serveSuspect(_ context.Context, _ peer.Identity, s suspicion) (any, error) {
	now := time.Now()
	p.mu.Lock()
	p.suspected[s.ID] = now
	p.mu.Unlock()
	if s.Ended {
		p.g.fleet.MarkTerminated(now, fleet.Target{ID: s.ID, StartMillis: s.Born})
		return nil, nil
	}
	if t, used := p.g.fleet.ApplyPeerSuspicion(now, s.ID); used {
		p.g.forward.Prober.Check(t)
	}
	return nil, nil
}

func (p *peers) tellStrikes(s []quarantine.CrashReport) { p.tell(kindStrikes, s) }

// tellMissed tells a daemon that has just begun, or was cut off, of all strikes: it would
// else let a request kill targets that the others refuse.
func (p *peers) tellMissed(address string) {
	if strikes := p.g.crashes.known(); len(strikes) > 0 {
		go p.send(address, kindStrikes, strikes)
	}
}

func (p *peers) serveStrikes(_ context.Context, _ peer.Identity, strikes []quarantine.CrashReport) (any, error) {
	p.g.crashes.told(strikes)
	return nil, nil
}
