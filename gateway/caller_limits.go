package gateway

import (
	"bytes"
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/exposition"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/relay"
)

// Parts of the VM's memory, see docs/design/caller-memory.md.
const (
	// buffersShare is the part for requests, answers and callers' connections. With the
	// 20 MB of an idle daemon, it is below heapMemoryShare.
	buffersShare = 1.0 / 3
	// connsShare is the largest part of the buffers that callers' connections use, and
	// otherConnsShare that of the connections of each other port.
	connsShare      = 3.0 / 8
	otherConnsShare = 1.0 / 32
	// peersShare is the largest part for connections from other daemons of peerConnBytes
	// each: two stacks, a read buffer and a send queue. framesShare is that for their frames.
	peersShare    = 1.0 / 6
	peerConnBytes = 24 << 10
	framesShare   = 1.0 / 16
	// relaysShare is the largest part for connections that the daemon relays, of relay.ConnBytes
	// each.
	relaysShare = 1.0 / 8
	// minFramesBytes is the least for frames: a frame of 4 MiB while its buffer is replaced.
	minFramesBytes = 8 << 20
	// unreadShare is the part for bytes that callers sent behind a request that is being
	// served. They wait in the kernel, which uses up to twice as much for them.
	unreadShare = 1.0 / 32
)

// Parts of the VM's file descriptors without reservedFDs, which are for files. Each request
// needs a connection to a target, so callers' connections are fewer than the rest, which
// is for connections to targets, other daemons and the store.
const (
	reservedFDs      = 200
	callerFDsShare   = 9.0 / 32
	peerFDsShare     = 9.0 / 32
	directoryFDShare = 1.0 / 16
	otherFDsShare    = 1.0 / 64
	// relayFDsShare counts relayed connections, which have two descriptors each.
	relayFDsShare = 1.0 / 32
	// minConns is the smallest bound of any port.
	minConns = 16
)

// connLimits are the largest numbers of connections of each kind.
type connLimits struct {
	callers, directory, other, peers int
	relays                           int // 0 for the default of package relay
}

// newConnLimits returns the limits for a VM. Without memory_mb and max_fds there are none.
func newConnLimits(s Settings) connLimits {
	const none = 1 << 30
	l := connLimits{none, none, none, none, 0}
	if s.MemoryMB > 0 {
		memory := float64(s.MemoryMB << 20)
		buffers := buffersShare * memory
		other := int(otherConnsShare * buffers / membudget.ConnBytes)
		l = connLimits{int(connsShare * buffers / membudget.ConnBytes), 2 * other, other, int(peersShare * memory / peerConnBytes), int(relaysShare * memory / relay.ConnBytes)}
	}
	if s.MaxFDs > 0 {
		fds := float64(max(0, s.MaxFDs-reservedFDs))
		l.callers = min(l.callers, int(callerFDsShare*fds))
		l.directory = min(l.directory, int(directoryFDShare*fds))
		l.other = min(l.other, int(otherFDsShare*fds))
		l.peers = min(l.peers, int(peerFDsShare*fds))
		relays := int(relayFDsShare * fds)
		if l.relays > 0 {
			relays = min(relays, l.relays)
		}
		l.relays = max(1, relays)
	}
	if l.relays > 0 {
		l.relays = max(minConns, l.relays)
	}
	return connLimits{max(minConns, l.callers), max(minConns, l.directory), max(minConns, l.other), max(minConns, l.peers), l.relays}
}

// buffersLimit returns the size of the budget for requests, answers and connections.
func buffersLimit(s Settings) int64 {
	if s.MemoryMB == 0 {
		return forward.MaxBufferedBytes
	}
	return int64(buffersShare * float64(s.MemoryMB<<20))
}

// refusalLinesPerSecond limits the log lines about single requests that were refused for
// want of memory. The event CallersLimited states their number.
const refusalLinesPerSecond = 5

// callerLimits bounds what callers hold.
type callerLimits struct {
	g           *Gateway
	buffers     *membudget.Budget
	conns       connLimits
	pools       []*connPool
	linesLimit  *rate.Limiter
	refused     atomic.Int64
	lastRefused int64
	lastClosed  [closedReasons]int64
	header      *headerLimits
	lastLate    int64 // header.refused at the previous report
}

func newCallerLimits(g *Gateway, s Settings) *callerLimits {
	header := &headerLimits{timeout: func() time.Duration {
		if table := g.table.Load(); table != nil {
			return min(maxHeaderTimeout, table.Limits.HeaderTimeout)
		}
		return 0
	}}
	return &callerLimits{g: g, header: header, buffers: membudget.New(buffersLimit(s)), conns: newConnLimits(s), linesLimit: rate.NewLimiter(refusalLinesPerSecond, refusalLinesPerSecond)}
}

// bounded reports whether the settings ask for bounds on callers.
func bounded(s Settings) bool { return s.MemoryMB > 0 || s.MaxFDs > 0 }

// newPool returns the pool of a port with at most size connections.
func (l *callerLimits) newPool(size int) *connPool {
	budget := l.buffers
	if l.g.settings.Load().MemoryMB == 0 {
		budget = membudget.New(1 << 62) // the connections don't count
	}
	p := newConnPool(size, budget, l.headerLimit)
	l.pools = append(l.pools, p)
	return p
}

// headerLimit returns the size of a header that is not read any further.
func (l *callerLimits) headerLimit() int {
	table := l.g.table.Load()
	if table == nil || table.Limits.HeaderBytes <= 0 {
		return maxHeaderBytes
	}
	return 2*table.Limits.HeaderBytes + headerSlack
}

// recordRefusal records a request that was refused before it was forwarded.
func (l *callerLimits) recordRefusal(requestID string, err *failure.Error) {
	if err.Code == failure.Overloaded {
		l.refused.Add(1)
		if !l.linesLimit.Allow() {
			return
		}
	}
	l.g.recordRefusal(requestID, err)
}

// check closes connections with too many unread bytes, and reports what was done.
func (l *callerLimits) check() {
	if memory := l.g.settings.Load().MemoryMB << 20; memory > 0 {
		for _, p := range l.pools {
			p.closeUnread(int(unreadShare * float64(memory)))
		}
	}
	l.report()
}

// report records how many callers were refused or closed since the previous report.
func (l *callerLimits) report() {
	var total [closedReasons]int64
	for _, p := range l.pools {
		_, closed := p.counts()
		for i, n := range closed {
			total[i] += n
		}
	}
	refused, late := l.refused.Load(), l.header.refused.Load()
	if total == l.lastClosed && refused == l.lastRefused && late == l.lastLate {
		return
	}
	since := func(reason closedBy) string { return strconv.FormatInt(total[reason]-l.lastClosed[reason], 10) }
	l.g.events.Record(event.CallersLimited, "", event.F("refused", strconv.FormatInt(refused-l.lastRefused, 10)), event.F("closed_for_memory", since(closedMemory)),
		event.F("closed_for_header", since(closedHeader)), event.F("late_headers", strconv.FormatInt(late-l.lastLate, 10)), event.F("closed_for_number", since(closedMany)), event.F("bytes", strconv.FormatInt(l.buffers.Used(), 10)))
	l.lastClosed, l.lastRefused, l.lastLate = total, refused, late
}

// usage returns what callers and answers use, and what other daemons use: their connections and
// frames, and the connections that are relayed for them.
func (l *callerLimits) usage() (callers membudget.Usage, peers int64) {
	callers = l.buffers.Usage()
	for _, p := range l.pools {
		if p.budget != l.buffers {
			callers.Connections += p.budget.Usage().Connections
		}
	}
	open, _ := l.g.peers.transport.Inbound()
	peers = int64(open)*peerConnBytes + int64(l.g.links.server.Open())*relay.ConnBytes
	if frames := l.g.peers.transport.Buffers; frames != nil {
		peers += frames.Used()
	}
	return callers, peers
}

// writeMetrics writes the state of the bounds.
func (l *callerLimits) writeMetrics(w *bytes.Buffer) {
	var open int
	var total [closedReasons]int64
	for _, p := range l.pools {
		n, closed := p.counts()
		open += n
		for i, n := range closed {
			total[i] += n
		}
	}
	exposition.WriteValue(w, "callers_bytes", "gauge", l.buffers.Used())
	usage, ofPeers := l.usage()
	exposition.WriteValue(w, "memory_bodies", "gauge", usage.Bodies)
	exposition.WriteValue(w, "memory_answers", "gauge", usage.Answers)
	exposition.WriteValue(w, "memory_connections", "gauge", usage.Connections)
	exposition.WriteValue(w, "memory_peers", "gauge", ofPeers)
	exposition.WriteValue(w, "callers_connections", "gauge", open)
	exposition.WriteValue(w, "callers_refused", "counter", l.refused.Load())
	exposition.WriteValue(w, "callers_late_headers", "counter", l.header.refused.Load())
	exposition.WriteValue(w, "relay_connections_open", "gauge", l.g.links.server.Open())
	exposition.WriteValue(w, "relay_connections_rejected", "counter", l.g.links.server.Rejected())
	peers, rejected := l.g.peers.transport.Inbound()
	exposition.WriteValue(w, "peer_connections_accepted", "gauge", peers)
	exposition.WriteValue(w, "peer_connections_rejected", "counter", rejected)
	for reason, name := range []string{closedHeader: "header", closedMemory: "memory", closedMany: "number"} {
		exposition.WriteValue(w, fmt.Sprint("callers_closed_for_", name), "counter", total[reason])
	}
}

// connOf returns the connection of a request by its context, or nil.
func connOf(ctx context.Context) platform.CallerConn {
	if g, ok := ctx.Value(guardKey{}).(*connGuard); ok {
		return g
	}
	return nil
}
