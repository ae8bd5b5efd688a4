package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
)

// restoredSite is a site of two daemons whose target of version v2 registered after a copy of
// the store was made.
type restoredSite struct {
	*streamEnv
	first, second Settings
	stops         []func()
	restore       func()
	leftSetting   bool              // first_start is left in place
	began         map[string]string // a stream of each version, by version
}

func newRestoredSite(t *testing.T) *restoredSite {
	s := &restoredSite{streamEnv: newStreamEnv(t), began: make(map[string]string)}
	s.change = func(settings *Settings) { settings.FirstStart = true }
	s.platform.Restore(standin.Restoration{}) // in era 0, a store is taken to have no eras
	s.addTarget("i-1", "v1")
	s.start()
	eventually(func() bool { return s.noted("v1") && s.covered(1) })
	s.restore = s.copyStore()
	s.addTarget("i-2", "v2")
	eventually(func() bool { return s.noted("v2") })
	s.ready(s.first)
	for len(s.began) < 2 {
		id, status := s.takeUp(s.first.Callers, "", 0, 3)
		if status != http.StatusOK {
			t.Fatalf("a new stream got status %d", status)
		}
		s.began[s.version(id)] = id
	}
	eventually(func() bool { return s.stored([]string{s.began["v1"], s.began["v2"]}) })
	return s
}

// start starts both daemons.
func (s *restoredSite) start() {
	var stopFirst, stopSecond func()
	store := s.store.Listener.Addr().String()
	s.first, stopFirst = s.startDaemon("vm-1", store)
	s.second, stopSecond = s.startDaemon("vm-2", store)
	s.stops = []func(){stopFirst, stopSecond}
}

// restart ends both daemons and starts them again, without the target of version v2.
func (s *restoredSite) restart() {
	for _, stop := range s.stops {
		stop()
	}
	for _, g := range s.gateways {
		eventually(g.stopped)
	}
	_ = s.storeClient.Delete(context.Background(), platform.TargetKind, "i-2", objectstore.AnyVersion) // the copy lacks it
	delete(s.versions, "i-2")
	if !s.leftSetting {
		s.change = nil
	}
	s.start()
	s.ready(s.first)
	s.ready(s.second)
}

// covered reports whether the store has all versions of an era.
func (s *restoredSite) covered(era int64) bool {
	for _, g := range s.gateways {
		coverage, _, err := g.origins.versions.readCoverage(context.Background())
		if err != nil || !coverage.Complete || coverage.Era != era {
			return false
		}
	}
	return true
}

// checkNotJoined takes the stream of version v2 up at both daemons.
func (s *restoredSite) checkNotJoined() {
	s.t.Helper()
	for _, daemon := range []Settings{s.first, s.second} {
		if id, status := s.takeUp(daemon.Callers, s.began["v2"], 2, 3); status != http.StatusServiceUnavailable || s.version(id) != "" {
			s.t.Errorf("at %s: a stream that v2 began: status %d (want 503), continued by %q (want by none)", daemon.ID, status, s.version(id))
		}
	}
}

// TestStreamIsNotJoinedAfterARestoration guards against text that is joined from two software
// versions: the store lost that one of them began streams, and all daemons ended after they had
// read the older copy.
func TestStreamIsNotJoinedAfterARestoration(t *testing.T) {
	s := newRestoredSite(t)
	s.restore()
	for _, kind := range []string{platform.ConfigurationKind, platform.TargetKind, memberKind} {
		s.awaitEra(kind, 2, func(*Gateway) {})
	}
	s.restart()
	s.checkNotJoined()
}

// TestStreamIsNotJoinedIfNoDaemonSawTheRestoration guards against text that is joined from two
// software versions: no daemon was left to write again what the store has lost.
func TestStreamIsNotJoinedIfNoDaemonSawTheRestoration(t *testing.T) {
	s := newRestoredSite(t)
	for _, stop := range s.stops {
		stop()
	}
	for _, g := range s.gateways {
		eventually(g.stopped)
	}
	s.restore()
	s.restart()
	s.checkNotJoined()
}

// TestFirstStartSettingLeftInPlace guards against text that is joined from two software versions
// because a setting that was not removed has daemons believe that no process ran before them.
func TestFirstStartSettingLeftInPlace(t *testing.T) {
	s := newRestoredSite(t)
	s.leftSetting = true
	for _, stop := range s.stops {
		stop()
	}
	for _, g := range s.gateways {
		eventually(g.stopped)
	}
	s.restore()
	s.restart()
	s.checkNotJoined()
}

// TestStreamIsNotJoinedDuringAnOutage guards against text that is joined from two software
// versions: after a restart of all daemons the store is away, and each knows a single version.
func TestStreamIsNotJoinedDuringAnOutage(t *testing.T) {
	s := newRestoredSite(t)
	for _, stop := range s.stops {
		stop()
	}
	for _, g := range s.gateways {
		eventually(g.stopped)
	}
	s.restore()
	s.restart()
	for _, g := range s.gateways {
		eventually(func() bool { return g.members.hearsMost() && len(g.members.directory()) == 2 })
	}
	s.platform.SetFaults(standin.PlatformFaults{Down: true})
	for _, g := range s.gateways {
		eventually(g.datasets.storeFailed)
	}
	s.checkNotJoined()
}

// TestVersionsAreStoredAgain guards against streams of a version in service that are refused
// after a restoration of the store and a restart of all daemons, although their version is
// stored again or was never lost.
func TestVersionsAreStoredAgain(t *testing.T) {
	s := newRestoredSite(t)
	s.restore()
	eventually(func() bool { return s.noted("v2") && s.covered(2) && s.stored([]string{s.began["v1"], s.began["v2"]}) })
	s.restart()
	s.checkNotJoined()
	for _, daemon := range []Settings{s.first, s.second} {
		if id, status := s.takeUp(daemon.Callers, s.began["v1"], 2, 3); status != http.StatusOK || s.version(id) != "v1" {
			t.Errorf("at %s: a stream that v1 began: status %d (want 200), continued by %q (want by v1)", daemon.ID, status, s.version(id))
		}
	}
}

// TestSingleVersionIsStillAssumed guards against streams that are refused after a restoration of
// the store and a restart of all daemons, although a single version ever began some.
func TestSingleVersionIsStillAssumed(t *testing.T) {
	s := &restoredSite{streamEnv: newStreamEnv(t), began: make(map[string]string)}
	s.change = func(settings *Settings) { settings.FirstStart = true }
	s.platform.Restore(standin.Restoration{})
	s.addTarget("i-1", "v1")
	s.start()
	eventually(func() bool { return s.covered(1) })
	s.copyStore()()
	eventually(func() bool { return s.covered(2) })
	s.restart()
	for _, daemon := range []Settings{s.first, s.second} {
		if id, status := s.takeUp(daemon.Callers, "unknown", 2, 3); status != http.StatusOK {
			t.Errorf("at %s: status %d, want 200, of request %s", daemon.ID, status, id)
		}
	}
}
