package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// Bounds of restorations and of losses of power.
const (
	maxRestoredAge = 5 * time.Second // of the copy
	maxStoreDown   = time.Second     // before the copy is in force
	minPowerLoss   = time.Second
	maxPowerLoss   = 2 * time.Second
	// minReleased and maxReleased limit how long a version is in service, and the pause after it.
	minReleased = 500 * time.Millisecond
	maxReleased = 4 * time.Second
)

// releases is the number of versions that are released, and releaseEngines that of the engines of each.
const (
	releases       = 8
	releaseEngines = 2
)

// backup restores the store from older copies of itself, and knows what its owners write again
// then.
type backup struct {
	platform *standin.Platform
	// restoring is held for writing while the store is down and restored.
	restoring sync.RWMutex

	mu            sync.Mutex
	configuration any             // last written
	released      []*engine       // those of one version follow each other
	registered    map[string]bool // whether an engine has an entry, by id
}

// newBackup returns the backup of a store that has never been restored, but counts its eras.
func newBackup(store *standin.Platform) *backup {
	store.Restore(standin.Restoration{})
	return &backup{platform: store, registered: make(map[string]bool)}
}

// register writes or deletes the entry of an engine.
func (s *site) register(e *engine, registered bool) {
	s.backup.mu.Lock()
	defer s.backup.mu.Unlock()
	s.backup.registered[e.id] = registered
	s.writeEntry(e)
}

// writeEntry writes the entry of an engine, or deletes it. The lock of the backup is held.
func (s *site) writeEntry(e *engine) {
	if s.backup.registered[e.id] {
		s.put(platform.TargetKind, e.id, e.entry())
		return
	}
	s.backup.restoring.RLock()
	defer s.backup.restoring.RUnlock()
	_ = s.store.Delete(context.Background(), platform.TargetKind, e.id, objectstore.AnyVersion) // there may be none
}

// restoreStore replaces the store by an older copy. The operator and the engines write again what
// is theirs.
func restoreStore(s *site, rng *rand.Rand) {
	from := time.Now()
	age, down := upTo(rng, maxRestoredAge), upTo(rng, maxStoreDown)
	s.backup.restoring.Lock()
	s.backup.platform.Restore(standin.Restoration{AgeMillis: int(age.Milliseconds()), DownMillis: int(down.Milliseconds())})
	s.backup.restoring.Unlock()
	s.note(&s.quiet, span{"restoration from a copy of " + age.String(), "", from, time.Now()})
	time.Sleep(upTo(rng, 500*time.Millisecond))
	s.backup.mu.Lock()
	defer s.backup.mu.Unlock()
	s.put(platform.ConfigurationKind, platform.ConfigurationName, s.backup.configuration)
	for _, e := range s.engines {
		s.writeEntry(e)
	}
}

// addReleases starts the engines of the versions that are released, without entries.
func (s *site) addReleases(prefix string) {
	for i := range releases * releaseEngines {
		address := fmt.Sprintf("%s.%d", prefix, 150+i)
		e := startEngine(s.t, s.ledger, fmt.Sprint("released-", i), modelService, address+":8686", false)
		e.version, e.site = fmt.Sprint("v", 2+i/releaseEngines), s
		s.links = append(s.links, startProxy(s.t, address+":8687", e.address))
		e.address = address + ":8687"
		s.engines = append(s.engines, e)
		s.backup.released = append(s.backup.released, e)
	}
}

// releaseVersions registers the engines of one version after the other, until done is closed, and
// removes their entries after a while. They work on.
func (s *site) releaseVersions(done <-chan struct{}, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for engines := range slices.Chunk(s.backup.released, releaseEngines) {
		for _, registered := range []bool{true, false} {
			from := time.Now()
			for _, e := range engines {
				s.register(e, registered)
			}
			s.note(&s.quiet, span{fmt.Sprintf("engines of %s registered: %t", engines[0].version, registered), "", from, time.Now()})
			select {
			case <-done:
				return
			case <-time.After(minReleased + upTo(rng, maxReleased-minReleased)):
			}
		}
	}
}

// losePower kills all daemons at once and starts them again. In one of two cases the store is
// restored meanwhile.
func losePower(s *site, rng *rand.Rand) {
	from := time.Now()
	s.power.Lock()
	for _, d := range s.daemons {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range s.daemons {
		d.awaitEnd(time.Minute)
	}
	if rng.IntN(2) == 0 {
		restoreStore(s, rng)
	}
	time.Sleep(minPowerLoss + upTo(rng, maxPowerLoss-minPowerLoss))
	s.power.Unlock()
	for _, d := range s.daemons {
		if err := d.start(); err != nil {
			s.t.Error(err)
		}
	}
	for _, d := range s.daemons {
		s.awaitReady(d)
	}
	s.note(&s.troubles, span{"loss of power", "", from, time.Now()})
}

// describeTakenUp counts the streams that clients have taken up, by version and status.
func (s *site) describeTakenUp() string {
	counts := make(map[string]int)
	for _, a := range s.record.attempts {
		if a.resumes != "" {
			counts[fmt.Sprintf("begun at %s: %d %s", a.beganAt, a.status, http.StatusText(a.status))]++
		}
	}
	return fmt.Sprintf("taken up %v", counts)
}

// TestSoakRestorations guards against streams that hold text of two software versions: versions
// come and go, the store loses notes of them in restorations, and all daemons are killed at once.
func TestSoakRestorations(t *testing.T) {
	soak(t, options{
		planned:   []fault{terminate, reloadSettings, changeConfiguration},
		unplanned: []fault{restoreStore, restoreStore, losePower, losePower, kill}, restores: true, also: []uint64{3},
	})
}
