// Package objectstore defines the interface to the platform's metadata: objects with
// conditional updates, and the VM list. The contract is docs/contracts/object-api.md.
package objectstore

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
)

// Errors of the store.
var (
	// ErrConflict means that the object's version is not the expected one; nothing was
	// written.
	ErrConflict = errors.New("version conflict")
	// ErrNotFound means that there is no such object.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that the store refused the call or could not be reached;
	// nothing was written.
	ErrUnavailable = errors.New("store unavailable")
	// ErrUnknown means that the write may or may not have taken effect. The caller has
	// to read the object to find out.
	ErrUnknown = errors.New("write outcome unknown")
	// ErrHistoryGone means that the store no longer has the changes after the revision
	// of a watch. The caller has to list the objects again.
	ErrHistoryGone = errors.New("history is gone")
)

// AnyVersion is the expected version that makes a deletion unconditional.
const AnyVersion = 0

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is one stored object. Version changes with each write of the object, and
// Revision increases with each write to the store. A store may use the same number for
// both.
type Object struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Version  int64  `json:"version"`
	Revision int64  `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	// Era is that of the answer of Get, also of ErrNotFound, or Put; see Position. Other calls
	// leave it 0.
	Era   int64           `json:"-"`
	Value json.RawMessage `json:"value,omitempty"`
	// Status is what the daemons report on the object, and Created the number that the store
	// gave the object at its creation. Both are set only for kinds that have a status.
	Status  json.RawMessage `json:"status,omitempty"`
	Created int64           `json:"created,omitempty"`
}

// Position is a state of the store. Revisions rise within an era. A store that was
// restored from an older copy begins the next era, in which it gives out revisions again;
// era 0 is that of a store that does not state any.
type Position struct {
	Era      int64
	Revision int64
}

// Before reports whether p is an older state than q.
func (p Position) Before(q Position) bool {
	return p.Era < q.Era || p.Era == q.Era && p.Revision < q.Revision
}

// VM is one entry of the VM list.
type VM struct {
	ID      string            `json:"id"`
	Address string            `json:"address"` // IP address
	Place   string            `json:"place"`
	Region  string            `json:"region"`
	Leaving bool              `json:"leaving,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
}

// Store is the object API. Calls are counted. Each method makes one call, except that
// List makes one for each page. A watch counts as one call, however long it waits.
// Methods return promptly once ctx is done.
type Store interface {
	// Get reads one object. It returns ErrNotFound if there is none.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the position of the store at which it had
	// them.
	List(ctx context.Context, kind string) ([]Object, Position, error)
	// Put writes value if the object's version equals expected; 0 means that the object
	// must not exist.
	Put(ctx context.Context, kind, name string, value json.RawMessage, expected int64) (Object, error)
	// Delete removes the object if its version equals expected, or if expected is
	// AnyVersion.
	Delete(ctx context.Context, kind, name string, expected int64) error
	// Watch waits until objects of a kind change after revision since, or the store's
	// wait limit passes. It returns the changed objects and the new revision.
	Watch(ctx context.Context, kind string, since int64) ([]Object, int64, error)
}

// StatusWriter writes the status of objects, which leaves their value.
type StatusWriter interface {
	// PutStatus replaces the status of an existing object if its version equals expected, and
	// returns the object. The errors are those of Store.Put, and ErrNotFound if there is no
	// object.
	PutStatus(ctx context.Context, kind, name string, status json.RawMessage, expected int64) (Object, error)
}

// VMLister reads the VM list. The list lags behind the actual state.
type VMLister interface {
	// VMs returns all VMs in the list.
	VMs(ctx context.Context) ([]VM, error)
}
