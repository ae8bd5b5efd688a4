package gateway

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/relay"
	"github.com/vanillaroad/vanillaroad/uplink"
)

// Timing of links to targets.
const (
	// relayDelay is the time without a direct connection after which one through another
	// daemon is opened at the same time.
	relayDelay = 100 * time.Millisecond
	// maxLinkLateness is how late this daemon may be while it opens a direct connection that
	// then seems to hang. If it is later than that, the connection may wait here, and one
	// through another daemon would make more work.
	maxLinkLateness = 25 * time.Millisecond
	// maxRelayAttempts is the number of daemons that are asked to relay one connection.
	maxRelayAttempts = 3
	// maxRelayChecks is the number of connections that are opened through other daemons at a
	// time while this daemon's own links work. When a place is lost, all daemons would ask
	// the few of that place for each of its targets.
	maxRelayChecks = 4
	// relayRetryDelay is how long a daemon that failed to relay is not asked again.
	relayRetryDelay = time.Second
	// linkCheckInterval is the time between two checks of the links.
	linkCheckInterval = 100 * time.Millisecond
	// quietPeriod is the time without bytes of any target after which targets that are in
	// use are probed, if one of them should be sending events, and quietPrefillPeriod if all
	// still read prompts: that takes a second.
	quietPeriod        = 300 * time.Millisecond
	quietPrefillPeriod = time.Second
	// maxQuietProbes is the number of targets probed then.
	maxQuietProbes = 3
	// restoreCheckInterval is the time between two direct reports that are requested while
	// the links are lost, and restoreCheckTimeout bounds each.
	restoreCheckInterval = 500 * time.Millisecond
	restoreCheckTimeout  = 200 * time.Millisecond
	// maxReachChecks is the number of targets that are tried to verify a refusal.
	maxReachChecks = 4
	// suspicionEvidence is the time before a suspicion in which another target must have
	// answered. Without that, this daemon's own links may be at fault.
	suspicionEvidence = 400 * time.Millisecond
)

// links opens connections to targets: directly, or through another daemon while this one
// does not reach them.
type links struct {
	g       *Gateway
	dial    platform.DialFunc // opens a direct connection
	monitor *uplink.Monitor
	server  *relay.Server
	checks  chan struct{} // holds a value for each of the maxRelayChecks that are made

	mu     sync.Mutex
	relays map[string]*relayState // by id of the daemon
}

// relayState is what this daemon knows of another one that may relay.
type relayState struct {
	linksLost  bool // as it reports
	retryAfter time.Time
	open       map[net.Conn]struct{} // connections through it
}

func newLinks(g *Gateway, dial platform.DialFunc) *links {
	l := &links{g: g, dial: dial, monitor: uplink.NewMonitor(), checks: make(chan struct{}, maxRelayChecks), relays: make(map[string]*relayState)}
	l.server = &relay.Server{Connect: l.connectFor, LinksWork: l.reachesAnother}
	return l
}

// DialTarget is the platform.DialFunc of the daemon's requests. A refused connection shows
// that no process listens only if another daemon, which reaches other targets, is refused,
// too; or if there is no other daemon.
func (l *links) DialTarget(ctx context.Context, t fleet.Target) (net.Conn, error) {
	if l.monitor.Lost() {
		if conn, err := l.dialThroughPeers(ctx, t); err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return conn, err
		}
	}
	type result struct {
		conn net.Conn
		err  error
	}
	directCtx, cancel := context.WithCancel(ctx)
	startedAt := time.Now()
	direct := make(chan result, 1)
	go func() {
		conn, err := l.dialDirect(directCtx, t)
		direct <- result{conn, err}
	}()
	timer := time.NewTimer(relayDelay)
	defer timer.Stop()
	for waiting := true; waiting; {
		select {
		case r := <-direct:
			cancel()
			if r.err == nil {
				return r.conn, nil
			}
			return l.afterFailure(ctx, t, r.err)
		case <-timer.C:
			now := time.Now()
			if waiting = l.g.lag.Since(startedAt, now) > maxLinkLateness; waiting {
				startedAt = now
				timer.Reset(relayDelay)
			}
		}
	}
	relayed, err := l.dialThroughPeers(ctx, t)
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		cancel()
		go func() {
			if r := <-direct; r.err == nil {
				_ = r.conn.Close()
			}
		}()
		return relayed, err
	}
	r := <-direct
	cancel()
	if r.err != nil {
		return nil, l.unverified(r.err)
	}
	return r.conn, nil
}

// afterFailure connects through another daemon after a direct connection failed.
func (l *links) afterFailure(ctx context.Context, t fleet.Target, direct error) (net.Conn, error) {
	conn, err := l.dialThroughPeers(ctx, t)
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		return conn, err
	}
	return nil, l.unverified(direct)
}

// unverified returns the error of a direct connection that no other daemon confirms.
func (l *links) unverified(direct error) error {
	if len(l.g.members.others()) == 0 {
		return direct
	}
	return errors.New(direct.Error()) // without syscall.ECONNREFUSED
}

// dialDirect opens a direct connection and lets the monitor observe it.
func (l *links) dialDirect(ctx context.Context, t fleet.Target) (net.Conn, error) {
	conn, err := l.dial(ctx, t)
	if err != nil {
		if ctx.Err() == nil || errors.Is(err, syscall.ECONNREFUSED) {
			l.failed(t)
		}
		return nil, err
	}
	return &observedConn{Conn: conn, links: l, target: t}, nil
}

// observedConn is a direct connection to a target.
type observedConn struct {
	net.Conn
	links  *links
	target fleet.Target
}

// Read implements net.Conn.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch {
	case n > 0:
		c.links.monitor.Answered(time.Now())
	case err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed):
		c.links.failed(c.target)
	}
	return n, err
}

// failed records that a target can't be reached directly.
func (l *links) failed(t fleet.Target) {
	if !l.monitor.Failed(time.Now(), t.ID) {
		return
	}
	l.g.events.Record(event.LinksLost, "", event.F("target", t.ID))
	l.g.fleet.ForgetSuspicions() // they come from these links
	l.g.targetClient.CloseIdle()
}

// handleSuspicion handles the suspicion of a target by this daemon's prober. Other daemons
// learn of it only if the daemon's own links are not at fault.
func (l *links) handleSuspicion(t fleet.Target, terminated bool) {
	if !terminated {
		if !l.monitor.Lost() {
			l.failed(t)
		}
		if !l.monitor.AnsweredSince(time.Now().Add(-suspicionEvidence)) {
			return
		}
	}
	l.g.peers.reportSuspect(t, terminated)
}

// run checks the links until ctx is done.
func (l *links) run(ctx context.Context) {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	var restoreCheckedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		l.monitor.SetKnown(l.g.fleet.Len())
		l.breakSilent()
		switch {
		case !l.monitor.Lost():
			l.probeIfQuiet(now)
		case now.Sub(restoreCheckedAt) >= restoreCheckInterval:
			restoreCheckedAt = now
			l.checkRestored(ctx)
		}
	}
}

// probeIfQuiet probes some targets in use if none has sent anything for a time.
func (l *links) probeIfQuiet(now time.Time) {
	if l.monitor.AnsweredSince(now.Add(-quietPeriod)) {
		return
	}
	loads := l.g.fleet.OwnLoads()
	if !sendsEvents(loads) && l.monitor.AnsweredSince(now.Add(-quietPrefillPeriod)) {
		return
	}
	probes := 0
	for id, load := range loads {
		if load.MemoryTokens == 0 || probes == maxQuietProbes {
			continue // other targets than model engines have no report
		}
		if t := l.g.fleet.Incarnation(id).Target; t.ID != "" {
			probes++
			l.g.forwarder.Prober.Check(t)
		}
	}
}

// sendsEvents reports whether a target runs a stream and reads no prompt.
func sendsEvents(loads map[string]fleet.DaemonLoad) bool {
	for _, load := range loads {
		if load.Running > 0 && load.MemoryTokens > 0 && load.PrefillTokens == 0 {
			return true
		}
	}
	return false
}

// checkRestored requests reports of targets on new direct connections.
func (l *links) checkRestored(ctx context.Context) {
	client := platform.NewTargetClient(l.dial)
	defer client.CloseIdle()
	for _, t := range l.g.fleet.Sample(time.Now(), "", 2) {
		checkCtx, cancel := context.WithTimeout(ctx, restoreCheckTimeout)
		_, err := client.Report(checkCtx, t)
		cancel()
		if err != nil {
			l.monitor.Failed(time.Now(), t.ID)
			return
		}
		if l.monitor.AnsweredNew(time.Now(), t.ID) {
			l.g.events.Record(event.LinksRestored, "")
			l.g.targetClient.CloseIdle()
			return
		}
	}
}

// breakSilent closes the connections through daemons that are no longer heard.
func (l *links) breakSilent() {
	l.mu.Lock()
	used := false
	for _, s := range l.relays {
		used = used || len(s.open) > 0
	}
	l.mu.Unlock()
	if !used {
		return
	}
	_, silent := l.g.members.othersByLiveness()
	var broken []net.Conn
	l.mu.Lock()
	for _, m := range silent {
		if s := l.relays[m.ID]; s != nil {
			for conn := range s.open {
				broken = append(broken, conn)
			}
		}
	}
	l.mu.Unlock()
	for _, conn := range broken {
		_ = conn.Close()
	}
}

// connectFor connects directly to a registered target for another daemon.
func (l *links) connectFor(ctx context.Context, t relay.Target) (net.Conn, error) {
	target := l.g.fleet.Incarnation(t.ID).Target
	if target.ID == "" || target.Address != t.Address || !l.g.fleet.MayRelayTo(time.Now(), t.ID) {
		return nil, relay.ErrRejected
	}
	return l.dialDirect(ctx, target)
}

// reachesAnother reports whether a connection to another target can be opened. It tries
// some, since others may have ended for the same reason.
func (l *links) reachesAnother(ctx context.Context, t relay.Target) bool {
	for _, other := range l.g.fleet.Sample(time.Now(), t.ID, maxReachChecks) {
		if conn, err := l.dial(ctx, other); err == nil {
			_ = conn.Close()
			return true
		}
	}
	return false
}
