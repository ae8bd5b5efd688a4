// Package gateway implements the gateway daemon. It accepts callers' plain HTTP requests
// and forwards them to targets. It speaks the wire protocol of the users' platform, see
// package platform; the daemon of package node instead serves the API of this system.
// Package gateway contains no decision logic: it connects the packages ingress, fleet,
// forward, quarantine and platform to sockets, clocks and each other.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/durable"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/lag"
	"github.com/vanillaroad/vanillaroad/internal/recent"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// Gateway is one gateway daemon.
type Gateway struct {
	settings     atomic.Pointer[Settings] // replaced, never modified, on each reload
	events       *event.Recorder
	metrics      metrics.Registry
	store        *durable.Store
	targetClient *platform.TargetClient
	fleet        *fleet.Fleet
	forwarder    *forward.Forwarder
	members      *members
	startup      *startup
	datasets     *datasets
	peers        *peers
	crashTracker *crashTracker
	verdicts     *verdicts
	origins      *origins
	permits      *permits
	credits      *credits
	links        *links
	rollouts     *rollouts // nil if the deployment has no roll-outs

	table     atomic.Pointer[ingress.Table]  // active configuration; nil until the first one is activated
	document  atomic.Pointer[exchange.Entry] // of which table was made
	refused   atomic.Pointer[refusedConfiguration]
	tableMu   sync.Mutex // held while a table is activated, or a configuration refused
	newer     *newerVersions
	draining  atomic.Bool              // a planned stop has started
	stopping  atomic.Pointer[stopPlan] // nil until a planned stop has started
	durations recent.Durations         // of the requests of each route that were answered completely and with success
	lag       lag.Meter
	requests  openRequests // callers' requests being served
	// cancelAnswerTime is cancelAnswerTime, longer in tests on slow machines.
	cancelAnswerTime time.Duration
	idleConns        *callers.Tracker
	limits           *callerLimits
	capacity         *capacity

	servers        []*server
	relayListener  net.Listener            // nil if the daemon doesn't relay
	requestCtx     context.Context         // parent context of all requests
	cancelRequests context.CancelCauseFunc // cancels requestCtx
	wg             sync.WaitGroup
}

// server is an HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

// routineLinesPerSecond limits the log lines about successful requests. It is ten
// times the request rate of a daemon at the current sites.
const routineLinesPerSecond = 200

// New binds the daemon's addresses and connects its components. Call Run to start
// serving. It returns an error if an address can't be bound.
func New(s Settings, logOutput io.Writer) (*Gateway, error) {
	return newGateway(s, logOutput, platform.DialTargetFrom(s.Source))
}

// newGateway is New with a function that opens this daemon's own connections to targets.
func newGateway(s Settings, logOutput io.Writer, dialTarget platform.DialFunc) (*Gateway, error) {
	logger := level.NewFilter(log.With(log.NewJSONLogger(logOutput), "ts", log.DefaultTimestampUTC, "node", s.ID),
		level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	g := &Gateway{
		metrics: metrics.NewRegistry(), idleConns: callers.NewTracker(), cancelAnswerTime: cancelAnswerTime,
		events: event.NewRecorder(s.ID, event.NewClock(time.Now), logger, s.EventRing),
		fleet:  fleet.New(s.Place, rand.Uint64()),
	}
	g.limits = newCallerLimits(g, s)
	g.capacity = &capacity{g: g, lag: g.lag.Since}
	g.links = newLinks(g, dialTarget)
	g.links.server.MaxConns = g.limits.conns.relays
	g.targetClient = platform.NewTargetClient(g.links.DialTarget)
	g.requestCtx, g.cancelRequests = context.WithCancelCause(context.Background())
	g.settings.Store(&s)
	g.events.LimitRoutineLogs(routineLinesPerSecond)
	g.reportUnknownSettings(s)
	store := platform.NewClient("http://"+s.Store, g.metrics)
	store.OnInvalidEra = func(stated string, latest int64) {
		g.events.Record(event.EraInvalid, "", event.F("stated", stated), event.F("latest", strconv.FormatInt(latest, 10)))
	}
	g.store = durable.NewStore(store, store)
	if s.Rollout != nil {
		g.rollouts = newRollouts(g, *s.Rollout)
	}
	g.members, g.datasets, g.startup = newMembers(g), newDatasets(g), newStartup(g)
	g.origins = newOrigins(g)
	g.crashTracker = newCrashTracker(g.events, func(request quarantine.RequestKey) { g.peers.sendCrashes(request) },
		func(request quarantine.RequestKey) { g.verdicts.save(request) })
	g.newer = &newerVersions{g: g}
	g.verdicts = newVerdicts(g.store, g.events, g.crashTracker)
	g.declareKinds()
	g.crashTracker.saveParts, g.crashTracker.runsTrials = g.verdicts.saveParts, g.members.runsTrials
	g.crashTracker.sendSound = func(parts soundParts) { g.peers.sendEverywhere(kindSoundParts, parts) }
	g.forwarder = &forward.Forwarder{
		TargetClient: g.targetClient, Reserver: g.targetClient, Fleet: g.fleet, Events: g.events, Metrics: g.metrics, CrashTracker: g.crashTracker, Origins: g.origins, PlacementLimiter: forward.NewPlacementLimiter(),
		Prober: forward.NewProber(g.targetClient, g.fleet, g.events), CacheLocator: forward.NewCacheLocator(g.targetClient),
		RetryBudget: forward.NewRetryBudget(time.Now(), s.RetryBudget.budgetSettings()),
		Buffers:     g.limits.Budget,
		ReadAhead:   s.MemoryMB > 0,
		Model:       g.model,
		StopsAt:     g.stopsAt,
		Admission:   forward.NewAdmission(g.contended),
	}
	g.permits = newPermits(g.fleet, g.members.view, func(ctx context.Context, daemon string, r permitRequest) (permitReply, error) {
		return g.peers.callPermit(ctx, daemon, r)
	}, func(daemon string, r permitRelease) {
		if address, ok := g.members.address(daemon); ok {
			go g.peers.send(address, kindPermitRelease, r)
		}
	})
	g.forwarder.Permits = g.permits
	g.credits = newCredits(g.forwarder.RetryBudget, g.metrics, g.members.liveIDs, func(ctx context.Context, daemon string, r creditRequest) (creditReply, error) {
		return g.peers.callCredits(ctx, daemon, r)
	}, func(daemon string, r creditReturn) {
		if address, ok := g.members.address(daemon); ok {
			go g.peers.send(address, kindCreditReturn, r)
		}
	})
	if g.rollouts != nil {
		g.forwarder.Rollouts = g.rollouts
	}
	g.forwarder.OnStatement = func(t fleet.Target, s fleet.Statement) {
		g.peers.sendEverywhere(kindStatement, newTargetStatement(time.Now(), t, s))
	}
	var err error
	if g.peers, err = newPeers(g); err != nil {
		return nil, err
	}
	g.forwarder.Prober.OnSuspect = g.links.handleSuspicion
	g.forwarder.Prober.Lateness = g.lag.Since
	if err := g.listenForRelays(s.Relay); err != nil {
		g.peers.transport.Close()
		return nil, err
	}
	callerHandler := &platform.CallerHandler{
		Table: g.table.Load, Serve: g.serve, Closing: g.draining.Load, OnRefused: g.limits.recordRefusal,
		PickService: func(r *ingress.Route) string { return r.PickService(rand.Float64()) }, Conn: connOf,
	}
	if s.MemoryMB > 0 {
		callerHandler.Buffers = g.limits.Budget
	}
	for _, l := range []struct {
		address  string
		handler  http.Handler
		maxConns int
		timeout  time.Duration
	}{
		{s.Callers, callerHandler, g.limits.conns.callers, 0},
		{s.Directory, platform.DirectoryHandler(g.directoryAnswer), g.limits.conns.directory, shortRequestTimeout},
		{s.Readiness, platform.ReadinessHandler(g.ready), g.limits.conns.other, shortRequestTimeout},
		{s.Operations, g.operationsHandler(), g.limits.conns.other, shortRequestTimeout},
	} {
		if err := g.listen(l.address, l.handler, l.maxConns, l.timeout); err != nil {
			g.closeListeners()
			g.peers.transport.Close()
			return nil, err
		}
	}
	return g, nil
}

// Timeouts of HTTP connections. closeIdleConns also enforces Limits.IdleTimeout of the
// active configuration, which is lower than idleTimeout, and callers.HeaderLimits its
// Limits.HeaderTimeout.
const (
	idleTimeout = 120 * time.Second
	// shortRequestTimeout bounds a request and its answer at the ports that serve no callers'
	// requests, which have short ones.
	shortRequestTimeout = 10 * time.Second
)

// listen binds the address of a server. timeout bounds its requests and its answers, each; 0
// for no bound but those of the configuration, at the callers' port.
func (g *Gateway) listen(address string, h http.Handler, maxConns int, timeout time.Duration) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	s := &server{
		Server: &http.Server{
			Handler: h, ReadHeaderTimeout: callers.HeaderTimeout, IdleTimeout: idleTimeout, ConnState: g.idleConns.ConnState, ConnContext: callers.ConnContext,
			ReadTimeout: timeout, WriteTimeout: timeout,
			BaseContext: func(net.Listener) context.Context { return g.requestCtx },
		},
	}
	listener := callers.Listener{Listener: l, Pool: g.limits.NewPool(maxConns, g.limits.headerLimit)}
	if timeout == 0 {
		listener.Header, s.ReadHeaderTimeout = g.limits.Header, callers.MaxHeaderTimeout
		g.limits.callers = listener.Pool
	}
	s.listener = listener
	g.servers = append(g.servers, s)
	return nil
}

// listenForRelays binds the address at which the daemon relays, if it has one.
func (g *Gateway) listenForRelays(address string) (err error) {
	if address == "" {
		return nil
	}
	g.relayListener, err = net.Listen("tcp", address)
	return errors.Wrapf(err, "listen for relays at %s", address)
}

func (g *Gateway) closeListeners() {
	if g.relayListener != nil {
		_ = g.relayListener.Close() // it may be closed already
	}
	for _, s := range g.servers {
		_ = s.listener.Close() // it may be closed already
	}
}

// model returns the configured engine model of a service, or nil if there is none.
func (g *Gateway) model(service string) *ingress.Model {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	s, _ := table.Service(service)
	return s.Model
}

// contended reports whether the requests of a service differ in urgency, by the active
// configuration.
func (g *Gateway) contended(service string) bool {
	table := g.table.Load()
	return table != nil && table.Contended(service)
}

// ready reports whether this daemon accepts new requests.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && g.fleet.Len() > 0 && !g.draining.Load()
}

// directoryAnswer returns the addresses that a caller should connect to, and false if
// there are none.
func (g *Gateway) directoryAnswer(q platform.DirectoryQuery) (platform.DirectoryAnswer, bool) {
	addresses, leftOut := g.members.directoryFor(q)
	g.capacity.leftOut.Store(int64(leftOut))
	return platform.DirectoryAnswer{Addresses: addresses, TTL: g.settings.Load().DirectoryTTL.Std()}, len(addresses) > 0
}

// Run serves until ctx is done, then shuts down gracefully: it removes itself from the
// directory, keeps serving while callers may hold older directory answers, and waits
// for running requests. It returns an error if a server fails.
func (g *Gateway) Run(ctx context.Context) error {
	backgroundCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g.peers.run(backgroundCtx)
	g.datasets.run(backgroundCtx)
	g.wg.Go(func() { g.members.registerAtStart(backgroundCtx) })
	g.verdicts.ctx = backgroundCtx
	g.wg.Go(func() { g.loadVerdicts(backgroundCtx) })
	g.wg.Go(func() { g.origins.store.run(backgroundCtx) })
	g.wg.Go(func() { g.closeIdleConns(backgroundCtx) })
	g.wg.Go(func() { g.links.run(backgroundCtx) })
	g.wg.Go(func() { g.credits.run(backgroundCtx) })
	if g.rollouts != nil {
		g.wg.Go(func() { g.rollouts.run(backgroundCtx) })
	}
	g.wg.Go(func() {
		g.lag.Run(backgroundCtx, stallAbove, newStallWatch(g.events, g.forwarder.Prober.Probes).report)
	})
	if g.relayListener != nil {
		g.wg.Go(func() { g.links.server.Serve(g.relayListener) })
	}
	serveErrors := make(chan error, len(g.servers))
	for _, s := range g.servers {
		g.wg.Go(func() { serveErrors <- s.Serve(s.listener) })
	}
	g.events.Record(event.NodeStarted, "", event.F("callers", g.settings.Load().Callers), event.F("store", g.settings.Load().Store))
	var err error
	select {
	case <-ctx.Done():
		g.drain()
	case err = <-serveErrors:
		g.events.Record(event.NodeFailed, "", event.F("error", err.Error()))
	}
	g.endRequests()
	g.links.server.Close()
	stop()
	g.peers.transport.Close()
	g.wg.Wait()
	g.events.Record(event.NodeStopped, "")
	return errors.Wrap(err, "serve")
}
