package gateway

import (
	"bytes"
	"context"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/exposition"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/relay"
)

// Parts of the VM's memory and descriptors for the ports that package callers doesn't name, see
// docs/design/caller-memory.md.
const (
	// otherConnsShare is the largest part of the buffers that the connections of the ports for
	// readiness and operations use, each; the port for the directory has twice as much.
	otherConnsShare  = callers.BuffersShare / 32
	directoryFDShare = 1.0 / 16
	otherFDsShare    = 1.0 / 64
	// relaysShare is the largest part of the memory for connections that the daemon relays, of
	// relay.ConnBytes each. They have two descriptors each.
	relaysShare   = 1.0 / 8
	relayFDsShare = 1.0 / 32
)

// connLimits are the largest numbers of connections of each kind.
type connLimits struct {
	callers, directory, other int
	peers                     int // 0 for no bound
	relays                    int // 0 for the default of package relay
}

// newConnLimits returns the limits for a VM. Without memory_mb and max_fds there are none.
func newConnLimits(s Settings) connLimits {
	r := s.resources()
	other := r.Conns(otherConnsShare, membudget.ConnBytes, otherFDsShare)
	l := connLimits{callers: r.CallerConns(), directory: r.Conns(2*otherConnsShare, membudget.ConnBytes, directoryFDShare), other: other}
	if r.Known() {
		l.peers, l.relays = r.PeerConns(), r.Conns(relaysShare, relay.ConnBytes, relayFDsShare)
	}
	return l
}

// resources returns what the daemon may use.
func (s Settings) resources() callers.Resources {
	return callers.Resources{MemoryBytes: int64(s.MemoryMB) << 20, FDs: s.MaxFDs}
}

// refusalLinesPerSecond limits the log lines about single requests that were refused for
// want of memory. The event CallersLimited states their number.
const refusalLinesPerSecond = 5

// callerLimits bounds what callers hold.
type callerLimits struct {
	*callers.Limits
	g          *Gateway
	conns      connLimits
	callers    *callers.Pool // of the port for callers' requests; nil if nothing is bounded
	linesLimit *rate.Limiter
}

func newCallerLimits(g *Gateway, s Settings) *callerLimits {
	limits := callers.NewLimits(s.resources(), forward.MaxBufferedBytes)
	limits.Header = &callers.HeaderLimits{Timeout: func() time.Duration {
		if table := g.table.Load(); table != nil {
			return min(callers.MaxHeaderTimeout, table.Limits.HeaderTimeout)
		}
		return 0
	}}
	return &callerLimits{Limits: limits, g: g, conns: newConnLimits(s), linesLimit: rate.NewLimiter(refusalLinesPerSecond, refusalLinesPerSecond)}
}

// headerLimit returns the size of a header that is not read any further.
func (l *callerLimits) headerLimit() int {
	if table := l.g.table.Load(); table != nil {
		return callers.HeaderReadLimit(table.Limits.HeaderBytes)
	}
	return callers.HeaderReadLimit(0)
}

// recordRefusal records a request that was refused before it was forwarded.
func (l *callerLimits) recordRefusal(requestID string, err *failure.Error) {
	if err.Code == failure.Overloaded {
		l.CountRefusal()
		if !l.linesLimit.Allow() {
			return
		}
	}
	l.g.recordRefusal(requestID, err)
}

// usage returns what callers and answers use, and what other daemons use: their connections and
// frames, and the connections that are relayed for them.
func (l *callerLimits) usage() (usage membudget.Usage, peers int64) {
	open, _ := l.g.peers.transport.Inbound()
	peers = int64(open)*callers.PeerConnBytes + int64(l.g.links.server.Open())*relay.ConnBytes
	if frames := l.g.peers.transport.Buffers; frames != nil {
		peers += frames.Used()
	}
	return l.Usage(), peers
}

// writeMetrics writes the state of the bounds.
func (l *callerLimits) writeMetrics(w *bytes.Buffer) {
	l.WriteMetrics(w)
	_, ofPeers := l.usage()
	exposition.WriteValue(w, "memory_peers", "gauge", ofPeers)
	exposition.WriteValue(w, "relay_connections_open", "gauge", l.g.links.server.Open())
	exposition.WriteValue(w, "relay_connections_rejected", "counter", l.g.links.server.Rejected())
	peers, rejected := l.g.peers.transport.Inbound()
	exposition.WriteValue(w, "peer_connections_accepted", "gauge", peers)
	exposition.WriteValue(w, "peer_connections_rejected", "counter", rejected)
}

// connOf returns the connection of a request by its context, or nil.
func connOf(ctx context.Context) platform.CallerConn {
	if g := callers.GuardOf(ctx); g != nil {
		return g
	}
	return nil
}
