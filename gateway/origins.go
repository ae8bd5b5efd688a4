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
	noted  map[string]origin.Versions // that are known to be stored, or are being stored, by service
}

func newOrigins(g *Gateway) *origins {
	return &origins{g: g, added: make(chan struct{}, 1), ledger: origin.NewLedger(), noted: make(map[string]origin.Versions)}
}

// Record implements forward.OriginTracker.
func (o *origins) Record(requestID string, where origin.Origin) {
	now, record := time.Now(), origin.Record{RequestID: requestID, Origin: where}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ledger.Add(now, record) {
		o.unsent = append(o.unsent, record)
		select {
		case o.added <- struct{}{}:
		default:
		}
	}
	if o.noted[where.Service] == nil {
		o.noted[where.Service] = make(origin.Versions)
	}
	if versions := o.noted[where.Service]; !versions.Fresh(now, where.SoftwareVersion) {
		versions.Note(now, where.SoftwareVersion)
		go o.storeVersion(where)
	}
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
		o.ledger.Add(now, r)
	}
}

func (o *origins) findHere(requestID string) (origin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ledger.Find(requestID)
}

// originQuery requests the origin of the stream of a request from a peer.
type originQuery struct {
	RequestID string `msgpack:"i"`
}

// originAnswer answers an originQuery.
type originAnswer struct {
	Known  bool          `msgpack:"k"`
	Origin origin.Origin `msgpack:"o"`
}

func (o *origins) handleQuery(_ context.Context, _ peer.Identity, q originQuery) (any, error) {
	found, known := o.findHere(q.RequestID)
	return originAnswer{known, found}, nil
}

// Find implements forward.OriginTracker.
func (o *origins) Find(ctx context.Context, requestID string) (origin.Origin, bool) {
	if found, known := o.findHere(requestID); known {
		return found, true
	}
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	addresses := o.g.members.mostExperienced(maxOriginQueries)
	answers := make(chan originAnswer, len(addresses))
	for _, address := range addresses {
		go func() {
			var answer originAnswer
			if err := o.g.peers.transport.Call(ctx, address, kindOriginQuery, originQuery{requestID}, &answer); err != nil {
				o.g.peers.countLost(1) // counts as a daemon that doesn't know it
			}
			answers <- answer
		}()
	}
	for range addresses {
		if answer := <-answers; answer.Known {
			o.apply([]origin.Record{{RequestID: requestID, Origin: answer.Origin}})
			return answer.Origin, true
		}
	}
	return origin.Origin{}, false
}

// Versions implements forward.OriginTracker. It returns the stored versions and those of
// the registered targets.
func (o *origins) Versions(ctx context.Context, service string) ([]string, error) {
	read := o.reads.DoChan(service, func() (any, error) {
		ctx, cancel := context.WithTimeout(o.g.peers.ctx, versionsTimeout)
		defer cancel()
		stored, _, err := o.readVersions(ctx, service)
		return stored, err
	})
	select {
	case result := <-read:
		if result.Err != nil {
			return nil, errors.Wrap(result.Err, "read software versions")
		}
		versions := result.Val.(origin.Versions).Recent(time.Now())
		versions = append(versions, o.g.fleet.SoftwareVersions(service)...)
		slices.Sort(versions)
		return slices.Compact(versions), nil
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
