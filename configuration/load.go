package configuration

import (
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// ErrNoVersion is returned for a version that is not in the history.
var ErrNoVersion = errors.New("version is not in the accepted history")

func readPart(ctx context.Context, store objectstore.Store, r Ref) ([]byte, error) {
	o, err := store.Get(ctx, PartKind, r.Name)
	if err != nil {
		return nil, errors.Wrapf(err, "read part %s", r.Name)
	}
	if r.Digest != 0 && xxhash.Sum64(o.Value) != r.Digest {
		return nil, errors.Wrap(ErrCorrupt, r.Name)
	}
	return o.Value, nil
}

func readManifest(ctx context.Context, store objectstore.Store, r Ref) (Manifest, error) {
	var m Manifest
	b, err := readPart(ctx, store, r)
	if err != nil {
		return m, err
	}
	return m, errors.Wrap(json.Unmarshal(b, &m), "decode manifest")
}

// readVersion reads the manifest r and the document that it describes. If cached is
// not nil, parts that are the same in this document are not read from the store.
func readVersion(ctx context.Context, store objectstore.Store, r Ref, cached *Document) (Manifest, Document, error) {
	m, err := readManifest(ctx, store, r)
	if err != nil {
		return m, Document{}, err
	}
	parts := make([][]byte, len(m.Parts))
	if cached != nil {
		if parts, err = Split(*cached, m.Layout); err != nil {
			return m, Document{}, err
		}
	}
	for i, p := range m.Parts {
		if parts[i] != nil && xxhash.Sum64(parts[i]) == p.Digest {
			continue
		}
		if parts[i], err = readPart(ctx, store, p); err != nil {
			return m, Document{}, err
		}
	}
	d, err := Join(parts)
	return m, d, err
}

// Load returns the snapshot of head's version. If possible, it applies the head's
// delta to the current snapshot. Otherwise it reads the parts that differ from the
// current snapshot.
func Load(ctx context.Context, store objectstore.Store, head Head, current *Snapshot) (*Snapshot, error) {
	if s, err := current.ApplyDelta(head); err == nil {
		return s, nil
	}
	_, d, err := readVersion(ctx, store, head.Manifest, &current.Document)
	if err != nil {
		return nil, err
	}
	return SnapshotFromHead(head, d)
}

// History returns the accepted versions, newest first.
func History(ctx context.Context, store objectstore.Store) ([]Entry, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil || head.Version == 0 {
		return nil, err
	}
	m, err := readManifest(ctx, store, head.Manifest)
	return m.History, err
}

// ReadVersion returns the document of an accepted version, or ErrNoVersion.
func ReadVersion(ctx context.Context, store objectstore.Store, version int64) (Document, error) {
	entries, err := History(ctx, store)
	if err != nil {
		return Document{}, err
	}
	for _, e := range entries {
		if e.Version == version {
			_, d, err := readVersion(ctx, store, Ref{Name: e.Manifest}, nil)
			return d, err
		}
	}
	return Document{}, errors.Wrapf(ErrNoVersion, "version %d", version)
}

// maxSweepDeletions is the maximum number of parts that one Sweep deletes.
const maxSweepDeletions = 256

// Sweep deletes parts that no retained version refers to. Writers that failed
// before completing a write leave such parts. It returns the number of deleted
// parts.
func Sweep(ctx context.Context, store objectstore.Store) (int, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil || head.Version == 0 {
		return 0, err
	}
	m, err := readManifest(ctx, store, head.Manifest)
	if err != nil {
		return 0, err
	}
	objects, _, err := store.List(ctx, PartKind)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, name := range orphans(objects, m, head.Version) {
		if removed == maxSweepDeletions {
			break
		}
		if err := store.Delete(ctx, PartKind, name, objectstore.AnyVersion); err != nil {
			return removed, err
		}
		removed++
	}
	return removed, nil
}

// orphans returns the names of parts that no version in m's history refers to. It
// excludes parts whose name contains one of the newest HistoryLen version numbers or
// a later one, because such a part may belong to a write in progress.
func orphans(objects []objectstore.Object, m Manifest, version int64) []string {
	used := make(map[string]bool)
	for _, p := range m.Parts {
		used[p.Name] = true
	}
	for _, e := range m.History {
		used[e.Manifest] = true
		for _, d := range e.DroppedParts {
			used[d] = true
		}
	}
	var out []string
	for _, o := range objects {
		number, _, _ := strings.Cut(o.Name, ".")
		v, err := strconv.ParseInt(number, 10, 64)
		if err == nil && v <= version-HistoryLen && !used[o.Name] {
			out = append(out, o.Name)
		}
	}
	sort.Strings(out)
	return out
}
