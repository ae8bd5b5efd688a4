package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/relay"
)

// dialThroughPeers opens a connection to a target through another daemon. The error is
// syscall.ECONNREFUSED if that daemon finds no process at the target's address.
func (l *links) dialThroughPeers(ctx context.Context, t fleet.Target) (net.Conn, error) {
	if !l.monitor.Lost() {
		select {
		case l.checks <- struct{}{}:
			defer func() { <-l.checks }()
		default:
			return nil, errors.New("too many connections are being opened through other daemons")
		}
	}
	err := errors.New("no other daemon relays")
	for _, m := range l.candidates(t) {
		var conn net.Conn
		conn, err = relay.Dial(ctx, m.Relay, relay.Target{ID: t.ID, Address: t.Address, StartMillis: t.StartMillis}, func() { l.closed(m.ID, conn) })
		switch {
		case err == nil:
			metrics.GetOrRegisterCounter("relay.connections", l.g.metrics).Inc(1)
			l.opened(m.ID, conn)
			return conn, nil
		case errors.Is(err, relay.ErrNotListening):
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		case ctx.Err() != nil:
			return nil, err
		}
		metrics.GetOrRegisterCounter("relay.failures", l.g.metrics).Inc(1)
		if !errors.Is(err, relay.ErrUnreachable) {
			l.avoid(m.ID)
		}
	}
	return nil, err
}

// candidates returns the daemons to ask for a connection to a target, those in its place
// first.
func (l *links) candidates(t fleet.Target) (near []exchange.Member) {
	active, now := l.g.members.activeOthers(), time.Now()
	rand.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
	l.mu.Lock()
	defer l.mu.Unlock()
	var far []exchange.Member
	for _, m := range active {
		s := l.relays[m.ID]
		switch {
		case m.Relay == "" || s != nil && (s.linksLost || now.Before(s.retryAfter)):
		case m.Place == t.Place:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	near = append(near, far...)
	return near[:min(maxRelayAttempts, len(near))]
}

// state returns the state of a relaying daemon. l.mu is held.
func (l *links) state(id string) *relayState {
	s := l.relays[id]
	if s == nil {
		s = &relayState{open: make(map[net.Conn]struct{})}
		l.relays[id] = s
	}
	return s
}

func (l *links) opened(id string, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).open[conn] = struct{}{}
}

func (l *links) closed(id string, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.state(id).open, conn)
}

func (l *links) avoid(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state(id).retryAfter = time.Now().Add(relayRetryDelay)
}

// handleHeartbeat applies what another daemon reports of itself. No request is sent on the
// idle connections through a daemon that leaves.
func (l *links) handleHeartbeat(id string, linksLost, leaving bool) {
	l.mu.Lock()
	s := l.relays[id]
	if s == nil && !linksLost {
		l.mu.Unlock()
		return
	}
	s = l.state(id)
	s.linksLost = linksLost
	used := len(s.open) > 0
	l.mu.Unlock()
	if leaving && used {
		l.g.targetClient.CloseIdle()
	}
}
