package configuration

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Delta is the difference between two documents: the changed and the removed
// entries.
type Delta struct {
	From       int64       `json:"from"` // version to which the delta applies
	Services   []Service   `json:"services,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Targets    []Target    `json:"targets,omitempty"`
	// Removed lists the names of removed entries by entry kind.
	Removed map[string][]string `json:"removed,omitempty"`
	// Released replaces the complete list if ReleasedChanged is set.
	Released        []string `json:"released,omitempty"`
	ReleasedChanged bool     `json:"released_changed,omitempty"`
}

// Entry kinds, as used in Delta.Removed and Delta.ChangedEntries.
const (
	serviceEntry   = "service"
	workspaceEntry = "workspace"
	targetEntry    = "target"
	releasedEntry  = "released"
)

// Canonical returns the document with its lists sorted by name. Accepted
// documents are canonical, so equal documents have equal encodings.
func (d Document) Canonical() Document {
	d.Services = sortedByKey(d.Services, Service.key)
	d.Workspaces = sortedByKey(d.Workspaces, Workspace.key)
	d.Targets = sortedByKey(d.Targets, Target.key)
	d.Released = sortedByKey(d.Released, func(s string) string { return s })
	return d
}

func (s Service) key() string   { return s.Name }
func (w Workspace) key() string { return w.Name }
func (t Target) key() string    { return t.Name }

func sortedByKey[T any](in []T, key func(T) string) []T {
	out := append([]T(nil), in...)
	sort.SliceStable(out, func(i, j int) bool { return key(out[i]) < key(out[j]) })
	return out
}

// Diff returns the delta from the canonical document a to the canonical document b.
// The caller sets Delta.From.
func Diff(a, b Document) Delta {
	d := Delta{Removed: make(map[string][]string)}
	d.Services, d.Removed[serviceEntry] = diffEntries(a.Services, b.Services, Service.key)
	d.Workspaces, d.Removed[workspaceEntry] = diffEntries(a.Workspaces, b.Workspaces, Workspace.key)
	d.Targets, d.Removed[targetEntry] = diffEntries(a.Targets, b.Targets, Target.key)
	if encodeJSON(a.Released) != encodeJSON(b.Released) {
		d.Released, d.ReleasedChanged = b.Released, true
	}
	for kind, names := range d.Removed {
		if len(names) == 0 {
			delete(d.Removed, kind)
		}
	}
	return d
}

// ChangedEntries lists the entries that the delta changes or removes as sorted
// strings of kind and name.
func (d Delta) ChangedEntries() []string {
	var out []string
	for _, s := range d.Services {
		out = append(out, serviceEntry+" "+s.Name)
	}
	for _, w := range d.Workspaces {
		out = append(out, workspaceEntry+" "+w.Name)
	}
	for _, t := range d.Targets {
		out = append(out, targetEntry+" "+t.Name)
	}
	for kind, names := range d.Removed {
		for _, n := range names {
			out = append(out, kind+" "+n+" (removed)")
		}
	}
	if d.ReleasedChanged {
		out = append(out, releasedEntry)
	}
	sort.Strings(out)
	return out
}

// Apply returns document a with the delta applied.
func (d Delta) Apply(a Document) Document {
	out := Document{
		Services:   mergeEntries(a.Services, d.Services, d.Removed[serviceEntry], Service.key),
		Workspaces: mergeEntries(a.Workspaces, d.Workspaces, d.Removed[workspaceEntry], Workspace.key),
		Targets:    mergeEntries(a.Targets, d.Targets, d.Removed[targetEntry], Target.key),
		Released:   a.Released,
	}
	if d.ReleasedChanged {
		out.Released = d.Released
	}
	return out
}

// diffEntries compares two lists that are sorted by key.
func diffEntries[T any](a, b []T, key func(T) string) (changed []T, removed []string) {
	i := 0
	for _, next := range b {
		for i < len(a) && key(a[i]) < key(next) {
			removed = append(removed, key(a[i]))
			i++
		}
		if i < len(a) && key(a[i]) == key(next) {
			if encodeJSON(a[i]) != encodeJSON(next) {
				changed = append(changed, next)
			}
			i++
			continue
		}
		changed = append(changed, next)
	}
	for ; i < len(a); i++ {
		removed = append(removed, key(a[i]))
	}
	return changed, removed
}

func mergeEntries[T any](a, changed []T, removed []string, key func(T) string) []T {
	if len(changed) == 0 && len(removed) == 0 {
		return a
	}
	removedNames := make(map[string]bool, len(removed))
	for _, r := range removed {
		removedNames[r] = true
	}
	out := make([]T, 0, len(a)+len(changed))
	i := 0
	for _, old := range a {
		for i < len(changed) && key(changed[i]) < key(old) {
			out = append(out, changed[i])
			i++
		}
		switch {
		case i < len(changed) && key(changed[i]) == key(old):
			out = append(out, changed[i])
			i++
		case !removedNames[key(old)]:
			out = append(out, old)
		}
	}
	return append(out, changed[i:]...)
}

func encodeJSON(v any) string {
	b, _ := json.Marshal(v) // documents contain only types that can be encoded
	return string(b)
}

func entryHash(kind string, v any) uint64 { return xxhash.Sum64String(kind + "\x00" + encodeJSON(v)) }

// Sum returns a checksum of the document: the XOR of the hashes of its entries. It
// can be updated from a delta in time proportional to the delta's size.
func (d Document) Sum() uint64 {
	sum := entryHash(releasedEntry, d.Released)
	for _, s := range d.Services {
		sum ^= entryHash(serviceEntry, s)
	}
	for _, w := range d.Workspaces {
		sum ^= entryHash(workspaceEntry, w)
	}
	for _, t := range d.Targets {
		sum ^= entryHash(targetEntry, t)
	}
	return sum
}

// checksumAfter returns the checksum of document a with d applied. sum is the
// checksum of a.
func (d Delta) checksumAfter(a Document, sum uint64) uint64 {
	if d.ReleasedChanged {
		sum ^= entryHash(releasedEntry, a.Released) ^ entryHash(releasedEntry, d.Released)
	}
	sum ^= checksumChange(serviceEntry, a.Services, d.Services, d.Removed[serviceEntry], Service.key)
	sum ^= checksumChange(workspaceEntry, a.Workspaces, d.Workspaces, d.Removed[workspaceEntry], Workspace.key)
	return sum ^ checksumChange(targetEntry, a.Targets, d.Targets, d.Removed[targetEntry], Target.key)
}

func checksumChange[T any](kind string, a, changed []T, removed []string, key func(T) string) uint64 {
	var sum uint64
	xorExisting := func(name string) {
		i := sort.Search(len(a), func(i int) bool { return key(a[i]) >= name })
		if i < len(a) && key(a[i]) == name {
			sum ^= entryHash(kind, a[i])
		}
	}
	for _, c := range changed {
		xorExisting(key(c))
		sum ^= entryHash(kind, c)
	}
	for _, r := range removed {
		xorExisting(r)
	}
	return sum
}
