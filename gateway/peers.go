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
	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// Kinds of messages between gateway daemons.
const (
	kindUpdate          = peer.ConfigurationBase + 50 + iota // exchange.Update
	kindSnapshot                                             // exchange.Query, answered by exchange.Snapshot
	kindLoad                                                 // loadReport
	kindSuspicion                                            // suspicion
	kindCrashReports                                         // []quarantine.CrashReport
	kindClaim                                                // exchange.Claim
	kindDocument                                             // documentQuery, answered by documentAnswer
	kindOriginQuery                                          // originQuery, answered by originAnswer
	kindSoundParts                                           // soundParts
	kindStatement                                            // targetStatement
	kindPermit                                               // permitRequest, answered by permitReply
	kindPermitRelease                                        // permitRelease
	kindReport                                               // sentReport
	kindDigest                                               // exchange.Digest
	kindReports                                              // reportsQuery, answered by exchange.Digest
	kindStart                                                // startQuery, answered by startAnswer
	kindVersions                                             // storedVersions
	kindCredits                                              // creditRequest, answered by creditReply
	kindCreditReturn                                         // creditReturn
	kindRolloutEvidence                                      // rolloutEvidence, answered by rolloutReply
	kindRolloutVerdict                                       // rolloutVerdict
)

// Timing of messages between daemons.
const (
	// loadBaseInterval and loadIntervalStep give the minimum time between two load
	// reports of a daemon: loadBaseInterval plus loadIntervalStep times the square of
	// the number of other daemons, at most heartbeatInterval. A daemon sends a report
	// whenever its load changes. The base is short because daemons with outdated
	// reports would send a burst of requests to the same targets. The square lets the
	// rate at which a daemon receives reports fall as the number of daemons grows: from
	// 800 a second with 8 daemons to 150 with 75.
	loadBaseInterval = 4 * time.Millisecond
	loadIntervalStep = 100 * time.Microsecond
	// heartbeatInterval is the maximum time between two load reports, which also serve
	// as heartbeats. At each heartbeat a daemon also drops the state of removed targets
	// and silent daemons, and resolves the losses of runs.
	heartbeatInterval = 500 * time.Millisecond
	// peerTimeout is the timeout of one message or call to a peer.
	peerTimeout = time.Second
)

// loadReport is a daemon's load on each target, by target id. It also serves as the
// daemon's heartbeat.
type loadReport struct {
	Loads   map[string]fleet.DaemonLoad `msgpack:"s,omitempty"`
	Leaving bool                        `msgpack:"l,omitempty"`
	Version int64                       `msgpack:"v,omitempty"` // of the configuration in force
	Origins []origin.Record             `msgpack:"o,omitempty"` // of streams that began since the last report
	// LinksLost means that the daemon reaches no target and can't relay.
	LinksLost bool `msgpack:"k,omitempty"`
	// HeardAgain asks daemons for what this one may have missed, see exchange.MemberList.
	HeardAgain map[string]uint64 `msgpack:"h,omitempty"`
	// Crashes are recent crash reports, in large fleets only.
	Crashes []quarantine.CrashReport `msgpack:"c,omitempty"`
	// KnowsReporters is false in reports of older builds, which get reports from each daemon.
	KnowsReporters bool `msgpack:"d,omitempty"`
	// Held has the streams that the daemon holds until a target has room, by service: their
	// numbers by level of urgency, see overload.Levels.
	Held map[string][]int `msgpack:"w,omitempty"`
	// Rollouts are the verdicts against versions under roll-out that the store doesn't have yet.
	Rollouts []rolloutVerdict `msgpack:"r,omitempty"`
	// Short means that the daemon is short of capacity, see capacity.
	Short bool `msgpack:"f,omitempty"`
}

// peers exchanges messages with the other daemons.
type peers struct {
	g         *Gateway
	transport *peer.Transport
	ctx       context.Context

	crashReports *crashReportSender
	crashNews    *crashNews
	digests      *digests

	mu          sync.Mutex
	suspectedAt map[string]time.Time // time of the last suspicion from a peer, by target id
}

func newPeers(g *Gateway) (*peers, error) {
	s := g.settings.Load()
	t, err := peer.Listen(peer.Identity{
		ID: s.ID, Incarnation: g.members.incarnation, Place: s.Place, Region: s.Region,
		APIAddress: s.Callers, PeerAddress: s.Peers,
	}, g.events)
	if err != nil {
		return nil, err
	}
	t.Lateness = g.lag.Since
	t.MaxInbound, t.Buffers = g.limits.conns.peers, g.limits.Resources.FrameBudget()
	p := &peers{g: g, transport: t, ctx: context.Background(), suspectedAt: make(map[string]time.Time)}
	p.digests = newDigests(p)
	g.origins.versions.onStored = func(v storedVersions) { p.broadcast(kindVersions, v) }
	p.crashNews = newCrashNews(g.crashTracker.reportsOn, func(reports []quarantine.CrashReport) { p.broadcast(kindCrashReports, reports) })
	p.crashReports = newCrashReportSender(g.members.others, g.members.live, g.crashTracker.reportsOn, p.callCrashReports)
	peer.HandleTyped(t, kindUpdate, p.handleUpdate)
	peer.HandleTyped(t, kindSnapshot, p.handleQuery)
	peer.HandleTyped(t, kindLoad, p.handleLoad)
	peer.HandleTyped(t, kindSuspicion, p.handleSuspicion)
	peer.HandleTyped(t, kindCrashReports, p.handleCrashReports)
	peer.HandleTyped(t, kindSoundParts, p.handleSoundParts)
	peer.HandleTyped(t, kindClaim, p.handleClaim)
	peer.HandleTyped(t, kindDocument, g.serveDocument)
	peer.HandleTyped(t, kindOriginQuery, g.origins.handleQuery)
	peer.HandleTyped(t, kindStatement, p.handleStatement)
	peer.HandleTyped(t, kindPermit, p.handlePermit)
	peer.HandleTyped(t, kindPermitRelease, p.handlePermitRelease)
	peer.HandleTyped(t, kindReport, p.digests.handleReport)
	peer.HandleTyped(t, kindDigest, p.digests.handleDigest)
	peer.HandleTyped(t, kindReports, p.digests.handleQuery)
	peer.HandleTyped(t, kindStart, g.startup.handleQuery)
	peer.HandleTyped(t, kindVersions, g.origins.versions.handleStored)
	g.credits.handleMessages(t)
	if g.rollouts != nil {
		peer.HandleTyped(t, kindRolloutEvidence, p.handleRolloutEvidence)
		peer.HandleTyped(t, kindRolloutVerdict, p.handleRolloutVerdict)
	}
	return p, nil
}

func (p *peers) run(ctx context.Context) {
	p.ctx, p.crashReports.ctx = ctx, ctx
	p.g.wg.Go(p.transport.Serve)
	p.g.wg.Go(func() { p.sendLoads(ctx) })
	p.g.wg.Go(func() { p.digests.run(ctx) })
}

// sendToAll sends a message, encoded once, to all other daemons without waiting. It
// returns the number of other daemons.
func (p *peers) sendToAll(kind peer.Kind, message any) int {
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

// sendCrashes sends the crash reports of a request to all other daemons without waiting.
func (p *peers) sendCrashes(request quarantine.RequestKey) {
	if _, large := p.g.members.usesReporters(); large {
		p.crashNews.add(request)
		return
	}
	p.crashReports.sendToAll(request)
}

// sendEverywhere sends a message to all other daemons: itself, or in a large fleet along a
// tree.
func (p *peers) sendEverywhere(kind peer.Kind, message any) {
	if _, large := p.g.members.usesReporters(); large {
		p.broadcast(kind, message)
		return
	}
	p.sendToAll(kind, message)
}

// send sends a message. Lost messages are counted but not logged, because there are
// many while a daemon is disconnected. The next message or the next read of the store
// makes up for a lost one.
func (p *peers) send(address string, kind peer.Kind, message any) {
	ctx, cancel := context.WithTimeout(p.ctx, peerTimeout)
	defer cancel()
	if err := p.transport.Send(ctx, address, kind, message); err != nil {
		p.countLost(1)
	}
}

// broadcast sends a message to all other daemons along a tree, with live daemons nearest
// to the root because a silent daemon does not pass messages on. The order is that of the
// ids, from this daemon on, so that a daemon passes the messages of all to the same few.
// Lost messages are treated as in send.
func (p *peers) broadcast(kind peer.Kind, message any) {
	live, silent := p.g.members.othersByLiveness()
	live = p.g.members.afterSelf(live)
	var addresses []string
	for _, m := range append(live, silent...) {
		addresses = append(addresses, m.Peers)
	}
	p.transport.Broadcast(addresses, kind, message, func(string, error) { p.countLost(1) })
}

func (p *peers) countLost(messages int) {
	metrics.GetOrRegisterCounter("peer.messages_lost", p.g.metrics).Inc(int64(messages))
}

func (p *peers) sendUpdate(u exchange.Update) { p.broadcast(kindUpdate, u) }

// sendLoads sends this daemon's load to all other daemons, or to its reporters, on each
// change and at each heartbeat until ctx is done.
func (p *peers) sendLoads(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.g.fleet.LoadChanged():
		case <-p.g.origins.added:
		case <-ticker.C:
			p.g.expireTargets()
			p.expirePeerState()
			p.g.members.expire()
			p.g.crashTracker.resolveLosses(time.Now())
			p.g.permits.expire(time.Now())
		}
		report := p.g.loadReport()
		if interval, ok := p.g.members.usesReporters(); ok {
			report.Crashes = p.crashNews.take()
			p.digests.send(report)
			pause.For(ctx, interval)
			continue
		}
		others := p.sendToAll(kindLoad, report)
		pause.For(ctx, loadInterval(others))
	}
}

// loadReport returns the report to send to all peers now. Each new origin is in one report.
func (g *Gateway) loadReport() loadReport {
	report := loadReport{KnowsReporters: true, Loads: g.fleet.OwnLoads(), Leaving: g.draining.Load(), LinksLost: g.links.monitor.Lost(), Origins: g.origins.takeUnsent(), HeardAgain: g.members.heardAgain(), Held: g.forwarder.Admission.Held(), Rollouts: g.rollouts.openVerdicts(), Short: g.capacity.short.Load()}
	if table := g.table.Load(); table != nil {
		report.Version = table.Version
	}
	return report
}

// loadInterval returns the minimum time between two load reports, given the number of
// other daemons.
func loadInterval(others int) time.Duration {
	return min(loadBaseInterval+time.Duration(others*others)*loadIntervalStep, heartbeatInterval)
}

// expirePeerState removes the load of silent daemons from the fleet and drops expired
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
		p.g.forwarder.Admission.SetPeerHeld(m.ID, nil)
	}
	p.g.fleet.ForgetPeers(p.g.members.hasEnded)
	p.g.forwarder.Admission.ForgetPeers(p.g.members.hasEnded)
	p.digests.forget(p.g.members.registered)
}

func (p *peers) handleUpdate(ctx context.Context, _ peer.Identity, u exchange.Update) (any, error) {
	p.g.datasets.applyUpdate(ctx, u)
	return nil, nil
}

func (p *peers) handleClaim(_ context.Context, _ peer.Identity, c exchange.Claim) (any, error) {
	p.g.datasets.applyClaim(c)
	return nil, nil
}

func (p *peers) handleQuery(_ context.Context, _ peer.Identity, q exchange.Query) (any, error) {
	s, ok := p.g.datasets.snapshot(q)
	if !ok {
		return nil, errors.Errorf("kind %s is not known here", q.Kind)
	}
	return s, nil
}

// fetchSnapshot fetches and applies a peer's snapshot of one dataset. It reports
// whether the peer answered.
func (p *peers) fetchSnapshot(ctx context.Context, address string, q exchange.Query) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var snapshot exchange.Snapshot
	if err := p.transport.Call(ctx, address, kindSnapshot, q, &snapshot); err != nil {
		return false // the next update or read of the store makes up for it
	}
	p.g.datasets.applySnapshot(snapshot)
	return true
}

// fetchFromAnyPeer fetches a dataset from a known daemon, or from a seed if no other
// daemon is known. It tries at most two addresses, in random order.
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
	p.applyLoad(from, report)
	return nil, nil
}

// applyLoad applies a daemon's report, which came from the daemon itself or a reporter.
func (p *peers) applyLoad(from peer.Identity, report loadReport) {
	if p.g.members.recordHeartbeat(from, report) {
		p.sendKnown(from)
	}
	p.g.links.handleHeartbeat(from.ID, report.LinksLost, report.Leaving)
	p.g.origins.apply(report.Origins)
	if len(report.Crashes) > 0 {
		p.g.crashTracker.applyReports(from.ID, report.Crashes)
	}
	p.g.fleet.SetPeerLoads(from.ID, report.Loads)
	p.g.forwarder.Admission.SetPeerHeld(from.ID, report.Held)
	p.g.newer.note(from, report.Version)
	p.g.rollouts.handleVerdicts(from.ID, report.Rollouts...)
}

func (p *peers) callCrashReports(ctx context.Context, address string, reports []quarantine.CrashReport) error {
	err := p.transport.Call(ctx, address, kindCrashReports, reports, nil)
	if err != nil {
		p.countLost(1)
	}
	return err
}

// sendKnown brings a daemon up to date that has just started, was disconnected or asks for
// it.
func (p *peers) sendKnown(to peer.Identity) {
	p.sendKnownCrashReports(to)
	now := time.Now()
	for _, s := range p.g.fleet.Constrained() {
		go p.send(to.PeerAddress, kindStatement, newTargetStatement(now, s.Target, s.Statement))
	}
}

// sendKnownCrashReports sends all crash reports to a daemon that has just started, was
// disconnected or asks for them. Without them it would forward requests that the other daemons already
// refuse, and those would crash more targets.
func (p *peers) sendKnownCrashReports(to peer.Identity) {
	if requests := p.g.crashTracker.requests(); len(requests) > 0 {
		p.crashReports.send(exchange.Member{ID: to.ID, Peers: to.PeerAddress}, requests...)
	}
	if sound := p.g.crashTracker.soundSuspects(); len(sound) > 0 {
		go p.send(to.PeerAddress, kindSoundParts, sound)
	}
}

func (p *peers) handleCrashReports(_ context.Context, from peer.Identity, reports []quarantine.CrashReport) (any, error) {
	p.g.crashTracker.applyReports(from.ID, reports)
	return nil, nil
}

func (p *peers) handleSoundParts(_ context.Context, from peer.Identity, parts soundParts) (any, error) {
	p.g.crashTracker.applySound(from.ID, parts)
	return nil, nil
}

func (p *peers) handleStatement(_ context.Context, _ peer.Identity, s targetStatement) (any, error) {
	p.g.permits.apply(s)
	return nil, nil
}

// callPermit asks another daemon for a permit.
func (p *peers) callPermit(ctx context.Context, daemon string, r permitRequest) (reply permitReply, err error) {
	address, ok := p.g.members.address(daemon)
	if !ok {
		return permitReply{}, errors.Errorf("request permit for %s: daemon %s has no entry", r.Statement.ID, daemon)
	}
	err = p.transport.Call(ctx, address, kindPermit, r, &reply)
	return reply, errors.Wrapf(err, "request permit for %s", r.Statement.ID)
}

func (p *peers) handlePermit(_ context.Context, from peer.Identity, r permitRequest) (any, error) {
	return p.g.permits.handle(from.ID, r), nil
}

func (p *peers) handlePermitRelease(_ context.Context, _ peer.Identity, r permitRelease) (any, error) {
	p.g.permits.handleRelease(r)
	return nil, nil
}
