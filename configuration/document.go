// Package configuration holds what operators ask for: the document they write,
// its validation, the accepted versions and the one in force on this daemon.
package configuration

import (
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// ServiceKind tells how a service is called.
type ServiceKind string

// Kinds of services.
const (
	Generation ServiceKind = "generation" // streamed model output
	Plain      ServiceKind = "plain"      // one call, one answer
)

// Objective states what matters more after a loss.
type Objective string

// Objectives.
const (
	LatencyFirst   Objective = "latency"
	ResourcesFirst Objective = "resources"
)

// System names the side of a migration that a target belongs to.
type System string

// Systems. Targets of the old system are routed to but never ordered about.
const (
	NewSystem System = "new"
	OldSystem System = "old"
)

// Document is the whole of what operators ask for. It is replaced as a whole;
// a version of it is never changed.
type Document struct {
	Services   []Service   `json:"services" validate:"dive"`
	Workspaces []Workspace `json:"workspaces" validate:"dive"`
	Targets    []Target    `json:"targets" validate:"dive"`
	// Released lists quarantined requests that may run again.
	Released []string `json:"released,omitempty"`
}

// Service is something callers ask for by name.
type Service struct {
	Name string      `json:"name" validate:"required,max=128"`
	Kind ServiceKind `json:"kind" validate:"oneof=generation plain"`
	// Selector picks the targets that may serve it, by target labels.
	Selector string `json:"selector" validate:"required"`
	// Model and Version name what a generation runs on.
	Model     string    `json:"model,omitempty"`
	Version   string    `json:"version,omitempty"`
	Objective Objective `json:"objective,omitempty" validate:"omitempty,oneof=latency resources"`
	// NewShare is the percentage of traffic on targets of the new system.
	NewShare int `json:"new_share" validate:"min=0,max=100"`
	// Idempotent plain calls may be repeated on another target.
	Idempotent bool `json:"idempotent,omitempty"`
	// ModelRules send requests with matching labels to a subset of targets.
	Rules []Rule `json:"rules,omitempty" validate:"dive"`
}

// Rule narrows the targets of requests whose labels match. The first match wins.
type Rule struct {
	Match    string `json:"match" validate:"required"`    // selector over request labels
	Selector string `json:"selector" validate:"required"` // selector over target labels
}

// Workspace is one tenant and its limits. Zero limits mean the daemon's default.
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
	// Permits is the number of requests that may run at once.
	Permits int `json:"permits" validate:"min=1,max=100000"`
	// Reserved is the part of Permits that only urgent requests may use.
	Reserved int `json:"reserved,omitempty" validate:"min=0,ltfield=Permits"`
	// Leaving is the operators' mark that the target gets no new work.
	Leaving bool `json:"leaving,omitempty"`
	// ChecksFencing tells that the target refuses orders with an old number.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Wanted is what the target should serve, model name to version; nil
	// means that the target is not ordered about.
	Wanted map[string]string `json:"wanted,omitempty"`
	// WantedRole is the role the target should have; empty leaves it alone.
	WantedRole string `json:"wanted_role,omitempty"`
}
