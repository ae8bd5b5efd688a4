// Package lint examines decoded configurations: it finds entries that can never match, limits
// that contradict each other, and the differences between two versions. Findings name entries
// by their kind and index; package platform adds their paths in the platform's format.
package lint

import "github.com/vanillaroad/vanillaroad/ingress"

// Severity is the severity of a finding.
type Severity string

// Severities of findings.
const (
	Error   Severity = "error"   // daemons don't activate the configuration
	Warning Severity = "warning" // daemons activate it, but the entry is probably a mistake
	Change  Severity = "change"  // a difference from the active version
)

// Code identifies the rule of a finding. Scripts compare codes, so their values never change.
type Code string

// Codes of the findings of Check and Compare.
const (
	SameMatch           Code = "same_match"
	UnmatchableHost     Code = "unmatchable_host"
	UnknownService      Code = "unknown_service"
	UnusedService       Code = "unused_service"
	ZeroWeight          Code = "zero_weight"
	RepeatedName        Code = "repeated_name"
	NoKeys              Code = "no_keys"
	SharedKey           Code = "shared_key"
	NoKeyAccepted       Code = "no_key_accepted"
	TimeoutBelow        Code = "timeout_below_objective"
	GapOverTimeout      Code = "gap_over_timeout"
	UnusedAttempts      Code = "attempts_without_repeat"
	HeaderOverBody      Code = "header_limit_over_body_limit"
	IdleBelowHeader     Code = "idle_timeout_below_header_timeout"
	ObjectivesReversed  Code = "objective_later_than_less_urgent"
	VersionNotIncreased Code = "version_not_increased"
	Added               Code = "added"
	Removed             Code = "removed"
	Changed             Code = "changed"
)

// Kind is the kind of an entry.
type Kind string

// Kinds of entries. There is one entry of each of the first two.
const (
	Configuration Kind = "configuration"
	Limits        Kind = "limits"
	Route         Kind = "route"
	Service       Kind = "service"
	Workspace     Kind = "workspace"
)

// Field is a field of an entry.
type Field string

// Fields that findings refer to.
const (
	WholeEntry    Field = ""
	Version       Field = "version"
	Workspaces    Field = "workspaces"
	Name          Field = "name"
	Host          Field = "host"
	Prefix        Field = "path prefix"
	Timeout       Field = "timeout"
	Objective     Field = "latency objective"
	EventGap      Field = "maximum event gap"
	Attempts      Field = "maximum attempts"
	Services      Field = "services" // items are services with a weight
	Keys          Field = "keys"     // items are keys
	HeaderBytes   Field = "header limit"
	HeaderTimeout Field = "header timeout"
	IdleTimeout   Field = "idle timeout"
)

// None is the index of an entry that is not in the configuration, and the item of a subject
// that is not an item of a list.
const None = -1

// Subject is the entry, the field of an entry or the item of a field that a finding is about.
type Subject struct {
	Kind  Kind
	Index int    // in the list of its kind; None if the entry was removed
	Name  string // of the entry; empty for the first two kinds
	Field Field
	Item  int // in the list that the field holds, or None
}

// Finding is one result of Check or Compare.
type Finding struct {
	Severity Severity
	Code     Code
	Subject  Subject
	Message  string
}

// entry returns the subject of a whole entry.
func entry(kind Kind, index int, name string) Subject {
	return Subject{Kind: kind, Index: index, Name: name, Item: None}
}

func (s Subject) field(f Field) Subject {
	s.Field = f
	return s
}

func (s Subject) item(f Field, i int) Subject {
	s.Field, s.Item = f, i
	return s
}

func routeEntry(d *ingress.Document, i int) Subject { return entry(Route, i, d.Routes[i].Name) }
