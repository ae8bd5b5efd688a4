package callers

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// closedBy is why a connection of a caller was closed, or not accepted.
type closedBy int

const (
	closedHeader  closedBy = iota // its header is far over the limit
	closedMemory                  // others need its memory
	closedMany                    // there are too many connections
	closedReasons                 // number of reasons
)

// closeBatch is the part of the connections of a pool that is closed at a time, so that not
// every accepted connection compares all others.
const closeBatch = 1.0 / 32

// Pool bounds the number of connections of one or several listeners.
type Pool struct {
	max         int
	budget      *membudget.Budget
	headerLimit func() int // size of a header that is not read any further
	tally       *tally

	mu     sync.Mutex
	conns  map[*Guard]*Conn // without those that are being closed
	closed [closedReasons]int64
}

func newPool(size int, budget *membudget.Budget, headerLimit func() int, tally *tally) *Pool {
	return &Pool{max: max(1, size), budget: budget, headerLimit: headerLimit, tally: tally, conns: make(map[*Guard]*Conn)}
}

// admit adds a connection. If there are too many, others are closed; it returns false if all
// of them must stay.
func (p *Pool) admit(c *Conn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.max && !p.closeSome(now) {
		p.closed[closedMany]++
		p.tally.add(c.RemoteAddr(), 0)
		return false
	}
	c.guard = newGuard(c.Conn, p, now)
	p.conns[c.guard] = c
	return true
}

// closeSome closes the connections that matter least, and reports whether there are any. The
// caller holds mu.
func (p *Pool) closeSome(now time.Time) bool {
	type candidate struct {
		guard *Guard
		rank  int
		since time.Time
	}
	var candidates []candidate
	for guard := range p.conns {
		if rank, since, ok := guard.closeRank(now); ok {
			candidates = append(candidates, candidate{guard, rank, since})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.since.Compare(b.since))
	})
	for _, c := range candidates[:min(len(candidates), 1+int(closeBatch*float64(p.max)))] {
		conn := p.conns[c.guard]
		if rank, _, ok := c.guard.closeRank(time.Now()); !ok || rank != c.rank {
			continue // its request is complete meanwhile
		}
		if c.rank > 0 {
			_ = conn.Conn.Close() // it may be closed already
		} else if !conn.expireIf(func(state int64) bool { return state > connBusy }) {
			continue // a request arrives
		}
		delete(p.conns, c.guard)
		p.closed[closedMany]++
		p.tally.add(conn.RemoteAddr(), c.guard.held())
	}
	return len(p.conns) < p.max
}

// closeUnread closes connections on which the most bytes wait behind a request that is being
// served, until at most limit bytes of all connections wait.
func (p *Pool) closeUnread(limit int) {
	type queue struct {
		conn  *Conn
		bytes int
	}
	var queues []queue
	sum := 0
	p.mu.Lock()
	for guard, conn := range p.conns {
		if n := guard.unread(); n > 0 {
			queues = append(queues, queue{conn, n})
			sum += n
		}
	}
	p.mu.Unlock()
	slices.SortFunc(queues, func(a, b queue) int { return cmp.Compare(b.bytes, a.bytes) })
	for _, q := range queues {
		if sum <= limit {
			return
		}
		sum -= q.bytes
		p.countClosed(closedMemory, q.conn.RemoteAddr(), int64(q.bytes))
		_ = q.conn.Conn.Close() // it may be closed already
	}
}

func (p *Pool) remove(g *Guard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, g)
}

// countClosed counts a connection that is closed for a reason and held some bytes of a request.
func (p *Pool) countClosed(reason closedBy, remote net.Addr, bytes int64) {
	p.mu.Lock()
	p.closed[reason]++
	p.mu.Unlock()
	p.tally.add(remote, bytes)
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// counts returns the number of open connections and, by reason, those closed since the start.
func (p *Pool) counts() (open int, closed [closedReasons]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns), p.closed
}
