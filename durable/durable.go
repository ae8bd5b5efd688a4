// Package durable declares the kinds of objects that daemons write to the store and read after
// a restart, and has them written again when the store was restored from an older copy, which
// loses what was written since.
package durable

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Kind is a kind of objects that daemons write.
type Kind struct {
	Name string
	// Restore starts to write again what this daemon wrote or knows of the kind. It is called
	// once for each era that this daemon learns of, unless it is the first one, and does not
	// block. It is nil for a kind whose reader writes it again once it finds it missing.
	Restore func(era int64)
}

// Store is a store that accepts writes of declared kinds only: what is written must be
// written again after a restoration.
type Store struct {
	objectstore.Store
	statuses objectstore.StatusWriter
	kinds    map[string]Kind

	mu  sync.Mutex
	era int64 // latest one that was handled
}

var (
	_ objectstore.Store        = (*Store)(nil)
	_ objectstore.StatusWriter = (*Store)(nil)
)

// NewStore returns a store without declared kinds.
func NewStore(store objectstore.Store, statuses objectstore.StatusWriter) *Store {
	return &Store{Store: store, statuses: statuses, kinds: make(map[string]Kind)}
}

// Declare declares kinds. It must not be called once the store is in use.
func (s *Store) Declare(kinds ...Kind) {
	for _, k := range kinds {
		s.kinds[k.Name] = k
	}
}

// Kinds returns the names of the declared kinds.
func (s *Store) Kinds() (names []string) {
	for name := range s.kinds {
		names = append(names, name)
	}
	return names
}

// HandleRestoration has all kinds written again, unless that was done for the era.
func (s *Store) HandleRestoration(era int64) {
	s.mu.Lock()
	handled := era <= s.era
	s.era = max(s.era, era)
	s.mu.Unlock()
	if handled {
		return
	}
	for _, k := range s.kinds {
		if k.Restore != nil {
			k.Restore(era)
		}
	}
}

// Put implements objectstore.Store.
func (s *Store) Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (objectstore.Object, error) {
	if err := s.check(kind); err != nil {
		return objectstore.Object{}, err
	}
	return s.Store.Put(ctx, kind, name, value, expected)
}

// PutStatus implements objectstore.StatusWriter.
func (s *Store) PutStatus(ctx context.Context, kind, name string, status json.RawMessage, expected int64) (objectstore.Object, error) {
	if err := s.check(kind); err != nil {
		return objectstore.Object{}, err
	}
	return s.statuses.PutStatus(ctx, kind, name, status, expected)
}

func (s *Store) check(kind string) error {
	if _, declared := s.kinds[kind]; !declared {
		return errors.Errorf("objects of kind %s are not declared, so they would not survive a restoration of the store", kind)
	}
	return nil
}
