package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/peer"
)

// versionStore keeps in the store at which software versions streams of each service may have
// begun, for daemons that start when none is left that knows.
type versionStore struct {
	store  objectstore.Store
	events *event.Recorder
	// knowsAll reports whether this daemon knows of itself all versions that may have begun
	// streams.
	knowsAll func() bool
	// onStored, if set, is called when this daemon has found that versions are stored.
	onStored func(storedVersions)

	mu       sync.Mutex
	ctx      context.Context            // of writes
	era      int64                      // of the store, as this daemon read last
	known    map[string]origin.Versions // by service
	stored   map[string]origin.Versions // that the store has in era, by service
	saving   map[string]bool            // services whose versions are being stored
	ahead    map[string]storedVersions  // of a newer era, by service
	coverage origin.Coverage            // as last read, written or received
	// complete has the services of which this daemon has known all versions since it read them
	// or received them.
	complete map[string]bool
	found    map[string]foundVersions // by service

	reads *sharedReads
}

// foundVersions is the result of a read for a caller, without the versions, which are known then.
type foundVersions struct {
	complete bool
	readAt   time.Time
}

func newVersionStore(store objectstore.Store, events *event.Recorder, reads *sharedReads, knowsAll func() bool) *versionStore {
	return &versionStore{
		store: store, events: events, reads: reads, knowsAll: knowsAll, ctx: context.Background(),
		known: make(map[string]origin.Versions), stored: make(map[string]origin.Versions), saving: make(map[string]bool),
		ahead: make(map[string]storedVersions), complete: make(map[string]bool), found: make(map[string]foundVersions),
	}
}

// versionsIn returns the versions of a service in a map, and adds them if there are none.
func versionsIn(m map[string]origin.Versions, service string) origin.Versions {
	if m[service] == nil {
		m[service] = make(origin.Versions)
	}
	return m[service]
}

// note records that streams of a service may begin at versions, and stores them unless that
// was done lately. It does not block; writes end with ctx.
func (s *versionStore) note(ctx context.Context, now time.Time, service string, versions ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	known, missing := versionsIn(s.known, service), false
	for _, v := range versions {
		if !s.stored[service].Fresh(now, v) {
			known.Note(now, v)
			missing = true
		}
	}
	if missing {
		s.startSaving(service)
	}
}

// learn records that streams of a service may begin or have begun at versions, and leaves it to
// another daemon to store them.
func (s *versionStore) learn(now time.Time, service string, versions ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range versions {
		versionsIn(s.known, service).Note(now, v)
	}
}

// services returns the services with known versions.
func (s *versionStore) services() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.known))
}

// startSaving stores the known versions of a service without waiting. s.mu is held.
func (s *versionStore) startSaving(service string) {
	if s.saving[service] {
		return // and it stores what was added meanwhile
	}
	s.saving[service] = true
	ctx := s.ctx
	go func() {
		for ctx.Err() == nil && s.isMissing(service) {
			retryStore(ctx, func(ctx context.Context) error { return s.save(ctx, service) })
		}
	}()
}

// isMissing reports whether the store lacks a known version of a service, as far as this
// daemon knows, so that its versions have to be stored.
func (s *versionStore) isMissing(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saving[service] = s.lacks(service)
	return s.saving[service]
}

// lacks reports whether the store lacks a known version of a service. s.mu is held.
func (s *versionStore) lacks(service string) bool {
	return maps.Clone(versionsIn(s.stored, service)).Merge(time.Now(), s.known[service])
}

// save adds the known versions of a service to the stored ones. Once those of all services
// are stored, it also stores the coverage.
func (s *versionStore) save(ctx context.Context, service string) error {
	versions, object, err := s.read(ctx, service)
	if err != nil {
		return err
	}
	now := time.Now()
	s.mu.Lock()
	known, outdated := maps.Clone(s.known[service]), object.Era < s.era
	s.mu.Unlock()
	if outdated {
		return errors.Wrap(objectstore.ErrUnavailable, "the answer is from before a restoration")
	}
	if versions.Merge(now, known) {
		value, err := json.Marshal(versions)
		if err != nil {
			return errors.Wrap(err, "encode software versions")
		}
		written, err := s.store.Put(ctx, versionsKind, service, value, object.Version)
		if err != nil {
			return err
		}
		if written.Era != object.Era {
			return errors.Wrap(objectstore.ErrConflict, "the store was restored meanwhile")
		}
		s.record(event.OriginsWritten, service, versions, written.Era)
	}
	s.mu.Lock()
	if object.Era == s.era {
		versionsIn(s.stored, service).Merge(now, versions)
	}
	s.mu.Unlock()
	if err := s.saveCoverage(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	s.complete[service] = s.complete[service] || s.coverage.Covers(now, object.Era)
	s.mu.Unlock()
	if s.onStored != nil {
		s.onStored(s.storedOf(service))
	}
	return nil
}

// read reads the stored versions of a service and their object, whose version is 0 if there
// is none. The versions are known then, and of a newer era than before none others are stored.
func (s *versionStore) read(ctx context.Context, service string) (origin.Versions, objectstore.Object, error) {
	object, err := s.store.Get(ctx, versionsKind, service)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return nil, objectstore.Object{}, err
	}
	versions := make(origin.Versions)
	if err == nil {
		if err := json.Unmarshal(object.Value, &versions); err != nil {
			s.events.Record(event.EntryRefused, "", event.F("software_versions", service), event.F("error", err.Error()))
			versions = make(origin.Versions) // the next write replaces it
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginEra(object.Era)
	versionsIn(s.known, service).Merge(now, versions)
	return versions, object, nil
}

// beginEra forgets what is stored if an era is newer. s.mu is held.
func (s *versionStore) beginEra(era int64) {
	if era <= s.era {
		return
	}
	s.era, s.stored = era, make(map[string]origin.Versions)
	for service, ahead := range s.ahead {
		if ahead.Era <= era {
			delete(s.ahead, service)
			s.applyStored(ahead)
		}
	}
}

// coverageKind holds origin.Coverage, in one object.
const (
	coverageKind = "software-versions-coverage"
	coverageName = "coverage"
)

// saveCoverage stores that all versions are stored in this era, once those known here are. A
// daemon that may not know all states only when the era was first seen.
func (s *versionStore) saveCoverage(ctx context.Context) error {
	s.mu.Lock()
	era, complete := s.era, s.knowsAll()
	done := era == 0 || s.coverage.Era == era && (s.coverage.Complete || !complete)
	for service := range s.known {
		done = done || s.lacks(service) // the last one that is stored calls saveCoverage again
	}
	s.mu.Unlock()
	if done {
		return nil
	}
	stored, object, err := s.readCoverage(ctx)
	if err != nil || object.Era != era || stored.Era == era && (stored.Complete || !complete) {
		return err // in a newer era, the versions have to be stored first
	}
	stored = origin.Coverage{Era: era, Complete: complete, Since: time.Now()}
	value, err := json.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode coverage")
	}
	written, err := s.store.Put(ctx, coverageKind, coverageName, value, object.Version)
	if err != nil || written.Era != era {
		return err
	}
	s.events.Record(event.CoverageWritten, "", event.F("era", strconv.FormatInt(era, 10)), event.F("complete", strconv.FormatBool(complete)))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coverage = stored
	return nil
}

// readCoverage reads the stored coverage and its object.
func (s *versionStore) readCoverage(ctx context.Context) (coverage origin.Coverage, object objectstore.Object, err error) {
	object, err = s.store.Get(ctx, coverageKind, coverageName)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return coverage, object, err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, &coverage); err != nil {
			s.events.Record(event.EntryRefused, "", event.F("coverage", coverageName), event.F("error", err.Error()))
			coverage = origin.Coverage{} // the next write replaces it
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginEra(object.Era)
	s.coverage = coverage
	return coverage, object, nil
}

// restore stores the known versions again, because the store was restored from an older copy.
// Random delays keep many daemons from writing at once; those that know all versions are first,
// and the others find theirs stored.
func (s *versionStore) restore(ctx context.Context, era int64) {
	s.mu.Lock()
	s.beginEra(era)
	s.mu.Unlock()
	delay := rand.N(maxRegistrationDelay)
	if !s.knowsAll() {
		delay += maxRegistrationDelay
	}
	if !pause.For(ctx, delay) {
		return
	}
	s.mu.Lock()
	s.ctx = ctx
	for service := range s.known {
		if s.lacks(service) {
			s.startSaving(service)
		}
	}
	s.mu.Unlock()
	retryStore(ctx, s.saveCoverage)
}

// storedVersions reports to all daemons which software versions of a service are stored, so
// that they don't read it themselves.
type storedVersions struct {
	Service  string          `msgpack:"s"`
	Versions origin.Versions `msgpack:"v"`
	Era      int64           `msgpack:"e,omitempty"` // of the store; 0 also in messages of older builds
	Covered  bool            `msgpack:"c,omitempty"` // the store has all versions in Era
	Complete bool            `msgpack:"k,omitempty"` // the sender has known all versions of the service
}

func (s *versionStore) storedOf(service string) storedVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storedVersions{
		Service: service, Versions: maps.Clone(s.stored[service]), Era: s.era, Complete: s.complete[service] || s.knowsAll(),
		Covered: s.coverage.Era == s.era && s.coverage.Complete,
	}
}

func (s *versionStore) handleStored(_ context.Context, _ peer.Identity, stored storedVersions) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	versionsIn(s.known, stored.Service).Merge(time.Now(), stored.Versions)
	s.complete[stored.Service] = s.complete[stored.Service] || stored.Complete
	if stored.Era > s.era {
		s.ahead[stored.Service] = stored
	} else {
		s.applyStored(stored)
	}
	return nil, nil
}

// applyStored applies what another daemon has found to be stored, if that was in this era.
// s.mu is held.
func (s *versionStore) applyStored(stored storedVersions) {
	if stored.Era != s.era {
		return
	}
	versionsIn(s.stored, stored.Service).Merge(time.Now(), stored.Versions)
	if stored.Covered {
		s.coverage = origin.Coverage{Era: stored.Era, Complete: true}
	}
}

// find returns the versions that may have begun streams of a service, as far as the store and
// this daemon know, and whether these are all.
func (s *versionStore) find(ctx context.Context, service string) (versions []string, complete bool, err error) {
	s.mu.Lock()
	found := s.found[service]
	s.mu.Unlock()
	if time.Since(found.readAt) >= originReadTTL {
		found, err = share(ctx, s.reads, versionsKind+"/"+service, func(ctx context.Context) (foundVersions, error) { return s.readForCaller(ctx, service) })
		if err != nil {
			return nil, false, errors.Wrap(err, "read software versions")
		}
	}
	return s.here(service), found.complete, nil
}

// readForCaller reads the versions of a service, and the coverage unless it is known.
func (s *versionStore) readForCaller(ctx context.Context, service string) (foundVersions, error) {
	now := time.Now()
	stored, object, err := s.read(ctx, service)
	if err != nil {
		return foundVersions{}, err
	}
	s.record(event.OriginsRead, service, stored, object.Era)
	s.mu.Lock()
	complete := s.knowsAll() || s.coverage.Covers(now, object.Era)
	s.mu.Unlock()
	if !complete {
		coverage, _, err := s.readCoverage(ctx)
		if err != nil {
			return foundVersions{}, err
		}
		complete = coverage.Covers(now, object.Era)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.complete[service] = s.complete[service] || complete
	s.found[service] = foundVersions{complete, now}
	return s.found[service], nil
}

// here returns the versions of a service that this daemon knows of.
func (s *versionStore) here(service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[service].Recent(time.Now())
}

// isComplete reports whether this daemon has known all versions of a service since it started
// or read them.
func (s *versionStore) isComplete(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete[service] || s.knowsAll()
}

// record records that the stored versions of a service were read or written.
func (s *versionStore) record(number event.Number, service string, versions origin.Versions, era int64) {
	s.events.Record(number, "", event.F("service", service),
		event.F("versions", strings.Join(versions.Recent(time.Now()), ",")), event.F("era", strconv.FormatInt(era, 10)))
}
