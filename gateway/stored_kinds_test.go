package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// finalState returns the final state of the roll-out of a service, as stored; empty before.
func (s *restoredSite) finalState(service string) string {
	order, err := s.storeClient.Get(context.Background(), platform.RolloutKind, service)
	var status struct{ State string }
	if err != nil || json.Unmarshal(order.Status, &status) != nil || status.State != "completed" && status.State != "rolled_back" {
		return ""
	}
	return status.State
}

// TestEveryStoredKindIsWrittenAgain guards against a kind of objects that a restoration of the
// store from an older copy takes away for good. Each kind that daemons write needs a check here.
func TestEveryStoredKindIsWrittenAgain(t *testing.T) {
	s := &restoredSite{streamEnv: newStreamEnv(t)}
	s.change = func(settings *Settings) { settings.FirstStart, settings.Rollout = true, rolloutBlock }
	s.platform.Restore(standin.Restoration{}) // in era 0, a store is taken to have no eras
	s.addTarget("i-1", "v1")
	s.put(platform.RolloutKind, "s", map[string]any{"service": "s", "target": "v2", "duration_s": 1})
	restore := s.copyStore()
	s.start()
	s.addTarget("i-2", "v2")
	s.ready(s.first)
	var began []string
	for range 2 {
		id, status := s.takeUp(s.first.Callers, "", 0, 3)
		if status != http.StatusOK {
			t.Fatalf("a new stream got status %d", status)
		}
		began = append(began, id)
	}
	crashThree(s.gateways["vm-1"].crashTracker, quarantine.RequestKey{ID: "p", Fingerprint: 0xabc})
	var firstState string // of the roll-out
	checks := map[string]func(era int64) bool{
		memberKind:   func(int64) bool { return s.hasMember("vm-1") && s.hasMember("vm-2") },
		versionsKind: func(int64) bool { return s.noted("v1") && s.noted("v2") },
		coverageKind: s.covered,
		originsKind:  func(int64) bool { return s.stored(began) },
		verdictKind: func(int64) bool {
			objects, _, err := s.storeClient.List(context.Background(), verdictKind)
			return err == nil && len(objects) == 1
		},
		platform.RolloutKind: func(era int64) bool {
			state := s.finalState("s")
			if era == 1 {
				firstState = state // which one depends on how soon v2 serves
			}
			return state != "" && state == firstState
		},
	}
	kinds := s.gateways["vm-1"].store.Kinds()
	slices.Sort(kinds)
	for _, kind := range kinds {
		if checks[kind] == nil {
			t.Fatalf("kind %s has no check that it is written again", kind)
		}
		t.Run(kind+" at first", func(*testing.T) { eventually(func() bool { return checks[kind](1) }) })
	}
	restore()
	for _, kind := range kinds {
		t.Run(kind, func(*testing.T) { eventually(func() bool { return checks[kind](2) }) })
	}
}

// TestUndeclaredKindIsNotWritten guards against a kind of objects that daemons write and
// TestEveryStoredKindIsWrittenAgain doesn't know.
func TestUndeclaredKindIsNotWritten(t *testing.T) {
	e := newTestEnv(t)
	e.startDaemon("vm-1", e.store.Listener.Addr().String())
	store := e.gateways["vm-1"].store
	if _, err := store.Put(t.Context(), "undeclared", "o", json.RawMessage(`1`), 0); err == nil {
		t.Error("an object of an undeclared kind was written")
	}
	if _, err := store.PutStatus(t.Context(), "undeclared", "o", json.RawMessage(`1`), objectstore.AnyVersion); err == nil {
		t.Error("the status of an object of an undeclared kind was written")
	}
}
