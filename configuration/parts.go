package configuration

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// ErrCorrupt is returned if a stored part does not match its digest, or a document
// its checksum.
var ErrCorrupt = errors.New("configuration parts don't match their digest")

// entriesPerPart is the maximum average number of entries per part in a new layout.
const entriesPerPart = 32

// Layout defines how a document is split into parts. Part 0 contains services and
// released requests. It is followed by Workspaces parts with workspaces and Targets
// parts with targets.
type Layout struct {
	Workspaces int `json:"workspaces" msgpack:"w"`
	Targets    int `json:"targets" msgpack:"t"`
}

func (l Layout) parts() int { return 1 + l.Workspaces + l.Targets }

// layoutFor returns the layout of a document. It keeps the number of parts of the old
// layout if that is sufficient and at most twice the number needed, because a
// different number makes it necessary to rewrite all parts.
func layoutFor(d Document, old Layout) Layout {
	return Layout{partCount(len(d.Workspaces), old.Workspaces), partCount(len(d.Targets), old.Targets)}
}

func partCount(entries, old int) int {
	count := 1
	for count*entriesPerPart < entries {
		count *= 2
	}
	if old > 0 && count <= old*2 && old <= count*2 && count != old*2 {
		return old
	}
	return count
}

// part is the content of one stored part of a document: either the services and the
// released requests, or some of the workspaces, or some of the targets.
type part struct {
	Services   []Service   `json:"services,omitempty"`
	Released   []string    `json:"released,omitempty"`
	Workspaces []Workspace `json:"workspaces,omitempty"`
	Targets    []Target    `json:"targets,omitempty"`
}

func partIndex(name string, n int) int { return int(xxhash.Sum64String(name) % uint64(n)) }

// Split encodes a canonical document as parts. Entries are assigned to parts by a
// hash of their names.
func Split(d Document, l Layout) ([][]byte, error) {
	parts := make([]part, l.parts())
	parts[0].Services, parts[0].Released = d.Services, d.Released
	for _, w := range d.Workspaces {
		p := &parts[1+partIndex(w.Name, l.Workspaces)]
		p.Workspaces = append(p.Workspaces, w)
	}
	for _, t := range d.Targets {
		p := &parts[1+l.Workspaces+partIndex(t.Name, l.Targets)]
		p.Targets = append(p.Targets, t)
	}
	out := make([][]byte, len(parts))
	for i := range parts {
		b, err := json.Marshal(parts[i])
		if err != nil {
			return nil, errors.WithStack(err)
		}
		out[i] = b
	}
	return out, nil
}

// Join decodes parts into a canonical document.
func Join(parts [][]byte) (Document, error) {
	var d Document
	for _, b := range parts {
		var p part
		if err := json.Unmarshal(b, &p); err != nil {
			return Document{}, errors.Wrap(err, "decode part")
		}
		d.Services = append(d.Services, p.Services...)
		d.Released = append(d.Released, p.Released...)
		d.Workspaces = append(d.Workspaces, p.Workspaces...)
		d.Targets = append(d.Targets, p.Targets...)
	}
	return d.Canonical(), nil
}

// Digests returns the digest of each part.
func Digests(parts [][]byte) []uint64 {
	out := make([]uint64, len(parts))
	for i, b := range parts {
		out[i] = xxhash.Sum64(b)
	}
	return out
}

// Ref refers to a stored part or manifest. Each name is used by a single write of a
// single version. A Digest of 0 is not checked.
type Ref struct {
	Name   string `json:"name" msgpack:"n"`
	Digest uint64 `json:"digest,string" msgpack:"d"`
}

// partName returns the name of a stored part: version, write id and part index,
// separated by dots.
func partName(version int64, writeID string, index int) string {
	return fmt.Sprintf("%d.%s.%d", version, writeID, index)
}

// manifestIndex is the part index in the name of a manifest.
const manifestIndex = -1

// Manifest lists the parts of one version and the accepted history.
type Manifest struct {
	Layout Layout `json:"layout"`
	Parts  []Ref  `json:"parts"`
	// History lists the accepted versions that are retained, starting with this
	// one.
	History []Entry `json:"history"`
}

// Entry describes one accepted version in the history.
type Entry struct {
	Version  int64     `json:"version"`
	WriteID  string    `json:"write_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Manifest string    `json:"manifest"` // name of its manifest
	// DroppedParts names the parts of the previous version that neither this
	// version nor any later one uses.
	DroppedParts []string `json:"dropped,omitempty"`
}

// HistoryLen is the number of accepted versions that are retained.
const HistoryLen = 32

// next returns the manifest of the version that follows m, which e describes, and
// the indexes of the parts that must be written.
func (m Manifest) next(e Entry, l Layout, digests []uint64) (Manifest, []int) {
	out := Manifest{Layout: l, Parts: make([]Ref, len(digests))}
	var changed []int
	for i, d := range digests {
		if l == m.Layout && m.Parts[i].Digest == d {
			out.Parts[i] = m.Parts[i]
			continue
		}
		out.Parts[i] = Ref{partName(e.Version, e.WriteID, i), d}
		changed = append(changed, i)
	}
	e.DroppedParts = droppedNames(m.Parts, out.Parts)
	out.History = append([]Entry{e}, m.History...)
	return out, changed
}

func droppedNames(oldParts, newParts []Ref) []string {
	kept := make(map[string]bool, len(newParts))
	for _, r := range newParts {
		kept[r.Name] = true
	}
	var out []string
	for _, r := range oldParts {
		if !kept[r.Name] {
			out = append(out, r.Name)
		}
	}
	sort.Strings(out)
	return out
}

// trim truncates the history to HistoryLen and returns the names of the parts that
// no retained version uses.
func (m *Manifest) trim() []string {
	if len(m.History) <= HistoryLen {
		return nil
	}
	var out []string
	// A part dropped by version v was last used by version v-1, so it can be
	// deleted once v is the oldest retained version.
	out = append(out, m.History[HistoryLen-1].DroppedParts...)
	for _, e := range m.History[HistoryLen:] {
		out = append(out, e.Manifest)
		out = append(out, e.DroppedParts...)
	}
	m.History[HistoryLen-1].DroppedParts = nil
	m.History = m.History[:HistoryLen]
	return out
}

// Head is the description of an accepted version. The head of the newest version is
// the value of the head object on the platform. Daemons also send heads to each
// other.
type Head struct {
	Version  int64     `json:"version"`
	WriteID  string    `json:"write_id"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	Manifest Ref       `json:"manifest"`
	// Sum is the checksum of the document; see Document.Sum.
	Sum uint64 `json:"sum,string"`
	// Delta is the change from the previous version; nil if its encoding exceeds
	// maxDeltaBytes.
	Delta *Delta `json:"delta,omitempty"`
}

// maxDeltaBytes is the maximum size of the encoded delta in a head.
const maxDeltaBytes = 4 << 10

// LayoutOf returns the layout of a document that has not been split before.
func LayoutOf(d Document) Layout { return layoutFor(d, Layout{}) }
