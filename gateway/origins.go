package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/peer"
)

// versionsKind is the kind of the store objects that hold origin.Versions, one object a
// service.
const versionsKind = "software-versions"

// Limits of the search for the origin of a stream.
const (
	// maxOriginQueries is the largest number of daemons that are queried. They are those
	// that have run longest: a daemon that has just started knows little.
	maxOriginQueries = 8
	// originQueryTimeout bounds the queries, and versionsTimeout the read of the store. A
	// caller who is refused can still go to another daemon.
	originQueryTimeout = 150 * time.Millisecond
	versionsTimeout    = 300 * time.Millisecond
	// versionsTTL is how long stored versions that were read are reused, so that many
	// callers who take up streams at once cause one read.
	versionsTTL = time.Second
)

// origins tracks where streams began. It implements forward.OriginTracker. Records of new
// streams are sent to all daemons with the next load report; a daemon that misses one
// queries the others.
type origins struct {
	g     *Gateway
	added chan struct{} // receives a value when there are records to send

	reads singleflight.Group // of versions, by service

	mu     sync.Mutex
	ledger *origin.Ledger
	unsent []origin.Record
	seen   map[string]origin.Versions // at which streams began, as far as this daemon knows, by service
	noted  map[string]origin.Versions // that are known to be stored, or are being stored, by service
	stored map[string]storedVersions  // as read last, by service
}

// storedVersions are the versions of a service that were read from the store.
type storedVersions struct {
	versions origin.Versions // not modified
	readAt   time.Time
}

func newOrigins(g *Gateway) *origins {
	return &origins{g: g, added: make(chan struct{}, 1), ledger: origin.NewLedger(), seen: make(map[string]origin.Versions), noted: make(map[string]origin.Versions), stored: make(map[string]storedVersions)}
}

// Record implements forward.OriginTracker.
func (o *origins) Record(requestID string, where origin.Origin) {
	now, record := time.Now(), origin.Record{RequestID: requestID, Origin: where}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.add(now, record) {
		o.unsent = append(o.unsent, record)
		select {
		case o.added <- struct{}{}:
		default:
		}
	}
	if versions := versionsOf(o.noted, where.Service); !versions.Fresh(now, where.SoftwareVersion) {
		versions.Note(now, where.SoftwareVersion)
		go o.storeVersion(where)
	}
}

// add adds a record. It returns false if the request has one.
func (o *origins) add(now time.Time, r origin.Record) bool {
	added := o.ledger.Add(now, r)
	if added {
		versionsOf(o.seen, r.Service).Note(now, r.SoftwareVersion)
	}
	return added
}

// versionsOf returns the versions of a service, which may be modified.
func versionsOf(services map[string]origin.Versions, service string) origin.Versions {
	if services[service] == nil {
		services[service] = make(origin.Versions)
	}
	return services[service]
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

func (o *origins) findHere(requestID string) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Find(requestID)
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
}

func (o *origins) handleQuery(_ context.Context, _ peer.Identity, q originQuery) (any, error) {
	if q.RequestID == "" {
		return originAnswer{Known: true, Versions: o.versionsHere(q.Service)}, nil
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

// Find implements forward.OriginTracker.
func (o *origins) Find(ctx context.Context, requestID string) (origin.Origin, bool) {
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

// Versions implements forward.OriginTracker. It returns the stored versions, those that
// this daemon knows of and those of the registered targets. While the store can't be read,
// the other daemons are asked; a daemon that hears less than half of them returns an error,
// because it may have missed a version.
func (o *origins) Versions(ctx context.Context, service string) ([]string, error) {
	versions := o.versionsHere(service)
	stored, err := o.storedVersions(ctx, service)
	if err != nil {
		others, ok := o.peerVersions(ctx, service)
		if !ok {
			return nil, errors.Wrap(err, "read software versions")
		}
		versions = append(versions, others...)
	}
	versions = append(versions, stored.Recent(time.Now())...)
	slices.Sort(versions)
	return slices.Compact(versions), nil
}

// versionsHere returns the software versions of a service that this daemon knows of.
func (o *origins) versionsHere(service string) []string {
	registered := o.g.fleet.SoftwareVersions(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	return append(registered, o.seen[service].Recent(time.Now())...)
}

// peerVersions returns the software versions of a service that the other daemons know of.
// It returns false if this daemon doesn't hear most of them, or none answers.
func (o *origins) peerVersions(ctx context.Context, service string) (versions []string, ok bool) {
	if !o.g.members.hearsMost() {
		return nil, false
	}
	answers, n, cancel := o.queryPeers(ctx, originQuery{Service: service})
	defer cancel()
	ok = n == 0
	for range n {
		answer := <-answers
		ok = ok || answer.Known
		versions = append(versions, answer.Versions...)
	}
	return versions, ok
}

// storedVersions returns the stored versions of a service.
func (o *origins) storedVersions(ctx context.Context, service string) (origin.Versions, error) {
	o.mu.Lock()
	latest, ok := o.stored[service]
	o.mu.Unlock()
	if ok && time.Since(latest.readAt) < versionsTTL {
		return latest.versions, nil
	}
	if o.g.datasets.storeFailed() {
		return nil, objectstore.ErrUnavailable
	}
	read := o.reads.DoChan(service, func() (any, error) {
		ctx, cancel := context.WithTimeout(o.g.peers.ctx, versionsTimeout)
		defer cancel()
		readAt := time.Now()
		versions, _, err := o.readVersions(ctx, service)
		if err == nil {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.stored[service] = storedVersions{versions, readAt}
		}
		return versions, err
	})
	select {
	case result := <-read:
		return result.Val.(origin.Versions), result.Err
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

// readVersions reads the stored versions of a service and the version of their object,
// which is 0 if there is none.
func (o *origins) readVersions(ctx context.Context, service string) (origin.Versions, int64, error) {
	object, err := o.g.store.Get(ctx, versionsKind, service)
	if errors.Is(err, objectstore.ErrNotFound) {
		return make(origin.Versions), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	versions := make(origin.Versions)
	if err := json.Unmarshal(object.Value, &versions); err != nil {
		o.g.events.Record(event.EntryRefused, "", event.F("software_versions", service), event.F("error", err.Error()))
		versions = make(origin.Versions) // the next write replaces it
	}
	return versions, object.Version, nil
}

// storeVersion stores that streams begin at a version. It retries until the store has it.
func (o *origins) storeVersion(where origin.Origin) {
	retryStore(o.g.peers.ctx, func(ctx context.Context) error {
		versions, objectVersion, err := o.readVersions(ctx, where.Service)
		if err != nil || versions.Fresh(time.Now(), where.SoftwareVersion) {
			return err
		}
		versions.Note(time.Now(), where.SoftwareVersion)
		value, err := json.Marshal(versions)
		if err != nil {
			return errors.Wrap(err, "encode software versions")
		}
		_, err = o.g.store.Put(ctx, versionsKind, where.Service, value, objectVersion)
		return err
	})
}
