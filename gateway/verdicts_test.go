package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// simStore is a store on the virtual clock of a synctest bubble. Get and Watch are not
// implemented.
type simStore struct {
	objectstore.Store

	mu      sync.Mutex
	down    bool
	objects map[string]objectstore.Object // by name
	version int64
	lists   int // calls to List
	writes  int // calls to Put and Delete
}

const simStoreLatency = 4 * time.Millisecond

// List implements objectstore.Store.
func (s *simStore) List(context.Context, string) ([]objectstore.Object, objectstore.Position, error) {
	time.Sleep(simStoreLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	if s.down {
		return nil, objectstore.Position{}, objectstore.ErrUnavailable
	}
	return slices.Collect(maps.Values(s.objects)), objectstore.Position{Revision: s.version}, nil
}

// Put implements objectstore.Store.
func (s *simStore) Put(_ context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	time.Sleep(simStoreLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.down:
		return objectstore.Object{}, objectstore.ErrUnavailable
	case s.objects[name].Version != expected:
		return objectstore.Object{}, objectstore.ErrConflict
	case s.objects == nil:
		s.objects = make(map[string]objectstore.Object)
	}
	s.version++
	s.objects[name] = objectstore.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	return s.objects[name], nil
}

// Delete implements objectstore.Store.
func (s *simStore) Delete(_ context.Context, _, name string, expected int64) error {
	time.Sleep(simStoreLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.down:
		return objectstore.ErrUnavailable
	case s.objects[name].Version != expected:
		return objectstore.ErrConflict
	}
	delete(s.objects, name)
	return nil
}

// names returns the names of the objects.
func (s *simStore) names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects))
}

// calls returns the number of calls.
func (s *simStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists + s.writes
}

func (s *simStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// newTestVerdicts returns the tracker of a daemon whose verdicts are kept in a store.
func newTestVerdicts(t *testing.T, store *simStore) (*crashTracker, *verdicts) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	events := event.NewRecorder("vm-0", event.NewClock(time.Now), log.NewNopLogger(), 16)
	var v *verdicts
	tracker := newCrashTracker(events, func(quarantine.RequestKey) {}, func(request quarantine.RequestKey) { v.save(request) })
	v = newVerdicts(store, events, tracker)
	tracker.saveParts = v.saveParts
	v.ctx = ctx
	return tracker, v
}

// crashThree reports crashes of three targets under a request.
func crashThree(tracker *crashTracker, request quarantine.RequestKey) {
	for _, target := range []string{"i-1", "i-2", "i-3"} {
		tracker.reportCrash(quarantine.CrashReport{Request: request, Target: target, AtStart: true, Own: true})
	}
}

// refuses reports whether a tracker refuses a request.
func (c *crashTracker) refuses(request quarantine.RequestKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Check(time.Now(), request).Refusal != nil
}

// TestVerdictsAreStored guards against refused contents that are lost in an outage of the
// store, are stored by every daemon, or stay in the store for ever.
func TestVerdictsAreStored(t *testing.T) {
	request := quarantine.RequestKey{ID: "p", Fingerprint: 0xabc}
	test := func(name string, f func(t *testing.T, store *simStore)) {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { f(t, &simStore{}) }) })
	}
	test("a daemon that starts later refuses the content, also under another id", func(t *testing.T, store *simStore) {
		first, _ := newTestVerdicts(t, store)
		crashThree(first, request)
		time.Sleep(time.Second)
		second, v := newTestVerdicts(t, store)
		v.load(t.Context())
		if !second.refuses(quarantine.RequestKey{ID: "q", Fingerprint: request.Fingerprint}) {
			t.Error("the content is not refused after a restart")
		}
	})
	test("an outage of the store delays the write", func(t *testing.T, store *simStore) {
		store.setDown(true)
		tracker, _ := newTestVerdicts(t, store)
		crashThree(tracker, request)
		time.Sleep(time.Minute)
		store.setDown(false)
		time.Sleep(2 * storeRetryMax)
		if names := store.names(); len(names) != 1 {
			t.Errorf("objects %q after the outage, want 1", names)
		}
	})
	test("a restoration of the store from an older copy does not lose it", func(t *testing.T, store *simStore) {
		tracker, v := newTestVerdicts(t, store)
		crashThree(tracker, request)
		time.Sleep(time.Second)
		store.mu.Lock()
		clear(store.objects)
		store.mu.Unlock()
		v.saveAgain()
		time.Sleep(2 * maxRegistrationDelay)
		if names := store.names(); len(names) != 1 {
			t.Errorf("objects %q after the restoration, want 1", names)
		}
	})
	test("a daemon that observed no crash stores nothing", func(t *testing.T, store *simStore) {
		observer, _ := newTestVerdicts(t, &simStore{})
		crashThree(observer, request)
		tracker, _ := newTestVerdicts(t, store)
		tracker.applyReports("vm-1", observer.reports())
		time.Sleep(time.Minute)
		if !tracker.refuses(request) || store.calls() > 0 {
			t.Errorf("refused %v, %d calls to the store, want it refused without a call", tracker.refuses(request), store.calls())
		}
	})
	test("a content that is not refused is not stored", func(t *testing.T, store *simStore) {
		tracker, _ := newTestVerdicts(t, store)
		for range 2 {
			tracker.reportCrash(quarantine.CrashReport{Request: request, Target: "i-1", AtStart: true, Own: true})
		}
		time.Sleep(time.Minute)
		if store.calls() > 0 {
			t.Errorf("%d calls to the store, want none", store.calls())
		}
	})
	test("objects whose crashes no longer count are deleted, others are not", func(t *testing.T, store *simStore) {
		tracker, _ := newTestVerdicts(t, store)
		crashThree(tracker, request)
		time.Sleep(quarantineSettings().Decay.Std() + time.Second)
		if _, err := store.Put(t.Context(), verdictKind, "of another version", json.RawMessage(`"torn"`), 0); err != nil {
			t.Fatal(err)
		}
		other := quarantine.RequestKey{ID: "o", Fingerprint: 0xdef}
		crashThree(tracker, other)
		time.Sleep(time.Second)
		if want := []string{formatFingerprint(other.Fingerprint), "of another version"}; !slices.Equal(store.names(), want) {
			t.Errorf("objects %q, want %q", store.names(), want)
		}
	})
}
