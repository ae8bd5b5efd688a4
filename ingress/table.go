// Package ingress classifies callers' plain HTTP requests: it finds the route for a host
// and path and the workspace for an API key, and holds the limits on what callers may
// send. A Table is one accepted configuration and is immutable.
package ingress

import (
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind determines whether requests on a route may run more than once.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once. It is the zero value, so that a
	// request is not repeated unless its route allows it.
	NonIdempotent Kind = iota
	Idempotent
	// Streaming answers are server-sent events with increasing ids.
	Streaming
)

// String returns the name of the kind in the configuration.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	}
	return "non_idempotent"
}

// Route is one route of the configuration.
type Route struct {
	Name     string
	Host     string
	Prefix   string // of the path; begins and ends with a slash
	Kind     Kind
	Services []WeightedService
	// Resumable means that a stream may continue at another target after a given
	// event.
	Resumable        bool
	Timeout          time.Duration // maximum time from a request to its final answer; 0 if not configured
	LatencyObjective time.Duration // longest time to the answer or to a stream's first event; 0 if not configured
	MaxEventGap      time.Duration // maximum time between two events of a stream that meets its objective; 0 if not configured
	// MaxAttempts is the maximum number of targets that one request is sent to.
	MaxAttempts int
	Priority    int // 0 is the most urgent
	Public      bool
}

// WeightedService is a service of a route with its share of the route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run more than once: it may be resumed on
// another target after a failure, or run again from the start.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Allows reports whether requests on the route may go to a service.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService picks the service of a request by weight. point selects it and must be
// uniformly distributed in [0, 1).
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

// Service is the configuration of one service.
type Service struct {
	Name           string
	MaxConnections int // maximum number that one target accepts in total; 0 if not configured
	// Model is nil if the service runs no model.
	Model *Model
}

// Model describes the engines of a service.
type Model struct {
	KVCacheTokens int           // KV cache capacity of an engine, for prompts and outputs
	StandbyCopies bool          // engines copy the KV cache of a run to a second engine as it grows
	CopyRetention time.Duration // how long an engine keeps a copy
	// MaxReservation is the longest time for which an engine reserves a slot and memory; 0 if
	// it reserves none.
	MaxReservation time.Duration
}

// Limits are the configured limits on callers' requests and connections. A zero value
// means that the limit is not configured.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Workspace is the owner of the requests that carry one of its API keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces a route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Document is a decoded configuration.
type Document struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	// RequiresKeys means that routes which are not public require an API key, also if no
	// workspace is left that holds one.
	RequiresKeys bool
	Limits       Limits
}

// Table is a Document indexed for lookups.
type Table struct {
	Version        int64
	Limits         Limits
	requireKeys    bool                // routes that are not public require an API key
	routesByHost   map[string][]*Route // by host in lower case; longest prefix first
	services       map[string]Service
	workspaceByKey map[string]*Workspace
	contended      map[string]bool // see Contended
}

// WithKeys returns the document with those of its API keys for which keep returns true. d is not
// modified.
func (d Document) WithKeys(keep func(key string) bool) Document {
	d.Workspaces = slices.Clone(d.Workspaces)
	for i, w := range d.Workspaces {
		d.Workspaces[i].Keys = slices.DeleteFunc(slices.Clone(w.Keys), func(key string) bool { return !keep(key) })
	}
	return d
}

// NewTable returns the table of a document, which must not be modified afterwards.
func NewTable(d Document) *Table {
	t := &Table{
		Version: d.Version, Limits: d.Limits, requireKeys: d.RequiresKeys || len(d.Workspaces) > 0,
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
	t.contended = contendedServices(d.Routes)
	for i := range d.Workspaces {
		for _, k := range d.Workspaces[i].Keys {
			t.workspaceByKey[k] = &d.Workspaces[i]
		}
	}
	return t
}

// Match returns the route of host with the longest prefix of path, and false if there is
// none. A port in host is ignored.
func (t *Table) Match(host, path string) (*Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.routesByHost[name] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasService reports whether the configuration names a service, also if only as that of a route.
func (t *Table) HasService(name string) bool {
	if _, ok := t.services[name]; ok {
		return true
	}
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if r.Allows(name) {
				return true
			}
		}
	}
	return false
}

// Service returns the named service.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Contended reports whether routes of different priorities or latency objectives lead to a
// service, so that its requests are not equally urgent.
func (t *Table) Contended(service string) bool { return t.contended[service] }

// ShortestObjective returns the shortest latency objective of the routes, 0 if none has one.
func (t *Table) ShortestObjective() (shortest time.Duration) {
	for _, routes := range t.routesByHost {
		for _, r := range routes {
			if o := r.LatencyObjective; o > 0 && (shortest == 0 || o < shortest) {
				shortest = o
			}
		}
	}
	return shortest
}

// contendedServices returns the services to which routes of different priorities or latency
// objectives send requests. A service of weight 0 gets none from a route.
func contendedServices(routes []Route) map[string]bool {
	type urgency struct {
		priority  int
		objective time.Duration
	}
	first, contended := make(map[string]urgency), make(map[string]bool)
	for i := range routes {
		own := urgency{routes[i].Priority, routes[i].LatencyObjective}
		for _, s := range routes[i].Services {
			if s.Weight <= 0 {
				continue
			}
			if other, ok := first[s.Service]; ok && other != own {
				contended[s.Service] = true
			} else if !ok {
				first[s.Service] = own
			}
		}
	}
	return contended
}

// Authorize returns the workspace of a request on r with an API key, and whether the
// request is allowed. On public routes, and if the configuration requires no keys, every
// request is allowed and the workspace is empty.
func (t *Table) Authorize(r *Route, key string) (w Workspace, allowed bool) {
	if !t.requireKeys || r.Public {
		return Workspace{}, true
	}
	if workspace := t.workspaceByKey[key]; workspace != nil && key != "" {
		return *workspace, true
	}
	return Workspace{}, false
}
