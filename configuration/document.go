// Package configuration defines the configuration document that operators write,
// validates it, stores its accepted versions on the platform, and distributes the
// newest version to the daemons.
package configuration

import (
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// ServiceKind is the kind of calls that a service accepts.
type ServiceKind string

// Kinds of services.
const (
	Generation ServiceKind = "generation" // streamed model output
	Plain      ServiceKind = "plain"      // one answer per call
)

// Objective is the optimization goal when an attempt of a generation is lost and a
// new attempt replaces it.
type Objective string

// Objectives.
const (
	LatencyFirst   Objective = "latency"
	ResourcesFirst Objective = "resources"
)

// System is the old or the new system of a migration. Each target belongs to one.
type System string

// Systems. Targets of the old system receive requests, but are not managed: no
// orders are sent to them.
const (
	NewSystem System = "new"
	OldSystem System = "old"
)

// Document is a complete configuration. Each change creates a new version of the
// complete document; an accepted version is immutable.
type Document struct {
	Services   []Service   `json:"services" validate:"dive"`
	Workspaces []Workspace `json:"workspaces" validate:"dive"`
	Targets    []Target    `json:"targets" validate:"dive"`
	// Released lists the quarantined requests that may run again.
	Released []string `json:"released,omitempty"`
}

// Service is what callers request by name. A set of targets serves it.
type Service struct {
	Name string      `json:"name" validate:"required,max=128"`
	Kind ServiceKind `json:"kind" validate:"oneof=generation plain"`
	// Selector is a label selector for the targets that may serve the service.
	Selector string `json:"selector" validate:"required"`
	// Model and Version identify the model of a generation service.
	Model     string    `json:"model,omitempty"`
	Version   string    `json:"version,omitempty"`
	Objective Objective `json:"objective,omitempty" validate:"omitempty,oneof=latency resources"`
	// NewShare is the percentage of requests that are sent to targets of the new
	// system, if the service has targets of both systems.
	NewShare int `json:"new_share" validate:"min=0,max=100"`
	// Idempotent reports whether plain calls may be retried on another target.
	Idempotent bool `json:"idempotent,omitempty"`
	// Rules restrict requests with matching labels to a subset of the targets.
	Rules []Rule `json:"rules,omitempty" validate:"dive"`
}

// Rule restricts the targets of requests whose labels match. The first matching
// rule applies.
type Rule struct {
	Match    string `json:"match" validate:"required"`    // selector over request labels
	Selector string `json:"selector" validate:"required"` // selector over target labels
}

// Workspace is one tenant and its limits. A zero limit selects the daemon's default.
type Workspace struct {
	Name        string            `json:"name" validate:"required,max=128"`
	Weight      int               `json:"weight,omitempty" validate:"min=0,max=1000"`
	MaxInFlight int               `json:"max_in_flight,omitempty" validate:"min=0"`
	MaxQueued   int               `json:"max_queued,omitempty" validate:"min=0"`
	Deadline    jsontime.Duration `json:"deadline,omitempty"`
}

// Target is one back end.
type Target struct {
	Name    string            `json:"name" validate:"required,max=128"`
	Address string            `json:"address" validate:"required,hostname_port"`
	Place   string            `json:"place" validate:"required"`
	VM      string            `json:"vm,omitempty"`
	System  System            `json:"system,omitempty" validate:"omitempty,oneof=old new"`
	Labels  map[string]string `json:"labels,omitempty"`
	// Permits is the number of requests that may run concurrently.
	Permits int `json:"permits" validate:"min=1,max=100000"`
	// Reserved is the number of these permits that only urgent requests may use.
	Reserved int `json:"reserved,omitempty" validate:"min=0,ltfield=Permits"`
	// Leaving reports whether the target is to receive no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing reports whether the target rejects orders with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Wanted maps the name of each model that the target should serve to its
	// version. If it is nil, the target is not managed.
	Wanted map[string]string `json:"wanted,omitempty"`
	// WantedRole is the role that the target should have. If it is empty, the role
	// is not changed.
	WantedRole string `json:"wanted_role,omitempty"`
}
