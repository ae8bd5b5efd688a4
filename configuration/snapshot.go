package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Snapshot is one accepted version with its indexes. It is immutable.
type Snapshot struct {
	Version    int64
	Document   Document
	Head       Head   // as accepted; zero in a snapshot made from a document alone
	sum        uint64 // of the document, when it was adopted from a head
	services   map[string]*ServiceView
	workspaces map[string]Workspace
	targets    map[string]Target
	released   map[string]bool
}

// ServiceView is a service with its selectors resolved.
type ServiceView struct {
	Service
	Targets []Target // all that the selector picks, in document order
	rules   []resolvedRule
}

type resolvedRule struct{ match, selector labels.Selector }

// NewSnapshot indexes a valid document.
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

// SnapshotFromHead makes the snapshot of an accepted version from its canonical document.
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

// ErrNotNext is returned when a head's delta does not apply to a snapshot.
var ErrNotNext = errors.New("the delta does not apply to this version")

// ApplyDelta returns the snapshot after s by the delta of head. What the delta does
// not touch is shared with s.
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

// resolveServices resolves only the services whose targets the delta can change.
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

// affectedBy tells whether a changed target was or is one of the service's.
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

// TargetsFor returns the targets that a request with the given labels may use.
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

// Service returns the named service.
func (s *Snapshot) Service(name string) (*ServiceView, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Workspace returns the named workspace.
func (s *Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// Target returns the named target.
func (s *Snapshot) Target(name string) (Target, bool) {
	t, ok := s.targets[name]
	return t, ok
}

// Released tells whether operators let a quarantined request run again.
func (s *Snapshot) Released(requestID string) bool { return s.released[requestID] }

// Decode parses a document and refuses unknown keys.
func Decode(b []byte) (Document, error) {
	var d Document
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	return d, nil
}

// SystemFor returns the side of a migration that a request belongs to. A request
// never changes sides while the share stays; raising the share moves only the
// difference. A service whose targets are all on one side stays there.
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

// HasManagedTargets tells whether some target of the service has a wanted state.
func (v *ServiceView) HasManagedTargets() bool {
	for _, t := range v.Targets {
		if t.Wanted != nil && t.System != OldSystem {
			return true
		}
	}
	return false
}
