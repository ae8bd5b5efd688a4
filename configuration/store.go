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

// ErrNotWritten is wrapped by errors that arose before anything was asked of the
// platform that could be accepted: a part that is too large, or stored parts
// that can't be read.
var ErrNotWritten = errors.New("nothing was written")

// Kinds and name of the platform objects that hold accepted versions. Heads
// have a kind of their own, so that a watch of it brings nothing else.
const (
	ObjectKind = "vanillaroad-configuration"
	HeadName   = "head"
	PartKind   = "vanillaroad-configuration-part"
)

// Retry of a write whose outcome is not known.
const (
	writeRetryPause    = 100 * time.Millisecond
	writeRetryPauseMax = 2 * time.Second
	cleanupTimeout     = 10 * time.Second
)

// Change is what an operator asks to put in force.
type Change struct {
	// WriteID is drawn anew for each write, so that a lost answer can be
	// settled by reading back.
	WriteID     string
	Author      string
	At          time.Time
	Document    Document // canonical and valid
	BaseVersion int64    // version that the change was made from
	// CachedDocument is a document that is at hand, if any: parts of the base that it
	// holds too are not read.
	CachedDocument *Document
}

// ConflictError tells which version won. It wraps objectstore.ErrConflict.
type ConflictError struct{ Winner Head }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %q won at %s", e.Winner.Version, e.Winner.Author, e.Winner.At.Format(time.RFC3339))
}

// Unwrap lets errors.Is find objectstore.ErrConflict.
func (e *ConflictError) Unwrap() error { return objectstore.ErrConflict }

// ReadHead returns the newest accepted head and the version of its object, or
// a zero head when there is none.
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

// Write puts a new version on top of c.Base. Its errors wrap
// objectstore.ErrConflict (a ConflictError), objectstore.ErrUnavailable or
// ErrNotWritten, with which nothing was accepted, or objectstore.ErrUnknown.
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

// resolveStaleBase answers a change whose base is not the newest version: it may be
// that very change, sent again after a lost answer.
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

// writeOperation is one write under way.
type writeOperation struct {
	store         objectstore.Store
	change        Change
	objectVersion int64 // version of the head object to replace
	head          Head
	writtenParts  []string // parts put for this write
	obsoleteParts []string // parts that are no longer needed once it is accepted
}

// writeParts stores the changed parts and the manifest. Nobody sees them before
// the head names them, so that a failure here accepts nothing.
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

// notAccepted turns an error from before the head was put into one that says so.
func notAccepted(err error) error {
	switch {
	case errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrConflict) || errors.Is(err, ErrNotWritten):
		return err
	case errors.Is(err, objectstore.ErrUnknown) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled):
		return errors.Wrap(objectstore.ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrNotWritten, err.Error())
}

// putPart stores one part. A conflict, or a part that reads back, means that an
// earlier try took effect, because nobody else uses the name.
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

// putHead makes the version the accepted one. After a lost answer it reads
// back, and puts again when nothing changed: the condition lets at most one of
// the tries take effect, and only another try can exclude that an earlier one
// is still on its way.
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
			conflicted = conflicted || !outcomeUnknown // no earlier try can have taken effect
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

// readOutcome reads back. It returns whether the outcome is certain, and the
// conflict if another version won.
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
	// Another version is the newest. It may stand on top of this one.
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
	return false, nil // the history does not reach back so far
}

// discardParts removes the parts of a write that was not accepted.
func (w *writeOperation) discardParts(ctx context.Context) { w.deleteParts(ctx, w.writtenParts) }

// deleteParts removes parts. What it can't remove now stays until Sweep.
func (w *writeOperation) deleteParts(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	for _, n := range names {
		if err := w.store.Delete(ctx, PartKind, n, objectstore.AnyVersion); errors.Is(err, objectstore.ErrUnavailable) {
			return
		}
	}
}
