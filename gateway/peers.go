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
	kindUpdate       = peer.ConfigurationBase + 50 + iota // exchange.News
	kindSnapshot                                          // exchange.Query, answered by exchange.Whole
	kindLoad                                              // work
	kindSuspicion                                         // suspicion
	kindCrashReports                                      // []quarantine.Strike
)

// Timing of what daemons tell each other.
const (
	// loadBaseInterval is the least time between two messages of what a daemon runs, which
	// it sends when that changed: when many requests come at once, daemons would
	// else send them to the same targets. It grows by workSquare times the square of
	// the other daemons' number, so that what one receives from all of them falls as
	// they grow more, from 800 messages a second at eight to 150 at 75, up
	// to the heartbeat, by which daemons know that others live.
	loadBaseInterval = 4 * time.Millisecond
	loadIntervalStep = 100 * time.Microsecond
	// heartbeatInterval is how often it tells so anyway, and drops what belongs to targets
	// and daemons that are gone.
	heartbeatInterval = 500 * time.Millisecond
	// peerTimeout bounds the sending of one message.
	peerTimeout = time.Second
)

// loadReport is what a daemon runs, and a sign of life.
type loadReport struct {
	Loads   map[string]fleet.DaemonLoad `msgpack:"s,omitempty"`
	Leaving bool                        `msgpack:"l,omitempty"`
}

// peers talks to the other daemons.
type peers struct {
	g         *Gateway
	transport *peer.Transport
	ctx       context.Context

	mu          sync.Mutex
	suspectedAt map[string]time.Time // when a peer said that a target seems dead
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
	p := &peers{g: g, transport: t, ctx: context.Background(), suspectedAt: make(map[string]time.Time)}
	peer.On(t, kindUpdate, p.handleUpdate)
	peer.On(t, kindSnapshot, p.handleQuery)
	peer.On(t, kindLoad, p.handleLoad)
	peer.On(t, kindSuspicion, p.handleSuspicion)
	peer.On(t, kindCrashReports, p.handleCrashReports)
	return p, nil
}

func (p *peers) run(ctx context.Context) {
	p.ctx = ctx
	p.g.wg.Go(p.transport.Serve)
	p.g.wg.Go(func() { p.sendLoads(ctx) })
}

// broadcast sends a message, encoded once, to all other daemons without waiting. It returns
// how many they are.
func (p *peers) broadcast(kind peer.Kind, message any) int {
	others := p.g.members.others()
	body, err := msgpack.Marshal(message)
	if err != nil {
		p.countLost(len(others))
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
	ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
	defer cancel()
	if err := p.transport.Send(ctx, address, kind, message); err != nil {
		p.countLost(1)
	}
}

// spread has a message passed on to all other daemons, by those that live first. One
// that is lost on the way is made up for as in send.
func (p *peers) spread(kind peer.Kind, message any) {
	live, silent := p.g.members.othersByLiveness()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	var addresses []string
	for _, m := range append(live, silent...) {
		addresses = append(addresses, m.Peers)
	}
	p.transport.Spread(addresses, kind, message, func(string, error) { p.countLost(1) })
}

func (p *peers) countLost(messages int) {
	metrics.GetOrRegisterCounter("peer.messages_lost", p.g.metrics).Inc(int64(messages))
}

func (p *peers) sendUpdate(u exchange.Update) { p.spread(kindUpdate, u) }

// sendLoads tells what this daemon runs until ctx ends.
func (p *peers) sendLoads(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.g.fleet.LoadChanged():
		case <-ticker.C:
			p.g.expireTargets()
			p.expirePeerState()
		}
		others := p.broadcast(kindLoad, loadReport{p.g.fleet.OwnLoads(), p.g.draining.Load()})
		pause.For(ctx, loadInterval(others))
	}
}

// loadInterval is the least time until the next message to so many others.
func loadInterval(others int) time.Duration {
	return min(loadBaseInterval+time.Duration(others*others)*loadIntervalStep, heartbeatInterval)
}

// expirePeerState stops counting the work of daemons that fell silent, and drops old
// suspicions.
func (p *peers) expirePeerState() {
	p.mu.Lock()
	for id, at := range p.suspectedAt {
		if time.Since(at) > fleet.SuspectDuration {
			delete(p.suspectedAt, id)
		}
	}
	p.mu.Unlock()
	_, silent := p.g.members.othersByLiveness()
	for _, m := range silent {
		p.g.fleet.SetPeerLoads(m.ID, nil)
	}
}

func (p *peers) handleUpdate(_ context.Context, _ peer.Identity, u exchange.Update) (any, error) {
	p.g.datasets.applyUpdate(u)
	return nil, nil
}

func (p *peers) handleQuery(_ context.Context, _ peer.Identity, q exchange.Query) (any, error) {
	s, ok := p.g.datasets.snapshot(q)
	if !ok {
		return nil, errors.Errorf("kind %s is not known here", q.Kind)
	}
	return s, nil
}

// fetchSnapshot takes the whole of a kind from a peer, and returns whether it got it.
func (p *peers) fetchSnapshot(ctx context.Context, address string, q exchange.Query) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var snapshot exchange.Snapshot
	if err := p.transport.Call(ctx, address, kindSnapshot, q, &snapshot); err != nil {
		return false // the next news, or read, makes up for it
	}
	p.g.datasets.applySnapshot(snapshot)
	return true
}

// fetchFromAnyPeer takes a kind from any daemon: one that is known, else a seed.
func (p *peers) fetchFromAnyPeer(ctx context.Context, q exchange.Query) {
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
	const maxPeers = 2
	for _, address := range addresses[:min(maxPeers, len(addresses))] {
		if p.fetchSnapshot(ctx, address, q) {
			return
		}
	}
}

func (p *peers) handleLoad(_ context.Context, from peer.Identity, report loadReport) (any, error) {
	if p.g.members.recordHeartbeat(from.ID, report.Leaving) {
		p.sendKnownCrashReports(from.PeerAddress)
	}
	p.g.fleet.SetPeerLoads(from.ID, report.Loads)
	return nil, nil
}

// suspicion tells that a target seems dead.
type suspicion struct {
	ID          string `msgpack:"i"`
	StartMillis int64  `msgpack:"b,omitempty"`
	Terminated  bool   `msgpack:"e,omitempty"` // nobody listens at its address, or another one does
}

// reportSuspect tells the others that a target seems dead, unless one of them said so.
func (p *peers) reportSuspect(t fleet.Target, terminated bool) {
	p.mu.Lock()
	reported := time.Since(p.suspectedAt[t.ID]) < fleet.SuspectDuration
	p.mu.Unlock()
	if !reported {
		p.spread(kindSuspicion, suspicion{t.ID, t.StartMillis, terminated})
	}
}

// handleSuspicion takes a peer's word on a target. What a peer does not reach may still
// be reached from here, so a target in use is asked; a process that has ended has
// ended for all.
func (p *peers) handleSuspicion(_ context.Context, _ peer.Identity, s suspicion) (any, error) {
	now := time.Now()
	p.mu.Lock()
	p.suspectedAt[s.ID] = now
	p.mu.Unlock()
	if s.Terminated {
		p.g.fleet.MarkTerminated(now, fleet.Target{ID: s.ID, StartMillis: s.StartMillis})
		return nil, nil
	}
	if t, used := p.g.fleet.ApplyPeerSuspicion(now, s.ID); used {
		p.g.forwarder.Prober.Check(t)
	}
	return nil, nil
}

func (p *peers) sendCrashReports(reports []quarantine.CrashReport) {
	p.broadcast(kindCrashReports, reports)
}

// sendKnownCrashReports tells a daemon that has just begun, or was cut off, of all strikes: it would
// else let a request kill targets that the others refuse.
func (p *peers) sendKnownCrashReports(address string) {
	if crashReports := p.g.crashTracker.reports(); len(crashReports) > 0 {
		go p.send(address, kindCrashReports, crashReports)
	}
}

func (p *peers) handleCrashReports(_ context.Context, _ peer.Identity, reports []quarantine.CrashReport) (any, error) {
	p.g.crashTracker.applyReports(reports)
	return nil, nil
}
