package confirmation

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// RecordKind is the kind of the platform objects that StoreService writes.
const RecordKind = "confirmation"

// StoreService is the alternative that PairService is measured against: it
// writes one platform object before each dispatch and the outcome after it. It
// cannot run calls while the platform is unavailable, and its platform calls
// grow with traffic.
type StoreService struct {
	store      objectstore.Store
	dispatcher Dispatcher
}

var _ Service = (*StoreService)(nil)

// storedRecord is the value of one platform object.
type storedRecord struct {
	Digest string `json:"digest"`
	Record Record `json:"record"`
}

// NewStoreService returns a service that keeps its records in store.
func NewStoreService(store objectstore.Store, d Dispatcher) *StoreService {
	return &StoreService{store: store, dispatcher: d}
}

// IssueKey implements Service.
func (s *StoreService) IssueKey(context.Context) (string, *failure.Error) {
	return FormatKey(time.Now(), 1, fmt.Sprintf("%016x", rand.Uint64())), nil
}

// Confirm implements Service.
func (s *StoreService) Confirm(ctx context.Context, r Request) (Record, *failure.Error) {
	if _, err := ParseKey(r.Key); err != nil {
		return Record{}, failure.Wrap(err, failure.BadRequest, failure.NotRun, "parse key", "")
	}
	v := storedRecord{Digest: requestDigest(r), Record: Record{Key: r.Key, Outcome: failure.Unknown, RetryAfter: retryAfter}}
	object, err := s.put(ctx, r.Key, v, 0)
	switch {
	case errors.Is(err, objectstore.ErrConflict):
		return s.read(ctx, r.Key, v.Digest)
	case err != nil:
		return Record{}, failure.Wrap(err, failure.PlatformUnavailable, failure.Unknown, "write intent", "platform").WithRetryAfter(retryAfter)
	}
	v.Record = s.dispatcher.Dispatch(ctx, r)
	if _, err := s.put(ctx, r.Key, v, object.Version); err != nil && v.Record.Outcome == failure.NotRun {
		return Record{Key: r.Key, Outcome: failure.Unknown}, nil
	}
	return v.Record, nil
}

func (s *StoreService) put(ctx context.Context, key string, v storedRecord, version int64) (objectstore.Object, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return objectstore.Object{}, errors.WithStack(err)
	}
	return s.store.Put(ctx, RecordKind, key, b, version)
}

// Lookup implements Service.
func (s *StoreService) Lookup(ctx context.Context, key string) (Record, *failure.Error) {
	return s.read(ctx, key, "")
}

func (s *StoreService) read(ctx context.Context, key, digest string) (Record, *failure.Error) {
	o, err := s.store.Get(ctx, RecordKind, key)
	if err != nil {
		return Record{}, failure.Wrap(err, failure.PlatformUnavailable, failure.Unknown, "read outcome", "platform").WithRetryAfter(retryAfter)
	}
	var v storedRecord
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return Record{}, failure.Wrap(err, failure.Internal, failure.Unknown, "read outcome", "platform")
	}
	if digest != "" && v.Digest != digest {
		return Record{}, failure.New(failure.Conflict, failure.NotRun, "confirm", "", "key %s was used with another body", key)
	}
	return v.Record, nil
}
