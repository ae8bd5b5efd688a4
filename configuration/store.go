package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// ErrNotWritten is wrapped by errors that occur before the head is written, which
// means that no version was accepted. For instance, a part is too large, or stored
// parts can't be read.
var ErrNotWritten = errors.New("nothing was written")

// Kinds and name of the platform objects that hold accepted versions. The head has a
// kind of its own, so that a watch of this kind does not return parts.
const (
	ObjectKind = "vanillaroad-configuration"
	HeadName   = "head"
	PartKind   = "vanillaroad-configuration-part"
)

// Backoff between attempts of a write whose outcome is unknown, and timeout for
// deleting parts after the write.
const (
	writeRetryPause    = 100 * time.Millisecond
	writeRetryPauseMax = 2 * time.Second
	cleanupTimeout     = 10 * time.Second
)

// Change is a request to store a new version of the configuration.
type Change struct {
	// WriteID is unique to the change; a retry uses the same one. If the answer of
	// the platform is lost, it identifies the change in the head or history that
	// is read back.
	WriteID     string
	Author      string
	At          time.Time
	Document    Document // must be canonical and valid
	BaseVersion int64    // version on which the change is based
	// CachedDocument is an optional document, usually that of the base version.
	// Parts of the base version that are the same in CachedDocument are not read
	// from the store.
	CachedDocument *Document
}

// ConflictError reports that another version was accepted first. It wraps
// objectstore.ErrConflict.
type ConflictError struct{ Winner Head }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %q won at %s", e.Winner.Version, e.Winner.Author, e.Winner.At.Format(time.RFC3339))
}

// Unwrap lets errors.Is find objectstore.ErrConflict.
func (e *ConflictError) Unwrap() error { return objectstore.ErrConflict }

// ReadHead returns the newest accepted head and the object version of the head
// object, or a zero head if there is none.
func ReadHead(ctx context.Context, store objectstore.Store) (Head, int64, error) {
	o, err := store.Get(ctx, ObjectKind, HeadName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	h, err := DecodeHead(o.Value)
	return h, o.Version, err
}

// DecodeHead decodes the value of a head object.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	err := json.Unmarshal(value, &h)
	return h, errors.Wrap(err, "decode head")
}

// Write stores c as the version that follows c.BaseVersion. If the error wraps
// objectstore.ErrConflict (usually a ConflictError), objectstore.ErrUnavailable or
// ErrNotWritten, the version was not accepted. If it wraps objectstore.ErrUnknown,
// the outcome is unknown.
func Write(ctx context.Context, store objectstore.Store, c Change) (Head, error) {
	old, objectVersion, err := ReadHead(ctx, store)
	if err != nil {
		return Head{}, notAccepted(errors.Wrap(err, "read head"))
	}
	w := &writeOperation{store: store, change: c, objectVersion: objectVersion}
	if old.Version != c.BaseVersion {
		return w.resolveStaleBase(ctx, old)
	}
	if err := w.writeParts(ctx, old); err != nil {
		w.discardParts(ctx)
		return Head{}, notAccepted(err)
	}
	head, err := w.putHead(ctx)
	switch {
	case err == nil:
		w.deleteParts(ctx, w.obsoleteParts)
	case errors.Is(err, objectstore.ErrConflict) || errors.Is(err, objectstore.ErrUnavailable):
		w.discardParts(ctx)
	}
	return head, err
}

// resolveStaleBase returns the result for a change whose base is not the newest
// version. If the change is a retry and an earlier attempt was accepted, but its
// answer was lost, resolveStaleBase returns the accepted version. Otherwise the
// change is a conflict.
func (w *writeOperation) resolveStaleBase(ctx context.Context, current Head) (Head, error) {
	if current.WriteID == w.change.WriteID {
		return current, nil
	}
	if current.Version <= w.change.BaseVersion {
		return Head{}, &ConflictError{current}
	}
	manifest, err := readManifest(ctx, w.store, current.Manifest)
	if err != nil {
		return Head{}, notAccepted(err)
	}
	for _, e := range manifest.History {
		if e.WriteID == w.change.WriteID {
			return Head{Version: e.Version, WriteID: e.WriteID, Author: e.Author, At: e.At}, nil
		}
	}
	return Head{}, &ConflictError{current}
}

// writeOperation is the state of one write.
type writeOperation struct {
	store         objectstore.Store
	change        Change
	objectVersion int64 // object version of the head object to replace
	head          Head
	writtenParts  []string // parts stored by this write
	obsoleteParts []string // parts that can be deleted once the write is accepted
}

// writeParts stores the changed parts and the manifest. They have no effect until
// the head refers to them, so a failure here means that no version was accepted.
func (w *writeOperation) writeParts(ctx context.Context, old Head) error {
	var oldManifest Manifest
	var oldDocument Document
	if old.Version > 0 {
		var err error
		if oldManifest, oldDocument, err = readVersion(ctx, w.store, old.Manifest, w.change.CachedDocument); err != nil {
			return notAccepted(err)
		}
	}
	layout := layoutFor(w.change.Document, oldManifest.Layout)
	parts, err := Split(w.change.Document, layout)
	if err != nil {
		return err
	}
	entry := Entry{Version: old.Version + 1, WriteID: w.change.WriteID, Author: w.change.Author, At: w.change.At}
	entry.Manifest = partName(entry.Version, entry.WriteID, manifestIndex)
	manifest, changed := oldManifest.next(entry, layout, Digests(parts))
	w.obsoleteParts = manifest.trim()
	for _, i := range changed {
		if err := w.putPart(ctx, manifest.Parts[i].Name, parts[i]); err != nil {
			return err
		}
	}
	b, err := json.Marshal(manifest)
	if err != nil {
		return errors.WithStack(err)
	}
	w.head = Head{Version: entry.Version, WriteID: entry.WriteID, Author: entry.Author, At: entry.At,
		Manifest: Ref{entry.Manifest, xxhash.Sum64(b)}, Sum: w.change.Document.Sum()}
	delta := Diff(oldDocument, w.change.Document)
	if delta.From = old.Version; len(encodeJSON(delta)) <= maxDeltaBytes {
		w.head.Delta = &delta
	}
	return w.putPart(ctx, entry.Manifest, b)
}

// notAccepted converts an error that occurred before the head was written into one
// that wraps ErrUnavailable, ErrConflict or ErrNotWritten, which all mean that the
// version was not accepted.
func notAccepted(err error) error {
	switch {
	case errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrConflict) || errors.Is(err, ErrNotWritten):
		return err
	case errors.Is(err, objectstore.ErrUnknown) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrNotWritten, err.Error())
}

// putPart stores one part, with retries while the outcome is unknown. A conflict, or
// a part that can be read back, means that an earlier attempt succeeded, because no
// other write uses the name.
func (w *writeOperation) putPart(ctx context.Context, name string, value []byte) error {
	w.writtenParts = append(w.writtenParts, name)
	for backoff := writeRetryPause; ; backoff = min(2*backoff, writeRetryPauseMax) {
		_, err := w.store.Put(ctx, PartKind, name, value, 0)
		switch {
		case err == nil || errors.Is(err, objectstore.ErrConflict):
			return nil
		case !errors.Is(err, objectstore.ErrUnknown):
			return notAccepted(errors.Wrap(err, "put part"))
		}
		if _, getErr := w.store.Get(ctx, PartKind, name); getErr == nil {
			return nil
		}
		if !pause.For(ctx, backoff) {
			return notAccepted(errors.Wrap(err, "put part"))
		}
	}
}

// putHead writes the head, which makes its version the accepted one. If the answer
// is lost, it reads the head back. If the head is unchanged, it writes again, because
// the earlier attempt may still be in flight. At most one of the attempts takes
// effect, because they expect the same object version.
func (w *writeOperation) putHead(ctx context.Context) (Head, error) {
	value, err := json.Marshal(w.head)
	if err != nil {
		return Head{}, errors.WithStack(err)
	}
	outcomeUnknown, conflicted := false, false
	for backoff := writeRetryPause; ; backoff = min(2*backoff, writeRetryPauseMax) {
		_, err := w.store.Put(ctx, ObjectKind, HeadName, value, w.objectVersion)
		switch {
		case err == nil:
			return w.head, nil
		case errors.Is(err, objectstore.ErrConflict):
			conflicted = conflicted || !outcomeUnknown // a conflict is final unless an earlier attempt may have succeeded
			if resolved, err := w.readOutcome(ctx); resolved {
				return w.result(err)
			}
		case errors.Is(err, objectstore.ErrUnavailable) && !outcomeUnknown && !conflicted:
			return Head{}, errors.Wrap(err, "put head")
		case errors.Is(err, objectstore.ErrUnknown):
			outcomeUnknown = true
			if resolved, err := w.readOutcome(ctx); resolved {
				return w.result(err)
			}
		}
		if pause.For(ctx, backoff) {
			continue
		}
		if conflicted {
			return Head{}, errors.Wrap(objectstore.ErrConflict, "another version won")
		}
		return Head{}, errors.Wrap(objectstore.ErrUnknown, "the platform did not tell before the deadline")
	}
}

func (w *writeOperation) result(err error) (Head, error) {
	if err != nil {
		return Head{}, err
	}
	return w.head, nil
}

// readOutcome reads the head back to determine the outcome of the write. It reports
// whether the outcome is certain, and returns a ConflictError if another version was
// accepted instead.
func (w *writeOperation) readOutcome(ctx context.Context) (bool, error) {
	current, objectVersion, err := ReadHead(ctx, w.store)
	switch {
	case err != nil:
		return false, nil
	case current.WriteID == w.change.WriteID:
		return true, nil
	case objectVersion == w.objectVersion:
		return false, nil
	}
	// Another version is the newest. It may be based on the version of this write.
	manifest, err := readManifest(ctx, w.store, current.Manifest)
	if err != nil {
		return false, nil
	}
	for _, e := range manifest.History {
		if e.WriteID == w.change.WriteID {
			return true, nil
		}
		if e.Version <= w.change.BaseVersion {
			return true, &ConflictError{current}
		}
	}
	return false, nil // the history does not reach back to the base version; the outcome is unknown
}

// discardParts deletes the parts of a write that was not accepted.
func (w *writeOperation) discardParts(ctx context.Context) { w.deleteParts(ctx, w.writtenParts) }

// deleteParts deletes parts. Parts that can't be deleted now remain until Sweep.
func (w *writeOperation) deleteParts(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, n := range names {
		if err := w.store.Delete(ctx, PartKind, n, objectstore.AnyVersion); errors.Is(err, objectstore.ErrUnavailable) {
			return
		}
	}
}
