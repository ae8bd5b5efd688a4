package gateway

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/peer"
)

var versionSeeds = flag.Uint64("versions.seeds", 100, "number of seeds of TestNoStoredVersionIsMissed")

// eraStore is a store on the virtual clock of a synctest bubble that can be restored from older
// copies of itself. Only Get and Put are implemented.
type eraStore struct {
	objectstore.Store

	mu       sync.Mutex
	era      int64
	revision int64
	objects  map[string]objectstore.Object // by kind and name; replaced, never modified
	copies   []storeCopy                   // after each write, oldest first
	versions map[string]bool               // that were ever stored
	calls    int
	bytes    int // of values that were written
}

type storeCopy struct {
	at       time.Time
	revision int64
	objects  map[string]objectstore.Object
}

func newEraStore() *eraStore {
	s := &eraStore{era: 1, objects: make(map[string]objectstore.Object), versions: make(map[string]bool)}
	s.copies = []storeCopy{{time.Now(), 0, s.objects}}
	return s
}

// Get implements objectstore.Store.
func (s *eraStore) Get(_ context.Context, kind, name string) (objectstore.Object, error) {
	time.Sleep(simStoreLatency / 2)
	defer time.Sleep(simStoreLatency / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	o, ok := s.objects[kind+"/"+name]
	o.Era = s.era
	if !ok {
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

// Put implements objectstore.Store.
func (s *eraStore) Put(_ context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	time.Sleep(simStoreLatency / 2)
	defer time.Sleep(simStoreLatency / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	s.bytes += len(value)
	if s.objects[kind+"/"+name].Version != expected {
		return objectstore.Object{}, objectstore.ErrConflict
	}
	s.revision++
	s.objects = maps.Clone(s.objects)
	o := objectstore.Object{Kind: kind, Name: name, Version: s.revision, Value: value, Era: s.era}
	s.objects[kind+"/"+name] = o
	s.copies = append(s.copies, storeCopy{time.Now(), s.revision, s.objects})
	if kind == versionsKind {
		var versions origin.Versions
		if err := json.Unmarshal(value, &versions); err != nil {
			return o, err
		}
		for v := range versions {
			s.versions[v] = true
		}
	}
	return o, nil
}

// cost returns the calls and the bytes written up to now.
func (s *eraStore) cost() (calls, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.bytes
}

// restore restores the store from a copy of a given age, in the next era.
func (s *eraStore) restore(age time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for last := len(s.copies) - 1; last > 0 && time.Since(s.copies[last].at) < age; last-- {
		s.copies = s.copies[:last]
	}
	latest := s.copies[len(s.copies)-1]
	s.objects, s.revision = latest.objects, latest.revision
	s.era++
	return s.era
}

// versionFleet is a fleet of daemons of which only the version stores are real. All daemons that
// run learn of all targets; the other messages are late or lost.
type versionFleet struct {
	store *eraStore

	mu      sync.Mutex
	rng     *rand.Rand // chooses readers and what becomes of messages
	daemons []*versionDaemon
}

type versionDaemon struct {
	*versionStore
	ctx context.Context
	end context.CancelFunc
}

const versionService = "s"

// start starts the daemon with a number, or starts it again.
func (f *versionFleet) start(i int, firstStart bool) {
	started := time.Now()
	knowsAll := func() bool { return firstStart || time.Since(started) > origin.VersionRetention }
	events := event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 1)
	d := &versionDaemon{versionStore: newVersionStore(f.store, events, &sharedReads{failed: func() bool { return false }}, knowsAll)}
	d.ctx, d.end = context.WithCancel(context.Background())
	d.onStored = func(stored storedVersions) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, other := range f.daemons {
			if other == d || d.ctx.Err() != nil || f.rng.IntN(2) == 0 {
				continue
			}
			delay := time.Duration(f.rng.IntN(1000)) * time.Millisecond
			go func() {
				if pause.For(other.ctx, delay) {
					_, _ = other.handleStored(other.ctx, peer.Identity{}, stored)
				}
			}()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons[i] = d
}

// register has all daemons learn of a target of a version, and one of them store it.
func (f *versionFleet) register(version string) {
	f.mu.Lock()
	reader := f.rng.IntN(len(f.daemons))
	f.mu.Unlock()
	for i, d := range f.daemons {
		if i == reader {
			d.note(d.ctx, time.Now(), versionService, version)
			continue
		}
		d.learn(time.Now(), versionService, version)
	}
}

// restore restores the store; each daemon learns of that within a second.
func (f *versionFleet) restore(age time.Duration) {
	era := f.store.restore(age)
	for _, d := range f.daemons {
		delay := rand.N(time.Second)
		go func() {
			if pause.For(d.ctx, delay) {
				d.versionStore.restore(d.ctx, era)
			}
		}()
	}
}

// check returns what is missing in the versions of daemons that know all, as they say, and the
// number of these.
func (f *versionFleet) check() (missing []string, complete int) {
	for i, d := range f.daemons {
		versions, all, err := d.find(d.ctx, versionService)
		if err != nil || !all {
			continue
		}
		complete++
		f.store.mu.Lock()
		for v := range f.store.versions {
			if !slices.Contains(versions, v) {
				missing = append(missing, fmt.Sprintf("daemon %d lacks %s", i, v))
			}
		}
		f.store.mu.Unlock()
	}
	return missing, complete
}

// TestNoStoredVersionIsMissed guards against a daemon that takes its software versions for all
// there were, although one that had been stored was lost in a restoration of the store: among
// restorations, ends of one or all daemons, and lost messages.
func TestNoStoredVersionIsMissed(t *testing.T) {
	checks, complete := 0, 0
	for seed := range *versionSeeds {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 0))
			f := &versionFleet{store: newEraStore(), rng: rand.New(rand.NewPCG(seed, 1)), daemons: make([]*versionDaemon, 4)}
			for i := range f.daemons {
				f.start(i, true)
			}
			var steps []string
			for step := range 30 {
				name := "pause"
				switch rng.IntN(12) {
				case 0, 1, 2:
					name = fmt.Sprint("v", step)
					f.register(name)
				case 3, 4, 5:
					i := rng.IntN(len(f.daemons))
					name = fmt.Sprint("daemon ", i, " ends")
					f.daemons[i].end()
					f.start(i, false)
				case 6:
					name = "all daemons end"
					for i, d := range f.daemons {
						d.end()
						f.start(i, false)
					}
				case 7, 8:
					age := time.Duration(rng.IntN(6000)) * time.Millisecond
					name = "restoration from a copy of " + age.String()
					f.restore(age)
				}
				steps = append(steps, name)
				time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
				missing, n := f.check()
				checks, complete = checks+len(f.daemons), complete+n
				if len(missing) > 0 {
					t.Errorf("seed %d: %q after %q", seed, missing, steps)
					break
				}
			}
			for _, d := range f.daemons {
				d.end()
			}
			time.Sleep(time.Minute) // until all writes have ended
		})
	}
	if complete == 0 {
		t.Error("no daemon ever knew all versions")
	}
	t.Logf("in %d of %d checks a daemon knew all versions", complete, checks)
}

// TestRestorationCostsFewCalls guards against calls to the store that grow faster than the fleet
// when all daemons store their versions again. It also logs the calls and bytes of a first start.
func TestRestorationCostsFewCalls(t *testing.T) {
	const daemons = 760
	synctest.Test(t, func(t *testing.T) {
		f := &versionFleet{store: newEraStore(), rng: rand.New(rand.NewPCG(1, 0)), daemons: make([]*versionDaemon, daemons)}
		for i := range f.daemons {
			f.start(i, true)
		}
		f.register("v1")
		time.Sleep(time.Minute)
		f.register("v2")
		time.Sleep(time.Minute)
		calls, bytes := f.store.cost()
		t.Logf("start and a second version: %d calls, %d bytes written", calls, bytes)
		f.restore(90 * time.Second)
		time.Sleep(time.Minute)
		totalCalls, totalBytes := f.store.cost()
		calls, bytes = totalCalls-calls, totalBytes-bytes
		t.Logf("restoration: %d calls, %d bytes written", calls, bytes)
		if calls > 2*daemons {
			t.Errorf("%d calls of %d daemons after a restoration", calls, daemons)
		}
		for _, d := range f.daemons {
			d.end()
		}
		time.Sleep(time.Minute)
	})
}
