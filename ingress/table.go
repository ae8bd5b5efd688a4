// Package ingress tells what a caller's plain HTTP request asks for: the route
// that its host and path select, the workspace that its key belongs to, and the
// limits on what callers may send. A Table is one accepted configuration and is
// immutable.
package ingress

import (
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated on a route.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once. It is the zero value: what is
	// not known to be repeatable is not repeated.
	NonIdempotent Kind = iota
	Idempotent
	// Streaming answers are server-sent events with rising ids.
	Streaming
)

// String names the kind in log lines.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Route is one entry of the table.
type Route struct {
	Name     string
	Host     string
	Prefix   string // of the path; begins and ends with a slash
	Kind     Kind
	Services []WeightedService
	// Resumable streams may go on at another target after a given event.
	Resumable        bool
	Timeout          time.Duration // longest time a caller is kept waiting
	LatencyObjective time.Duration // time to the answer, or to a stream's first event
	MaxEventGap      time.Duration // between two events of a stream that is on time; 0 if not stated
	// MaxAttempts is the largest number of targets that one request is sent to.
	MaxAttempts int
	Priority    int // 0 is the most urgent
	Public      bool
}

// WeightedService is a service of a route with its part of the traffic.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable tells whether a request may run more than once: on another target
// after a loss, or anew.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickService picks the service of a request. point is uniform in [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	remaining := int(point * float64(total))
	for _, s := range r.Services {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// Service is what the configuration says of one service.
type Service struct {
	Name           string
	MaxConnections int // that a target accepts from all callers; 0 if not stated
	// Model is nil for services that run no model.
	Model *Model
}

// Model describes the engines of a service.
type Model struct {
	KVCacheTokens int  // memory of an engine for prompts and outputs
	StandbyCopies bool // engines copy a run's memory to another engine as it grows
	CopyRetention time.Duration
}

// Limits bound what a caller may send and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is whose requests bear one of its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before a route's if HasPriority.
	Priority    int
	HasPriority bool
}

// Document is a decoded configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is a Document with its indexes.
type Table struct {
	Version        int64
	Limits         Limits
	requireKeys    bool
	routesByHost   map[string][]*Route // longest prefix first
	services       map[string]Service
	workspaceByKey map[string]*Workspace
}

// NewTable indexes a document, which must not change afterwards.
func NewTable(d Document) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, requireKeys: len(d.Workspaces) > 0,
		routesByHost: make(map[string][]*Route), services: make(map[string]Service), workspaceByKey: make(map[string]*Workspace),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for _, s := range d.Services {
		t.services[s.Name] = s
	}
	for i := range d.Workspaces {
		for _, k := range d.Workspaces[i].Keys {
			t.workspaceByKey[k] = &d.Workspaces[i]
		}
	}
	return t
}

// Match returns the route with the longest prefix of path at host. A port in
// host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.routesByHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the named service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Authorize returns the workspace of a request on r. It is empty, and allowed,
// on public routes and where the configuration has no workspaces.
func (t *Table) Authorize(r *Route, key string) (w Workspace, allowed bool) {
	if !t.requireKeys || r.Public {
		return Workspace{}, true
	}
	if workspace := t.workspaceByKey[key]; workspace != nil && key != "" {
		return *workspace, true
	}
	return Workspace{}, false
}
