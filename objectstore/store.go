// Package objectstore is what the product asks of the platform: objects under conditional
// update, and the VM list. The contract is docs/contracts/object-api.md.
package objectstore

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Errors of the store.
var (
	// ErrConflict: the object's version is not the expected one; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable: the store refused or was not reached; nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown: the write may or may not have taken effect. Read back.
	ErrUnknown = errors.New("write outcome unknown")
	// ErrHistoryGone: the changes after the revision of a watch are no longer kept.
	// List again.
	ErrHistoryGone = errors.New("history is gone")
)

// AnyVersion makes a deletion unconditional.
const AnyVersion = 0

// MaxValueBytes is the largest value the store holds.
const MaxValueBytes = 1 << 20

// Object is one stored value. Version changes with each write of the object, and
// Revision rises with each write to the store; a store may use one for both.
type Object struct {
	Kind     string          `json:"kind"`
	Name     string          `json:"name"`
	Version  int64           `json:"version"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// VM is one entry of the VM list.
type VM struct {
	ID      string            `json:"id"`
	Address string            `json:"address"` // IP number
	Place   string            `json:"place"`
	Region  string            `json:"region"`
	Leaving bool              `json:"leaving,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// Store is the object API. Every method is one counted call; a waiting watch
// counts as one too. Methods return promptly once ctx ends.
type Store interface {
	// Get reads one object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List reads all objects of a kind and the store's revision.
	List(ctx context.Context, kind string) ([]Object, int64, error)
	// Put writes value if the object's version is expected (0: must not exist).
	Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (Object, error)
	// Delete removes the object if its version is expected, or AnyVersion.
	Delete(ctx context.Context, kind, name string, expected int64) error
	// Watch waits until objects of a kind change after revision since, or a
	// server-side wait ends, and returns the changes and the new revision.
	Watch(ctx context.Context, kind string, since int64) ([]Object, int64, error)
}

// VMLister reads the VM list. The list lags behind the truth.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
