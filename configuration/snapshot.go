package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Snapshot is an accepted version of the document with lookup indexes. It is
// immutable.
type Snapshot struct {
	Version    int64
	Document   Document
	Head       Head   // as accepted; zero in a snapshot created by NewSnapshot
	sum        uint64 // checksum of the document; 0 in a snapshot created by NewSnapshot
	services   map[string]*ServiceView
	workspaces map[string]Workspace
	targets    map[string]Target
	released   map[string]bool
}

// ServiceView is a service with resolved selectors.
type ServiceView struct {
	Service
	Targets []Target // all targets that match the selector, in document order
	rules   []resolvedRule
}

type resolvedRule struct{ match, selector labels.Selector }

// NewSnapshot returns the snapshot of a valid document.
func NewSnapshot(version int64, d Document) (*Snapshot, error) {
	s := &Snapshot{Version: version, Document: d,
		services:   make(map[string]*ServiceView),
		workspaces: make(map[string]Workspace),
		targets:    make(map[string]Target),
		released:   make(map[string]bool),
	}
	for _, w := range d.Workspaces {
		s.workspaces[w.Name] = w
	}
	for _, t := range d.Targets {
		s.targets[t.Name] = t
	}
	for _, r := range d.Released {
		s.released[r] = true
	}
	for _, svc := range d.Services {
		v, err := resolveService(svc, d.Targets)
		if err != nil {
			return nil, err
		}
		s.services[svc.Name] = v
	}
	return s, nil
}

// SnapshotFromHead returns the snapshot of an accepted version, given its canonical
// document. It returns ErrCorrupt if the document doesn't match the head's checksum.
func SnapshotFromHead(head Head, d Document) (*Snapshot, error) {
	if d.Sum() != head.Sum {
		return nil, errors.Wrapf(ErrCorrupt, "version %d", head.Version)
	}
	s, err := NewSnapshot(head.Version, d)
	if err != nil {
		return nil, err
	}
	s.Head, s.sum = head, head.Sum
	return s, nil
}

// ErrNotNext is returned if a head's delta does not apply to a snapshot.
var ErrNotNext = errors.New("the delta does not apply to this version")

// ApplyDelta returns the snapshot of head's version, obtained by applying head's
// delta to s. Unchanged data is shared with s. It returns ErrNotNext if the delta
// does not apply to s, and ErrCorrupt if the result doesn't match the checksum.
func (s *Snapshot) ApplyDelta(head Head) (*Snapshot, error) {
	delta := head.Delta
	if delta == nil || delta.From != s.Version || (s.Version > 0 && s.Head.Version == 0) {
		return nil, errors.WithStack(ErrNotNext)
	}
	sum := s.sum
	if s.Version == 0 {
		sum = s.Document.Sum()
	}
	if delta.checksumAfter(s.Document, sum) != head.Sum {
		return nil, errors.Wrapf(ErrCorrupt, "delta to version %d", head.Version)
	}
	out := &Snapshot{Version: head.Version, Document: delta.Apply(s.Document), Head: head, sum: head.Sum,
		services: make(map[string]*ServiceView), workspaces: s.workspaces, targets: s.targets, released: s.released}
	if len(delta.Workspaces) > 0 || len(delta.Removed[workspaceEntry]) > 0 {
		out.workspaces = indexByKey(out.Document.Workspaces, Workspace.key)
	}
	if len(delta.Targets) > 0 || len(delta.Removed[targetEntry]) > 0 {
		out.targets = indexByKey(out.Document.Targets, Target.key)
	}
	if delta.ReleasedChanged {
		out.released = make(map[string]bool)
		for _, r := range out.Document.Released {
			out.released[r] = true
		}
	}
	return out, out.resolveServices(s, *delta)
}

func indexByKey[T any](list []T, key func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[key(v)] = v
	}
	return out
}

// resolveServices resolves the services that the delta affects, and copies the
// others from the old snapshot.
func (s *Snapshot) resolveServices(old *Snapshot, delta Delta) error {
	changed := make(map[string]bool)
	for _, svc := range delta.Services {
		changed[svc.Name] = true
	}
	for _, svc := range s.Document.Services {
		if v := old.services[svc.Name]; v != nil && !changed[svc.Name] && !v.affectedBy(old, delta) {
			s.services[svc.Name] = v
			continue
		}
		v, err := resolveService(svc, s.Document.Targets)
		if err != nil {
			return err
		}
		s.services[svc.Name] = v
	}
	return nil
}

// affectedBy reports whether the delta changes or removes a target that matches the
// service's selector, in its old or its new state.
func (v *ServiceView) affectedBy(old *Snapshot, delta Delta) bool {
	sel, err := labels.Parse(v.Selector)
	if err != nil {
		return true
	}
	selects := func(t Target) bool { return sel.Matches(labels.Set(t.Labels)) }
	for _, t := range delta.Targets {
		if selects(t) || selects(old.targets[t.Name]) {
			return true
		}
	}
	for _, name := range delta.Removed[targetEntry] {
		if selects(old.targets[name]) {
			return true
		}
	}
	return false
}

func resolveService(svc Service, targets []Target) (*ServiceView, error) {
	sel, err := labels.Parse(svc.Selector)
	if err != nil {
		return nil, errors.Wrapf(err, "service %s selector", svc.Name)
	}
	v := &ServiceView{Service: svc}
	for _, t := range targets {
		if sel.Matches(labels.Set(t.Labels)) {
			v.Targets = append(v.Targets, t)
		}
	}
	for _, r := range svc.Rules {
		match, err := labels.Parse(r.Match)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s rule match", svc.Name)
		}
		selector, err := labels.Parse(r.Selector)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s rule selector", svc.Name)
		}
		v.rules = append(v.rules, resolvedRule{match, selector})
	}
	return v, nil
}

// TargetsFor returns the targets that may serve a request with the given labels.
func (v *ServiceView) TargetsFor(requestLabels map[string]string) []Target {
	for _, r := range v.rules {
		if !r.match.Matches(labels.Set(requestLabels)) {
			continue
		}
		var out []Target
		for _, t := range v.Targets {
			if r.selector.Matches(labels.Set(t.Labels)) {
				out = append(out, t)
			}
		}
		return out
	}
	return v.Targets
}

// Service returns the service with the given name, and whether it exists.
func (s *Snapshot) Service(name string) (*ServiceView, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Workspace returns the workspace with the given name, and whether it exists.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Target returns the target with the given name, and whether it exists.
func (s *Snapshot) Target(name string) (Target, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Released reports whether operators have released a quarantined request, so that it
// may run again.
func (s *Snapshot) Released(requestID string) bool { return s.released[requestID] }

// Decode decodes a JSON document. Unknown keys are errors.
func Decode(b []byte) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}

// SystemFor returns the system of a migration to which a request is assigned, by a
// hash of its id. The result is stable while NewShare is unchanged, and raising
// NewShare moves only the additional percentage of requests. If all targets of the
// service belong to one system, all requests are assigned to it.
func (v *ServiceView) SystemFor(requestID string) System {
	var hasOld, hasNew bool
	for _, t := range v.Targets {
		hasOld = hasOld || t.System == OldSystem
		hasNew = hasNew || t.System != OldSystem
	}
	switch {
	case !hasOld:
		return NewSystem
	case !hasNew:
		return OldSystem
	}
	const percent = 100
	if int(xxhash.Sum64String(v.Name+"\x00"+requestID)%percent) < v.NewShare {
		return NewSystem
	}
	return OldSystem
}

// HasManagedTargets reports whether any target of the service is managed, that is,
// has a wanted state and belongs to the new system.
func (v *ServiceView) HasManagedTargets() bool {
	for _, t := range v.Targets {
		if t.Wanted != nil && t.System != OldSystem {
			return true
		}
	}
	return false
}
