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

type resolvedRule struct{ match, pick labels.Selector }

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
		v, err := resolve(svc, d.Targets)
		if err != nil {
			return nil, err
		}
		s.services[svc.Name] = v
	}
	return s, nil
}

func resolve(svc Service, targets []Target) (*ServiceView, error) {
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
		pick, err := labels.Parse(r.Selector)
		if err != nil {
			return nil, errors.Wrapf(err, "service %s rule selector", svc.Name)
		}
		v.rules = append(v.rules, resolvedRule{match, pick})
	}
	return v, nil
}

// For returns the targets that a request with the given labels may use.
func (v *ServiceView) For(request map[string]string) []Target {
	for _, r := range v.rules {
		if !r.match.Matches(labels.Set(request)) {
			continue
		}
		var out []Target
		for _, t := range v.Targets {
			if r.pick.Matches(labels.Set(t.Labels)) {
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
func (s *Snapshot) Released(request string) bool { return s.released[request] }

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

// Side returns the side of a migration that a request belongs to. A request
// never changes sides while the share stays; raising the share moves only the
// difference. A service whose targets are all on one side stays there.
func (v *ServiceView) Side(request string) System {
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
	if int(xxhash.Sum64String(v.Name+"\x00"+request)%percent) < v.NewShare {
		return NewSystem
	}
	return OldSystem
}

// Ordered tells whether some target of the service has a wanted state.
func (v *ServiceView) Ordered() bool {
	for _, t := range v.Targets {
		if t.Wanted != nil && t.System != OldSystem {
			return true
		}
	}
	return false
}
