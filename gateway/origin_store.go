package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Kinds of the store objects about streams. They outlive a restart of all daemons.
const (
	// versionsKind holds origin.Versions, one object a service.
	versionsKind = "software-versions"
	// originsKind holds origin.StoredRecords, one object a daemon. It is written only
	// while a service has several versions.
	originsKind = "stream-origins"
)

const (
	// originReadTimeout bounds a read for a caller, who can still go to another daemon.
	originReadTimeout = 300 * time.Millisecond
	// originReadTTL is how long what was read is reused, so that many callers who take up
	// streams at once cause one read.
	originReadTTL = time.Second
	// originWriteInterval is the time between two writes of a daemon's records. Streams
	// that began within it are refused if all daemons end.
	originWriteInterval = 2 * time.Second
)

// originStore keeps in the store what is needed after a restart of all daemons to continue
// streams at their software version.
type originStore struct {
	self   string // id of this daemon
	store  objectstore.Store
	events *event.Recorder
	failed func() bool // reports whether the store is known to be away
	// onStored, if set, is called when this daemon has found that a version is stored.
	onStored func(storedVersions)

	reads   singleflight.Group
	changed chan struct{} // receives a value when there are records to write

	mu       sync.Mutex
	noted    map[string]origin.Versions // that are stored, or being stored, by service
	versions map[string]readVersions    // as read last, by service
	records  map[string]origin.Origin   // as read last, by request id
	readAt   time.Time                  // of records
	own      origin.StoredRecords

	// Used by run only.
	loaded  bool  // own has the records of the previous incarnation
	version int64 // of this daemon's object
}

type readVersions struct {
	versions origin.Versions // not modified
	readAt   time.Time
}

func newOriginStore(self string, store objectstore.Store, events *event.Recorder, failed func() bool) *originStore {
	return &originStore{
		self: self, store: store, events: events, failed: failed, changed: make(chan struct{}, 1),
		noted: make(map[string]origin.Versions), versions: make(map[string]readVersions),
	}
}

// add adds the record of a stream that begins at this daemon. It is written soon if write
// is set, otherwise with the next one that is. It also stores the stream's version, unless
// that was done lately. It does not block; writes end with ctx.
func (s *originStore) add(ctx context.Context, now time.Time, r origin.Record, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Add(now, r)
	if write {
		s.requestWrite()
	}
	s.note(ctx, now, r.Origin)
}

// noteRegistered stores the versions of registered targets before streams begin there, unless
// that was done lately: the store may be away when they do. It does not block.
func (s *originStore) noteRegistered(ctx context.Context, now time.Time, service string, versions []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range versions {
		s.note(ctx, now, origin.Origin{Service: service, SoftwareVersion: v})
	}
}

// note stores a version, unless that was done lately. s.mu is held.
func (s *originStore) note(ctx context.Context, now time.Time, where origin.Origin) {
	if s.noted[where.Service] == nil {
		s.noted[where.Service] = make(origin.Versions)
	}
	noted := s.noted[where.Service]
	if noted.Fresh(now, where.SoftwareVersion) {
		return
	}
	noted.Note(now, where.SoftwareVersion)
	go retryStore(ctx, func(ctx context.Context) error {
		err := s.writeVersion(ctx, where)
		if err == nil && s.onStored != nil {
			s.onStored(storedVersions{where.Service, origin.Versions{where.SoftwareVersion: now}})
		}
		return err
	})
}

// storedVersions reports to all daemons that software versions of a service are stored, so
// that they don't check it themselves.
type storedVersions struct {
	Service  string          `msgpack:"s"`
	Versions origin.Versions `msgpack:"v"`
}

func (s *originStore) handleVersions(_ context.Context, _ peer.Identity, stored storedVersions) (any, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.noted[stored.Service] == nil {
		s.noted[stored.Service] = make(origin.Versions)
	}
	for version := range stored.Versions {
		s.noted[stored.Service].Note(now, version)
	}
	return nil, nil
}

func (s *originStore) requestWrite() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run writes this daemon's records until ctx is done.
func (s *originStore) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
		}
		if err := s.writeRecords(ctx); err != nil {
			s.requestWrite()
		}
		pause.For(ctx, originWriteInterval)
	}
}

// writeRecords writes this daemon's object. The records of its previous incarnation stay.
func (s *originStore) writeRecords(ctx context.Context) error {
	if !s.loaded {
		object, err := s.store.Get(ctx, originsKind, s.self)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		s.mu.Lock()
		if err == nil && s.version == 0 {
			s.own.Prepend(time.Now(), s.decodeRecords(object))
		}
		s.mu.Unlock()
		s.version, s.loaded = object.Version, true
	}
	s.mu.Lock()
	value, err := json.Marshal(s.own)
	s.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode stream origins")
	}
	written, err := s.store.Put(ctx, originsKind, s.self, value, s.version)
	if err != nil {
		s.loaded = false // the object's version has to be read
		return err
	}
	s.version = written.Version
	return nil
}

func (s *originStore) decodeRecords(o objectstore.Object) (records origin.StoredRecords) {
	if err := json.Unmarshal(o.Value, &records); err != nil {
		s.events.Record(event.EntryRefused, "", event.F("stream_origins", o.Name), event.F("error", err.Error()))
		return origin.StoredRecords{}
	}
	return records
}

// find returns the stored origin of the stream of a request, and false if there is none.
func (s *originStore) find(ctx context.Context, requestID string) (origin.Origin, bool, error) {
	s.mu.Lock()
	records, readAt := s.records, s.readAt
	s.mu.Unlock()
	if time.Since(readAt) >= originReadTTL {
		var err error
		if records, err = shareRead(ctx, s, originsKind, s.readRecords); err != nil {
			return origin.Origin{}, false, errors.Wrap(err, "read stream origins")
		}
	}
	found, ok := records[requestID]
	return found, ok, nil
}

// readRecords reads the records of all daemons. It deletes obsolete objects.
func (s *originStore) readRecords(ctx context.Context) (map[string]origin.Origin, error) {
	now := time.Now()
	objects, position, err := s.store.List(ctx, originsKind)
	if err != nil {
		return nil, err
	}
	records := make(map[string]origin.Origin)
	for _, o := range objects {
		stored := s.decodeRecords(o)
		if stored.Obsolete(now) && o.Name != s.self {
			_ = s.store.Delete(ctx, originsKind, o.Name, o.Version) // the next reader tries again
		}
		for _, r := range stored.Records {
			records[r.RequestID] = r.Record().Origin
		}
	}
	s.events.Record(event.OriginsRead, "", event.F("records", strconv.Itoa(len(records))), event.F("era", strconv.FormatInt(position.Era, 10)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records, s.readAt = records, now
	return records, nil
}

// recentVersions returns the stored versions of a service.
func (s *originStore) recentVersions(ctx context.Context, service string) ([]string, error) {
	s.mu.Lock()
	latest, ok := s.versions[service]
	s.mu.Unlock()
	versions := latest.versions
	if !ok || time.Since(latest.readAt) >= originReadTTL {
		var err error
		versions, err = shareRead(ctx, s, versionsKind+"/"+service, func(ctx context.Context) (origin.Versions, error) {
			readAt := time.Now()
			versions, at, err := s.readVersions(ctx, service)
			if err == nil {
				s.recordVersions(event.OriginsRead, service, versions, at)
				s.mu.Lock()
				defer s.mu.Unlock()
				s.versions[service] = readVersions{versions, readAt}
			}
			return versions, err
		})
		if err != nil {
			return nil, errors.Wrap(err, "read software versions")
		}
	}
	return versions.Recent(time.Now()), nil
}

// shareRead makes a read of the store, one for all concurrent callers with the same key.
// It fails at once while the store is away.
func shareRead[T any](ctx context.Context, s *originStore, key string, read func(context.Context) (T, error)) (value T, err error) {
	if s.failed() {
		return value, objectstore.ErrUnavailable
	}
	result := s.reads.DoChan(key, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), originReadTimeout)
		defer cancel()
		return read(ctx)
	})
	select {
	case r := <-result:
		return r.Val.(T), r.Err
	case <-ctx.Done():
		return value, errors.WithStack(ctx.Err())
	}
}

// readVersions reads the stored versions of a service and their object, whose version is 0
// if there is none.
func (s *originStore) readVersions(ctx context.Context, service string) (origin.Versions, objectstore.Object, error) {
	object, err := s.store.Get(ctx, versionsKind, service)
	if errors.Is(err, objectstore.ErrNotFound) {
		return make(origin.Versions), object, nil
	}
	if err != nil {
		return nil, objectstore.Object{}, err
	}
	versions := make(origin.Versions)
	if err := json.Unmarshal(object.Value, &versions); err != nil {
		s.events.Record(event.EntryRefused, "", event.F("software_versions", service), event.F("error", err.Error()))
		versions = make(origin.Versions) // the next write replaces it
	}
	return versions, object, nil
}

// recordVersions records that the stored versions of a service were read or written.
func (s *originStore) recordVersions(number event.Number, service string, versions origin.Versions, at objectstore.Object) {
	s.events.Record(number, "", event.F("service", service),
		event.F("versions", strings.Join(versions.Recent(time.Now()), ",")), event.F("era", strconv.FormatInt(at.Era, 10)))
}

// writeVersion stores that streams begin at a version, unless the store has it.
func (s *originStore) writeVersion(ctx context.Context, where origin.Origin) error {
	versions, object, err := s.readVersions(ctx, where.Service)
	if err != nil || versions.Fresh(time.Now(), where.SoftwareVersion) {
		return err
	}
	versions.Note(time.Now(), where.SoftwareVersion)
	value, err := json.Marshal(versions)
	if err != nil {
		return errors.Wrap(err, "encode software versions")
	}
	_, err = s.store.Put(ctx, versionsKind, where.Service, value, object.Version)
	if err == nil {
		s.recordVersions(event.OriginsWritten, where.Service, versions, object)
	}
	return err
}

// union returns the distinct values of lists, sorted.
func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
