// Package gateway builds one daemon of the users' platform: it takes callers'
// plain HTTP requests and forwards them to targets. It owns no decision: it
// connects ingress, fleet, forward, quarantine and the platform's translators to
// sockets, clocks and each other.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Gateway is one daemon.
type Gateway struct {
	settings atomic.Pointer[Settings] // replaced as a whole by Reload
	events   *event.Recorder
	metrics  metrics.Registry
	store    objectstore.Store
	targets  *platform.Targets
	fleet    *fleet.Fleet
	forward  *forward.Forwarder
	members  *members
	shelf    *shelf
	peers    *peers
	crashes  *crashes

	table    atomic.Pointer[ingress.Table] // in force; nil before the first
	version  sync.Mutex                    // held while a table is put in force
	draining atomic.Bool                   // a planned stop has begun
	refusing atomic.Bool                   // takes no new work
	requests atomic.Int64                  // under way
	idle     *idleConns

	servers []*server
	serving context.Context         // of callers' requests
	cut     context.CancelCauseFunc // ends it
	wg      sync.WaitGroup
}

// server is an HTTP server with the address that it serves.
type server struct {
	*http.Server
	listener net.Listener
}

// memoryShare is the part of a VM's memory that the heap may reach before the
// collector works harder; the rest is for stacks, sockets and the runtime.
const memoryShare = 0.6

// routineLines bounds the log lines a second about requests that went well: ten times
// what a daemon of today's sites serves.
const routineLines = 200

// New binds the daemon's addresses and connects its parts. Nothing runs yet.
func New(s Settings, logOutput io.Writer) (*Gateway, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB<<20)))
	}
	logger := level.NewFilter(log.With(log.NewJSONLogger(logOutput), "ts", log.DefaultTimestampUTC, "node", s.ID),
		level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
	g := &Gateway{
		metrics: metrics.NewRegistry(), idle: newIdleConns(),
		events:  event.NewRecorder(s.ID, event.NewClock(time.Now), logger, s.EventRing),
		targets: platform.NewTargets(), fleet: fleet.New(s.Place, rand.Uint64()),
	}
	g.serving, g.cut = context.WithCancelCause(context.Background())
	g.settings.Store(&s)
	g.events.LimitRoutine(routineLines)
	g.store = platform.NewClient("http://"+s.Store, g.metrics)
	g.members, g.shelf, g.crashes = newMembers(g), newShelf(g), newCrashes(g)
	g.forward = &forward.Forwarder{
		TargetClient: g.targets, Fleet: g.fleet, Events: g.events, Metrics: g.metrics, CrashTracker: g.crashes, PlacementLimiter: forward.NewPlacementLimiter(),
		Prober: forward.NewProber(g.targets, g.fleet, g.events), CacheLocator: forward.NewCacheLocator(g.targets),
		RetryBudget: forward.NewRetryBudget(time.Now(), s.RetryBudget.bounds()),
		Model:       g.model,
	}
	var err error
	if g.peers, err = newPeers(g); err != nil {
		return nil, err
	}
	g.forward.Prober.OnSuspect = g.peers.tellSuspect
	callers := &platform.Callers{
		Table: g.table.Load, Serve: g.serve, Closing: g.draining.Load, Refused: g.refused,
		Service: func(r *ingress.Route) string { return r.PickService(rand.Float64()) },
	}
	for _, l := range []struct {
		address string
		handler http.Handler
	}{
		{s.Callers, callers},
		{s.Directory, platform.DirectoryHandler(g.lookup)},
		{s.Readiness, platform.ReadinessHandler(g.ready)},
		{s.Operations, g.operations()},
	} {
		if err := g.listen(l.address, l.handler); err != nil {
			g.closeListeners()
			g.peers.transport.Close()
			return nil, err
		}
	}
	return g, nil
}

// Limits of callers' connections. The configuration's limits, which are lower, go
// first; these hold before the first configuration.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 120 * time.Second
)

func (g *Gateway) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	g.servers = append(g.servers, &server{
		Server: &http.Server{
			Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnState: g.idle.changed,
			BaseContext: func(net.Listener) context.Context { return g.serving },
		},
		listener: l,
	})
	return nil
}

func (g *Gateway) closeListeners() {
	for _, s := range g.servers {
		_ = s.listener.Close() // nothing was accepted
	}
}

// model returns what the configuration says of the engines of a service.
func (g *Gateway) model(service string) *ingress.Model {
	table := g.table.Load()
	if table == nil {
		return nil
	}
	s, _ := table.Service(service)
	return s.Model
}

// ready tells whether this daemon takes new work.
func (g *Gateway) ready() bool {
	return g.table.Load() != nil && g.fleet.Len() > 0 && !g.draining.Load()
}

// lookup answers callers that ask where to connect.
func (g *Gateway) lookup() (platform.DirectoryAnswer, bool) {
	addresses := g.members.directory()
	return platform.DirectoryAnswer{Addresses: addresses, TTL: g.settings.Load().DirectoryTTL.Std()}, len(addresses) > 0
}

// Run serves until ctx ends, then stops gracefully: it leaves the directory, serves
// on while old directory answers are kept, and finishes what runs.
func (g *Gateway) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	g.peers.run(background)
	g.shelf.run(background)
	g.wg.Go(func() { g.members.register(background) })
	g.wg.Go(func() { g.closeIdle(background) })
	failed := make(chan error, len(g.servers))
	for _, s := range g.servers {
		g.wg.Go(func() { failed <- s.Serve(s.listener) })
	}
	g.events.Record(event.NodeStarted, "", event.F("callers", g.settings.Load().Callers), event.F("store", g.settings.Load().Store))
	var err error
	select {
	case <-ctx.Done():
		g.drain()
	case err = <-failed:
		g.events.Record(event.NodeFailed, "", event.F("error", err.Error()))
	}
	g.cut(forward.ErrStopping) // what still runs at the end of the grace time
	g.awaitRequests(time.Now().Add(lastAnswers))
	for _, s := range g.servers {
		_ = s.Close()
	}
	stop()
	g.peers.transport.Close()
	g.wg.Wait()
	g.events.Record(event.NodeStopped, "")
	return errors.Wrap(err, "serve")
}
