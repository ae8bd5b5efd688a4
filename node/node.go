// Package node builds one daemon from the slices and runs it. A slice is a package
// that makes one kind of decisions, such as membership or admission. Package node
// makes none itself: it connects the slices to sockets, clocks and each other.
package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/settings"
	"github.com/vanillaroad/vanillaroad/trace"
)

// Node is one daemon.
type Node struct {
	settings      settings.Settings
	self          peer.Identity
	events        *event.Recorder
	metrics       metrics.Registry
	trace         *trace.Recorder // nil when tracing is off
	loop          *control.Loop
	transport     *peer.Transport
	platform      *platform.Client
	targetClients *clientPool
	hub           *generation.Hub
	// generationPeers sends messages to the hubs of other daemons.
	generationPeers *generationPeers
	placement       *placementRunner
	membership      *membershipRunner
	configuration   *configurationRunner

	platformState platformState

	snapshot       atomic.Pointer[configuration.Snapshot]
	view           atomic.Pointer[membership.View]
	wasReady       atomic.Bool   // has been ready for callers, see markReady
	draining       atomic.Bool   // announced as leaving, so that the directory omits it
	refusing       atomic.Bool   // refuses new work
	refusalStarted chan struct{} // closed when refusing becomes true
	requests       atomic.Int64  // HTTP requests that are being served

	confirmations confirmationState

	admission  *admitter       // owned by the control loop
	background context.Context // done when the daemon stops; set before it serves

	limits      *callers.Limits  // bounds on what callers hold
	conns       *callers.Tracker // callers' connections
	listener    net.Listener
	server      *http.Server
	wg          sync.WaitGroup
	spawnMu     sync.Mutex
	spawnClosed bool // guarded by spawnMu; if true, nothing is added to wg any more
}

// New binds the daemon's addresses and connects its slices. It starts no work;
// Run does.
func New(s settings.Settings, logOutput io.Writer) (*Node, error) {
	self := peer.Identity{
		ID: s.ID, Incarnation: uint64(time.Now().UnixNano()), Place: s.Place, Region: s.Region,
		APIAddress: s.APIAddress, PeerAddress: s.PeerAddress,
	}
	events := event.NewRecorder(s.ID, event.NewClock(time.Now), newLogger(logOutput, s), s.EventRing)
	limits := newCallerLimits(s)
	limitRetained(&s)
	transport, err := peer.Listen(self, events)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.APIAddress)
	if err != nil {
		transport.Close()
		return nil, errors.Wrapf(err, "listen for callers at %s", s.APIAddress)
	}
	if limits.Resources.Known() {
		transport.MaxInbound, transport.Buffers = limits.Resources.PeerConns(), limits.Resources.FrameBudget()
	}
	n := &Node{
		limits: limits, conns: callers.NewTracker(),
		settings: s, self: self, events: events, metrics: metrics.NewRegistry(), loop: control.NewLoop(),
		transport: transport, refusalStarted: make(chan struct{}),
	}
	n.listener = n.limitCallers(listener)
	if err := n.openTrace(s.TraceFile); err != nil {
		transport.Close()
		_ = listener.Close()
		return nil, err
	}
	n.platform = platform.NewClient(s.Platform, n.metrics)
	n.buildMembership()
	n.buildConfiguration()
	n.buildRouting()
	n.buildGenerations()
	n.buildConfirmations()
	n.buildPlacement()
	n.server = n.newServer()
	return n, nil
}

func newLogger(w io.Writer, s settings.Settings) log.Logger {
	l := log.NewJSONLogger(log.NewSyncWriter(w))
	l = log.With(l, "ts", log.DefaultTimestampUTC, "node", s.ID)
	return level.NewFilter(l, level.Allow(level.ParseDefault(s.LogLevel, level.InfoValue())))
}

// openTrace creates the trace file, unless path is empty.
func (n *Node) openTrace(path string) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "open trace file")
	}
	n.trace, err = trace.NewRecorder(f, n.self.ID)
	return err
}

// Run serves until ctx is done, then stops gracefully: it leaves the directory,
// keeps serving until cached directory answers have expired, and completes the
// running requests.
func (n *Node) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	n.background = background
	n.spawn(func() { n.loop.Run(background) })
	n.spawn(n.transport.Serve)
	n.spawn(func() { n.checkCallers(background) })
	n.runMembership(background)
	n.runConfiguration(background)
	n.runConfirmations(background)
	n.runPlacement(background)
	serveErr := make(chan error, 1)
	n.spawn(func() { serveErr <- n.server.Serve(n.listener) })
	if unknown := n.settings.Unknown; len(unknown) > 0 {
		n.events.Record(event.SettingsUnknown, "", event.F("keys", strings.Join(unknown, ",")))
	}
	n.events.Record(event.NodeStarted, "", event.F("api", n.settings.APIAddress), event.F("peer", n.settings.PeerAddress))
	var err error
	select {
	case <-ctx.Done():
		n.drainAndWait()
	case err = <-serveErr:
		n.events.Record(event.NodeFailed, "", event.F("error", err.Error()))
	}
	n.close(stop)
	n.events.Record(event.NodeStopped, "")
	return errors.Wrap(err, "serve callers")
}

// spawn runs fn on a goroutine that the daemon waits for when it stops. Once
// waitForSpawned was called, spawn does nothing.
func (n *Node) spawn(fn func()) {
	n.spawnMu.Lock()
	defer n.spawnMu.Unlock()
	if n.spawnClosed {
		return
	}
	n.wg.Go(fn)
}

// waitForSpawned disables spawn and waits for the spawned goroutines to return.
func (n *Node) waitForSpawned() {
	n.spawnMu.Lock()
	n.spawnClosed = true
	n.spawnMu.Unlock()
	n.wg.Wait()
}

// shutdownTimeout bounds the wait for callers' connections to close.
const shutdownTimeout = 2 * time.Second

func (n *Node) close(stop context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if n.server.Shutdown(ctx) != nil {
		_ = n.server.Close()
	}
	n.hub.Close()
	stop()
	n.transport.Close()
	n.waitForSpawned()
	n.platform.Close()
	n.targetClients.close()
}
