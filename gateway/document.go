package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/platform"
)

// documentQuery requests the configuration that a peer has in force.
type documentQuery struct{}

// documentAnswer answers a documentQuery.
type documentAnswer struct {
	Entries exchange.Entries `msgpack:"e"` // the entry of the configuration; a list, because lists are compressed
}

// newerVersionGrace returns how long after this daemon heard of a newer version its entries
// must match the store without it. Before that, the version may be on its way: an update
// that was delayed looks fresher than it is.
func newerVersionGrace(s *Settings) time.Duration {
	return 3 * readPeriods(s)[platform.ConfigurationKind]
}

// newerVersions notices that a peer has activated a version which the store no longer
// has: after a restoration from an older copy, a daemon that starts reads an older
// configuration than those that ran all the while have in force.
type newerVersions struct {
	g *Gateway

	mu     sync.Mutex
	active int64     // version in force here when this daemon heard of a newer one
	since  time.Time // when that was, or when it last asked for the newer one
}

// note records the version that a peer has in force. If it is newer than the one in force
// here, and reads of the store since then have brought none, note fetches it.
func (n *newerVersions) note(from peer.Identity, version int64) {
	active := int64(-1)
	if table := n.g.table.Load(); table != nil {
		active = table.Version
	}
	if version <= active {
		return
	}
	matched := n.g.datasets.lastMatch(platform.ConfigurationKind)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case active != n.active || n.since.IsZero():
		n.active, n.since = active, time.Now()
	case matched.After(n.since.Add(newerVersionGrace(n.g.settings.Load()))):
		n.since = time.Now()
		go n.fetch(from)
	}
}

// fetch fetches and activates a peer's configuration.
func (n *newerVersions) fetch(from peer.Identity) {
	ctx, cancel := context.WithTimeout(n.g.peers.ctx, peerTimeout)
	defer cancel()
	var answer documentAnswer
	if err := n.g.peers.transport.Call(ctx, from.PeerAddress, kindDocument, documentQuery{}, &answer); err != nil {
		n.g.peers.countLost(1) // the next heartbeat of a peer repeats it
		return
	}
	for _, e := range answer.Entries {
		n.g.applyConfiguration(e, []event.Field{event.F("source", sourcePeer), event.F("member", from.ID)})
	}
}

// serveDocument answers a peer's documentQuery.
func (g *Gateway) serveDocument(context.Context, peer.Identity, documentQuery) (any, error) {
	e := g.document.Load()
	if e == nil {
		return nil, errors.New("no configuration is in force here")
	}
	return documentAnswer{exchange.Entries{*e}}, nil
}
