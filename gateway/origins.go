package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Limits of the search for the origin of a stream at other daemons.
const (
	// maxOriginQueries is the largest number of daemons that are queried. They are those
	// that have run longest: a daemon that has just started knows little.
	maxOriginQueries   = 8
	originQueryTimeout = 150 * time.Millisecond
)

// origins tracks where streams began. It implements forward.OriginTracker. Records of new
// streams are sent to all daemons with the next load report; a daemon that misses one
// queries the others, and the store.
type origins struct {
	g        *Gateway
	store    *originStore
	versions *versionStore
	added    chan struct{} // receives a value when there are records to send
	// firstStart is set once the store has shown that no process of this daemon ran before, and
	// the settings say that none of any daemon did.
	firstStart atomic.Bool

	mu     sync.Mutex
	ledger *origin.Ledger
	unsent []origin.Record
}

func newOrigins(g *Gateway) *origins {
	id, started := g.settings.Load().ID, time.Now()
	reads := &sharedReads{failed: g.datasets.storeFailed}
	o := &origins{
		g: g, store: newOriginStore(id, g.store, g.events, reads),
		added: make(chan struct{}, 1), ledger: origin.NewLedger(),
	}
	// Without an earlier process, or after as long as versions are kept, this daemon has heard
	// of all versions since it started.
	knowsAll := func() bool { return o.firstStart.Load() || time.Since(started) > origin.VersionRetention }
	o.versions = newVersionStore(g.store, g.events, reads, knowsAll)
	return o
}

// markFirstStart records that no process of any daemon has run before those that start now.
func (o *origins) markFirstStart(ctx context.Context) {
	o.firstStart.Store(true)
	retryStore(ctx, o.versions.saveCoverage)
}

// restore writes again what this daemon knows of origins, because the store was restored from
// an older copy.
func (o *origins) restore(ctx context.Context, era int64) {
	now := time.Now()
	for _, service := range o.versions.services() {
		o.versions.learn(now, service, o.g.fleet.SoftwareVersions(service)...)
	}
	o.versions.restore(ctx, era)
}

// Record implements forward.OriginTracker.
func (o *origins) Record(requestID string, where origin.Origin) {
	now, record := time.Now(), origin.Record{RequestID: requestID, Origin: where}
	o.mu.Lock()
	added := o.add(now, record)
	if added {
		o.unsent = append(o.unsent, record)
	}
	o.mu.Unlock()
	if added {
		select {
		case o.added <- struct{}{}:
		default:
		}
		o.versions.note(o.g.peers.ctx, now, where.Service, where.SoftwareVersion)
		o.store.add(now, record, len(o.versionsHere(where.Service)) > 1)
	}
}

// add adds a record. It returns false if the request has one.
func (o *origins) add(now time.Time, r origin.Record) bool {
	added := o.ledger.Add(now, r)
	if added {
		o.versions.learn(now, r.Service, r.SoftwareVersion)
	}
	return added
}

// takeUnsent returns the records that were not sent to the other daemons yet.
func (o *origins) takeUnsent() []origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := o.unsent
	o.unsent = nil
	return records
}

// apply adds records from another daemon.
func (o *origins) apply(records []origin.Record) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.add(now, r)
	}
}

// Find implements forward.OriginTracker. A stream that neither this daemon nor those that
// it queries know began at the only version that may have begun it, if there is only one,
// or has a stored record.
func (o *origins) Find(ctx context.Context, requestID, service string) (where origin.Origin, assumed bool, err error) {
	if requestID != "" {
		if found, known := o.findRecord(ctx, requestID); known {
			return found, false, nil
		}
	}
	versions, complete, err := o.versionsOf(ctx, service)
	if err != nil {
		return origin.Origin{}, false, err
	}
	if len(versions) == 1 && complete {
		return origin.Origin{Service: service, SoftwareVersion: versions[0]}, true, nil
	}
	found, known, err := o.store.find(ctx, requestID)
	if err == nil && !known {
		err = errors.Errorf("no daemon knows request %q, and any of the software versions %q may have begun its stream (all are known: %t)", requestID, versions, complete)
	}
	if err != nil {
		return origin.Origin{}, false, err
	}
	o.apply([]origin.Record{{RequestID: requestID, Origin: found}})
	return found, false, nil
}

// findRecord returns the origin that this daemon or one that it queries knows.
func (o *origins) findRecord(ctx context.Context, requestID string) (origin.Origin, bool) {
	if found, known := o.findHere(requestID); known {
		return found, true
	}
	answers, n, cancel := o.queryPeers(ctx, originQuery{RequestID: requestID})
	defer cancel()
	for range n {
		if answer := <-answers; answer.Known {
			o.apply([]origin.Record{{RequestID: requestID, Origin: answer.Origin}})
			return answer.Origin, true
		}
	}
	return origin.Origin{}, false
}

func (o *origins) findHere(requestID string) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Find(requestID)
}

// versionsOf returns the software versions that may have begun streams of a service: those
// that are stored, those that this daemon knows of and those of the registered targets.
// While the store can't be read, the other daemons are asked; a daemon that hears less than
// half of them returns an error, because it may have missed a version. complete is false if
// others may have begun streams, too.
func (o *origins) versionsOf(ctx context.Context, service string) (versions []string, complete bool, err error) {
	others, complete, err := o.versions.find(ctx, service)
	if err != nil {
		var ok bool
		if others, complete, ok = o.peerVersions(ctx, service); !ok {
			return nil, false, err
		}
	}
	return union(o.versionsHere(service), others), complete, nil
}

// versionsHere returns the software versions of a service that this daemon knows of.
func (o *origins) versionsHere(service string) []string {
	return union(o.g.fleet.SoftwareVersions(service), o.versions.here(service))
}

// peerVersions returns the software versions of a service that the other daemons know of, and
// whether one of them or this daemon knows all. It returns false if this daemon doesn't hear
// most of them, or none answers.
func (o *origins) peerVersions(ctx context.Context, service string) (versions []string, complete, ok bool) {
	if !o.g.members.hearsMost() {
		return nil, false, false
	}
	answers, n, cancel := o.queryPeers(ctx, originQuery{Service: service})
	defer cancel()
	complete, ok = o.versions.isComplete(service), n == 0
	for range n {
		answer := <-answers
		ok = ok || answer.Known
		complete = complete || answer.Complete
		versions = append(versions, answer.Versions...)
	}
	return versions, complete, ok
}

// originQuery requests from a peer the origin of the stream of a request, or if that is
// empty the software versions of a service.
type originQuery struct {
	RequestID string `msgpack:"i,omitempty"`
	Service   string `msgpack:"s,omitempty"`
}

// originAnswer answers an originQuery.
type originAnswer struct {
	Known    bool          `msgpack:"k"`
	Origin   origin.Origin `msgpack:"o"`
	Versions []string      `msgpack:"v,omitempty"`
	Complete bool          `msgpack:"a,omitempty"` // no other version may have begun streams; false in answers of older builds
}

func (o *origins) handleQuery(_ context.Context, _ peer.Identity, q originQuery) (any, error) {
	if q.RequestID == "" {
		return originAnswer{Known: true, Versions: o.versionsHere(q.Service), Complete: o.versions.isComplete(q.Service)}, nil
	}
	found, known := o.findHere(q.RequestID)
	return originAnswer{Known: known, Origin: found}, nil
}

// queryPeers sends a query to some daemons. It returns a channel with an answer for each;
// one that does not answer within originQueryTimeout counts as a daemon that does not
// know. cancel ends the remaining queries.
func (o *origins) queryPeers(ctx context.Context, q originQuery) (answers <-chan originAnswer, n int, cancel func()) {
	ctx, cancel = context.WithTimeout(ctx, originQueryTimeout)
	addresses := o.g.members.mostExperienced(maxOriginQueries)
	out := make(chan originAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			var answer originAnswer
			if err := o.g.peers.transport.Call(ctx, address, kindOriginQuery, q, &answer); err != nil {
				o.g.peers.countLost(1)
				answer = originAnswer{}
			}
			out <- answer
		}()
	}
	return out, len(addresses), cancel
}
