package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/origin"
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

// originStore keeps the origins of single streams in the store, for callers who take them up
// after a restart of all daemons.
type originStore struct {
	self   string // id of this daemon
	store  objectstore.Store
	events *event.Recorder

	reads   *sharedReads
	changed chan struct{} // receives a value when there are records to write

	mu      sync.Mutex
	records map[string]origin.Origin // as read last, by request id
	readAt  time.Time                // of records
	own     origin.StoredRecords
	written bool // by this process
	loaded  bool // version is that of this daemon's object

	// Used by run only.
	version int64 // of this daemon's object
}

func newOriginStore(self string, store objectstore.Store, events *event.Recorder, reads *sharedReads) *originStore {
	return &originStore{self: self, store: store, events: events, reads: reads, changed: make(chan struct{}, 1)}
}

// add adds the record of a stream that begins at this daemon. It is written soon if write
// is set, otherwise with the next one that is.
func (s *originStore) add(now time.Time, r origin.Record, write bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own.Add(now, r)
	if write {
		s.requestWrite()
	}
}

// restore writes this daemon's records again, if it has written some, because the store was
// restored from an older copy. The delay keeps many daemons from writing at once.
func (s *originStore) restore(ctx context.Context) {
	if !pause.For(ctx, rand.N(originWriteInterval)) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.written {
		s.loaded = false
		s.requestWrite()
	}
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
	s.mu.Lock()
	loaded := s.loaded
	s.mu.Unlock()
	if !loaded {
		object, err := s.store.Get(ctx, originsKind, s.self)
		if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
			return err
		}
		s.mu.Lock()
		if err == nil && !s.written {
			s.own.Prepend(time.Now(), s.decodeRecords(object))
		}
		s.loaded = true
		s.mu.Unlock()
		s.version = object.Version
	}
	s.mu.Lock()
	s.written = true
	value, err := json.Marshal(s.own)
	s.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "encode stream origins")
	}
	written, err := s.store.Put(ctx, originsKind, s.self, value, s.version)
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
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
		if records, err = share(ctx, s.reads, originsKind, s.readRecords); err != nil {
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

// sharedReads makes reads of the store for callers, one for all that need the same.
type sharedReads struct {
	failed func() bool // reports whether the store is known to be away
	group  singleflight.Group
}

// share makes a read of the store, one for all concurrent callers with the same key. It fails
// at once while the store is away.
func share[T any](ctx context.Context, s *sharedReads, key string, read func(context.Context) (T, error)) (value T, err error) {
	if s.failed() {
		return value, objectstore.ErrUnavailable
	}
	result := s.group.DoChan(key, func() (any, error) {
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

// union returns the distinct values of lists, sorted.
func union(lists ...[]string) []string {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return slices.Compact(all)
}
